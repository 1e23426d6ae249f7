//! Tests of what makes targets full: requests of this router, requests that peers
//! announce, reports, and memory; and of the mean over all targets.

mod common;

use std::sync::Arc;

use common::entry;
use target::{
    FullCounts, InFlightLoad, LoadReport, LoadTracker, RequestProfile, SelectionError,
    SelectionQuery, SelectionSettings, TargetIdHash, TargetState, mean_fullness, select_target,
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
    let report = LoadReport { running: 2, waiting: 2, slots: 4, slow_percent: None };
    tracker.record_report(keys[2], report, 1_000);
    let query = SelectionQuery {
        profile: &profile,
        target_latency_ms: 300,
        engine_memory: Some(ENGINE_MEMORY),
        request_hash: 0,
        tried: &[],
        failure_domain: "a",
    };
    let settings = SelectionSettings { slot_share: 1.0, ..SelectionSettings::default() };
    let selection = select_target(&mut tracker, entries.iter(), &query, &settings, 1_000);
    let expected = FullCounts { own: 1, announced: 1, reported: 1, memory: 1 };
    let Err(SelectionError::Full { counts, .. }) = selection else { panic!("{selection:?}") };
    assert_eq!(counts, expected);
}

/// Guards against a mean that depends on which router sent the requests: one that
/// sent all of them would then grant less than its peers do.
#[test]
fn mean_fullness_is_the_same_for_the_sender_and_its_peers() {
    let entries = ["i-1", "i-2", "i-3"].map(|id| Arc::new(entry(id, 1, TargetState::Serving)));
    let settings = SelectionSettings::default();
    let profile = RequestProfile { prompt_tokens: 500, ..RequestProfile::default() };
    let mut sender = LoadTracker::default();
    let mut peer = LoadTracker::default();
    for entry in &entries {
        peer.key_for(entry);
    }
    let key = sender.key_for(&entries[0]);
    for _ in 0..6 {
        sender.start_request(key, &profile, 500, 0.0, 1_000);
    }
    // Only the sender has a report of the target.
    let report = LoadReport { running: 4, waiting: 8, slots: 4, slow_percent: None };
    sender.record_report(key, report, 1_000);
    peer.update_peer(&"sender".into(), &sender.own_loads(), 1_000);
    let mean = |tracker: &mut LoadTracker| {
        mean_fullness(tracker, entries.iter(), Some(ENGINE_MEMORY), &settings)
    };
    // Six requests at four slots, and two idle targets.
    assert_eq!(mean(&mut sender), 0.5);
    assert_eq!(mean(&mut peer), 0.5);
}
