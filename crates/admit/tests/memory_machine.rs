//! Stateful property test of the memory budget against a simple oracle: holds, growth
//! and returns of several accounts in any order.

use admit::{HoldKey, MemoryBudget, MemoryRefusal, MemorySettings};
use base::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const ACCOUNTS: usize = 12;
const LIMIT_BYTES: usize = 10_000;
const FULL_BYTES: usize = 9_000;
const RESUME_BYTES: usize = 8_000;
const SEED: u64 = 28_027;

#[derive(Clone, Debug)]
enum Transition {
    /// A request of an account; the last account stands for requests without one.
    Hold {
        account: usize,
        bytes: usize,
    },
    /// One of the requests so far, ended or not, holds more.
    Grow {
        request: prop::sample::Index,
        bytes: usize,
    },
    /// One of the requests so far, ended or not, ends.
    /// Holds bytes of the response to a request.
    Respond {
        request: prop::sample::Index,
        bytes: usize,
    },
    Release {
        request: prop::sample::Index,
    },
}

/// Every request so far with its account and bytes; the bytes are none once it ended.
#[derive(Clone, Debug, Default)]
struct Oracle {
    requests: Vec<(usize, Option<usize>)>,
    is_full: bool,
    /// What the last transition should return; none if it has no result.
    expected: Option<Result<(), MemoryRefusal>>,
}

impl Oracle {
    fn used(&self) -> usize {
        self.requests.iter().filter_map(|(_, bytes)| *bytes).sum()
    }

    fn held_by(&self, account: usize) -> usize {
        let own = self.requests.iter().filter(|(owner, _)| *owner == account);
        own.filter_map(|(_, bytes)| *bytes).sum()
    }

    fn check(&self, account: usize, bytes: usize) -> Result<(), MemoryRefusal> {
        let used = self.used() + bytes;
        if used > LIMIT_BYTES {
            return Err(MemoryRefusal::Full);
        }
        let is_over = self.held_by(account) + bytes > LIMIT_BYTES - used;
        if is_over { Err(MemoryRefusal::AccountLimit) } else { Ok(()) }
    }

    fn update_full(&mut self) {
        let used = self.used();
        self.is_full = used >= FULL_BYTES || (self.is_full && used > RESUME_BYTES);
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let bytes = prop_oneof![
            1 => Just(0usize),
            8 => 1usize..1_200,
            1 => LIMIT_BYTES / 2 - 1..LIMIT_BYTES + 2,
        ];
        let (growth, response) = (bytes.clone(), bytes.clone());
        let index = any::<prop::sample::Index>;
        prop_oneof![
            8 => (0..ACCOUNTS, bytes).prop_map(|(account, bytes)| {
                Transition::Hold { account, bytes }
            }),
            4 => (index(), growth).prop_map(|(request, bytes)| Transition::Grow { request, bytes }),
            2 => (index(), response)
                .prop_map(|(request, bytes)| Transition::Respond { request, bytes }),
            3 => index().prop_map(|request| Transition::Release { request }),
        ]
        .boxed()
    }

    fn apply(mut oracle: Self, transition: &Transition) -> Self {
        oracle.expected = None;
        match transition {
            Transition::Hold { account, bytes } => {
                let result = match oracle.is_full && oracle.held_by(*account) > 0 {
                    _ if *bytes == 0 => Ok(()),
                    true => Err(MemoryRefusal::Full),
                    false => oracle.check(*account, *bytes),
                };
                oracle.requests.push((*account, result.is_ok().then_some(*bytes)));
                oracle.expected = Some(result);
            }
            Transition::Grow { request, bytes } if !oracle.requests.is_empty() => {
                let index = request.index(oracle.requests.len());
                let (account, held) = oracle.requests[index];
                let result = match held {
                    Some(_) => oracle.check(account, *bytes),
                    None => Err(MemoryRefusal::Full),
                };
                if let (Ok(()), Some(held)) = (result, held) {
                    oracle.requests[index].1 = Some(held + bytes);
                }
                oracle.expected = Some(result);
            }
            Transition::Respond { request, bytes } if !oracle.requests.is_empty() => {
                let index = request.index(oracle.requests.len());
                let (account, held) = oracle.requests[index];
                let used = oracle.used() + bytes;
                let is_full = used as f64 > LIMIT_BYTES as f64 * MemorySettings::default().full_at;
                let result = match held {
                    None => Err(MemoryRefusal::Full),
                    // Of a full budget, a response gets no more than a body.
                    Some(_) if is_full => oracle.check(account, *bytes),
                    Some(_) => Ok(()),
                };
                if let (Ok(()), Some(held)) = (result, held) {
                    oracle.requests[index].1 = Some(held + bytes);
                }
                oracle.expected = Some(result);
            }
            Transition::Release { request } if !oracle.requests.is_empty() => {
                let index = request.index(oracle.requests.len());
                oracle.requests[index].1 = None;
            }
            Transition::Grow { .. } | Transition::Respond { .. } | Transition::Release { .. } => {}
        }
        oracle.update_full();
        oracle
    }
}

