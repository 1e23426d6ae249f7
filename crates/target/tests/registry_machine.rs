//! Stateful property test of the registry against a simple oracle: records in any
//! order and number, outages of the source, restarts under an old id, and time.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use base::Name;
use common::{SERVICE, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use target::{
    OutageSettings, RegistrySettings, TargetEntry, TargetRecord, TargetRegistry, TargetState,
};

const TARGETS: usize = 4;
const SEED: u64 = 20_301;

#[derive(Clone, Debug)]
enum Transition {
    /// The source writes a record that is not delivered yet.
    Write {
        target: usize,
        incarnation: u64,
        state: Option<TargetState>,
    },
    /// One of the records written so far is delivered.
    Deliver {
        record: prop::sample::Index,
    },
    /// A complete listing of the source is delivered.
    DeliverListing,
    LoseSource,
    ReachSource,
    ReadByPeer,
    Wait {
        ms: u64,
    },
}

/// The source, and the expected state of a registry with the same records.
#[derive(Clone, Debug, Default)]
struct Oracle {
    now: u64,
    written: Vec<TargetRecord>,
    /// Newest delivered record of each target.
    delivered: BTreeMap<Name, TargetRecord>,
    drained: BTreeSet<(Name, u64)>,
    /// Entries that were removed but may be published again, and until when they are
    /// served.
    expiring: BTreeMap<Name, (TargetEntry, u64)>,
    /// When the source last responded to the router or a peer.
    responded_at: Option<u64>,
    /// When a read first failed since then.
    lost_at: Option<u64>,
    recovered_at: Option<u64>,
}

impl Oracle {
    fn deliver(&mut self, record: &TargetRecord) {
        let entry = record.entry.as_ref();
        let draining = entry.filter(|entry| entry.state == TargetState::Draining);
        self.drained.extend(draining.map(|entry| (entry.id.clone(), entry.incarnation)));
        let known = self.delivered.get(&record.id);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return;
        }
        let republish_ms = OutageSettings::default().republish_ms;
        let until = self.recovered_at.map(|at| at + republish_ms).filter(|at| self.now < *at);
        let previous = known.and_then(|known| known.entry.clone());
        let previous =
            previous.or_else(|| self.expiring.get(&record.id).map(|(entry, _)| entry.clone()));
        self.expiring.remove(&record.id);
        match (&record.entry, previous) {
            (None, Some(entry)) if !self.is_drained(&entry) => {
                self.expiring.extend(until.map(|until| (record.id.clone(), (entry, until))));
            }
            _ => {}
        }
        self.delivered.insert(record.id.clone(), record.clone());
    }

    fn is_drained(&self, entry: &TargetEntry) -> bool {
        let newer = (entry.id.clone(), entry.incarnation)..=(entry.id.clone(), u64::MAX);
        self.drained.range(newer).next().is_some()
    }

    /// Returns the current content and revision of the source.
    fn listing(&self) -> (Vec<TargetRecord>, u64) {
        let mut newest = BTreeMap::new();
        for record in &self.written {
            newest.insert(record.id.clone(), record.clone());
        }
        let records = newest.into_values().filter(|record| record.entry.is_some()).collect();
        (records, self.written.len() as u64)
    }

    fn serving(&self) -> BTreeSet<(Name, u64)> {
        let delivered = self.delivered.values().filter_map(|record| record.entry.clone());
        let expiring = self.expiring.values();
        let expiring = expiring
            .filter(|(_, until)| self.now < *until || self.lost_at.is_some_and(|at| at < *until))
            .map(|(entry, _)| entry.clone());
        let usable = delivered.chain(expiring).filter(|entry| !self.is_drained(entry));
        usable.map(|entry| (entry.id, entry.incarnation)).collect()
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let state = prop_oneof![
            4 => Just(Some(TargetState::Serving)),
            1 => Just(Some(TargetState::Draining)),
            2 => Just(None),
        ];
        prop_oneof![
            6 => (0..TARGETS, 1u64..3, state).prop_map(|(target, incarnation, state)| {
                Transition::Write { target, incarnation, state }
            }),
            8 => any::<prop::sample::Index>().prop_map(|record| Transition::Deliver { record }),
            1 => Just(Transition::DeliverListing),
            1 => Just(Transition::LoseSource),
            1 => Just(Transition::ReachSource),
            1 => Just(Transition::ReadByPeer),
            2 => (1u64..1_500).prop_map(|ms| Transition::Wait { ms }),
        ]
        .boxed()
    }

    fn apply(mut oracle: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Write { target, incarnation, state } => {
                let record = written(*target, *incarnation, *state, oracle.written.len());
                oracle.written.push(record);
            }
            Transition::Deliver { record } => {
                if !oracle.written.is_empty() {
                    let record = record.get(&oracle.written).clone();
                    oracle.deliver(&record);
                }
            }
            Transition::DeliverListing => {
                let (records, revision) = oracle.listing();
                let listed: BTreeSet<Name> = records.iter().map(|r| r.id.clone()).collect();
                let missing: Vec<Name> = oracle
                    .delivered
                    .values()
                    .filter(|record| record.entry.is_some() && record.revision < revision)
                    .map(|record| record.id.clone())
                    .filter(|id| !listed.contains(id))
                    .collect();
                records.iter().for_each(|record| oracle.deliver(record));
                for id in missing {
                    oracle.deliver(&TargetRecord { id, entry: None, revision });
                }
            }
            Transition::LoseSource => oracle.lost_at = oracle.lost_at.or(Some(oracle.now)),
            Transition::ReachSource => {
                let settings = OutageSettings::default();
                let lost_at = oracle.lost_at.take();
                let since = oracle.responded_at.replace(oracle.now).or(lost_at);
                let was_long = since.is_some_and(|at| oracle.now - at >= settings.min_outage_ms);
                if let Some(lost_at) = lost_at.filter(|_| was_long) {
                    oracle.recovered_at = Some(oracle.now);
                    let until = oracle.now + settings.republish_ms;
                    let expiring = oracle.expiring.values_mut();
                    expiring.filter(|(_, at)| *at > lost_at).for_each(|(_, at)| *at = until);
                }
            }
            Transition::ReadByPeer => {
                oracle.lost_at = None;
                oracle.responded_at = Some(oracle.now);
            }
            Transition::Wait { ms } => oracle.now += ms,
        }
        oracle
    }
}

