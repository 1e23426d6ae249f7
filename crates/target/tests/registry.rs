//! Targets as published: merges, drains, lapsed entries.

mod common;

use base::Name;
use common::{SERVICE, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use target::{RecordChange, RegistrySettings, TargetRecord, TargetRegistry, TargetState};

fn written(id: &str, revision: u64, state: TargetState) -> TargetRecord {
    TargetRecord { id: id.into(), entry: Some(entry(id, 1, state)), revision }
}

fn removed(id: &str, revision: u64) -> TargetRecord {
    TargetRecord { id: id.into(), entry: None, revision }
}

fn serves(registry: &TargetRegistry, id: &str, now: u64) -> bool {
    registry.serving(SERVICE, now).any(|entry| &*entry.id == id)
}

#[test]
fn a_drain_holds_for_the_incarnation() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Serving), 0);
    registry.merge(written("a", 2, TargetState::Draining), 0);
    registry.merge(written("a", 3, TargetState::Serving), 0);
    assert!(!serves(&registry, "a", 0));
    let again = TargetRecord {
        id: "a".into(),
        entry: Some(entry("a", 2, TargetState::Serving)),
        revision: 4,
    };
    assert_eq!(registry.merge(again, 0), RecordChange::Added);
    assert!(serves(&registry, "a", 0));
}

#[test]
fn a_late_copy_does_not_bring_a_removed_target_back() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(removed("a", 5), 0);
    assert_eq!(registry.merge(written("a", 4, TargetState::Serving), 0), RecordChange::Unchanged);
    assert!(!serves(&registry, "a", 0));
}

#[test]
fn entries_that_lapsed_with_the_source_are_kept_until_targets_can_publish_again() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge_listing(
        vec![written("a", 1, TargetState::Serving), written("b", 2, TargetState::Serving)],
        2,
        0,
    );
    registry.source_lost();
    assert!(registry.source_reached(10_000));
    registry.merge_listing(vec![written("b", 2, TargetState::Serving)], 9, 10_000);
    assert!(serves(&registry, "a", 11_900));
    assert!(!serves(&registry, "a", 12_000));
    registry.merge(written("a", 11, TargetState::Serving), 12_500);
    assert!(serves(&registry, "a", 12_500));
}

#[test]
fn a_target_that_drained_does_not_come_back_by_lapsing() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Draining), 0);
    registry.source_lost();
    registry.source_reached(100);
    registry.merge(removed("a", 3), 200);
    assert!(!serves(&registry, "a", 200));
}

/// A router lost the source, a peer read it from then on; 30 s later a target
/// was removed and still got requests, as if the source were away.
#[test]
fn a_router_that_follows_a_peer_does_not_take_the_source_for_lost() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Serving), 0);
    registry.source_lost();
    registry.source_read_by_peer();
    assert_eq!(registry.merge(removed("a", 2), 30_000), RecordChange::Removed);
    assert!(!serves(&registry, "a", 30_000));
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_268),
        ..Config::default()
    })]

    /// Whatever the order and the duplicates, registries that got the same
    /// records serve the same targets: the newest record of each id decides.
    #[test]
    fn merging_does_not_depend_on_order(
        script in prop::collection::vec((0usize..4, 0u8..3), 1..30),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let records: Vec<TargetRecord> = script
            .iter()
            .enumerate()
            .map(|(at, (id, kind))| {
                let id = format!("t{id}");
                let revision = at as u64 + 1;
                match kind {
                    0 => written(&id, revision, TargetState::Serving),
                    1 => removed(&id, revision),
                    _ => TargetRecord {
                        id: id.as_str().into(),
                        entry: Some(entry(&id, revision, TargetState::Serving)),
                        revision,
                    },
                }
            })
            .collect();
        let mut ordered = TargetRegistry::new(RegistrySettings::default());
        let mut mixed = TargetRegistry::new(RegistrySettings::default());
        for pick in &picks {
            mixed.merge(pick.get(&records).clone(), 0);
        }
        for record in records.iter().rev() {
            mixed.merge(record.clone(), 0);
        }
        for record in &records {
            ordered.merge(record.clone(), 0);
        }
        let ids = |registry: &TargetRegistry| -> Vec<(Name, u64)> {
            registry.serving(SERVICE, 0).map(|e| (e.id.clone(), e.incarnation)).collect()
        };
        prop_assert_eq!(ids(&ordered), ids(&mixed));
        let passed_on = ordered.records_since(0);
        let mut third = TargetRegistry::new(RegistrySettings::default());
        for record in passed_on {
            third.merge(record, 0);
        }
        prop_assert_eq!(ids(&ordered), ids(&third));
    }
}
