//! Stateful fuzzing of the registry against a simple oracle: records in any
//! order and number, losses of the source, restarts under an old id, and time.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use base::Name;
use common::{SERVICE, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use target::{RegistrySettings, TargetEntry, TargetRecord, TargetRegistry, TargetState};

const TARGETS: usize = 4;
const SEED: u64 = 20_301;

#[derive(Clone, Debug)]
enum Transition {
    /// The source writes a record; it is not yet heard.
    Write {
        target: usize,
        incarnation: u64,
        state: Option<TargetState>,
    },
    /// One of the records written so far is heard.
    Hear {
        record: prop::sample::Index,
    },
    /// A whole listing of the source is heard.
    List,
    Lose,
    Reach,
    Follow,
    Wait {
        ms: u64,
    },
}

/// The source, and what a registry that heard the same has to serve.
#[derive(Clone, Debug, Default)]
struct Oracle {
    now: u64,
    written: Vec<TargetRecord>,
    /// Newest record heard of each target.
    heard: BTreeMap<Name, TargetRecord>,
    drained: BTreeSet<(Name, u64)>,
    /// Entries that were removed while they may return, and until when.
    lapsed: BTreeMap<Name, (TargetEntry, u64)>,
    is_away: bool,
    back_at: Option<u64>,
}

impl Oracle {
    fn hear(&mut self, record: &TargetRecord) {
        let known = self.heard.get(&record.id);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return;
        }
        let republish_ms = RegistrySettings::default().republish_ms;
        let may_return =
            self.is_away || self.back_at.is_some_and(|at| self.now < at + republish_ms);
        let before = known.and_then(|known| known.entry.clone());
        let before = before.or_else(|| self.lapsed.get(&record.id).map(|(entry, _)| entry.clone()));
        self.lapsed.remove(&record.id);
        match (&record.entry, before) {
            (Some(entry), _) if entry.state == TargetState::Draining => {
                self.drained.insert((entry.id.clone(), entry.incarnation));
            }
            (None, Some(entry)) if may_return && !self.is_drained(&entry) => {
                let until = self.back_at.unwrap_or(self.now) + republish_ms;
                self.lapsed.insert(record.id.clone(), (entry, until));
            }
            _ => {}
        }
        self.heard.insert(record.id.clone(), record.clone());
    }

    fn is_drained(&self, entry: &TargetEntry) -> bool {
        self.drained.contains(&(entry.id.clone(), entry.incarnation))
    }

    /// What the source holds now.
    fn listing(&self) -> (Vec<TargetRecord>, u64) {
        let mut newest = BTreeMap::new();
        for record in &self.written {
            newest.insert(record.id.clone(), record.clone());
        }
        let records = newest.into_values().filter(|record| record.entry.is_some()).collect();
        (records, self.written.len() as u64)
    }

    fn serving(&self) -> BTreeSet<(Name, u64)> {
        let heard = self.heard.values().filter_map(|record| record.entry.clone());
        let lapsed = self.lapsed.values();
        let lapsed = lapsed
            .filter(|(_, until)| self.is_away || self.now < *until)
            .map(|(entry, _)| entry.clone());
        let usable = heard.chain(lapsed).filter(|entry| !self.is_drained(entry));
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
            8 => any::<prop::sample::Index>().prop_map(|record| Transition::Hear { record }),
            1 => Just(Transition::List),
            1 => Just(Transition::Lose),
            1 => Just(Transition::Reach),
            1 => Just(Transition::Follow),
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
            Transition::Hear { record } => {
                if !oracle.written.is_empty() {
                    let record = record.get(&oracle.written).clone();
                    oracle.hear(&record);
                }
            }
            Transition::List => {
                let (records, revision) = oracle.listing();
                let listed: BTreeSet<Name> = records.iter().map(|r| r.id.clone()).collect();
                let missing: Vec<Name> = oracle
                    .heard
                    .values()
                    .filter(|record| record.entry.is_some() && record.revision < revision)
                    .map(|record| record.id.clone())
                    .filter(|id| !listed.contains(id))
                    .collect();
                records.iter().for_each(|record| oracle.hear(record));
                for id in missing {
                    oracle.hear(&TargetRecord { id, entry: None, revision });
                }
            }
            Transition::Lose => oracle.is_away = true,
            Transition::Reach => {
                if std::mem::take(&mut oracle.is_away) {
                    oracle.back_at = Some(oracle.now);
                }
            }
            Transition::Follow => oracle.is_away = false,
            Transition::Wait { ms } => oracle.now += ms,
        }
        oracle
    }
}

fn written(
    target: usize,
    incarnation: u64,
    state: Option<TargetState>,
    before: usize,
) -> TargetRecord {
    let id: Name = format!("t{target}").into();
    let entry = state.map(|state| entry(&id, incarnation, state));
    TargetRecord { id, entry, revision: before as u64 + 1 }
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
            Transition::Hear { record } => {
                if !oracle.written.is_empty() {
                    registry.merge(record.get(&oracle.written).clone(), now);
                }
            }
            Transition::List => {
                let (records, revision) = oracle.listing();
                registry.merge_listing(records, revision, now);
            }
            Transition::Lose => registry.source_lost(),
            Transition::Reach => {
                registry.source_reached(now);
            }
            Transition::Follow => registry.source_read_by_peer(),
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
fn the_registry_serves_what_the_oracle_says() {
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
