//! Homes of prompt parts. Load pattern: many more shared parts than one engine
//! keeps, many routers that choose without asking each other.

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
/// Tokens of a shared part that is kept at one home, and at several.
const LARGE_PART: u32 = 5_000;
const SMALL_PART: u32 = 200;
/// Tokens of a request's own part.
const OWN_PART: u32 = 2_000;

fn targets(count: u64) -> Vec<Arc<TargetEntry>> {
    (0..count)
        .map(|index| Arc::new(entry(&format!("i-{index:04x}"), 1, TargetState::Serving)))
        .collect()
}

/// Where an idle fleet sends a prompt that begins with the shared part.
fn home_of(part: u64, entries: &[Arc<TargetEntry>]) -> Name {
    place(&mut LoadTracker::default(), part, LARGE_PART, entries)
}

/// Where a fleet under load sends a prompt that begins with a shared part of so
/// many tokens.
fn place(book: &mut LoadTracker, part: u64, tokens: u32, entries: &[Arc<TargetEntry>]) -> Name {
    let profile = RequestProfile {
        prompt_tokens: tokens + OWN_PART,
        output_tokens: 100,
        parts: vec![PromptPart { id: part, tokens }, PromptPart { id: 1, tokens: OWN_PART }],
    };
    let question = SelectionQuery {
        profile: &profile,
        target_latency_ms: 600,
        engine_memory: Some(444_000),
        request_hash: 0,
        tried: &[],
        failure_domain: "a",
    };
    let placed = select_target(book, entries.iter(), &question, &SelectionSettings::default(), 0);
    Name::clone(&placed.expect("an idle target takes it").entry.id)
}

#[test]
fn parts_are_spread_evenly_and_routers_agree() {
    let entries = targets(TARGETS);
    let mut backwards = entries.clone();
    backwards.reverse();
    let mut counts: BTreeMap<Name, u64> = BTreeMap::new();
    for part in 0..PARTS {
        let home = home_of(part, &entries);
        assert_eq!(home, home_of(part, &backwards));
        *counts.entry(home).or_default() += 1;
    }
    let usual = PARTS / TARGETS;
    assert_eq!(counts.len() as u64, TARGETS);
    assert!(counts.values().all(|count| (usual / 2..usual * 2).contains(count)), "{counts:?}");
}

#[test]
fn a_target_that_goes_moves_only_its_own_parts() {
    let entries = targets(TARGETS);
    let fewer: Vec<_> = entries.iter().filter(|entry| &*entry.id != "i-0003").cloned().collect();
    for part in 0..PARTS {
        let before = home_of(part, &entries);
        if &*before != "i-0003" {
            assert_eq!(before, home_of(part, &fewer));
        }
    }
}

/// A peer sends a prompt of so many tokens to a target.
fn load(book: &mut LoadTracker, entries: &[Arc<TargetEntry>], id: &Name, tokens: u64) {
    for entry in entries {
        book.key_for(entry);
    }
    let load = InFlightLoad {
        requests: 1,
        unread_tokens: tokens,
        memory_tokens: tokens,
        sent_tokens: tokens,
    };
    book.update_peer(&"router-2".into(), &[(TargetIdHash::new(id), load)], 0);
}

#[test]
fn small_parts_leave_a_busy_home_and_large_ones_stay() {
    let entries = targets(TARGETS);
    for part in 0..PARTS {
        let home = home_of(part, &entries);
        let mut book = LoadTracker::default();
        // Still in time, but others would answer sooner.
        load(&mut book, &entries, &home, 10_000);
        assert_eq!(place(&mut book, part, LARGE_PART, &entries), home);
        assert_ne!(place(&mut book, part, SMALL_PART, &entries), home);
    }
}

#[test]
fn small_parts_are_kept_at_few_targets() {
    let entries = targets(TARGETS);
    let mut book = LoadTracker::default();
    let mut homes = BTreeSet::new();
    // Three at each of three homes; an entry has four slots.
    for _ in 0..9 {
        let home = place(&mut book, 7, SMALL_PART, &entries);
        let key =
            book.key_for(entries.iter().find(|entry| entry.id == home).expect("it is listed"));
        let profile = RequestProfile { prompt_tokens: 500, ..RequestProfile::default() };
        book.start_request(key, &profile, 500, 0.0, 0);
        homes.insert(home);
    }
    assert_eq!(homes.len(), SelectionSettings::default().most_homes, "{homes:?}");
}

#[test]
fn a_part_whose_home_would_be_late_goes_elsewhere() {
    let entries = targets(TARGETS);
    let home = home_of(1, &entries);
    let mut book = LoadTracker::default();
    load(&mut book, &entries, &home, 60_000);
    assert_ne!(place(&mut book, 1, LARGE_PART, &entries), home);
}