/// The budget, with the key of every request so far; default keys were refused.
struct BudgetTest {
    budget: MemoryBudget,
    keys: Vec<HoldKey>,
}

fn account(number: usize) -> Option<Name> {
    (number + 1 < ACCOUNTS).then(|| format!("account-{number}").into())
}

impl StateMachineTest for BudgetTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let settings = MemorySettings { limit_bytes: LIMIT_BYTES, ..MemorySettings::default() };
        Self { budget: MemoryBudget::new(settings), keys: Vec::new() }
    }

    fn apply(mut test: Self, oracle: &Oracle, transition: Transition) -> Self {
        let result = match transition {
            Transition::Hold { account: number, bytes } => {
                let result = test.budget.hold(account(number).as_ref(), bytes);
                test.keys.push(result.unwrap_or_default());
                Some(result.map(|_| ()))
            }
            Transition::Grow { request, bytes } if !test.keys.is_empty() => {
                Some(test.budget.grow(*request.get(&test.keys), bytes))
            }
            Transition::Respond { request, bytes } if !test.keys.is_empty() => {
                Some(test.budget.hold_response(*request.get(&test.keys), bytes))
            }
            Transition::Release { request } if !test.keys.is_empty() => {
                test.budget.release(*request.get(&test.keys));
                None
            }
            Transition::Grow { .. } | Transition::Respond { .. } | Transition::Release { .. } => {
                None
            }
        };
        assert_eq!(result, oracle.expected);
        test
    }

    fn check_invariants(test: &Self, oracle: &Oracle) {
        assert_eq!(test.budget.used(), oracle.used());
        assert!(test.budget.used() <= LIMIT_BYTES);
        assert_eq!(test.budget.is_full(), oracle.is_full, "{} bytes", oracle.used());
        check_no_starvation(test, oracle);
    }

    fn teardown(mut test: Self, _: Oracle) {
        for key in std::mem::take(&mut test.keys) {
            test.budget.release(key);
        }
        assert_eq!(test.budget.used(), 0);
        assert!(!test.budget.is_full());
        let half = LIMIT_BYTES / 2;
        assert!(test.budget.hold(account(0).as_ref(), half).is_ok(), "not all was returned");
    }
}

/// Checks that each account that holds nothing could hold half of what is left, even if
/// the budget is full.
fn check_no_starvation(test: &BudgetTest, oracle: &Oracle) {
    let body_bytes = (LIMIT_BYTES - oracle.used()) / 2;
    for number in (0..ACCOUNTS).filter(|number| oracle.held_by(*number) == 0) {
        let result = test.budget.clone().hold(account(number).as_ref(), body_bytes);
        assert!(result.is_ok(), "{body_bytes} bytes beside {} held: {result:?}", oracle.used());
    }
}

#[test]
fn budget_holds_the_same_bytes_as_the_oracle() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&SEED.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Oracle::sequential_strategy(1..120usize);
    let result = runner.run(&strategy, |(oracle, transitions, counter)| {
        BudgetTest::test_sequential(config.clone(), oracle, transitions, counter);
        Ok(())
    });
    result.unwrap();
}
