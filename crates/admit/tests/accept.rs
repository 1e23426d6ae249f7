//! Tests of whether a router takes more callers: each limit by itself, and any
//! history compared with a simple oracle.

use admit::{AcceptPolicy, AcceptSettings};
use base::{Millis, Name};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const LATE_MS: Millis = 100;
const MAX_CONNECTIONS: usize = 50;
const OTHERS: usize = 5;

fn settings() -> AcceptSettings {
    AcceptSettings {
        max_connections: MAX_CONNECTIONS,
        max_lateness_ms: LATE_MS,
        max_pause_ms: 500,
        saturated_after_ms: 100,
        recovery_ms: 4_000,
        max_recovery_ms: 20_000,
        relapse_ms: 10_000,
        max_saturated: 0.5,
    }
}

fn policy() -> AcceptPolicy {
    AcceptPolicy::new(settings())
}

fn router_name(index: usize) -> Name {
    format!("router-{index}").into()
}

/// Returns a policy that became saturated at `at`.
fn saturated_policy(at: Millis) -> AcceptPolicy {
    let mut policy = policy();
    saturate(&mut policy, at);
    policy
}

fn saturate(policy: &mut AcceptPolicy, at: Millis) {
    policy.record(0, LATE_MS, at - settings().saturated_after_ms);
    assert!(policy.record(0, LATE_MS, at), "saturated at {at}");
}

/// Returns the time in milliseconds from the last time over the limits, `over_at`, to
/// the recovery.
fn recover(policy: &mut AcceptPolicy, over_at: Millis) -> Millis {
    let recovered_at = (over_at..).step_by(50).skip(1).find(|now| policy.record(0, 0, *now));
    recovered_at.expect("the range has no end") - over_at
}

/// Guards against an accept beyond the descriptors of the process.
#[test]
fn no_connection_is_accepted_at_the_limit_of_connections() {
    assert!(policy().may_accept(MAX_CONNECTIONS - 1, 0, 0));
    assert!(!policy().may_accept(MAX_CONNECTIONS, 0, 0));
    assert!(!policy().may_accept(MAX_CONNECTIONS + 1, 0, 0));
}

/// Guards against work that is taken by a thread that can't do what it has.
#[test]
fn no_connection_is_accepted_while_the_thread_is_late() {
    assert!(policy().may_accept(0, LATE_MS - 1, 0));
    assert!(!policy().may_accept(0, LATE_MS, 0));
}

/// Guards against a saturated router that leaves its processor unused until its
/// recovery.
#[test]
fn saturated_router_accepts_while_it_is_below_the_limits() {
    let policy = saturated_policy(1_000);
    assert!(policy.may_accept(0, 0, 0));
}

/// Guards against callers that are sent away for seconds after one late tick, such as
/// that of a process that was suspended.
#[test]
fn one_late_tick_does_not_saturate() {
    let mut policy = policy();
    assert!(!policy.record(0, 2_000, 3_000));
    assert!(!policy.record(0, 0, 3_050));
    assert!(!policy.is_saturated());
    // The time over the limit starts anew.
    assert!(!policy.record(0, LATE_MS, 3_100));
    assert!(!policy.record(0, LATE_MS, 3_199));
    assert!(policy.record(0, LATE_MS, 3_200));
    assert!(policy.is_saturated());
}

/// Guards against a router that has no descriptors left and stays ready.
#[test]
fn router_at_the_limit_of_connections_is_saturated() {
    let mut policy = policy();
    assert!(!policy.record(MAX_CONNECTIONS, 0, 1_000));
    assert!(policy.record(MAX_CONNECTIONS, 0, 1_100));
    assert!(policy.is_saturated());
}

/// Guards against a recovery before the backlog is gone, as the thread is late again
/// and again while callers leave.
#[test]
fn recovery_counts_from_the_last_time_over_the_limits() {
    let mut policy = saturated_policy(1_000);
    assert!(!policy.record(0, 0, 4_900));
    assert!(!policy.record(0, LATE_MS, 4_950));
    assert!(!policy.record(0, 0, 8_949));
    assert!(policy.is_saturated());
    assert!(policy.record(0, 0, 8_950));
    assert!(!policy.is_saturated());
}

/// Guards against callers of one account that go back and forth between few routers,
/// and against a router that is left out for minutes.
#[test]
fn recovery_time_doubles_up_to_its_limit_and_starts_anew() {
    let mut policy = policy();
    let mut now = 1_000;
    for expected in [4_000, 8_000, 16_000, 20_000, 20_000] {
        saturate(&mut policy, now);
        let recovery_ms = recover(&mut policy, now);
        assert_eq!(recovery_ms, expected);
        now += recovery_ms + settings().relapse_ms - 1;
    }
    now += 1;
    saturate(&mut policy, now);
    assert_eq!(recover(&mut policy, now), 4_000);
}

