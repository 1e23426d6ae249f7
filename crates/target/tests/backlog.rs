//! Tests of the prompt tokens that an engine has yet to process, for prompts of very
//! different length that come from many routers and are processed in order of
//! arrival.

mod common;

use base::Millis;
use common::entry;
use target::{
    InFlightLoad, LoadTracker, OutstandingKey, RequestProfile, TargetIdHash, TargetKey, TargetState,
};

fn tracker() -> (LoadTracker, TargetKey) {
    let mut tracker = LoadTracker::default();
    let key = tracker.key_for(&entry("i-1", 1, TargetState::Serving));
    (tracker, key)
}

fn send(tracker: &mut LoadTracker, key: TargetKey, tokens: u32, now: Millis) -> OutstandingKey {
    let profile = RequestProfile { prompt_tokens: tokens, ..RequestProfile::default() };
    tracker.start_request(key, &profile, tokens, 60.0, now).expect("the target is known")
}

fn unread(tracker: &LoadTracker, key: TargetKey, now: Millis) -> f64 {
    tracker.get(key).expect("the target is known").unread_tokens(now)
}

fn message(
    requests: u32,
    unread_tokens: u64,
    sent_tokens: u64,
) -> [(TargetIdHash, InFlightLoad); 1] {
    let load = InFlightLoad { requests, unread_tokens, memory_tokens: unread_tokens, sent_tokens };
    [(TargetIdHash::new("i-1"), load)]
}

#[test]
fn long_prompt_of_a_peer_counts_less_while_it_is_processed() {
    let (mut tracker, key) = tracker();
    tracker.update_peer(&"router-2".into(), &message(1, 20_000, 20_000), 0);
    assert!((unread(&tracker, key, 0) - 20_000.0).abs() < 1.0);
    // The initial estimate is 100 tokens per millisecond.
    assert!((unread(&tracker, key, 100) - 10_000.0).abs() < 1.0);
    assert!(unread(&tracker, key, 250) < 1.0);
}

#[test]
fn peer_message_adds_only_tokens_sent_since_the_last_one() {
    let (mut tracker, key) = tracker();
    tracker.update_peer(&"router-2".into(), &message(1, 20_000, 20_000), 0);
    tracker.update_peer(&"router-2".into(), &message(2, 21_000, 21_000), 200);
    assert!((unread(&tracker, key, 200) - 1_000.0).abs() < 1.0);
}

#[test]
fn first_byte_removes_all_prompts_sent_before() {
    let (mut tracker, key) = tracker();
    let first = send(&mut tracker, key, 30_000, 0);
    send(&mut tracker, key, 2_000, 50);
    tracker.record_first_byte(key, first, 80);
    let remaining = unread(&tracker, key, 80);
    assert!((remaining - 2_000.0).abs() < 1.0, "{remaining}");
}

#[test]
fn prompts_sent_after_an_unanswered_request_still_count() {
    let (mut tracker, key) = tracker();
    send(&mut tracker, key, 1_000, 0);
    tracker.update_peer(&"router-2".into(), &message(1, 5_000, 5_000), 10);
    // The target is stuck: at its usual rate it would have processed everything.
    let remaining = unread(&tracker, key, 900);
    assert!((remaining - 5_000.0).abs() < 1.0, "{remaining}");
}

#[test]
fn unread_tokens_never_exceed_those_of_unanswered_requests() {
    let (mut tracker, key) = tracker();
    tracker.update_peer(&"router-2".into(), &message(1, 20_000, 20_000), 0);
    tracker.update_peer(&"router-2".into(), &message(1, 0, 20_000), 20);
    assert!(unread(&tracker, key, 20) < 1.0);
}
