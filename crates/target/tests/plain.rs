//! Plain services beside the engines. Load pattern: many routers, few targets
//! with few slots, and requests that take less time than a router's knowledge
//! of the load is old.

mod common;

use std::sync::Arc;

use common::entry;
use target::{
    LoadReport, LoadTracker, RequestProfile, SelectionError, SelectionQuery, SelectionSettings,
    TargetEntry, TargetSelection, TargetState, select_target,
};

fn targets() -> Vec<Arc<TargetEntry>> {
    let ids = ["i-1", "i-2", "i-3"];
    ids.iter().map(|id| Arc::new(entry(id, 1, TargetState::Serving))).collect()
}

fn place(
    book: &mut LoadTracker,
    entries: &[Arc<TargetEntry>],
    engine_memory: Option<u64>,
    request_hash: u64,
) -> Result<TargetSelection, SelectionError> {
    let profile = RequestProfile::default();
    let question = SelectionQuery {
        profile: &profile,
        target_latency_ms: 120,
        engine_memory,
        request_hash,
        tried: &[],
        failure_domain: "a",
    };
    select_target(book, entries.iter(), &question, &SelectionSettings::default(), 1_000)
}

/// Each target once said that it has so many requests, 900 ms ago.
fn loaded(entries: &[Arc<TargetEntry>], running: u32) -> LoadTracker {
    let mut book = LoadTracker::default();
    for entry in entries {
        let key = book.key_for(entry);
        book.record_report(key, LoadReport { running, waiting: 0, slots: entry.slots }, 100);
    }
    book
}

#[test]
fn a_short_peak_of_all_plain_targets_refuses_nobody() {
    let entries = targets();
    let mut book = loaded(&entries, 5);
    assert!(place(&mut book, &entries, None, 0).is_ok());
}

#[test]
fn engines_with_all_slots_taken_get_no_more() {
    let entries = targets();
    let mut book = loaded(&entries, 5);
    let placed = place(&mut book, &entries, Some(444_000), 0);
    assert!(matches!(placed, Err(SelectionError::Full { .. })), "{placed:?}");
}

#[test]
fn plain_targets_with_long_queues_get_no_more() {
    let entries = targets();
    let mut book = loaded(&entries, 17);
    let placed = place(&mut book, &entries, None, 0);
    assert!(matches!(placed, Err(SelectionError::Full { .. })), "{placed:?}");
}

/// Load pattern: many routers, each with few requests and nothing heard of the
/// others' yet.
#[test]
fn idle_targets_are_used_evenly() {
    let entries = targets();
    let mut counts = [0; 3];
    for request in 0..300 {
        let mut book = LoadTracker::default();
        let request_hash = base::stable_hash(&[&format!("request-{request}")]);
        let placed = place(&mut book, &entries, None, request_hash).expect("all are idle");
        let at = entries.iter().position(|entry| entry.id == placed.entry.id);
        counts[at.expect("it is listed")] += 1;
    }
    assert!(counts.iter().all(|count| (60..140).contains(count)), "{counts:?}");
}