/// Guards against callers that are sent from one saturated router to another.
#[test]
fn nobody_is_sent_away_when_over_half_of_the_routers_are_saturated() {
    let mut policy = saturated_policy(1_000);
    for (others, is_saturated, sends_away) in
        [(1, false, true), (2, true, false), (3, false, true), (4, true, false)]
    {
        policy.record_other(router_name(others), is_saturated, 1_000);
        assert_eq!(policy.sends_callers_away(), sends_away, "beside {others} other routers");
        assert_eq!(policy.avoids(&router_name(2)), sends_away && others >= 2);
    }
}

/// Guards against a router without others that is not ready: its callers would have
/// none at all.
#[test]
fn only_router_sends_nobody_away() {
    let policy = saturated_policy(1_000);
    assert!(policy.is_saturated());
    assert!(!policy.sends_callers_away());
}

/// Guards against callers that are sent to routers that are gone.
#[test]
fn routers_not_heard_of_are_forgotten() {
    let mut policy = saturated_policy(1_000);
    policy.record_other(router_name(0), false, 1_000);
    policy.expire_others(2_000, 3_000);
    assert!(policy.sends_callers_away());
    policy.expire_others(2_000, 3_001);
    assert!(!policy.sends_callers_away());
}

/// Guards against a router that callers are not told of although it recovered.
#[test]
fn last_word_of_another_router_counts() {
    let mut policy = policy();
    policy.record_other(router_name(0), true, 1_000);
    assert!(policy.avoids(&router_name(0)));
    policy.record_other(router_name(0), false, 1_100);
    assert!(!policy.avoids(&router_name(0)));
    assert!(!policy.avoids("router-9"), "never heard of");
}

#[derive(Clone, Debug)]
enum Step {
    /// The thread ticks `after_ms` later.
    Tick {
        after_ms: Millis,
        connections: usize,
        late_ms: Millis,
    },
    /// Another router says whether it is saturated.
    Hear {
        router: usize,
        is_saturated: bool,
    },
    Expire {
        max_age: Millis,
    },
}

/// What happened to a router, from which the oracle derives its state.
#[derive(Clone, Debug, Default)]
struct History {
    now: Millis,
    /// Times of the ticks, and whether a limit was reached at them.
    ticks: Vec<(Millis, bool)>,
    /// Whether the connections were at their limit at the last tick.
    is_at_limit: bool,
    /// When the router became saturated (true) or recovered.
    changes: Vec<(Millis, bool)>,
    /// What was heard of other routers, and when; later entries replace earlier ones.
    heard: Vec<(usize, bool, Millis)>,
}

impl History {
    fn is_saturated(&self) -> bool {
        self.changes.last().is_some_and(|(_, is_saturated)| *is_saturated)
    }

    /// Returns whether the router was at a limit at all ticks of the last
    /// `saturated_after_ms`, since it recovered.
    fn was_over_for_long(&self) -> bool {
        let recovered_at = self.changes.last().map(|(at, _)| *at);
        let ticks = self.ticks.iter().rev();
        let run = ticks.take_while(|(at, is_over)| *is_over && Some(*at) != recovered_at);
        run.last().is_some_and(|(at, _)| self.now - at >= settings().saturated_after_ms)
    }

    /// Returns whether no tick was at a limit for the time of the recovery.
    fn was_below_for_long(&self) -> bool {
        let last_over = self.ticks.iter().rev().find(|(_, is_over)| *is_over);
        last_over.is_none_or(|(at, _)| self.now - at >= self.recovery_ms())
    }

    /// Returns the time of the recovery: doubled for each of the last saturations that
    /// came soon after a recovery.
    fn recovery_ms(&self) -> Millis {
        let changes: Vec<Millis> = self.changes.iter().map(|(at, _)| *at).collect();
        let pauses = changes[1..].chunks_exact(2).map(|pair| pair[1] - pair[0]).rev();
        let relapses = pauses.take_while(|pause| *pause < settings().relapse_ms).count();
        (settings().recovery_ms << relapses.min(16)).min(settings().max_recovery_ms)
    }

    /// Returns what was last heard of a router, unless it was forgotten.
    fn other(&self, router: usize) -> Option<bool> {
        let heard = self.heard.iter().rev().find(|(other, _, _)| *other == router);
        heard.map(|(_, is_saturated, _)| *is_saturated)
    }

    fn enough_are_free(&self) -> bool {
        let mut routers: Vec<bool> = (0..OTHERS).filter_map(|index| self.other(index)).collect();
        routers.push(self.is_saturated());
        let saturated = routers.iter().filter(|is_saturated| **is_saturated).count();
        saturated * 2 <= routers.len()
    }
}

#[derive(Debug)]
struct AnyHistory;

impl ReferenceStateMachine for AnyHistory {
    type State = History;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<History> {
        Just(History::default()).boxed()
    }

