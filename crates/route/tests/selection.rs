//! Selection of a route, and of the configuration in force.

use std::sync::Arc;

use route::{
    CallKind, CallerLimits, ColdSpec, EncodedTable, RouteSpec, RouteTable, RouteTableBuilder,
    ServiceSpec, VersionGate, VersionVerdict, WeightedService,
};

const LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16_384,
    body_bytes: 1 << 20,
    head_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

fn spec(name: &str, prefix: &str, split: &[(&str, u32)]) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_attempts: 1,
        public: false,
        has_prompt: false,
        split: split
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    }
}

fn table(version: u64) -> RouteTable {
    RouteTableBuilder::new(version, LIMITS)
        .route(spec("short", "/a/", &[("one", 1)]))
        .route(spec("long", "/a/b/", &[("one", 90), ("two", 10)]))
        .credential("key-1".into(), "north".into())
        .credential("key-2".into(), "north".into())
        .build()
}

#[test]
fn the_longest_prefix_wins_and_prefixes_end_at_slashes() {
    let table = table(1);
    let name = |path: &str| table.route("a.example:8080", path).map(|route| &*route.name);
    assert_eq!(name("/a/b/c"), Some("long"));
    assert_eq!(name("/a/bc"), Some("short"));
    assert_eq!(name("/a"), None);
    assert!(table.route("b.example", "/a/").is_none());
}

#[test]
fn traffic_split_follows_the_weights() {
    let table = table(1);
    let route = table.route("a.example", "/a/b/").unwrap();
    let two = (0..1_000)
        .filter(|request_hash| route.select_service(*request_hash).is_some_and(|s| &**s == "two"));
    assert_eq!(two.count(), 100);
}

#[test]
fn an_account_has_several_credentials() {
    let table = table(1);
    assert_eq!(table.account("key-1"), table.account("key-2"));
    assert_eq!(table.account("key-3"), None);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut gate = VersionGate::default();
    assert_eq!(gate.offer(table(7)), VersionVerdict::Accepted { replaced: None });
    assert_eq!(gate.offer(table(5)), VersionVerdict::Stale { in_force: 7 });
    assert_eq!(gate.offer(table(7)), VersionVerdict::Stale { in_force: 7 });
    assert_eq!(gate.offer(table(12)), VersionVerdict::Accepted { replaced: Some(7) });
    assert_eq!(gate.version(), Some(12));
}

/// Guards against peers that take targets for warm (FAILBACK), as they get a configuration that was
/// encoded before its cold rates were known, and kept after that.
#[test]
fn what_was_encoded_before_cold_rates_were_known_is_not_kept() {
    let service = ServiceSpec { name: "one".into(), max_connections: 1, engine: None, cold: None };
    let mut gate = VersionGate::default();
    gate.offer(RouteTableBuilder::new(3, LIMITS).service(service).build());
    let mut encoded = EncodedTable::default();
    let before = gate.current().unwrap();
    let specs = vec![("one".into(), ColdSpec { start_ms: 3_000, per_second: 8.9 })];
    assert!(gate.fill_in_cold(Some(3), specs));
    encoded.set(Arc::clone(&before), "without");
    let after = gate.current().unwrap();
    assert_eq!(encoded.get(&after), None);
    encoded.set(Arc::clone(&after), "with");
    assert_eq!(encoded.get(&after), Some("with"));
    assert_eq!(encoded.get(&before), None);
}

/// Guards against targets that are never cold as a router of an earlier version passed on the
/// configuration, and against a configuration that is completed by another version's.
#[test]
fn cold_rates_complete_the_version_that_they_belong_to() {
    let service = ServiceSpec { name: "one".into(), max_connections: 1, engine: None, cold: None };
    let mut gate = VersionGate::default();
    let builder = RouteTableBuilder::new(3, LIMITS).service(service);
    gate.offer(builder.build());
    let specs = vec![("one".into(), ColdSpec { start_ms: 3_000, per_second: 8.9 })];
    assert!(!gate.fill_in_cold(Some(2), specs.clone()));
    assert!(gate.fill_in_cold(Some(3), specs.clone()));
    assert!(!gate.fill_in_cold(Some(3), specs.clone()), "it is known");
    assert_eq!(gate.current().map(|table| table.cold_specs()), Some(specs));
}
