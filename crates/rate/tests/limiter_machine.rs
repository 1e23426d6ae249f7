//! Stateful property test of two rate limiters against a simple oracle: requests, permits
//! that are used, given back or late, and limits that change, in any order.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rate::{
    FleetView, LivePeer, PermitAsk, PermitDecision, RateKey, RateLimiter, RateSettings,
    RequestClass,
};

const SEED: u64 = 35_003;
const TARGET: &str = "target";
/// Longest time in milliseconds between two steps.
const MAX_STEP_MS: u64 = 400;

#[derive(Clone, Debug)]
enum Transition {
    Advance {
        ms: u64,
    },
    /// A response names a limit; `None` if it names none.
    Name {
        router: usize,
        limit: Option<u8>,
    },
    /// A request asks for a permit; the response of the other router comes later.
    Acquire {
        router: usize,
        is_spare: bool,
    },
    /// The oldest request for a permit gets its response; nobody may wait for it any more.
    Respond {
        is_abandoned: bool,
    },
    /// A permit that was granted is not used.
    GiveBack {
        router: usize,
    },
    /// The entry of the target is gone, or back.
    Entry {
        router: usize,
        is_present: bool,
    },
}

/// The largest number of requests that may be sent at any time, from the limits so far.
#[derive(Clone, Debug)]
struct Oracle {
    now: u64,
    /// Largest limit of all that any router may know, in requests per second.
    max_limit: f64,
    /// Requests that may have been sent since a limit was first named.
    budget: f64,
    is_limited: bool,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { now: 10_000, max_limit: 0.0, budget: 0.0, is_limited: false }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let router = 0usize..2;
        prop_oneof![
            3 => (1..MAX_STEP_MS).prop_map(|ms| Transition::Advance { ms }),
            1 => (router.clone(), prop::option::weighted(0.95, 0u8..40))
                .prop_map(|(router, limit)| Transition::Name { router, limit }),
            8 => (router.clone(), any::<bool>())
                .prop_map(|(router, is_spare)| Transition::Acquire { router, is_spare }),
            6 => any::<bool>().prop_map(|is_abandoned| Transition::Respond { is_abandoned }),
            2 => router.clone().prop_map(|router| Transition::GiveBack { router }),
            2 => (router, any::<bool>())
                .prop_map(|(router, is_present)| Transition::Entry { router, is_present }),
        ]
        .boxed()
    }

    fn apply(mut oracle: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Advance { ms } => {
                let limit = oracle.max_limit.max(RateSettings::default().min_per_second);
                oracle.now += ms;
                oracle.budget += limit * *ms as f64 / 1_000.0;
            }
            Transition::Name { limit: Some(limit), .. } => {
                oracle.is_limited = true;
                oracle.max_limit = oracle.max_limit.max(f64::from(*limit));
            }
            Transition::Name { limit: None, .. }
            | Transition::Acquire { .. }
            | Transition::Respond { .. }
            | Transition::GiveBack { .. }
            | Transition::Entry { .. } => {}
        }
        oracle
    }
}

struct LimiterTest {
    routers: Vec<RateLimiter>,
    /// Requests for permits on their way, with the router that asks.
    asks: Vec<(usize, PermitAsk)>,
    /// Permits of each router that it may still give back.
    granted: [usize; 2],
    sent: usize,
}

fn address(router: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + router as u16))
}

fn key() -> RateKey {
    RateKey::new(TARGET, 1)
}

