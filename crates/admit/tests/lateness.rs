//! Lateness of a serving thread. Load pattern: a flood at one router.

use admit::ThreadLateness;

#[test]
fn a_thread_on_time_takes_requests() {
    let mut lateness = ThreadLateness::default();
    let mut now = 0;
    for _ in 0..100 {
        now += lateness.tick(now) + 5;
        assert_eq!(lateness.too_late(now), None);
    }
}

#[test]
fn a_thread_that_is_behind_is_late_before_its_next_look() {
    let mut lateness = ThreadLateness::default();
    let due_in = lateness.tick(1_000);
    assert_eq!(lateness.too_late(1_000 + due_in + 149), None);
    assert_eq!(lateness.too_late(1_000 + due_in + 150), Some(150));
}

#[test]
fn a_thread_that_caught_up_takes_requests_again_after_one_look() {
    let mut lateness = ThreadLateness::default();
    lateness.tick(0);
    // The look came a second late, with many requests behind it.
    let due_in = lateness.tick(1_000);
    assert!(lateness.too_late(1_001).is_some());
    lateness.tick(1_000 + due_in);
    assert_eq!(lateness.too_late(1_001 + due_in), None);
}
