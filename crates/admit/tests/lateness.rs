//! Tests of the lateness of a thread that serves callers, with more requests at one
//! router than it can process.

use admit::ThreadLateness;

#[test]
fn a_thread_on_time_takes_requests() {
    let mut lateness = ThreadLateness::default();
    let mut now = 0;
    for _ in 0..100 {
        now += lateness.tick(now) + 5;
        assert_eq!(lateness.overload_lateness(now), None);
    }
}

#[test]
fn overdue_tick_makes_the_thread_late() {
    let mut lateness = ThreadLateness::default();
    let due_in = lateness.tick(1_000);
    assert_eq!(lateness.overload_lateness(1_000 + due_in + 149), None);
    assert_eq!(lateness.overload_lateness(1_000 + due_in + 150), Some(150));
}

#[test]
fn thread_takes_requests_again_after_one_tick_on_time() {
    let mut lateness = ThreadLateness::default();
    lateness.tick(0);
    // The tick was almost a second late, with many requests queued behind it.
    let due_in = lateness.tick(1_000);
    assert!(lateness.overload_lateness(1_001).is_some());
    lateness.tick(1_000 + due_in);
    assert_eq!(lateness.overload_lateness(1_001 + due_in), None);
}

/// Guards against a time-out that is taken for a fault of a target though the thread that
/// measured it had not run.
#[test]
fn lateness_is_known_for_the_whole_time_of_a_wait() {
    let mut lateness = ThreadLateness::default();
    lateness.tick(0);
    lateness.tick(50);
    assert!(!lateness.was_overloaded_since(0, 60));
    // Not yet ticked after a pause, then ticked, then on time again.
    assert!(lateness.was_overloaded_since(60, 900));
    lateness.tick(900);
    assert!(lateness.was_overloaded_since(60, 910));
    lateness.tick(950);
    lateness.tick(1_000);
    assert!(lateness.was_overloaded_since(60, 1_010));
    assert!(!lateness.was_overloaded_since(950, 1_010));
}
