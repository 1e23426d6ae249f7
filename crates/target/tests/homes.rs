//! Tests of the homes of prompt parts, with many more shared parts than one engine can
//! cache, and many routers that select targets without communicating.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::Name;
use common::entry;
use target::{
    InFlightLoad, LoadTracker, PromptPart, RequestProfile, SelectionQuery, SelectionSettings,
    TargetEntry, TargetIdHash, TargetState, select_target,
};

const TARGETS: u64 = 12;
const PARTS: u64 = 600;
/// Tokens of a shared part that has one home, and of one that has several.
const LARGE_PART: u32 = 5_000;
const SMALL_PART: u32 = 200;
/// Tokens of the part that belongs to one request alone.
const OWN_PART: u32 = 2_000;

fn targets(count: u64) -> Vec<Arc<TargetEntry>> {
    (0..count)
        .map(|index| Arc::new(entry(&format!("i-{index:04x}"), 1, TargetState::Serving)))
        .collect()
}

/// Returns the target of a prompt that begins with the shared part, in an idle
/// fleet.
fn home_of(part: u64, entries: &[Arc<TargetEntry>]) -> Name {
    select(&mut LoadTracker::default(), part, LARGE_PART, entries)
}

/// Returns the target of a prompt that begins with a shared part of `tokens` tokens,
/// under the loads in `tracker`.
fn select(tracker: &mut LoadTracker, part: u64, tokens: u32, entries: &[Arc<TargetEntry>]) -> Name {
    let profile = RequestProfile {
        prompt_tokens: tokens + OWN_PART,
        output_tokens: 100,
        parts: vec![PromptPart { id: part, tokens }, PromptPart { id: 1, tokens: OWN_PART }],
    };
    let query = SelectionQuery {
        profile: &profile,
        target_latency_ms: 600,
        engine_memory: Some(444_000),
        request_hash: 0,
        tried: &[],
        failure_domain: "a",
    };
    let selection =
        select_target(tracker, entries.iter(), &query, &SelectionSettings::default(), 0);
    Name::clone(&selection.expect("an idle target takes it").entry.id)
}

#[test]
fn parts_are_spread_evenly_and_routers_agree() {
    let entries = targets(TARGETS);
    let mut reversed = entries.clone();
    reversed.reverse();
    let mut counts: BTreeMap<Name, u64> = BTreeMap::new();
    for part in 0..PARTS {
        let home = home_of(part, &entries);
        assert_eq!(home, home_of(part, &reversed));
        *counts.entry(home).or_default() += 1;
    }
    let mean = PARTS / TARGETS;
    assert_eq!(counts.len() as u64, TARGETS);
    assert!(counts.values().all(|count| (mean / 2..mean * 2).contains(count)), "{counts:?}");
}

#[test]
fn removed_target_moves_only_its_own_parts() {
    let entries = targets(TARGETS);
    let fewer: Vec<_> = entries.iter().filter(|entry| &*entry.id != "i-0003").cloned().collect();
    for part in 0..PARTS {
        let before = home_of(part, &entries);
        if &*before != "i-0003" {
            assert_eq!(before, home_of(part, &fewer));
        }
    }
}

/// Records that a peer sent a prompt of `tokens` tokens to a target.
fn add_peer_load(tracker: &mut LoadTracker, entries: &[Arc<TargetEntry>], id: &Name, tokens: u64) {
    for entry in entries {
        tracker.key_for(entry);
    }
    let load = InFlightLoad {
        requests: 1,
        unread_tokens: tokens,
        memory_tokens: tokens,
        sent_tokens: tokens,
    };
    tracker.update_peer(&"router-2".into(), &[(TargetIdHash::new(id), load)], 0);
}

#[test]
fn small_parts_leave_a_busy_home_and_large_parts_stay() {
    let entries = targets(TARGETS);
    for part in 0..PARTS {
        let home = home_of(part, &entries);
        let mut tracker = LoadTracker::default();
        // The home is still expected to respond in time, but others sooner.
        add_peer_load(&mut tracker, &entries, &home, 10_000);
        assert_eq!(select(&mut tracker, part, LARGE_PART, &entries), home);
        assert_ne!(select(&mut tracker, part, SMALL_PART, &entries), home);
    }
}

#[test]
fn small_parts_are_kept_at_few_targets() {
    let entries = targets(TARGETS);
    let mut tracker = LoadTracker::default();
    let mut homes = BTreeSet::new();
    // Three requests at each of three homes; a target has four slots.
    for _ in 0..9 {
        let home = select(&mut tracker, 7, SMALL_PART, &entries);
        let key =
            tracker.key_for(entries.iter().find(|entry| entry.id == home).expect("it is listed"));
        let profile = RequestProfile { prompt_tokens: 500, ..RequestProfile::default() };
        tracker.start_request(key, &profile, 500, 0.0, 0);
        homes.insert(home);
    }
    assert_eq!(homes.len(), SelectionSettings::default().most_homes, "{homes:?}");
}

#[test]
fn part_leaves_a_home_that_would_respond_too_late() {
    let entries = targets(TARGETS);
    let home = home_of(1, &entries);
    let mut tracker = LoadTracker::default();
    add_peer_load(&mut tracker, &entries, &home, 60_000);
    assert_ne!(select(&mut tracker, 1, LARGE_PART, &entries), home);
}