fn written(
    target: usize,
    incarnation: u64,
    state: Option<TargetState>,
    previous_count: usize,
) -> TargetRecord {
    let id: Name = format!("t{target}").into();
    let entry = state.map(|state| entry(&id, incarnation, state));
    TargetRecord { id, entry, revision: previous_count as u64 + 1 }
}

struct RegistryTest;

impl StateMachineTest for RegistryTest {
    type SystemUnderTest = TargetRegistry;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> TargetRegistry {
        TargetRegistry::new(RegistrySettings::default())
    }

    fn apply(
        mut registry: TargetRegistry,
        oracle: &Oracle,
        transition: Transition,
    ) -> TargetRegistry {
        let now = oracle.now;
        match transition {
            Transition::Write { .. } | Transition::Wait { .. } => {}
            Transition::Deliver { record } => {
                if !oracle.written.is_empty() {
                    registry.merge(record.get(&oracle.written).clone(), now);
                }
            }
            Transition::DeliverListing => {
                let (records, revision) = oracle.listing();
                registry.merge_listing(records, revision, now);
            }
            Transition::LoseSource => registry.record_source_lost(now),
            Transition::ReachSource => {
                registry.record_source_reached(now);
            }
            Transition::ReadByPeer => registry.record_source_read_by_peer(0, now),
        }
        registry
    }

    fn check_invariants(registry: &TargetRegistry, oracle: &Oracle) {
        let serving: BTreeSet<(Name, u64)> = registry
            .serving(SERVICE, oracle.now)
            .map(|entry| (entry.id.clone(), entry.incarnation))
            .collect();
        assert_eq!(serving, oracle.serving(), "at {} ms", oracle.now);
        assert!(serving.iter().all(|target| !oracle.drained.contains(target)));
    }
}

#[test]
fn registry_serves_the_same_targets_as_the_oracle() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&SEED.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Oracle::sequential_strategy(1..80usize);
    let result = runner.run(&strategy, |(oracle, transitions, counter)| {
        RegistryTest::test_sequential(config.clone(), oracle, transitions, counter);
        Ok(())
    });
    result.unwrap();
}
