//! Event boundaries, wherever the bytes are split.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sse::{EventBoundary, OrderError, OrderedEvents, RunEnd};

fn is_in_event(text: &str) -> bool {
    let mut boundary = EventBoundary::default();
    boundary.advance(text.as_bytes());
    boundary.is_in_event()
}

#[test]
fn an_event_ends_with_an_empty_line() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = ["id: 1", "data: a", "", ""].join(line_end);
        assert!(!is_in_event(&event), "{event:?}");
        for len in 1..event.trim_end().len() + 1 {
            assert!(is_in_event(&event[..len]), "{:?}", &event[..len]);
        }
        assert!(is_in_event(&format!("{event}i")));
        assert!(is_in_event(&format!("{event}id: 2{line_end}")));
    }
}

#[test]
fn comments_and_empty_lines_between_events_are_outside() {
    for text in ["", "\n", ": ping\n\n", ": ping\n", ": pi", "data: a\n\n: ping\r\n", "\r\n\r\n"] {
        assert!(!is_in_event(text), "{text:?}");
    }
    assert!(is_in_event("data: a\n: comment\n"));
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_271),
        ..Config::default()
    })]

    /// The boundary doesn't depend on how the bytes arrive.
    #[test]
    fn splits_have_no_effect(text in "[a:\n\r]{0,40}", cut in 0_usize..40) {
        let cut = cut.min(text.len());
        let mut whole = EventBoundary::default();
        whole.advance(text.as_bytes());
        let mut parts = EventBoundary::default();
        parts.advance(&text.as_bytes()[..cut]);
        parts.advance(&text.as_bytes()[cut..]);
        prop_assert_eq!(parts, whole);
    }
}

/// Guards against a stream that counts as complete although its target failed.
#[test]
fn a_stream_may_end_after_an_event_only() {
    let check = |text: &str, end: RunEnd| {
        let mut events = OrderedEvents::resumable(None);
        assert_eq!(events.push(text.as_bytes()).result, Ok(()));
        events.end_run(end)
    };
    for text in ["data: a\n\n", "data: a\n\n: ping\n"] {
        assert_eq!(check(text, RunEnd::Marked), Ok(()), "{text:?}");
        assert_eq!(check(text, RunEnd::Unmarked), Err(OrderError::UnmarkedEnd), "{text:?}");
    }
    for end in [RunEnd::Marked, RunEnd::Unmarked] {
        for text in ["d", "data: a", "data: a\n", "data: a\n\nid", "data: a\n\nid: 2\r\n"] {
            assert_eq!(check(text, end), Err(OrderError::InEvent), "{text:?}");
        }
    }
    for text in ["", "\n", ": ping\n\n"] {
        assert_eq!(check(text, RunEnd::Marked), Ok(()), "{text:?}");
        assert_eq!(check(text, RunEnd::Unmarked), Err(OrderError::NoEvent), "{text:?}");
    }
}
