//! Stateful property test of what responses say of their targets, against a simple oracle:
//! targets that leave by their own word, and targets that turn requests away for a time.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use base::Name;
use common::{SERVICE, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use target::{
    BackoffSettings, LeavingOrigin, RegistrySettings, TargetBackoffs, TargetEntry, TargetRecord,
    TargetRegistry, TargetState,
};

const TARGETS: usize = 3;
const SEED: u64 = 38_001;
const ROUTER: u64 = 7;

#[derive(Clone, Debug)]
enum Transition {
    /// The source writes an entry of an incarnation, or removes it.
    Publish {
        target: usize,
        incarnation: u64,
        is_listed: bool,
    },
    /// A response or a peer says that an incarnation leaves.
    Leaves {
        target: usize,
        incarnation: u64,
        by_peer: bool,
    },
    /// The target turns a request away and wants none for a time.
    TurnsAway {
        target: usize,
        named_ms: u64,
    },
    /// A request is written to the target, if that is allowed.
    Send {
        target: usize,
    },
    /// The target accepts the request that was written to it last.
    Accepts {
        target: usize,
    },
    Wait {
        ms: u64,
    },
}

/// A time that a target named, and the trials after it.
#[derive(Clone, Copy, Debug)]
struct Closed {
    /// Until when the target wants nothing. Routers may wait for longer.
    asked_until: u64,
    /// Latest time at which the router has to try the target again.
    latest: u64,
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    now: u64,
    revision: u64,
    published: BTreeMap<usize, u64>,
    left: BTreeSet<(usize, u64)>,
    closed: BTreeMap<(usize, u64), Closed>,
    /// When a request was last written to each incarnation.
    sent_at: BTreeMap<(usize, u64), u64>,
}

impl Oracle {
    fn current(&self, target: usize) -> Option<(usize, u64)> {
        self.published.get(&target).map(|incarnation| (target, *incarnation))
    }

    /// Whether this incarnation left or is older than one that did.
    fn has_left(&self, key: (usize, u64)) -> bool {
        self.left.range(key..=(key.0, u64::MAX)).next().is_some()
    }

    /// Whether a request to the target would break what the target asked for.
    fn is_forbidden(&self, key: (usize, u64)) -> bool {
        self.has_left(key)
            || self.closed.get(&key).is_some_and(|closed| self.now < closed.asked_until)
    }

    /// Whether the target has to be used: it serves, and all that it named is long over.
    fn is_required(&self, key: (usize, u64)) -> bool {
        let trial_ms = BackoffSettings::default().trial_ms;
        let is_tried = self.sent_at.get(&key).is_some_and(|at| self.now < at + trial_ms);
        !self.has_left(key)
            && self.closed.get(&key).is_none_or(|closed| self.now >= closed.latest && !is_tried)
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let named_ms = prop_oneof![Just(0), 1u64..100, 100u64..5_000, Just(u64::MAX)];
        prop_oneof![
            4 => (0..TARGETS, 1u64..3, prop::bool::weighted(0.8)).prop_map(
                |(target, incarnation, is_listed)| {
                    Transition::Publish { target, incarnation, is_listed }
                }
            ),
            1 => (0..TARGETS, 1u64..3, any::<bool>()).prop_map(|(target, incarnation, by_peer)| {
                Transition::Leaves { target, incarnation, by_peer }
            }),
            3 => (0..TARGETS, named_ms).prop_map(|(target, named_ms)| {
                Transition::TurnsAway { target, named_ms }
            }),
            4 => (0..TARGETS).prop_map(|target| Transition::Send { target }),
            2 => (0..TARGETS).prop_map(|target| Transition::Accepts { target }),
            4 => (1u64..2_500).prop_map(|ms| Transition::Wait { ms }),
        ]
        .boxed()
    }

    fn apply(mut oracle: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Publish { target, incarnation, is_listed } => {
                oracle.revision += 1;
                if *is_listed {
                    oracle.published.insert(*target, *incarnation);
                } else {
                    oracle.published.remove(target);
                }
            }
            Transition::Leaves { target, incarnation, .. } => {
                oracle.left.insert((*target, *incarnation));
            }
            Transition::TurnsAway { target, named_ms } => {
                let settings = BackoffSettings::default();
                let Some(key) = oracle.current(*target).filter(|_| *named_ms > 0) else {
                    return oracle;
                };
                let named_ms = (*named_ms).min(settings.max_ms);
                let extra_ms =
                    (named_ms as f64 * settings.spread).min(settings.max_spread_ms as f64) as u64;
                let now = oracle.now;
                let closed =
                    oracle.closed.entry(key).or_insert(Closed { asked_until: 0, latest: 0 });
                closed.asked_until = closed.asked_until.max(now + named_ms);
                closed.latest = closed.latest.max(now + named_ms + extra_ms);
                oracle.sent_at.remove(&key);
            }
            // Whether the registry allows the request depends on what the router adds to the
            // named time, so the trial is recorded as sent in any case.
            Transition::Send { target } => {
                if let Some(key) = oracle.current(*target) {
                    oracle.sent_at.insert(key, oracle.now);
                }
            }
            Transition::Accepts { target } => {
                if let Some(key) = oracle.current(*target) {
                    let is_trial = oracle.closed.get(&key).is_some_and(|closed| {
                        oracle.sent_at.get(&key).is_some_and(|at| *at >= closed.latest)
                    });
                    if is_trial {
                        oracle.closed.remove(&key);
                    }
                }
            }
            Transition::Wait { ms } => oracle.now += ms,
        }
        oracle
    }
}

