//! One limiter: what a permit of a cold target is worth, and when none is needed.

use rate::{
    ColdBounds, ColdDecision, ColdLimit, FleetView, RateKey, RateLimiter, RateSettings,
    RequestClass,
};

const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };
/// A time after which a limiter that is alone issues permits.
const START_MS: u64 = 10_000;

fn limiter(bounds: Option<ColdBounds>) -> RateLimiter {
    let fleet = FleetView::new("instance", true, Vec::new(), 1);
    RateLimiter::new(fleet, RateSettings::default()).with_cold_bounds(bounds)
}

fn key() -> RateKey {
    RateKey::new("target", 1)
}

fn limit(until: u64) -> Option<ColdLimit> {
    Some(ColdLimit { per_second: 8.0, until })
}

/// Counts the permits that are granted up to a time, if one is asked for every 5 ms.
fn granted(limiter: &mut RateLimiter, from: u64, until: u64) -> usize {
    let decisions = (from..until).step_by(5).filter(|now| {
        let decision = limiter.acquire_cold(key(), RequestClass::Regular, *now);
        matches!(decision, Some(ColdDecision::Granted { .. }))
    });
    decisions.count()
}

/// Guards against limited targets where the platform names no bound.
#[test]
fn nothing_is_cold_without_bounds() {
    let mut limiter = limiter(None);
    assert!(!limiter.set_cold(key(), limit(START_MS + 3_000), START_MS));
    assert!(limiter.acquire_cold(key(), RequestClass::Regular, START_MS).is_none());
    assert!(!limiter.has_limits());
    assert_eq!(limiter.limit_at(key(), START_MS), None);
    assert_eq!(limiter.cold_targets(START_MS), 0);
}

/// Guards against a rate over the one that the target names itself, and over the cold rate.
#[test]
fn lower_one_of_the_named_and_the_cold_rate_holds() {
    for (named, most) in [(None, 82), (Some(2.0), 22), (Some(30.0), 82)] {
        let mut limiter = limiter(Some(BOUNDS));
        limiter.record_response(key(), named, START_MS - 1, START_MS - 1);
        assert!(limiter.set_cold(key(), limit(START_MS + 10_000), START_MS));
        let lower = f64::from(named.unwrap_or(8.0).min(8.0));
        assert_eq!(limiter.limit_at(key(), START_MS), Some(lower));
        let count = granted(&mut limiter, START_MS, START_MS + 10_000);
        assert!(count <= most && count > most * 8 / 10, "{count} at {named:?}");
    }
}

/// Guards against unused permits that pile up and are used later, beyond the rate.
#[test]
fn permits_that_are_given_back_expire_at_their_first_time() {
    let mut limiter = limiter(Some(BOUNDS));
    limiter.set_cold(key(), limit(START_MS + 10_000), START_MS);
    let mut acquire = |now| limiter.acquire_cold(key(), RequestClass::Regular, now);
    assert!(matches!(acquire(START_MS), Some(ColdDecision::Unavailable { .. })));
    let granted_at = START_MS + 500;
    let Some(ColdDecision::Granted { grant, .. }) = acquire(granted_at) else {
        panic!("no permit after half a second");
    };
    let expires_at = grant.expires_at;
    assert!(expires_at <= granted_at + 200, "valid for {} ms", expires_at - granted_at);
    limiter.give_back_cold(key(), grant);
    let again = limiter.acquire_cold(key(), RequestClass::Regular, granted_at + 100);
    assert!(
        matches!(again, Some(ColdDecision::Granted { grant, .. }) if grant.expires_at == expires_at),
        "{again:?}"
    );
}

/// Guards against a target that stays limited, or counts as warm by the time alone.
#[test]
fn targets_are_warm_once_they_have_answered_enough() {
    let mut limiter = limiter(Some(BOUNDS));
    let until = START_MS + 1_000;
    limiter.set_cold(key(), limit(until), START_MS);
    limiter.record_answered(key(), until - 1);
    assert_eq!(limiter.cold_targets(until - 1), 1);
    assert_eq!(limiter.cold_targets(until), 0);
    let idle = granted(&mut limiter, until, until + 5_000);
    assert!(idle <= 42, "{idle} permits in 5 s without an answer");
    for _ in 0..56 {
        limiter.record_answered(key(), until + 5_000);
    }
    assert!(limiter.acquire_cold(key(), RequestClass::Regular, until + 6_000).is_none());
    assert!(!limiter.needs_cold_permit(key()));
}

/// Guards against an instance that is starved of a target after its cold time, as its thread is late
/// and permits expire before it sends (RECOVER), and against such permits once the target is cold again.
#[test]
fn permits_after_the_cold_time_outlast_a_late_thread() {
    let mut limiter = limiter(Some(BOUNDS));
    let until = START_MS + 1_000;
    limiter.set_cold(key(), limit(until), START_MS);
    limiter.acquire_cold(key(), RequestClass::Regular, until);
    let decision = limiter.acquire_cold(key(), RequestClass::Regular, until + 500);
    let Some(ColdDecision::Granted { grant, .. }) = decision else { panic!("{decision:?}") };
    assert!(limiter.is_cold_permit_valid(key(), grant, until + 1_300), "{grant:?}");
    limiter.set_cold(key(), limit(until + 4_000), until + 600);
    assert!(!limiter.is_cold_permit_valid(key(), grant, until + 600), "{grant:?}");
    limiter.give_back_cold(key(), grant);
    let again = limiter.acquire_cold(key(), RequestClass::Regular, until + 600);
    assert!(!matches!(again, Some(ColdDecision::Granted { is_kept: true, .. })), "{again:?}");
}

/// Guards against an instance that is starved of targets long after their cold time, as its permits
/// expire before it sends and so it reports no answers (RECOVER).
#[test]
fn targets_are_warm_long_after_their_cold_time_without_answers() {
    let mut limiter = limiter(Some(BOUNDS));
    limiter.set_cold(key(), limit(START_MS + 1_000), START_MS);
    assert!(limiter.acquire_cold(key(), RequestClass::Regular, START_MS + 7_000).is_none());
    assert!(!limiter.needs_cold_permit(key()));
}

/// Guards against a cold time that begins anew unnoticed, and one that outlasts a later entry.
#[test]
fn last_known_end_of_the_cold_time_holds() {
    let mut limiter = limiter(Some(BOUNDS));
    assert!(limiter.set_cold(key(), limit(START_MS + 3_000), START_MS));
    assert!(!limiter.set_cold(key(), limit(START_MS + 1_000), START_MS + 500));
    assert!(limiter.is_cold(key(), START_MS + 999));
    assert!(!limiter.is_cold(key(), START_MS + 1_000));
    assert!(limiter.needs_cold_permit(key()), "its rate still has to grow");
    assert!(limiter.set_cold(key(), limit(START_MS + 9_000), START_MS + 4_000));
}
