//! Evacuated failure domains: their ends, restorations of the source, and bounds on size.

mod common;

use common::{SERVICE, entry};
use target::{
    DomainChange, DomainListing, DomainRecord, DomainReturn, ERA_REVISIONS, OutageSettings,
    RegistrySettings, TargetRecord, TargetRegistry, TargetState,
};

fn record(domain: &str, is_evacuated: bool, revision: u64) -> DomainRecord {
    DomainRecord { domain: domain.into(), is_evacuated, revision }
}

/// Returns a registry with a target in the failure domain `a`.
fn start() -> TargetRegistry {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    let entry = Some(entry("t", 1, TargetState::Serving));
    registry.merge(TargetRecord { id: "t".into(), entry, revision: 1 }, 0);
    registry
}

fn serves(registry: &TargetRegistry, now: u64) -> bool {
    registry.serving(SERVICE, now).next().is_some()
}

/// Guards against targets of a domain that are taken for warm as its end is not known, or is
/// dated to the start of an instance that learned it from a peer.
#[test]
fn end_of_an_evacuation_has_its_time_and_revision() {
    let mut registry = start();
    assert_eq!(registry.merge_domain(record("a", true, 5), 1_000), DomainChange::Evacuated);
    assert_eq!(registry.domain_return("a", 1_000), None);
    assert_eq!(registry.merge_domain(record("a", false, 9), 4_000), DomainChange::TakenBack);
    let expected = DomainReturn { at: 4_000, revision: 9 };
    assert_eq!(registry.domain_return("a", 6_000), Some(expected));
    assert!(serves(&registry, 4_000));
    let mut other = start();
    other.merge_peer_domains(registry.domain_listing(6_000), 100_000);
    let expected = DomainReturn { at: 98_000, revision: 9 };
    assert_eq!(other.domain_return("a", 100_000), Some(expected));
}

/// Guards against a target that is lost as its domain is evacuated: crashes and ends of its
/// running requests are still told apart.
#[test]
fn target_of_an_evacuated_domain_is_present() {
    let mut registry = start();
    registry.merge_domain(record("a", true, 5), 0);
    let selected = entry("t", 1, TargetState::Serving);
    assert!(registry.is_present(&selected, 0));
    assert!(!registry.may_serve(&selected, 0));
    assert_eq!(registry.backoff_ms(SERVICE, 0), None);
}

/// Guards against a target that counts as one that leaves, as it has turned a request away for a
/// time.
#[test]
fn target_that_is_left_alone_is_present() {
    let mut registry = start();
    let selected = entry("t", 1, TargetState::Serving);
    registry.backoffs().record_turned_away(&selected, 4_000, 0);
    assert!(registry.is_present(&selected, 1));
    assert!(!registry.may_serve(&selected, 1));
}

/// Guards against an evacuation that ends while the operator can't write it again, as the
/// restored source is lost once more.
#[test]
fn outage_prolongs_what_a_restored_source_lacks() {
    let mut registry = start();
    registry.record_source_reached(0);
    registry.merge_domain_listing(vec![record("a", true, 5)], 5, 0);
    registry.record_source_restored(10_000);
    registry.record_source_reached(10_000);
    registry.merge_domain_listing(Vec::new(), ERA_REVISIONS, 10_000);
    registry.record_source_lost(11_000);
    assert!(!serves(&registry, 19_000));
    assert!(registry.expire_domains(19_000).is_empty());
    registry.record_source_reached(20_000);
    let republish_ms = OutageSettings::default().republish_ms;
    assert!(!serves(&registry, 20_000 + republish_ms));
    assert!(serves(&registry, 23_000));
    let ended = registry.expire_domains(23_000);
    assert_eq!(ended, [record("a", false, ERA_REVISIONS)]);
    assert_eq!(registry.evacuated_domains(23_000), 0);
}

/// Guards against an evacuation without end, as instances that start one after the other pass on
/// what they heard of an earlier era.
#[test]
fn hearsay_of_an_earlier_era_is_not_passed_on() {
    let mut old = start();
    old.merge_domain_listing(vec![record("a", true, 5)], 5, 0);
    old.merge_domain_listing(Vec::new(), ERA_REVISIONS, 10_000);
    let mut new = start();
    new.merge_domain_listing(Vec::new(), ERA_REVISIONS, 12_900);
    new.merge_peer_domains(old.domain_listing(12_900), 12_900);
    assert!(!serves(&new, 12_900), "held at the new instance");
    assert_eq!(new.domain_listing(12_900).records, []);
    let lapsed = old.domain_listing(13_000);
    assert_eq!(lapsed.records, [], "the old instance tells what has lapsed");
}

/// Guards against a peer that is missing changes and ends an evacuation with what it tells.
#[test]
fn incomplete_list_of_a_peer_ends_nothing() {
    let mut registry = start();
    registry.merge_domain_listing(vec![record("a", true, 5)], 5, 0);
    registry.merge_peer_domains(DomainListing::default(), 0);
    assert!(!serves(&registry, 0));
    // The peer has not read the domains since revision 3.
    let listing = DomainListing { revision: 3, ..DomainListing::default() };
    registry.merge_peer_domains(listing, 0);
    assert!(!serves(&registry, 0));
}

/// Guards against memory that grows with the keys that operators write, and against a list that
/// peers take for complete although it is cut.
#[test]
fn domains_are_bounded() {
    let mut registry = start();
    let name = |number: u64| format!("d{number}");
    for number in 1..=4_100 {
        registry.merge_domain(record(&name(number), true, number), 0);
    }
    registry.advance_domains(4_100);
    assert_eq!(registry.evacuated_domains(0), 4_096);
    assert_eq!(registry.domain_listing(0).revision, 0);
    // Four of them were dropped before.
    for number in 1..=300 {
        registry.merge_domain(record(&name(number), false, 4_100 + number), 0);
    }
    assert_eq!(registry.evacuated_domains(0), 3_800);
    assert_eq!(registry.domain_records_since(4_100).len(), 256);
    assert_eq!(registry.domain_records_since(4_390).len(), 10);
}
