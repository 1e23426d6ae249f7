//! Stateful property test of evacuated failure domains against a simple oracle: records in any
//! order and number, listings, watches, messages between two instances, restarts, and a source
//! that is restored from a copy.
//!
//! Guards against requests to an evacuated domain, and against an evacuation that does not end.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use base::Name;
use common::{SERVICE, entry};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use target::{
    DomainRecord, ERA_REVISIONS, RegistrySettings, TargetEntry, TargetRecord, TargetRegistry,
    TargetState,
};

const DOMAINS: usize = 3;
const INSTANCES: usize = 2;
const SEED: u64 = 55_001;
/// Time in milliseconds for which a restored source does not end an evacuation that it lacks, and
/// that after which it has.
const MIN_HOLD_MS: u64 = 2_000;
const MAX_HOLD_MS: u64 = 3_000;

#[derive(Clone, Debug)]
enum Transition {
    Put { domain: usize },
    Remove { domain: usize },
    Copy,
    Restore,
    List { instance: usize },
    Watch { instance: usize },
    Deliver { instance: usize, record: Index },
    Tell { from: usize },
    Start { instance: usize },
    Expire { instance: usize },
    Wait { ms: u64 },
}

type Domains = BTreeSet<usize>;

/// What an instance was told.
#[derive(Clone, Debug, Default)]
struct Knowledge {
    /// All changes up to this revision.
    complete: u64,
    /// Single records beyond it.
    single: BTreeMap<u64, (usize, bool)>,
    era: u64,
    entered_at: u64,
    /// Domains that were evacuated when the era was learned.
    before: Domains,
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    now: u64,
    revision: u64,
    /// Changes in order of their revisions. Those of an era begin with all of its copy.
    written: Vec<(u64, usize, bool)>,
    copy: (u64, Domains),
    instances: [Knowledge; INSTANCES],
    /// When an instance first learned of an era.
    learned: BTreeMap<u64, u64>,
}

impl Oracle {
    fn write(&mut self, domain: usize, is_evacuated: bool) {
        self.revision += 1;
        self.written.push((self.revision, domain, is_evacuated));
    }

    /// Returns the domains that the source evacuates at a revision.
    fn at(&self, revision: u64) -> Domains {
        let era = revision / ERA_REVISIONS;
        let mut domains = Domains::new();
        for (at, domain, is_evacuated) in &self.written {
            if *at <= revision && at / ERA_REVISIONS == era {
                if *is_evacuated {
                    domains.insert(*domain)
                } else {
                    domains.remove(domain)
                };
            }
        }
        domains
    }

    /// Returns the listing of the source: each key has the revision of its last write.
    fn listing(&self) -> Vec<DomainRecord> {
        let last = |domain: usize| {
            let era = self.revision / ERA_REVISIONS;
            let written =
                self.written.iter().rfind(|(at, of, _)| *of == domain && at / ERA_REVISIONS == era);
            written.copied()
        };
        let last = (0..DOMAINS).filter_map(last).filter(|(_, _, is_evacuated)| *is_evacuated);
        last.map(record).collect()
    }

    fn changes_since(&self, revision: u64) -> Vec<DomainRecord> {
        self.written.iter().filter(|(at, ..)| *at > revision).copied().map(record).collect()
    }

    /// Whether an instance that has read up to `revision` must list.
    fn must_list(&self, revision: u64) -> bool {
        revision == 0 || revision / ERA_REVISIONS != self.revision / ERA_REVISIONS
    }

    fn learn_era(&mut self, instance: usize, revision: u64) {
        let era = revision / ERA_REVISIONS;
        if era > self.instances[instance].era {
            let before = self.must_be_evacuated(instance);
            let known = &mut self.instances[instance];
            (known.era, known.entered_at, known.before) = (era, self.now, before);
            self.learned.entry(era).or_insert(self.now);
        }
    }

    fn complete(&mut self, instance: usize, revision: u64) {
        self.learn_era(instance, revision);
        let known = &mut self.instances[instance];
        known.complete = known.complete.max(revision);
    }

