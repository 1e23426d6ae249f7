//! Tests of what a stopping router accepts, beside threads, timers and signals that are late.

use admit::{StopPlan, StopSettings};
use proptest::prelude::*;

const SETTINGS: StopSettings = StopSettings {
    notice_ms: 3_000,
    kill_ms: 8_000,
    exit_margin_ms: 500,
    answer_margin_ms: 200,
    give_up_ms: 6_967,
    signal_delay_ms: 1_000,
    linger_ms: 500,
};

/// A request of a caller and how late this router reads it.
#[derive(Clone, Debug)]
struct Arrival {
    /// Milliseconds between the signal and the last byte of the request.
    sent_after: u64,
    read_late: u64,
    limit_ms: u64,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    let limit = prop_oneof![1u64..2_000, 2_000u64..12_000];
    (0u64..9_000, prop_oneof![0u64..5, 0u64..900], limit)
        .prop_map(|(sent_after, read_late, limit_ms)| Arrival { sent_after, read_late, limit_ms })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(48_004), ..ProptestConfig::default() })]

    /// Guards against requests that are accepted and cut at the exit or by the kill (LOST), however late
    /// the thread, the signal or the timer is and whatever they take: none takes longer than its limit.
    #[test]
    fn accepted_means_ended_before_the_exit_and_the_kill(
        signalled_at in 2_000u64..100_000,
        signal_delay in prop_oneof![0u64..100, 0u64..=SETTINGS.signal_delay_ms],
        check_late in prop_oneof![0u64..60, 0u64..2_000],
        arrivals in prop::collection::vec(arrival(), 1..40),
    ) {
        let unsignalled_at = signalled_at.saturating_sub(check_late);
        let plan = StopPlan::new(unsignalled_at, &SETTINGS);
        let exits_at = signalled_at + plan.exit_in_ms(signalled_at);
        prop_assert!(exits_at < signalled_at + SETTINGS.kill_ms, "killed before the exit");
        let killed_at = signalled_at - signal_delay + SETTINGS.kill_ms;
        for Arrival { sent_after, read_late, limit_ms } in arrivals {
            let read_at = signalled_at + sent_after + read_late;
            let expires_at = read_at + limit_ms;
            let is_accepted = plan.accepts(expires_at);
            prop_assert!(!is_accepted || (expires_at < exits_at && expires_at < killed_at));
            // What is refused costs callers: only what may not end.
            let margin_ms = SETTINGS.answer_margin_ms + SETTINGS.signal_delay_ms;
            let has_limit = expires_at + margin_ms <= exits_at;
            prop_assert!(is_accepted || !has_limit, "refused with a limit of {limit_ms} ms");
        }
    }
}

#[test]
fn times_are_counted_from_before_the_signal() {
    let plan = StopPlan::new(10_000, &SETTINGS);
    assert!(plan.accepts(16_300) && !plan.accepts(16_301) && !plan.accepts(u64::MAX));
    assert!(!plan.is_notice_over(13_000) && plan.is_notice_over(13_001));
    assert!(!plan.is_ended(16_966) && plan.is_ended(16_967));
    assert_eq!((plan.exit_in_ms(17_300), plan.exit_in_ms(18_000)), (200, 0));
}

/// Guards against requests that are given up while their target has time (LOST), and against answers that
/// come when the process is gone.
#[test]
fn requests_are_given_up_as_late_as_asked_and_before_the_exit() {
    for give_up_ms in [0, 4_000, 7_300, 7_301, u64::from(u32::MAX)] {
        let plan = StopPlan::new(10_000, &StopSettings { give_up_ms, ..SETTINGS });
        // Nothing that was accepted is given up before its time is over.
        let ends_at = 10_000 + give_up_ms.clamp(6_300, 7_300);
        assert!(plan.is_ended(ends_at) && !plan.is_ended(ends_at - 1), "{give_up_ms}");
    }
}

/// A stop that leaves less time than callers may take ends all the same.
#[test]
fn short_stop_ends_before_the_kill() {
    let plan = StopPlan::new(0, &StopSettings { kill_ms: 400, ..SETTINGS });
    assert!(plan.is_ended(0));
    assert_eq!(plan.exit_in_ms(0), 0);
}
