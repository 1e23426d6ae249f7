//! Registry of published targets: merging, draining and expired entries.

mod common;

use base::Name;
use common::{SERVICE, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use target::{
    ERA_REVISIONS, RecordChange, RegistrySettings, RemovalNotice, TargetEntry, TargetRecord,
    TargetRegistry, TargetState,
};

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
fn draining_holds_for_the_incarnation() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Serving), 0);
    registry.merge(written("a", 2, TargetState::Draining), 0);
    registry.merge(written("a", 3, TargetState::Serving), 0);
    assert!(!serves(&registry, "a", 0));
    let restarted = TargetRecord {
        id: "a".into(),
        entry: Some(entry("a", 2, TargetState::Serving)),
        revision: 4,
    };
    assert_eq!(registry.merge(restarted, 0), RecordChange::Added);
    assert!(serves(&registry, "a", 0));
}

#[test]
fn delayed_record_does_not_restore_a_removed_target() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(removed("a", 5), 0);
    assert_eq!(registry.merge(written("a", 4, TargetState::Serving), 0), RecordChange::Unchanged);
    assert!(!serves(&registry, "a", 0));
}

#[test]
fn entries_expired_in_a_source_outage_are_kept_until_republication() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge_listing(
        vec![written("a", 1, TargetState::Serving), written("b", 2, TargetState::Serving)],
        2,
        0,
    );
    registry.record_source_lost(0);
    registry.record_source_reached(10_000);
    registry.merge_listing(vec![written("b", 2, TargetState::Serving)], 9, 10_000);
    assert!(serves(&registry, "a", 11_900));
    assert!(!serves(&registry, "a", 12_000));
    registry.merge(written("a", 11, TargetState::Serving), 12_500);
    assert!(serves(&registry, "a", 12_500));
}

#[test]
fn draining_target_is_not_kept_when_its_entry_expires() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Draining), 0);
    registry.record_source_lost(0);
    registry.record_source_reached(10_000);
    registry.merge(removed("a", 3), 10_100);
    assert!(!serves(&registry, "a", 10_100));
}

/// Guards against requests to a removed target: a router lost the source, a peer
/// read it from then on, and a removal 30 s later was still taken for an effect of
/// an unavailable source.
#[test]
fn source_read_by_a_peer_is_not_unavailable() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Serving), 0);
    registry.record_source_lost(0);
    registry.record_source_read_by_peer(50, 100);
    assert_eq!(registry.merge(removed("a", 2), 30_000), RecordChange::Removed);
    assert!(!serves(&registry, "a", 30_000));
}

/// Guards against requests to a target that has left: its entry was removed after one
/// failed read, such as a watch that was cut, which expires no entry.
#[test]
fn short_outage_expires_no_entries() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.record_source_reached(0);
    registry.merge(written("a", 1, TargetState::Serving), 0);
    registry.record_source_lost(900);
    registry.record_source_reached(1_100);
    assert_eq!(registry.merge(removed("a", 2), 1_200), RecordChange::Removed);
    assert!(!serves(&registry, "a", 1_200));
}

/// Guards against requests to a target that is gone for minutes: an entry that had expired
/// was used again at the next failed read.
#[test]
fn expired_entry_is_not_used_in_a_later_outage() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Serving), 0);
    registry.record_source_lost(0);
    registry.record_source_reached(5_000);
    assert_eq!(registry.merge(removed("a", 2), 5_000), RecordChange::Lapsed);
    assert!(serves(&registry, "a", 6_900));
    assert!(!serves(&registry, "a", 7_000));
    registry.record_source_lost(9_000);
    assert!(!serves(&registry, "a", 9_000));
    registry.record_source_reached(20_000);
    assert!(!serves(&registry, "a", 20_000));
}

/// The source is lost again before the targets have published their entries.
#[test]
fn outage_before_an_entry_expires_holds_it() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 1, TargetState::Serving), 0);
    registry.record_source_lost(0);
    registry.record_source_reached(5_000);
    registry.merge(removed("a", 2), 5_000);
    registry.record_source_lost(6_000);
    assert!(serves(&registry, "a", 20_000));
    registry.record_source_reached(20_000);
    assert!(serves(&registry, "a", 21_900));
    assert!(!serves(&registry, "a", 22_000));
}

