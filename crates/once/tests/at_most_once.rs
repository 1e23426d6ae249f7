//! Stateful fuzzing of idempotency keys against a list of what ran.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Origin};
use once::{KEY_LIFETIME, KeyDecision, KeyOutcome, KeyStore};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 3;
const CALL: u64 = 7;

#[derive(Clone, Debug)]
enum Step {
    Issue {
        router: usize,
    },
    /// A copy of the call under a key arrives at a router.
    Arrive {
        router: usize,
        key: usize,
    },
    /// The first running call ends.
    End {
        nth: usize,
        outcome: u8,
    },
    /// A router starts again with empty memory; its running calls go on at
    /// the target, unheard.
    Restart {
        router: usize,
    },
    Pass {
        ms: Millis,
    },
}

#[derive(Clone, Debug)]
struct AnyHistory;

impl ReferenceStateMachine for AnyHistory {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            3 => (0..ROUTERS).prop_map(|router| Step::Issue { router }),
            10 => (0..ROUTERS, 0..8_usize).prop_map(|(router, key)| Step::Arrive { router, key }),
            6 => (0..4_usize, 0..3_u8).prop_map(|(nth, outcome)| Step::End { nth, outcome }),
            1 => (0..ROUTERS).prop_map(|router| Step::Restart { router }),
            1 => prop_oneof![Just(1_000), Just(KEY_LIFETIME)].prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Routers with their rings, and what the service saw.
struct Service {
    rings: Vec<KeyStore>,
    origins: Vec<Origin>,
    lives: u64,
    now: Millis,
    keys: Vec<Name>,
    running: Vec<(usize, u64, Name)>,
    /// Runs that reached the target, by key.
    runs: BTreeMap<Name, u32>,
    answered: BTreeSet<Name>,
    /// Keys of which a caller heard that they never run.
    sealed: BTreeSet<Name>,
}

impl Service {
    fn arrive(&mut self, router: usize, key: &Name) {
        let account = Name::from("a");
        let start = self.rings[router].begin(key, &account, CALL, self.now);
        let start = match start {
            KeyDecision::Foreign(origin) => {
                let owner = self.origins.iter().position(|known| *known == origin);
                // The life that issued the key is gone: unknown.
                let Some(owner) = owner else { return };
                self.rings[owner].query_or_seal(key, &account, self.now)
            }
            start => start,
        };
        match start {
            KeyDecision::Run => {
                assert!(!self.sealed.contains(key), "ran after it was said never to run");
                *self.runs.entry(Name::clone(key)).or_default() += 1;
                assert_eq!(self.runs[key], 1, "ran twice");
                let life = self.origins[router].incarnation;
                self.running.push((router, life, Name::clone(key)));
            }
            KeyDecision::Sealed => {
                assert!(!self.runs.contains_key(key), "said not to have run, though it did");
                self.sealed.insert(Name::clone(key));
            }
            KeyDecision::Ended(KeyOutcome::Answered { .. }) => {
                assert!(self.answered.contains(key), "told an answer that nobody gave");
            }
            KeyDecision::Ended(KeyOutcome::NotRun) => {
                panic!("a call that did not run is forgotten")
            }
            _ => {}
        }
    }

    fn end(&mut self, nth: usize, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let (router, life, key) = self.running.remove(nth % self.running.len());
        if self.origins[router].incarnation != life {
            return;
        }
        let outcome = match outcome {
            0 => KeyOutcome::Unknown,
            // Refused before it was sent: it did not run after all.
            1 => KeyOutcome::NotRun,
            _ => KeyOutcome::Answered { status: 200, body: key.as_bytes().to_vec() },
        };
        match &outcome {
            KeyOutcome::NotRun => {
                self.runs.remove(&key);
            }
            KeyOutcome::Answered { .. } => {
                self.answered.insert(Name::clone(&key));
            }
            KeyOutcome::Unknown => {}
        }
        self.rings[router].end(&key, outcome);
    }

    fn restart(&mut self, router: usize) {
        self.lives += 1;
        self.origins[router].incarnation = self.lives;
        self.rings[router] = KeyStore::new(self.origins[router].clone());
    }
}

struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = Service;
    type Reference = AnyHistory;

    fn init_test((): &()) -> Service {
        let origin = |index: usize| Origin {
            instance: format!("r{index}").into(),
            incarnation: index as u64,
        };
        let origins: Vec<Origin> = (0..ROUTERS).map(origin).collect();
        Service {
            rings: origins.iter().cloned().map(KeyStore::new).collect(),
            origins,
            lives: 100,
            now: 0,
            keys: Vec::new(),
            running: Vec::new(),
            runs: BTreeMap::new(),
            answered: BTreeSet::new(),
            sealed: BTreeSet::new(),
        }
    }

    fn apply(mut service: Service, (): &(), step: Step) -> Service {
        match step {
            Step::Issue { router } => {
                let key = service.rings[router].issue(service.now);
                assert!(!service.keys.contains(&key), "issued twice");
                service.keys.push(key);
            }
            Step::Arrive { router, key } => {
                if let Some(key) = service.keys.iter().rev().nth(key).cloned() {
                    service.arrive(router, &key);
                }
            }
            Step::End { nth, outcome } => service.end(nth, outcome),
            Step::Restart { router } => service.restart(router),
            Step::Pass { ms } => service.now += ms,
        }
        service
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_262),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_key_runs_twice_and_not_run_is_true(sequential 1..80 => AtMostOnce);
}