    fn transitions(_: &History) -> BoxedStrategy<Step> {
        let pauses = prop_oneof![
            8 => Just(50),
            4 => 50..300_u64,
            3 => prop_oneof![Just(3_999), Just(4_000), Just(8_000), Just(16_000), Just(20_000)],
            1 => prop_oneof![Just(9_949), Just(9_950), 1_000..40_000_u64],
        ];
        let connections =
            prop_oneof![6 => 0..MAX_CONNECTIONS, 1 => MAX_CONNECTIONS - 1..=MAX_CONNECTIONS + 1];
        let lateness = prop_oneof![
            2 => 0..LATE_MS,
            1 => LATE_MS - 1..=LATE_MS + 1,
            3 => LATE_MS..3_000,
        ];
        let ticks = (pauses, connections, lateness).prop_map(|(after_ms, connections, late_ms)| {
            Step::Tick { after_ms, connections, late_ms }
        });
        prop_oneof![
            8 => ticks,
            2 => (0..OTHERS, any::<bool>())
                .prop_map(|(router, is_saturated)| Step::Hear { router, is_saturated }),
            1 => prop_oneof![Just(2_000), 0..30_000_u64]
                .prop_map(|max_age| Step::Expire { max_age }),
        ]
        .boxed()
    }

    fn apply(mut history: History, step: &Step) -> History {
        match *step {
            Step::Tick { after_ms, connections, late_ms } => {
                history.now += after_ms;
                let is_over = connections >= MAX_CONNECTIONS || late_ms >= LATE_MS;
                history.ticks.push((history.now, is_over));
                history.is_at_limit = connections >= MAX_CONNECTIONS;
                let was_saturated = history.is_saturated();
                let has_changed = match was_saturated {
                    true => history.was_below_for_long(),
                    false => history.was_over_for_long(),
                };
                if has_changed {
                    history.changes.push((history.now, !was_saturated));
                }
            }
            Step::Hear { router, is_saturated } => {
                // What was heard before is replaced, and so is its age.
                history.heard.retain(|(other, _, _)| *other != router);
                history.heard.push((router, is_saturated, history.now));
            }
            Step::Expire { max_age } => {
                let now = history.now;
                history.heard.retain(|(_, _, at)| now - at <= max_age);
            }
        }
        history
    }
}

struct AcceptTest;

impl StateMachineTest for AcceptTest {
    type SystemUnderTest = AcceptPolicy;
    type Reference = AnyHistory;

    fn init_test(_: &History) -> AcceptPolicy {
        policy()
    }

    fn apply(mut policy: AcceptPolicy, history: &History, step: Step) -> AcceptPolicy {
        match step {
            Step::Tick { connections, late_ms, .. } => {
                let was_saturated = policy.is_saturated();
                let has_changed = policy.record(connections, late_ms, history.now);
                assert_eq!(has_changed, policy.is_saturated() != was_saturated);
                let is_over = connections >= MAX_CONNECTIONS || late_ms >= LATE_MS;
                assert_eq!(policy.may_accept(connections, late_ms, 0), !is_over);
                let has_room = connections < MAX_CONNECTIONS;
                assert_eq!(policy.may_accept(connections, late_ms, 500), has_room);
            }
            Step::Hear { router, is_saturated } => {
                policy.record_other(router_name(router), is_saturated, history.now);
            }
            Step::Expire { max_age } => policy.expire_others(max_age, history.now),
        }
        policy
    }

    fn check_invariants(policy: &AcceptPolicy, history: &History) {
        assert_eq!(policy.is_saturated(), history.is_saturated(), "saturated: {history:?}");
        let enough_are_free = history.enough_are_free();
        let sends_away = history.is_saturated() && (enough_are_free || history.is_at_limit);
        assert_eq!(policy.sends_callers_away(), sends_away, "sends away: {history:?}");
        let has_free_others = history.is_saturated() && enough_are_free;
        assert_eq!(policy.has_free_others(), has_free_others, "free others: {history:?}");
        for router in 0..OTHERS {
            let is_avoided = history.other(router) == Some(true) && enough_are_free;
            assert_eq!(policy.avoids(&router_name(router)), is_avoided, "{router}: {history:?}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_271),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn policy_agrees_with_the_oracle(sequential 1..80 => AcceptTest);
}

/// Guards against a router that says it is ready and takes no connection for seconds, as
/// too many of its peers are saturated for its callers to be sent away.
#[test]
fn router_that_sends_no_callers_away_takes_connections() {
    let settings = AcceptSettings { max_connections: 100, ..AcceptSettings::default() };
    let mut policy = AcceptPolicy::new(settings);
    policy.record(100, 0, 0);
    policy.record(100, 0, 4_000);
    assert!(policy.is_saturated());
    assert!(
        policy.sends_callers_away() || policy.may_accept(100, 0, 4_000),
        "ready, but takes no connection after a pause of 4,000 ms"
    );
}