/// Guards against requests to a draining target: an instance that started after the source
/// was restored from a copy read there that the target serves, and learned nothing else
/// from its peers.
#[test]
fn draining_is_passed_on_after_the_source_was_restored() {
    let mut old = TargetRegistry::new(RegistrySettings::default());
    old.merge(written("a", 10, TargetState::Draining), 0);
    old.merge(written("a", 1_008, TargetState::Serving), 0);
    let mut new = TargetRegistry::new(RegistrySettings::default());
    new.merge(written("a", 1_008, TargetState::Serving), 0);
    assert!(serves(&new, "a", 0));
    let [record] = &old.records_since(0)[..] else { panic!("one record") };
    assert_eq!(new.merge(record.clone(), 0), RecordChange::Draining);
    assert!(!serves(&new, "a", 0));
    assert_eq!(new.merge(record.clone(), 0), RecordChange::Unchanged);
}

/// Guards against requests to a target that leaves: what is written after a wait for a
/// connection was decided before it.
#[test]
fn selected_target_is_checked_again_before_the_write() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    let selected = entry("a", 1, TargetState::Serving);
    registry.merge(written("a", 1, TargetState::Serving), 0);
    assert!(registry.may_serve(&selected, 0));
    registry.merge(written("a", 2, TargetState::Draining), 300);
    assert!(!registry.may_serve(&selected, 300));
    // It starts again under the same id; what was selected is the process before.
    let restarted = Some(entry("a", 2, TargetState::Serving));
    registry.merge(TargetRecord { id: "a".into(), entry: restarted, revision: 3 }, 400);
    assert!(!registry.may_serve(&selected, 400));
    assert!(registry.may_serve(&entry("a", 2, TargetState::Serving), 400));
    registry.merge(removed("a", 4), 500);
    assert!(!registry.may_serve(&entry("a", 2, TargetState::Serving), 500));
}

/// Returns the record of an era of the source.
fn in_era(era: u64, record: TargetRecord) -> TargetRecord {
    TargetRecord { revision: era * ERA_REVISIONS + record.revision, ..record }
}

/// Guards against requests to a target that left: the source was restored from a copy that
/// still had its entry.
#[test]
fn copied_entry_of_a_target_that_left_is_not_used() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 10, TargetState::Serving), 0);
    registry.merge(removed("a", 20), 1_000);
    let copied = in_era(1, written("a", 10, TargetState::Serving));
    assert_eq!(registry.merge(copied.clone(), 2_000), RecordChange::Held);
    assert!(!serves(&registry, "a", 6_900));
    // An instance that started meanwhile learns it from this one.
    let mut new = TargetRegistry::new(RegistrySettings::default());
    new.merge(copied, 2_100);
    assert!(serves(&new, "a", 2_100));
    registry.left_targets(2_200).into_iter().for_each(|left| new.record_left(left, 2_200));
    assert!(!serves(&new, "a", 7_100));
    // One that is still there after the lease of a copied entry lives.
    assert!(serves(&registry, "a", 7_000));
    assert!(serves(&new, "a", 7_200));
}

#[test]
fn target_that_publishes_itself_again_is_used_at_once() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 10, TargetState::Serving), 0);
    registry.merge(removed("a", 20), 1_000);
    // In the same era.
    registry.merge(written("a", 21, TargetState::Serving), 1_100);
    assert!(serves(&registry, "a", 1_100));
    registry.merge(removed("a", 22), 1_200);
    // In the era of a copy, after it.
    registry.merge(in_era(1, written("a", 10, TargetState::Serving)), 2_000);
    assert!(!serves(&registry, "a", 2_000));
    registry.merge(in_era(1, written("a", 12, TargetState::Serving)), 2_500);
    assert!(serves(&registry, "a", 2_500));
    registry.left_targets(2_600).into_iter().for_each(|left| registry.record_left(left, 2_600));
    assert!(serves(&registry, "a", 2_600), "what a peer says is older");
}

