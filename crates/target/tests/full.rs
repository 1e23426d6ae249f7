//! Tests of what makes targets full: requests of this router, requests that peers
//! announce, reports, and memory.

mod common;

use std::sync::Arc;

use common::entry;
use target::{
    FullCounts, InFlightLoad, LoadReport, LoadTracker, RequestProfile, SelectionError,
    SelectionQuery, SelectionSettings, TargetIdHash, TargetState, select_target,
};

const ENGINE_MEMORY: u64 = 10_000;

/// Guards against log lines that name the wrong cause of a full target.
#[test]
fn full_targets_are_counted_by_cause() {
    let ids = ["i-own", "i-announced", "i-reported", "i-memory"];
    let entries = ids.map(|id| Arc::new(entry(id, 1, TargetState::Serving)));
    let mut tracker = LoadTracker::default();
    let keys = entries.each_ref().map(|entry| tracker.key_for(entry));
    let profile = RequestProfile::default();
    for _ in 0..4 {
        tracker.start_request(keys[0], &profile, 0, 0.0, 1_000);
    }
    tracker.start_request(keys[1], &profile, 0, 0.0, 1_000);
    let load = |requests, memory_tokens| InFlightLoad {
        requests,
        unread_tokens: 0,
        memory_tokens,
        sent_tokens: 0,
    };
    let announced =
        [(TargetIdHash::new(ids[1]), load(3, 0)), (TargetIdHash::new(ids[3]), load(1, 9_000))];
    tracker.update_peer(&"router-2".into(), &announced, 1_000);
    let report = LoadReport { running: 2, waiting: 2, slots: 4 };
    tracker.record_report(keys[2], report, 1_000);
    let query = SelectionQuery {
        profile: &profile,
        target_latency_ms: 300,
        engine_memory: Some(ENGINE_MEMORY),
        request_hash: 0,
        tried: &[],
        failure_domain: "a",
    };
    let settings = SelectionSettings::default();
    let selection = select_target(&mut tracker, entries.iter(), &query, &settings, 1_000);
    let expected = FullCounts { own: 1, announced: 1, reported: 1, memory: 1 };
    let Err(SelectionError::Full { counts, .. }) = selection else { panic!("{selection:?}") };
    assert_eq!(counts, expected);
}