    /// Returns what the records of the newest known era say: what is complete, and the single
    /// records beyond it.
    fn told(&self, instance: usize) -> Domains {
        let known = &self.instances[instance];
        let is_complete = known.complete / ERA_REVISIONS == known.era;
        let mut domains = if is_complete { self.at(known.complete) } else { Domains::new() };
        for (revision, (domain, is_evacuated)) in &known.single {
            if *revision > known.complete && revision / ERA_REVISIONS == known.era {
                if *is_evacuated {
                    domains.insert(*domain)
                } else {
                    domains.remove(domain)
                };
            }
        }
        domains
    }

    fn must_be_evacuated(&self, instance: usize) -> Domains {
        let known = &self.instances[instance];
        let mut domains = self.told(instance);
        let learned_at = self.learned.get(&known.era);
        if learned_at.is_some_and(|at| self.now < at + MIN_HOLD_MS) {
            // A domain that was ever removed may have been so after the instance learned of it.
            let is_removed = |domain: &usize| {
                self.written.iter().any(|(_, of, is_evacuated)| of == domain && !is_evacuated)
            };
            domains.extend(known.before.iter().filter(|domain| !is_removed(domain)));
        }
        domains
    }

    fn may_be_evacuated(&self, instance: usize) -> Domains {
        let known = &self.instances[instance];
        let mut domains = self.told(instance);
        if known.era > 0 && self.now < known.entered_at + MAX_HOLD_MS {
            let earlier = self
                .written
                .iter()
                .filter(|(at, _, is_evacuated)| *is_evacuated && at / ERA_REVISIONS < known.era);
            domains.extend(earlier.map(|(_, domain, _)| *domain));
        }
        domains
    }
}

fn record((revision, domain, is_evacuated): (u64, usize, bool)) -> DomainRecord {
    DomainRecord { domain: name(domain), is_evacuated, revision }
}

fn name(domain: usize) -> Name {
    format!("d{domain}").into()
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let domain = 0..DOMAINS;
        let instance = 0..INSTANCES;
        prop_oneof![
            4 => domain.clone().prop_map(|domain| Transition::Put { domain }),
            1 => domain.prop_map(|domain| Transition::Remove { domain }),
            1 => Just(Transition::Copy),
            1 => Just(Transition::Restore),
            2 => instance.clone().prop_map(|instance| Transition::List { instance }),
            4 => instance.clone().prop_map(|instance| Transition::Watch { instance }),
            4 => (instance.clone(), any::<Index>())
                .prop_map(|(instance, record)| Transition::Deliver { instance, record }),
            3 => instance.clone().prop_map(|from| Transition::Tell { from }),
            1 => instance.clone().prop_map(|instance| Transition::Start { instance }),
            1 => instance.prop_map(|instance| Transition::Expire { instance }),
            3 => (1u64..1_200).prop_map(|ms| Transition::Wait { ms }),
        ]
        .boxed()
    }

    fn apply(mut oracle: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Put { domain } => oracle.write(*domain, true),
            Transition::Remove { domain } => {
                if oracle.at(oracle.revision).contains(domain) {
                    oracle.write(*domain, false);
                }
            }
            Transition::Copy => {
                let revision = oracle.revision % ERA_REVISIONS;
                oracle.copy = (revision, oracle.at(oracle.revision));
            }
            Transition::Restore => {
                let (revision, domains) = oracle.copy.clone();
                let era = (oracle.revision / ERA_REVISIONS + 1) * ERA_REVISIONS;
                oracle.revision = era + revision;
                oracle.written.extend(domains.into_iter().map(|domain| (era, domain, true)));
            }
            Transition::List { instance } | Transition::Watch { instance } => {
                oracle.complete(*instance, oracle.revision);
            }
            Transition::Deliver { instance, record } => {
                if !oracle.written.is_empty() {
                    let (revision, domain, is_evacuated) = *record.get(&oracle.written);
                    oracle.learn_era(*instance, revision);
                    let single = &mut oracle.instances[*instance].single;
                    single.insert(revision, (domain, is_evacuated));
                }
            }
            Transition::Tell { from } => {
                let to = 1 - from;
                let told = oracle.instances[*from].clone();
                oracle.learn_era(to, told.era * ERA_REVISIONS);
                oracle.complete(to, told.complete);
                oracle.instances[to].single.extend(told.single);
            }
            Transition::Start { instance } => {
                oracle.instances[*instance] = Knowledge::default();
            }
            Transition::Expire { .. } => {}
            Transition::Wait { ms } => oracle.now += ms,
        }
        oracle
    }
}

