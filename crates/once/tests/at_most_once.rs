//! Property test of idempotency keys against a record of the executed calls.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Origin};
use once::{KEY_LIFETIME, KeyDecision, KeyOutcome, KeyStore};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 3;
/// Digest of the call that every key is used for.
const CALL_DIGEST: u64 = 7;

#[derive(Clone, Debug)]
enum Step {
    Issue {
        router: usize,
    },
    /// A call under a key, first or repeated, arrives at a router.
    Arrive {
        router: usize,
        key: usize,
    },
    /// The `nth` running call ends.
    End {
        nth: usize,
        outcome: u8,
    },
    /// A router restarts with empty memory. Its running calls continue at the
    /// target, but nothing receives their responses.
    Restart {
        router: usize,
    },
    Tick {
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
            1 => prop_oneof![Just(1_000), Just(KEY_LIFETIME)].prop_map(|ms| Step::Tick { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Routers with their key stores, and the calls as the target saw them.
struct Simulation {
    stores: Vec<KeyStore>,
    origins: Vec<Origin>,
    last_incarnation: u64,
    now: Millis,
    keys: Vec<Name>,
    /// Router, its incarnation and key of each running call.
    running: Vec<(usize, u64, Name)>,
    /// Number of executions at the target, by key.
    runs: BTreeMap<Name, u32>,
    answered: BTreeSet<Name>,
    /// Keys for which a caller was told that they will never run.
    sealed: BTreeSet<Name>,
}

impl Simulation {
    fn arrive(&mut self, router: usize, key: &Name) {
        let account = Name::from("a");
        let decision = self.stores[router].begin(key, &account, CALL_DIGEST, self.now);
        let decision = match decision {
            KeyDecision::Foreign(origin) => {
                let owner = self.origins.iter().position(|known| *known == origin);
                // The incarnation that issued the key is gone, so the outcome is
                // unknown.
                let Some(owner) = owner else { return };
                self.stores[owner].query_or_seal(key, &account, self.now)
            }
            decision => decision,
        };
        match decision {
            KeyDecision::Run => {
                assert!(
                    !self.sealed.contains(key),
                    "ran after a caller was told that it never runs"
                );
                *self.runs.entry(Name::clone(key)).or_default() += 1;
                assert_eq!(self.runs[key], 1, "ran twice");
                let incarnation = self.origins[router].incarnation;
                self.running.push((router, incarnation, Name::clone(key)));
            }
            KeyDecision::Sealed => {
                assert!(
                    !self.runs.contains_key(key),
                    "caller was told that it did not run, but it did"
                );
                self.sealed.insert(Name::clone(key));
            }
            KeyDecision::Ended(KeyOutcome::Answered { .. }) => {
                assert!(
                    self.answered.contains(key),
                    "caller got a response that the target did not give"
                );
            }
            KeyDecision::Ended(KeyOutcome::NotRun) => panic!("record of a call not run was kept"),
            _ => {}
        }
    }

    fn end(&mut self, nth: usize, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let (router, incarnation, key) = self.running.remove(nth % self.running.len());
        if self.origins[router].incarnation != incarnation {
            return;
        }
        let outcome = match outcome {
            0 => KeyOutcome::Unknown,
            // The call was refused before it was sent, so it did not run.
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
        self.stores[router].end(&key, outcome);
    }

    fn restart(&mut self, router: usize) {
        self.last_incarnation += 1;
        self.origins[router].incarnation = self.last_incarnation;
        self.stores[router] = KeyStore::new(self.origins[router].clone());
    }
}

struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = Simulation;
    type Reference = AnyHistory;

    fn init_test((): &()) -> Simulation {
        let origin = |index: usize| Origin {
            instance: format!("r{index}").into(),
            incarnation: index as u64,
        };
        let origins: Vec<Origin> = (0..ROUTERS).map(origin).collect();
        Simulation {
            stores: origins.iter().cloned().map(KeyStore::new).collect(),
            origins,
            last_incarnation: 100,
            now: 0,
            keys: Vec::new(),
            running: Vec::new(),
            runs: BTreeMap::new(),
            answered: BTreeSet::new(),
            sealed: BTreeSet::new(),
        }
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        match step {
            Step::Issue { router } => {
                let key = simulation.stores[router].issue(simulation.now);
                assert!(!simulation.keys.contains(&key), "issued twice");
                simulation.keys.push(key);
            }
            Step::Arrive { router, key } => {
                if let Some(key) = simulation.keys.iter().rev().nth(key).cloned() {
                    simulation.arrive(router, &key);
                }
            }
            Step::End { nth, outcome } => simulation.end(nth, outcome),
            Step::Restart { router } => simulation.restart(router),
            Step::Tick { ms } => simulation.now += ms,
        }
        simulation
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
    fn a_key_runs_at_most_once_and_not_run_answers_are_correct(sequential 1..80 => AtMostOnce);
}
