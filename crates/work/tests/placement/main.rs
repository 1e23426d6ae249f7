//! Placement by offers in a simulated fleet, against other policies.
//!
//! The bounds are those of callers: the part of first events within the target latency, and how
//! far the expected time is off. Each bound fails with a baseline or a broken variant in the same
//! test. The baselines that count outstanding requests know them without delay, which no
//! instance does.

mod choices;
mod engine;
mod load;
mod simulation;

use load::{Load, Outcome, Policy};
use simulation::Simulation;

const BASELINES: [Policy; 3] = [Policy::Local, Policy::LeastOutstanding, Policy::TwoChoices];
/// Part of requests whose first event must come within the target latency. Callers count a
/// service as good from about this part on.
const MIN_WITHIN: f64 = 0.98;

/// Runs a load with the ledger, which must reach `MIN_WITHIN`, and with each baseline, which must
/// not: the load would not tell them apart otherwise.
fn compare(name: &str, change: impl Fn(&mut Load)) -> Outcome {
    let run = |policy| {
        let mut load = Load::new(policy);
        change(&mut load);
        let outcome = Simulation::run(load);
        outcome.print(&format!("{name} {policy:?}"));
        outcome
    };
    for policy in BASELINES {
        let within = run(policy).within();
        assert!(within < MIN_WITHIN, "{name}: {policy:?} has {within} within the target");
    }
    let outcome = run(Policy::Ledger);
    let within = outcome.within();
    assert!(within >= MIN_WITHIN, "{name}: only {within} within the target");
    outcome
}

fn run_ledger(name: &str, change: impl Fn(&mut Load)) -> Outcome {
    let mut load = Load::new(Policy::Ledger);
    change(&mut load);
    let outcome = Simulation::run(load);
    outcome.print(name);
    outcome
}

/// Whether the expected time of each kind is off by less than a quarter of its target, beyond which
/// it does not tell a late target from one in time.
fn has_good_estimates(outcome: &Outcome) -> bool {
    let targets_ms = load::KINDS.map(|kind| kind.target_ms as f64);
    let kinds = outcome.kinds.iter().zip(targets_ms);
    kinds.into_iter().all(|(kind, target_ms)| kind.mean_error_ms() < target_ms / 4.0)
}

/// Guards against decisions by the number of requests, or on data that is out of date, where
/// costs and speeds differ and machines are slow for 0.6 s at a time.
#[test]
fn requests_of_two_costs_are_in_time_on_targets_of_two_speeds() {
    let outcome = compare("two costs", |_| {});
    assert!(has_good_estimates(&outcome));
    let local = Simulation::run(Load::new(Policy::Local));
    assert!(!has_good_estimates(&local), "the local estimate is as good");
}

/// Guards against a ledger that lacks first bytes and loads: it neither learns the speed of a
/// target nor sees its queue drain.
#[test]
fn estimates_need_reports() {
    let outcome = run_ledger("no reports", |load| load.reports = false);
    assert!(!has_good_estimates(&outcome));
}

#[test]
fn targets_at_half_speed_get_less() {
    compare("half speed", |load| {
        load.speeds = [0.5, 1.0, 1.0, 1.0];
        load.per_second = 1_200.0;
    });
}

/// Guards against a ledger that serves only the mean of the demand.
#[test]
fn demand_may_swing_in_opposite_phases() {
    compare("swing", |load| load.swing = (0.55, true));
}

/// Guards against homes for a part that most requests share: three homes would get more than half
/// of all requests (0.58 within the target before [`work::PartDemand`]).
#[test]
fn a_part_that_most_requests_share_has_many_homes() {
    compare("common part", |load| {
        load.kinds[1].shared = 600.0;
        load.kinds[1].parts = 1;
    });
}

/// Guards against placements beyond the memory of a target, where requests are read twice.
#[test]
fn memory_may_be_used_up_before_slots() {
    let outcome = compare("memory", |load| {
        load.memory_tokens = 60_000.0;
        load.per_second = 900.0;
    });
    assert_eq!(outcome.preempted, 0);
}

#[test]
fn a_third_of_the_targets_may_leave() {
    compare("a third gone", |load| {
        load.gone = 0.34;
        load.per_second = 900.0;
    });
}

#[test]
fn there_may_be_350_deciders() {
    compare("350 deciders", |load| load.instances = 350);
}

/// Guards against requests that wait for offers that never come: without messages, an instance
/// decides as it does today.
#[test]
fn without_messages_the_local_estimate_decides() {
    let local = Simulation::run(Load::new(Policy::Local)).within();
    let outcome = run_ledger("all lost", |load| load.lost_percent = 100);
    assert!(outcome.unanswered > 0);
    assert!((outcome.within() - local).abs() < 0.05, "{} and {local}", outcome.within());
}

/// Guards against placements that lost reports keep in the ledger, and against lost notices. The
/// local estimate has 0.80 within the target on this load.
#[test]
fn lost_messages_cost_little() {
    let outcome = run_ledger("a tenth lost", |load| load.lost_percent = 10);
    assert!(outcome.within() >= 0.95, "only {} within the target", outcome.within());
}

/// Guards against more messages than the control traffic allows: at 20 requests a second, 8
/// datagrams of 60 bytes are 10 KB/s. Asking three owners at once takes about 9.
#[test]
fn a_request_takes_few_datagrams() {
    let per_request = |outcome: &Outcome| {
        // Warm-up requests are sent but not counted.
        let counted: u32 = outcome.kinds.iter().map(|kind| kind.requests).sum();
        outcome.datagrams as f64 / (f64::from(counted) * 8.0 / 6.0)
    };
    let few = run_ledger("few", |_| {});
    assert!(per_request(&few) < 8.0, "{} datagrams", per_request(&few));
    let many = run_ledger("three at once", |load| load.settings.asked = [3, 3]);
    assert!(per_request(&many) >= 8.0, "{} datagrams", per_request(&many));
}
