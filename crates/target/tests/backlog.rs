//! What an engine has still to read. Load pattern: prompts of very different
//! length from many routers, read in order of arrival.

mod common;

use base::Millis;
use common::entry;
use target::{
    InFlightLoad, LoadTracker, OutstandingKey, RequestProfile, TargetIdHash, TargetKey, TargetState,
};

fn book() -> (LoadTracker, TargetKey) {
    let mut book = LoadTracker::default();
    let key = book.key_for(&entry("i-1", 1, TargetState::Serving));
    (book, key)
}

fn send(book: &mut LoadTracker, key: TargetKey, tokens: u32, now: Millis) -> OutstandingKey {
    let profile = RequestProfile { prompt_tokens: tokens, ..RequestProfile::default() };
    book.start_request(key, &profile, tokens, 60.0, now).expect("the target is known")
}

fn unread(book: &LoadTracker, key: TargetKey, now: Millis) -> f64 {
    book.get(key).expect("the target is known").unread_tokens(now)
}

fn word(requests: u32, unread_tokens: u64, sent_tokens: u64) -> [(TargetIdHash, InFlightLoad); 1] {
    let load = InFlightLoad { requests, unread_tokens, memory_tokens: unread_tokens, sent_tokens };
    [(TargetIdHash::new("i-1"), load)]
}

#[test]
fn a_peer_s_long_prompt_counts_less_as_it_is_read() {
    let (mut book, key) = book();
    book.update_peer(&"router-2".into(), &word(1, 20_000, 20_000), 0);
    assert!((unread(&book, key, 0) - 20_000.0).abs() < 1.0);
    // 100 tokens in a millisecond before any was measured.
    assert!((unread(&book, key, 100) - 10_000.0).abs() < 1.0);
    assert!(unread(&book, key, 250) < 1.0);
}

#[test]
fn only_what_a_peer_sent_since_its_last_message_is_added() {
    let (mut book, key) = book();
    book.update_peer(&"router-2".into(), &word(1, 20_000, 20_000), 0);
    book.update_peer(&"router-2".into(), &word(2, 21_000, 21_000), 200);
    assert!((unread(&book, key, 200) - 1_000.0).abs() < 1.0);
}

#[test]
fn a_first_byte_says_that_all_before_it_was_read() {
    let (mut book, key) = book();
    let first = send(&mut book, key, 30_000, 0);
    send(&mut book, key, 2_000, 50);
    book.record_first_byte(key, first, 80);
    let left = unread(&book, key, 80);
    assert!((left - 2_000.0).abs() < 1.0, "{left}");
}

#[test]
fn nothing_behind_an_unanswered_request_was_read() {
    let (mut book, key) = book();
    send(&mut book, key, 1_000, 0);
    book.update_peer(&"router-2".into(), &word(1, 5_000, 5_000), 10);
    // The target stands still: at its usual rate all would be read by now.
    let left = unread(&book, key, 900);
    assert!((left - 5_000.0).abs() < 1.0, "{left}");
}

#[test]
fn no_more_is_unread_than_what_has_no_answer() {
    let (mut book, key) = book();
    book.update_peer(&"router-2".into(), &word(1, 20_000, 20_000), 0);
    book.update_peer(&"router-2".into(), &word(1, 0, 20_000), 20);
    assert!(unread(&book, key, 20) < 1.0);
}