impl StateMachineTest for LimiterTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let router = |index: usize| {
            let other = 1 - index;
            let peer = LivePeer::new(&format!("router-{other}"), address(other));
            let fleet = FleetView::new(&format!("router-{index}"), true, vec![peer], 2);
            RateLimiter::new(fleet, RateSettings::default())
        };
        Self { routers: vec![router(0), router(1)], asks: Vec::new(), granted: [0; 2], sent: 0 }
    }

    fn apply(mut test: Self, oracle: &Oracle, transition: Transition) -> Self {
        let now = oracle.now;
        match transition {
            Transition::Advance { .. } => {}
            Transition::Name { router, limit } => {
                let limit = limit.map(f32::from);
                test.routers[router].record_response(key(), limit, now - 100, now);
            }
            Transition::Acquire { router, is_spare } => {
                let class = if is_spare { RequestClass::Spare } else { RequestClass::Regular };
                match test.routers[router].acquire(key(), class, now) {
                    PermitDecision::Granted => test.grant(router),
                    PermitDecision::Ask(ask) => test.asks.push((router, ask)),
                    PermitDecision::Unavailable { retry_ms } => assert!(retry_ms > 0),
                    PermitDecision::Unlimited => {
                        assert!(test.routers[router].limit(key()).is_none());
                    }
                }
            }
            Transition::Respond { is_abandoned } if !test.asks.is_empty() => {
                let (router, ask) = test.asks.remove(0);
                assert_eq!(ask.issuer, address(1 - router));
                if is_abandoned {
                    test.routers[router].abandon(ask.request.number);
                }
                let response = test.routers[1 - router].respond(ask.request, now);
                let is_limited = test.routers[1 - router].limit(key()).is_some();
                let is_granted = test.routers[router].record_permit(response, now);
                assert!(!is_abandoned || is_granted.is_none(), "nobody waits");
                if is_granted == Some(true) && is_limited {
                    test.grant(router);
                }
            }
            Transition::GiveBack { router } if test.granted[router] > 0 => {
                test.granted[router] -= 1;
                test.sent -= 1;
                test.routers[router].give_back(key(), now);
            }
            Transition::Entry { router, is_present } => {
                let limit = test.routers[router].limit(key());
                test.routers[router].set_present(|_| is_present, now);
                test.routers[router].notice(now);
                assert_eq!(test.routers[router].limit(key()), limit, "what the target named");
            }
            Transition::Respond { .. } | Transition::GiveBack { .. } => {}
        }
        test
    }

    fn check_invariants(test: &Self, oracle: &Oracle) {
        // Both routers may have been taken for the issuer, each with its burst.
        let burst = oracle.max_limit * RateSettings::default().burst_s;
        let allowed = oracle.budget + 2.0 * burst.max(2.0);
        assert!(
            !oracle.is_limited || test.sent as f64 <= allowed,
            "{} requests, {allowed} allowed",
            test.sent
        );
    }
}

impl LimiterTest {
    fn grant(&mut self, router: usize) {
        self.granted[router] += 1;
        self.sent += 1;
    }
}

/// Guards against permits that are granted twice: used, given back, late or abandoned ones; and
/// against a limit that is forgotten as the entry of its target is gone (LIMIT).
#[test]
fn no_more_permits_are_granted_than_the_limits_allow() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&SEED.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Oracle::sequential_strategy(1..150usize);
    let result = runner.run(&strategy, |(oracle, transitions, counter)| {
        LimiterTest::test_sequential(config.clone(), oracle, transitions, counter);
        Ok(())
    });
    result.unwrap();
}

/// Guards against limits that are lost or told late, as those of targets without an entry take their
/// room (LIMIT).
#[test]
fn limits_of_targets_without_an_entry_yield_to_others() {
    let settings = RateSettings { max_facts: 12, ..RateSettings::default() };
    let fleet = FleetView::new("router", true, Vec::new(), 1);
    let mut router = RateLimiter::new(fleet, settings);
    let key = |target: u64| RateKey::new(TARGET, target);
    for target in 0..12 {
        router.record_response(key(target), Some(2.0), target, target);
    }
    let has_entry = |known: RateKey| (0..6).any(|target| key(target) == known);
    router.set_present(has_entry, 20);
    router.record_response(key(12), Some(2.0), 30, 30);
    assert!((0..6).all(|target| router.limit(key(target)).is_some()), "limits with an entry");
    assert_eq!(router.limit(key(6)), None, "the oldest limit without an entry");
    let told: Vec<RateKey> = router.notice(40).facts.into_iter().map(|(key, _)| key).collect();
    assert!((0..6).chain([12]).all(|target| told.contains(&key(target))), "they are told first");
    router.notice(settings.absent_ms + 50);
    assert_eq!(router.limited_targets(), 7);
}
