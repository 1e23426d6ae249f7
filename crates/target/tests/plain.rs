//! Tests of targets of plain services compared with engines, with many routers, few
//! targets with few slots, and requests that take less time than the age of the
//! load data.

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

fn select(
    tracker: &mut LoadTracker,
    entries: &[Arc<TargetEntry>],
    engine_memory: Option<u64>,
    request_hash: u64,
) -> Result<TargetSelection, SelectionError> {
    let profile = RequestProfile::default();
    let query = SelectionQuery {
        profile: &profile,
        target_latency_ms: 120,
        engine_memory,
        request_hash,
        tried: &[],
        failure_domain: "a",
    };
    select_target(tracker, entries.iter(), &query, &SelectionSettings::default(), 1_000)
}

/// Returns a tracker in which each target reported `running` requests 900 ms ago.
fn loaded_tracker(entries: &[Arc<TargetEntry>], running: u32) -> LoadTracker {
    let mut tracker = LoadTracker::default();
    for entry in entries {
        let key = tracker.key_for(entry);
        tracker.record_report(
            key,
            LoadReport { running, waiting: 0, slots: entry.slots, slow_percent: None },
            100,
        );
    }
    tracker
}

#[test]
fn plain_targets_with_short_queues_accept_requests() {
    let entries = targets();
    let mut tracker = loaded_tracker(&entries, 5);
    assert!(select(&mut tracker, &entries, None, 0).is_ok());
}

/// Engines queue half as many requests as they have slots, and no more.
#[test]
fn engines_with_short_queues_accept_requests_and_others_are_full() {
    let entries = targets();
    let mut queued = loaded_tracker(&entries, 5);
    assert!(select(&mut queued, &entries, Some(444_000), 0).is_ok());
    let mut full = loaded_tracker(&entries, 6);
    let selection = select(&mut full, &entries, Some(444_000), 0);
    assert!(matches!(selection, Err(SelectionError::Full { .. })), "{selection:?}");
    assert!(select(&mut full, &entries, None, 0).is_ok(), "a plain target has a longer queue");
}

#[test]
fn plain_targets_with_long_queues_are_full() {
    let entries = targets();
    let mut tracker = loaded_tracker(&entries, 17);
    let selection = select(&mut tracker, &entries, None, 0);
    assert!(matches!(selection, Err(SelectionError::Full { .. })), "{selection:?}");
}

/// Covers many routers, each with few requests and no load data of its peers yet.
#[test]
fn idle_targets_are_used_evenly() {
    let entries = targets();
    let mut counts = [0; 3];
    for request in 0..300 {
        let mut tracker = LoadTracker::default();
        let request_hash = base::stable_hash(&[&format!("request-{request}")]);
        let selection = select(&mut tracker, &entries, None, request_hash).expect("all are idle");
        let index = entries.iter().position(|entry| entry.id == selection.entry.id);
        counts[index.expect("it is listed")] += 1;
    }
    assert!(counts.iter().all(|count| (60..140).contains(count)), "{counts:?}");
}
