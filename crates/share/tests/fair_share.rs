//! Property tests of queueing and granting against the guarantees of a central
//! queue.
//!
//! The guarantees are those of one exact central queue: no request is dispatched
//! twice or lost, no slot stays idle while a request waits, and the cost over
//! weight of backlogged accounts differs by at most `GAP_BOUND`.

mod cluster;

use std::collections::BTreeMap;

use base::Name;
use cluster::{ACCOUNTS, Cluster, MAX_COST, ROUTERS, SLOTS, TARGETS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Maximum difference in served cost over weight between backlogged accounts:
/// twice the cost that all slots may add before the grantor learns of it, over
/// the smallest weight. docs/notes/fair-share.md derives this bound.
const GAP_BOUND: f64 = 2.0 * (TARGETS * SLOTS) as f64 * MAX_COST;

#[derive(Clone, Debug)]
enum Step {
    Arrive { router: usize, account: usize, count: usize },
    Finish { nth: usize, cost: u32 },
    RunRouter { router: usize },
    Deliver { nth: usize },
    Duplicate { nth: usize },
    Lose { nth: usize },
    Tick { ms: u64 },
    Partition { mask: u8 },
    Heal,
    Restart { router: usize },
    Pause { router: usize },
    Resume { router: usize },
    Settle,
}

/// Any sequence of steps. The reference needs no state, as the guarantees hold
/// for every sequence.
#[derive(Clone, Debug)]
struct AnyHistory;

impl ReferenceStateMachine for AnyHistory {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let router = 0..ROUTERS;
        prop_oneof![
            40 => message_steps(),
            4 => (1..2_000_u64).prop_map(|ms| Step::Tick { ms }),
            1 => (1..15_u8).prop_map(|mask| Step::Partition { mask }),
            1 => Just(Step::Heal),
            1 => router.clone().prop_map(|router| Step::Restart { router }),
            1 => router.clone().prop_map(|router| Step::Pause { router }),
            1 => router.prop_map(|router| Step::Resume { router }),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Sequences in which messages are lost, duplicated and reordered, but not late.
#[derive(Clone, Debug)]
struct TimelyHistory;

impl ReferenceStateMachine for TimelyHistory {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![40 => message_steps(), 2 => (1..20_u64).prop_map(|ms| Step::Tick { ms })]
            .boxed()
    }

    fn apply((): (), _: &Step) {}
}

fn message_steps() -> impl Strategy<Value = Step> {
    let router = 0..ROUTERS;
    prop_oneof![
        6 => (router.clone(), 0..ACCOUNTS.len(), 1..6_usize)
            .prop_map(|(router, account, count)| Step::Arrive { router, account, count }),
        8 => (0..16_usize, 1..=MAX_COST as u32)
            .prop_map(|(nth, cost)| Step::Finish { nth, cost }),
        8 => router.prop_map(|router| Step::RunRouter { router }),
        10 => (0..8_usize).prop_map(|nth| Step::Deliver { nth }),
        2 => (0..8_usize).prop_map(|nth| Step::Duplicate { nth }),
        2 => (0..8_usize).prop_map(|nth| Step::Lose { nth }),
    ]
}

/// Checks every guarantee after a sequence of steps.
struct FairShare;

impl StateMachineTest for FairShare {
    type SystemUnderTest = Cluster;
    type Reference = AnyHistory;

    fn init_test((): &()) -> Cluster {
        Cluster::new()
    }

    fn apply(cluster: Cluster, (): &(), step: Step) -> Cluster {
        apply_step(cluster, step)
    }

    fn teardown(mut cluster: Cluster, (): ()) {
        cluster.settle();
        check_work_conserved(&cluster);
        check_fair_phase(&mut cluster);
        check_no_starvation(&mut cluster);
    }
}

/// Checks at each dispatch that running requests do not exceed the slots.
struct NoOverload;

impl StateMachineTest for NoOverload {
    type SystemUnderTest = Cluster;
    type Reference = TimelyHistory;

    fn init_test((): &()) -> Cluster {
        Cluster::new()
    }

    fn apply(cluster: Cluster, (): &(), step: Step) -> Cluster {
        apply_step(cluster, step)
    }

    fn teardown(mut cluster: Cluster, (): ()) {
        cluster.settle();
        check_work_conserved(&cluster);
    }
}

fn apply_step(mut cluster: Cluster, step: Step) -> Cluster {
    match step {
        Step::Arrive { router, account, count } => {
            (0..count).for_each(|_| cluster.arrive(router, account));
        }
        Step::Finish { nth, cost } => cluster.finish(nth, f64::from(cost)),
        Step::RunRouter { router } => cluster.run_router(router),
        Step::Deliver { nth } => cluster.deliver(nth),
        Step::Duplicate { nth } => cluster.duplicate(nth),
        Step::Lose { nth } => cluster.lose(nth),
        Step::Tick { ms } => cluster.tick(ms),
        Step::Partition { mask } => cluster.partition(mask),
        Step::Heal => cluster.heal(),
        Step::Restart { router } => cluster.restart(router),
        Step::Pause { router } => cluster.pause(router),
        Step::Resume { router } => cluster.resume(router),
        Step::Settle => {
            cluster.settle();
            check_work_conserved(&cluster);
        }
    }
    cluster
}

/// Checks that no slot is idle while a request waits, after the last fault ended.
fn check_work_conserved(cluster: &Cluster) {
    let slots = (TARGETS * SLOTS) as usize;
    let busy = cluster.running.len() + cluster.spare_grants();
    assert!(
        cluster.waiting() == 0 || cluster.running.len() >= slots,
        "{} requests wait while {busy} of {slots} slots are taken, {} by spare grants",
        cluster.waiting(),
        cluster.spare_grants()
    );
}

/// Checks that, while every account is backlogged, virtual costs follow the served
/// cost and accounts differ by at most `GAP_BOUND`, whatever their state before.
fn check_fair_phase(cluster: &mut Cluster) {
    enqueue_backlog(cluster);
    cluster.settle();
    // Differences from before are evened out first. They are limited by
    // `MAX_LEAD`, so 400 requests are enough.
    serve(cluster, 400);
    let virtual_costs = cluster.virtual_costs();
    let served = cluster.served.clone();
    serve(cluster, 200);
    assert!(cluster.all_backlogged(), "an account ran out of waiting requests");
    check_charges(&virtual_costs, &served, cluster);
    let mut gap: f64 = 0.0;
    let rates = rates_since(&served, cluster);
    for left in &rates {
        for right in &rates {
            gap = gap.max(left - right);
        }
    }
    assert!(gap <= GAP_BOUND, "gap {gap} exceeds {GAP_BOUND}");
}

/// Checks that each account's virtual cost rose by its served cost over weight.
fn check_charges(
    virtual_costs: &BTreeMap<Name, f64>,
    served: &BTreeMap<Name, f64>,
    cluster: &mut Cluster,
) {
    let now = cluster.virtual_costs();
    let charges = |name: &str| now[name] - virtual_costs[name];
    for ((name, _), rate) in ACCOUNTS.iter().zip(rates_since(served, cluster)) {
        // A request in progress is charged by its estimate, an ended one by its
        // cost.
        let slack = GAP_BOUND / 2.0 + 1.0;
        let difference = (charges(name) - rate).abs();
        assert!(difference <= slack, "{name} was charged {} for {rate}", charges(name));
    }
}

/// Returns the cost over weight served to each account since `served`.
fn rates_since(served: &BTreeMap<Name, f64>, cluster: &Cluster) -> Vec<f64> {
    let rate = |(name, weight): &(&str, f64)| {
        let before = served.get(*name).copied().unwrap_or(0.0);
        (cluster.served.get(*name).copied().unwrap_or(0.0) - before) / weight
    };
    ACCOUNTS.iter().map(rate).collect()
}

/// Adds requests of every account: those of one account at one router, those of
/// the others spread over several.
fn enqueue_backlog(cluster: &mut Cluster) {
    for index in 0..700 {
        for account in 0..ACCOUNTS.len() {
            let router = if account == 0 { 0 } else { (index * account) % ROUTERS };
            cluster.arrive(router, account);
        }
    }
}

/// Ends `requests` requests, one in each round.
fn serve(cluster: &mut Cluster, requests: usize) {
    for index in 0..requests {
        // Costs vary between requests, and the grantor does not know them.
        let cost = 1.0 + (index * 37 % MAX_COST as usize) as f64;
        cluster.finish(index * 7, cost);
        cluster.run_round();
        cluster.tick(20);
    }
}

/// Checks that every waiting request is served in the end.
fn check_no_starvation(cluster: &mut Cluster) {
    let mut rounds = 0;
    while cluster.waiting() > 0 || !cluster.running.is_empty() {
        serve(cluster, 1);
        cluster.tick(100);
        rounds += 1;
        assert!(rounds < 20_000, "{} requests are never served", cluster.waiting());
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 48,
        max_shrink_iters: 400,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn shares_stay_fair_under_any_history(sequential 1..120 => FairShare);
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 48,
        max_shrink_iters: 400,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn shares_stay_fair_under_other_histories(sequential 1..120 => FairShare);
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_265),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn targets_are_never_overloaded_without_a_fault(sequential 1..200 => NoOverload);
}

fn check_history(steps: Vec<Step>) {
    let cluster = steps.into_iter().fold(Cluster::new(), apply_step);
    <FairShare as StateMachineTest>::teardown(cluster, ());
}

/// Guards against a grantor that was frozen and takes grants for lost before it reads the
/// reports that confirm them.
#[test]
fn a_frozen_grantor_reads_reports_before_it_takes_grants_for_lost() {
    // Requests that run.
    check_history(vec![
        Step::RunRouter { router: 1 },
        Step::Arrive { router: 0, account: 0, count: 1 },
        Step::Deliver { nth: 0 },
        Step::Arrive { router: 0, account: 0, count: 1 },
        Step::Deliver { nth: 0 },
        Step::Tick { ms: 1_001 },
    ]);
    // Spare grants.
    check_history(vec![
        Step::RunRouter { router: 0 },
        Step::Tick { ms: 1_001 },
        Step::RunRouter { router: 1 },
        Step::Deliver { nth: 0 },
        Step::Arrive { router: 0, account: 0, count: 1 },
    ]);
}
