//! Limits on idle connections when many routers share few targets, each of
//! which caps the connections from all routers together.

use outbound::max_idle_connections;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[test]
fn a_large_fleet_keeps_fewer_connections_for_each_router() {
    // 90 routers; each target takes 600 connections and 24 requests.
    assert_eq!(max_idle_connections(600, 24, 90), 6);
    assert_eq!(max_idle_connections(310, 48, 9), 29);
}

#[test]
fn nothing_is_kept_where_requests_take_the_whole_cap() {
    assert_eq!(max_idle_connections(20, 24, 3), 0);
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_269),
        ..Config::default()
    })]

    /// Connections in use and idle connections of all routers together never
    /// exceed the cap.
    #[test]
    fn the_cap_holds_over_the_fleet(cap in 0u32..5_000, in_use in 0u32..500, routers in 1usize..400) {
        let idle = max_idle_connections(cap, in_use, routers) * routers;
        prop_assert!(idle + in_use.min(cap) as usize <= cap as usize);
    }
}
