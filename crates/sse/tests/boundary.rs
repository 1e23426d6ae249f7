//! Event boundaries, wherever the bytes are split.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sse::{EventBoundary, TruncationError};

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
        let whole_len = whole.advance(text.as_bytes());
        let mut parts = EventBoundary::default();
        let first_len = parts.advance(&text.as_bytes()[..cut]);
        let second_len = parts.advance(&text.as_bytes()[cut..]);
        prop_assert_eq!(parts, whole);
        let parts_len = if second_len > 0 { cut + second_len } else { first_len };
        prop_assert_eq!(parts_len, whole_len);
    }
}

/// Guards against a stream that counts as complete although its target failed.
#[test]
fn a_stream_may_end_after_an_event_only() {
    let check = |text: &str, is_marked: bool| {
        let mut boundary = EventBoundary::default();
        boundary.advance(text.as_bytes());
        boundary.check_end(is_marked)
    };
    for is_marked in [false, true] {
        assert_eq!(check("data: a\n\n", is_marked), Ok(()));
        assert_eq!(check("data: a\n\n: ping\n", is_marked), Ok(()));
        for text in ["d", "data: a", "data: a\n", "data: a\n\nid", "data: a\n\nid: 2\r\n"] {
            assert_eq!(check(text, is_marked), Err(TruncationError::InEvent), "{text:?}");
        }
    }
    for text in ["", "\n", ": ping\n\n"] {
        assert_eq!(check(text, true), Ok(()), "{text:?}");
        assert_eq!(check(text, false), Err(TruncationError::NoEvent), "{text:?}");
    }
}