#[test]
fn another_incarnation_is_no_copy() {
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge(written("a", 10, TargetState::Serving), 0);
    registry.merge(removed("a", 20), 1_000);
    let entry = Some(entry("a", 2, TargetState::Serving));
    let restarted = in_era(1, TargetRecord { id: "a".into(), entry, revision: 12 });
    assert_eq!(registry.merge(restarted, 2_000), RecordChange::Added);
    assert!(serves(&registry, "a", 2_000));
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_268),
        ..Config::default()
    })]

    /// Registries that merge the same records serve the same targets, whatever the
    /// order and the duplicates: the newest record of each id decides.
    #[test]
    fn merging_does_not_depend_on_order(
        steps in prop::collection::vec((0usize..4, 0u8..3), 1..30),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let records: Vec<TargetRecord> = steps
            .iter()
            .enumerate()
            .map(|(index, (id, kind))| {
                let id = format!("t{id}");
                let revision = index as u64 + 1;
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
        let mut shuffled = TargetRegistry::new(RegistrySettings::default());
        for pick in &picks {
            shuffled.merge(pick.get(&records).clone(), 0);
        }
        for record in records.iter().rev() {
            shuffled.merge(record.clone(), 0);
        }
        for record in &records {
            ordered.merge(record.clone(), 0);
        }
        let ids = |registry: &TargetRegistry| -> Vec<(Name, u64)> {
            registry.serving(SERVICE, 0).map(|e| (e.id.clone(), e.incarnation)).collect()
        };
        prop_assert_eq!(ids(&ordered), ids(&shuffled));
        let records_for_peer = ordered.records_since(0);
        let mut peer = TargetRegistry::new(RegistrySettings::default());
        for record in records_for_peer {
            peer.merge(record, 0);
        }
        prop_assert_eq!(ids(&ordered), ids(&peer));
    }
}

/// Guards against a router that goes on with an unknown software version (ORDER): the peer that
/// sent the entry first was of an earlier build and did not tell the version, and the next record
/// has the same revision.
#[test]
fn software_version_that_a_later_record_tells_is_a_change() {
    let mut registry = TargetRegistry::default();
    let told = entry("t-1", 1, TargetState::Serving);
    let untold = TargetEntry { software_version: "".into(), ..told.clone() };
    let record = |entry| TargetRecord { id: "t-1".into(), entry: Some(entry), revision: 5 };
    assert_eq!(registry.merge(record(untold.clone()), 0), RecordChange::Added);
    assert_eq!(registry.merge(record(told.clone()), 10), RecordChange::Updated);
    assert_eq!(registry.known().collect::<Vec<_>>(), [&told]);
    assert_eq!(registry.merge(record(untold), 20), RecordChange::Unchanged);
    assert_eq!(registry.known().collect::<Vec<_>>(), [&told]);
}

/// Guards against a target that left and is used again without a new start (DRAIN): by an entry of an
/// earlier or unknown incarnation, or after many other targets have left.
#[test]
fn leaving_is_undone_by_a_new_incarnation_alone() {
    let settings = RegistrySettings { max_tombstones: 1, ..RegistrySettings::default() };
    let mut registry = TargetRegistry::new(settings);
    let of_incarnation = |incarnation: u64, revision: u64, state: TargetState| TargetRecord {
        id: "a".into(),
        entry: Some(entry("a", incarnation, state)),
        revision,
    };
    registry.merge(of_incarnation(2, 1, TargetState::Draining), 0);
    for (revision, incarnation) in [(2, 0), (3, 1), (4, 2)] {
        registry.merge(of_incarnation(incarnation, revision, TargetState::Serving), 0);
        assert!(!serves(&registry, "a", 0), "incarnation {incarnation}");
    }
    for (revision, id) in [(5, "a"), (6, "b"), (7, "c")] {
        registry.merge(written(id, revision, TargetState::Serving), 0);
        registry.merge(removed(id, 10 + revision), 0);
    }
    // Long after the time for which removals are remembered.
    let now = 3_600_000;
    registry.merge(in_era(1, of_incarnation(2, 1, TargetState::Serving)), now);
    assert!(!serves(&registry, "a", now), "after other targets have left");
    registry.merge(in_era(1, of_incarnation(3, 2, TargetState::Serving)), now);
    assert!(serves(&registry, "a", now), "it has started again");
}

/// Guards against sound targets that are all dropped (LOST): their entries expired in an outage of the
/// source, and a peer that started after it says that they are missing.
#[test]
fn entries_that_a_new_peer_misses_after_an_outage_are_kept_until_republication() {
    for (was_lost, follows_first) in [(true, true), (true, false), (false, false)] {
        let mut registry = TargetRegistry::new(RegistrySettings::default());
        registry.record_source_reached(0);
        registry.merge_listing(vec![written("a", 1, TargetState::Serving)], 2, 0);
        if was_lost {
            registry.record_source_lost(100);
        }
        if follows_first {
            registry.record_source_read_by_peer(0, 10_000);
        }
        let removals = RemovalNotice { since: 9, present: Some(Vec::new()) };
        registry.merge_peer_changes(Vec::new(), 9, Some(removals), 10_000);
        assert_eq!(serves(&registry, "a", 10_000), was_lost, "follows first: {follows_first}");
        registry.record_source_read_by_peer(0, 12_000);
        assert!(!serves(&registry, "a", 12_000));
    }
}
