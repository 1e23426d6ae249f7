//! A request that a router could not send for a lack of its own leaves no trace at its
//! target.

mod common;

use common::entry;
use target::{
    HealthSettings, LoadTracker, RequestOutcome, RequestProfile, TargetHealth, TargetState,
};

/// Guards against sound targets that are ejected, one after the other, by a router without
/// descriptors.
#[test]
fn request_not_attempted_ejects_no_target() {
    let settings = HealthSettings::default();
    let mut health = TargetHealth::default();
    for now in 0..100 {
        assert!(!health.record_outcome(RequestOutcome::NotAttempted, &settings, now));
        assert!(health.accepts_request(&settings, now));
    }
    assert!(health.failure_rate() < f64::EPSILON);
}

/// Guards against a recovered target that stays unused as its probe could not be sent.
#[test]
fn probe_not_attempted_may_be_sent_again_at_once() {
    let settings = HealthSettings::default();
    let mut health = TargetHealth::default();
    assert!(health.record_outcome(RequestOutcome::Unreachable, &settings, 0));
    let probe_at = settings.ejection_ms;
    assert!(health.accepts_request(&settings, probe_at));
    health.record_sent(probe_at);
    assert!(!health.accepts_request(&settings, probe_at));
    assert!(!health.record_outcome(RequestOutcome::NotAttempted, &settings, probe_at));
    assert!(health.accepts_request(&settings, probe_at));
}

/// Guards against prompts that count as waiting at a target, and are told to peers, though
/// they were never sent.
#[test]
fn request_not_attempted_leaves_no_load() {
    let mut tracker = LoadTracker::default();
    let key = tracker.key_for(&entry("i-1", 1, TargetState::Serving));
    let profile = RequestProfile { prompt_tokens: 20_000, ..RequestProfile::default() };
    let first = tracker.start_request(key, &profile, 1_000, 60.0, 0);
    let sent = tracker.get(key).map(|load| (load.own(), load.unread_tokens(0)));
    let unsent = tracker.start_request(key, &profile, 20_000, 60.0, 0);
    let unsent = unsent.expect("the target is known");
    assert!(!tracker.finish_request(key, unsent, Some(RequestOutcome::NotAttempted), 0));
    let left = tracker.get(key).map(|load| (load.own(), load.unread_tokens(0)));
    assert!(first.is_some());
    assert_eq!(format!("{sent:?}"), format!("{left:?}"));
}