struct EvacuationTest;

/// Returns the entry of the target in a domain.
fn target_entry(domain: usize) -> TargetEntry {
    let name = name(domain);
    TargetEntry { failure_domain: name.clone(), ..entry(&name, 1, TargetState::Serving) }
}

fn start() -> TargetRegistry {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    for domain in 0..DOMAINS {
        let entry = Some(target_entry(domain));
        registry.merge(TargetRecord { id: name(domain), entry, revision: 1 }, 0);
    }
    registry
}

impl StateMachineTest for EvacuationTest {
    type SystemUnderTest = Vec<TargetRegistry>;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Vec<TargetRegistry> {
        (0..INSTANCES).map(|_| start()).collect()
    }

    fn apply(
        mut registries: Vec<TargetRegistry>,
        oracle: &Oracle,
        transition: Transition,
    ) -> Vec<TargetRegistry> {
        let now = oracle.now;
        match transition {
            Transition::Put { .. }
            | Transition::Remove { .. }
            | Transition::Copy
            | Transition::Restore
            | Transition::Wait { .. } => {}
            Transition::List { instance } => {
                let registry = &mut registries[instance];
                registry.merge_domain_listing(oracle.listing(), oracle.revision, now);
            }
            Transition::Watch { instance } => {
                let registry = &mut registries[instance];
                let after = registry.domains_revision();
                if oracle.must_list(after) {
                    registry.merge_domain_listing(oracle.listing(), oracle.revision, now);
                } else {
                    for record in oracle.changes_since(after) {
                        registry.merge_domain(record, now);
                    }
                    registry.advance_domains(oracle.revision);
                }
            }
            Transition::Deliver { instance, record: index } => {
                if !oracle.written.is_empty() {
                    let delivered = record(*index.get(&oracle.written));
                    registries[instance].merge_domain(delivered, now);
                }
            }
            Transition::Tell { from } => {
                let listing = registries[from].domain_listing(now);
                registries[1 - from].merge_peer_domains(listing.clone(), now);
                // A message may come twice.
                registries[1 - from].merge_peer_domains(listing, now);
            }
            Transition::Start { instance } => registries[instance] = start(),
            Transition::Expire { instance } => drop(registries[instance].expire_domains(now)),
        }
        registries
    }

    fn check_invariants(registries: &Vec<TargetRegistry>, oracle: &Oracle) {
        let now = oracle.now;
        for (instance, registry) in registries.iter().enumerate() {
            let serving: BTreeSet<Name> =
                registry.serving(SERVICE, now).map(|entry| entry.id.clone()).collect();
            let must = oracle.must_be_evacuated(instance);
            let may = oracle.may_be_evacuated(instance);
            for domain in 0..DOMAINS {
                let is_served = serving.contains(&name(domain));
                let told = &oracle.instances[instance];
                assert!(!(is_served && must.contains(&domain)), "{domain} is served: {told:?}");
                assert!(is_served || may.contains(&domain), "{domain} is not served: {told:?}");
                let selected = target_entry(domain);
                assert_eq!(registry.may_serve(&selected, now), is_served);
            }
        }
    }
}

#[test]
fn evacuated_domains_are_those_of_the_oracle() {
    let config = Config { cases: 1_500, failure_persistence: None, ..Config::default() };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&SEED.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Oracle::sequential_strategy(1..60usize);
    let result = runner.run(&strategy, |(oracle, transitions, counter)| {
        EvacuationTest::test_sequential(config.clone(), oracle, transitions, counter);
        Ok(())
    });
    result.unwrap();
}