fn target_entry(target: usize, incarnation: u64) -> TargetEntry {
    entry(&format!("t{target}"), incarnation, TargetState::Serving)
}

struct AnswersTest {
    registry: TargetRegistry,
    /// When the last request was written to each incarnation.
    sent_at: BTreeMap<(usize, u64), u64>,
}

impl StateMachineTest for AnswersTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let backoffs = TargetBackoffs::new(ROUTER, BackoffSettings::default());
        let registry = TargetRegistry::with_backoffs(RegistrySettings::default(), backoffs);
        Self { registry, sent_at: BTreeMap::new() }
    }

    fn apply(mut test: Self, oracle: &Oracle, transition: Transition) -> Self {
        let now = oracle.now;
        let registry = &mut test.registry;
        match transition {
            Transition::Publish { target, incarnation, is_listed } => {
                let id: Name = format!("t{target}").into();
                let entry = is_listed.then(|| target_entry(target, incarnation));
                registry.merge(TargetRecord { id, entry, revision: oracle.revision }, now);
            }
            Transition::Leaves { target, incarnation, by_peer } => {
                let origin = if by_peer { LeavingOrigin::Peer } else { LeavingOrigin::Response };
                registry.record_leaving(&format!("t{target}").into(), incarnation, origin, now);
            }
            Transition::TurnsAway { target, named_ms } => {
                if let Some((_, incarnation)) = oracle.current(target) {
                    let entry = target_entry(target, incarnation);
                    let wait_ms = registry.backoffs().record_turned_away(&entry, named_ms, now);
                    let max_ms = BackoffSettings::default().max_ms;
                    assert!(wait_ms >= named_ms.min(max_ms), "{wait_ms} of {named_ms} ms");
                }
            }
            Transition::Send { target } => {
                if let Some(key) = oracle.current(target) {
                    let entry = target_entry(target, key.1);
                    if registry.may_serve(&entry, now) {
                        assert!(!oracle.is_forbidden(key), "a request to {key:?} at {now}");
                        registry.backoffs().record_sent(&entry, now);
                        test.sent_at.insert(key, now);
                    }
                }
            }
            Transition::Accepts { target } => {
                if let Some(key) = oracle.current(target)
                    && let Some(sent_at) = test.sent_at.get(&key)
                {
                    let entry = target_entry(target, key.1);
                    registry.backoffs().record_accepted(&entry, *sent_at);
                }
            }
            Transition::Wait { .. } => {}
        }
        test
    }

    fn check_invariants(test: &Self, oracle: &Oracle) {
        let serving: BTreeSet<(Name, u64)> = test
            .registry
            .serving(SERVICE, oracle.now)
            .map(|entry| (entry.id.clone(), entry.incarnation))
            .collect();
        for key in oracle.published.iter().map(|(target, incarnation)| (*target, *incarnation)) {
            let is_serving = serving.contains(&(format!("t{}", key.0).into(), key.1));
            assert!(!(is_serving && oracle.is_forbidden(key)), "{key:?} at {}", oracle.now);
            assert!(is_serving || !oracle.is_required(key), "{key:?} is unused at {}", oracle.now);
            let entry = target_entry(key.0, key.1);
            assert_eq!(test.registry.may_serve(&entry, oracle.now), is_serving);
        }
    }
}

#[test]
fn responses_close_targets_as_the_oracle_says() {
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&SEED.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Oracle::sequential_strategy(1..80usize);
    let result = runner.run(&strategy, |(oracle, transitions, counter)| {
        AnswersTest::test_sequential(config.clone(), oracle, transitions, counter);
        Ok(())
    });
    result.unwrap();
}
