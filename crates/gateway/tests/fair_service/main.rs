//! Tests that accounts are served alike, wherever their callers connect.

mod callers;
mod engine;
mod fleet;
mod front;

use fleet::{AccountLoad, Callers, Fleet, FleetLoad};
use front::{ProcessorCosts, RouterLimits};

const SPREAD: usize = 0;
const CROWDED: usize = 1;
const USUAL: usize = 2;
/// Window in which accounts are compared, in seconds.
const WINDOW_S: usize = 6;
/// Largest ratio between what two accounts with equal demand get in the long run.
const MAX_RATIO: f64 = 1.25;

/// Returns a fleet in which two accounts each ask for about the capacity of all
/// engines from second 3 on, one through all routers and one through a single
/// router, beside accounts with a usual demand.
fn overloaded_fleet() -> FleetLoad {
    let busy = |callers| AccountLoad { callers, usual_per_s: 50.0, per_s: 500.0 };
    let usual = AccountLoad { callers: Callers::Spread, usual_per_s: 20.0, per_s: 20.0 };
    FleetLoad {
        routers: 30,
        engines: 30,
        slots: 16,
        max_waiting: 33,
        hold_ms: 900,
        heartbeat_ms: 900,
        listed_targets: 30,
        forwarded_per_s: u32::MAX,
        limits: None,
        accounts: vec![busy(Callers::Spread), busy(Callers::At(0)), usual, usual, usual, usual],
        rises_at: 3_000,
    }
}

/// Checks that in each window from second 4 to 16 the account at one router gets at
/// least half of what the other one gets.
fn check_shares(fleet: &Fleet) {
    for start in 4..=16 - WINDOW_S {
        let window = start..start + WINDOW_S;
        let spread = fleet.begun(SPREAD, window.clone());
        let crowded = fleet.begun(CROWDED, window.clone());
        let asked = fleet.asked(CROWDED, window);
        assert!(
            crowded * 2 >= spread.min(asked),
            "from second {start}: {crowded} requests begun for the account at one router, \
             {spread} for the other"
        );
    }
}

/// Checks that both busy accounts get about the same, once their demand is known.
fn check_ratio(fleet: &Fleet) {
    let spread = f64::from(fleet.begun(SPREAD, 5..16));
    let crowded = f64::from(fleet.begun(CROWDED, 5..16));
    let ratio = spread.max(crowded) / spread.min(crowded);
    assert!(ratio <= MAX_RATIO, "{crowded} at one router, {spread} at all routers");
}

/// Guards against a router that refuses requests within their account's share
/// since it knows of more load at the engines than other routers do.
#[test]
fn account_at_one_router_gets_at_least_half_of_one_at_all_routers() {
    let mut fleet = Fleet::new(overloaded_fleet());
    fleet.run(16);
    check_shares(&fleet);
    check_ratio(&fleet);
}

/// Guards against a load that is left out of heartbeats: a router with requests at
/// more targets than fit into a datagram would know of a greater load than its
/// peers, and would grant less.
#[test]
fn shortened_heartbeats_do_not_lower_the_share_of_their_sender() {
    let mut fleet = Fleet::new(FleetLoad { listed_targets: 10, ..overloaded_fleet() });
    fleet.run(16);
    check_shares(&fleet);
    check_ratio(&fleet);
}

/// Guards against an account whose demand jumps at all routers and is granted by the
/// demand of before, while another account asks for more than its share all along.
#[test]
fn account_whose_demand_jumps_gets_no_more_than_its_share() {
    let mut load = overloaded_fleet();
    load.accounts[SPREAD] =
        AccountLoad { callers: Callers::Spread, usual_per_s: 50.0, per_s: 4_000.0 };
    load.accounts[CROWDED] =
        AccountLoad { callers: Callers::At(0), usual_per_s: 500.0, per_s: 500.0 };
    let mut fleet = Fleet::new(FleetLoad { rises_at: 6_000, ..load });
    fleet.run(16);
    let window = 6..6 + WINDOW_S;
    let jumped = fleet.begun(SPREAD, window.clone());
    let steady = fleet.begun(CROWDED, window);
    assert!(
        steady * 2 >= jumped,
        "{steady} requests begun for the steady account, {jumped} for the other"
    );
}

/// Guards against an account that is served less than half of another one since all
/// its callers connect to one router that can forward only a part of its requests.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn account_at_one_small_router_gets_at_least_half_of_one_at_all_routers() {
    let mut fleet = Fleet::new(FleetLoad { forwarded_per_s: 100, ..overloaded_fleet() });
    fleet.run(16);
    check_shares(&fleet);
}

/// Guards against an account that is served less than half of another one since its
/// requests wait unread or are refused late at the router that all its callers
/// prefer, while the callers would move if their connection failed.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn account_whose_callers_crowd_one_router_gets_at_least_half_of_one_at_all_routers() {
    let mut load = overloaded_fleet();
    load.accounts[CROWDED].per_s = 1_400.0;
    let costs = ProcessorCosts { forward_us: 4_000, refuse_us: 600, turn_away_us: 60 };
    let limits = Some(RouterLimits { costs, max_unread: 3_900 });
    let mut fleet = Fleet::new(FleetLoad { limits, ..load });
    fleet.run(16);
    check_shares(&fleet);
}

/// Guards against refusals of accounts that ask for less than their share while
/// others ask for all of the capacity.
#[test]
fn accounts_below_their_share_are_not_refused() {
    let mut fleet = Fleet::new(overloaded_fleet());
    fleet.run(16);
    for (second, service) in fleet.service[USUAL].iter().enumerate().skip(4) {
        let refused = service.refused_within + service.refused_over + service.turned_away;
        assert_eq!(refused, 0, "in second {second}: {service:?}");
    }
}

/// Guards against requests within their account's share that are refused for the
/// load of the engines, of which each router knows another part. The first two
/// seconds after the rise are left out, as demand is averaged over two seconds.
#[test]
fn requests_within_the_share_are_not_refused() {
    let mut fleet = Fleet::new(overloaded_fleet());
    fleet.run(16);
    for account in [SPREAD, CROWDED] {
        for (second, service) in fleet.service[account].iter().enumerate().skip(5) {
            assert_eq!(service.refused_within, 0, "account {account}, second {second}");
        }
    }
}
