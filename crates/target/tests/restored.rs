//! Property test of registries while the source is restored from a copy: what is known to
//! have left stays away, what lives is used, also at a router that starts meanwhile.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{SERVICE, entry};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use target::{
    ERA_REVISIONS, RecordChange, RegistrySettings, RemovalNotice, TargetRecord, TargetRegistry,
    TargetState,
};

/// Time of the restoration in milliseconds, and that at which live targets have published
/// their entries again.
const RESTORED_AT: u64 = 10_000;
const REPUBLISHED_AT: u64 = 12_000;

/// What a target did last before the restoration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Lives,
    Drains,
    Left,
}

/// A target with its entry in the copy, and what it did after the copy was made.
#[derive(Clone, Debug)]
struct Life {
    is_in_copy: bool,
    fate: Fate,
}

fn lives() -> impl Strategy<Value = Vec<Life>> {
    let fate = prop_oneof![Just(Fate::Lives), Just(Fate::Drains), Just(Fate::Left)];
    let life = (any::<bool>(), fate).prop_map(|(is_in_copy, fate)| Life { is_in_copy, fate });
    prop::collection::vec(life, 1..12)
}

fn record(id: usize, state: Option<TargetState>, revision: u64) -> TargetRecord {
    let id = format!("t{id}");
    let entry = state.map(|state| entry(&id, 1, state));
    TargetRecord { id: id.as_str().into(), entry, revision }
}

fn serving(registry: &TargetRegistry, now: u64) -> BTreeSet<String> {
    registry.serving(SERVICE, now).map(|entry| entry.id.to_string()).collect()
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31_001),
        ..Config::default()
    })]

    #[test]
    fn restored_source_brings_back_no_target_that_left(lives in lives(), new_reads_first in any::<bool>()) {
        let mut old = TargetRegistry::new(RegistrySettings::default());
        let mut revision = 0;
        let mut write = |registry: &mut TargetRegistry, id, state, now| {
            revision += 1;
            registry.record_source_reached(now);
            registry.merge(record(id, state, revision), now);
            revision
        };
        let mut copy = BTreeMap::new();
        for (id, life) in lives.iter().enumerate().filter(|(_, life)| life.is_in_copy) {
            let written = write(&mut old, id, Some(TargetState::Serving), 1_000);
            copy.insert(id, (life, written));
        }
        for (id, _) in lives.iter().enumerate().filter(|(_, life)| !life.is_in_copy) {
            write(&mut old, id, Some(TargetState::Serving), 5_000);
        }
        for (id, life) in lives.iter().enumerate() {
            match life.fate {
                Fate::Lives => {}
                Fate::Drains => drop(write(&mut old, id, Some(TargetState::Draining), 8_000)),
                Fate::Left => drop(write(&mut old, id, None, 8_000)),
            }
        }
        // The source comes back from the copy, and gives out its revisions again.
        let listing: Vec<TargetRecord> = copy
            .iter()
            .map(|(id, (_, written))| record(*id, Some(TargetState::Serving), ERA_REVISIONS + written))
            .collect();
        let copied = ERA_REVISIONS + copy.len() as u64;
        old.record_source_restored(RESTORED_AT);
        old.record_source_reached(RESTORED_AT);
        old.merge_listing(listing.clone(), copied, RESTORED_AT);
        let mut new = TargetRegistry::new(RegistrySettings::default());
        let learn = |new: &mut TargetRegistry, old: &TargetRegistry| {
            new.record_peer_recovery(old.recovery_age(RESTORED_AT).unwrap_or(0), RESTORED_AT);
            for record in old.records_since(0) {
                new.merge(record, RESTORED_AT);
            }
            for left in old.left_targets(RESTORED_AT) {
                new.record_left(left, RESTORED_AT);
            }
        };
        if !new_reads_first {
            learn(&mut new, &old);
        }
        new.merge_listing(listing, copied, RESTORED_AT);
        if new_reads_first {
            learn(&mut new, &old);
        }
        for registry in [&old, &new] {
            for id in serving(registry, RESTORED_AT) {
                let index: usize = id[1..].parse().unwrap();
                prop_assert_eq!(lives[index].fate, Fate::Lives, "{} is used", id);
            }
        }
        // Those that live are used all the time by who knew them.
        let alive: BTreeSet<String> = lives
            .iter()
            .enumerate()
            .filter(|(_, life)| life.fate == Fate::Lives)
            .map(|(id, _)| format!("t{id}"))
            .collect();
        prop_assert_eq!(&serving(&old, RESTORED_AT), &alive);
        // They publish their entries again, and all routers use just them.
        let mut revision = copied;
        for (id, _) in lives.iter().enumerate().filter(|(_, life)| life.fate == Fate::Lives) {
            revision += 1;
            for registry in [&mut old, &mut new] {
                registry.merge(record(id, Some(TargetState::Serving), revision), REPUBLISHED_AT - 1);
            }
        }
        prop_assert_eq!(&serving(&old, REPUBLISHED_AT), &alive);
        prop_assert_eq!(&serving(&new, REPUBLISHED_AT), &alive);
    }
}

/// Guards against sound targets that are all dropped (LOST): a peer that started after the restoration
/// says what the copy has to a router that was never without the source.
#[test]
fn entries_newer_than_the_copy_are_kept_if_a_new_peer_reads_it_first() {
    let copied = ERA_REVISIONS + 1;
    let removals = RemovalNotice { since: copied, present: Some(Vec::new()) };
    let mut registry = TargetRegistry::new(RegistrySettings::default());
    registry.merge_listing(vec![record(0, Some(TargetState::Serving), 5)], 5, 1_000);
    let changes = registry.merge_peer_changes(Vec::new(), copied, Some(removals), RESTORED_AT);
    assert_eq!(changes, [("t0".into(), RecordChange::Lapsed)]);
    assert_eq!(serving(&registry, REPUBLISHED_AT - 1).len(), 1);
    assert!(serving(&registry, REPUBLISHED_AT).is_empty());
    // Nothing that a router reads first can be missing.
    let mut new = TargetRegistry::new(RegistrySettings::default());
    new.merge_listing(vec![record(0, Some(TargetState::Serving), copied)], copied, RESTORED_AT);
    assert_eq!(new.merge(record(0, None, copied + 1), RESTORED_AT), RecordChange::Removed);
}
