//! What is passed on of a stream, wherever its bytes are split.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sse::{OrderedEvents, RunEnd};

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_272),
        ..Config::default()
    })]

    /// What is passed on before a stream breaks off, together with what follows the last
    /// id, is the whole stream.
    #[test]
    fn a_stream_goes_on_after_the_last_id(
        cuts in prop::collection::vec(0_usize..60, 0..4),
        length in 0_usize..60,
        line_end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
        let event = |id: usize| ["id: ", &id.to_string(), line_end, "data: x", line_end, line_end].concat();
        let whole: String = (1..=4).map(event).collect();
        let length = length.min(whole.len());
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(length)).collect();
        cuts.extend([0, length]);
        cuts.sort_unstable();
        let mut events = OrderedEvents::resumable(None);
        let mut passed = Vec::new();
        for pair in cuts.windows(2) {
            let pushed = events.push(&whole.as_bytes()[pair[0]..pair[1]]);
            prop_assert_eq!(pushed.result, Ok(()));
            passed.extend(pushed.passed);
        }
        events.begin_run();
        let next = events.last_id().map_or(1, |id| id as usize + 1);
        let rest: String = (next..=4).map(event).collect();
        passed.extend(events.push(rest.as_bytes()).passed);
        // A stream may break off between the CR and the LF of an empty line, which then
        // ends with the CR.
        let lines = |text: &str| text.replace("\r\n", "\n").replace('\r', "\n");
        prop_assert_eq!(lines(&String::from_utf8_lossy(&passed)), lines(&whole));
    }

    /// The bytes of a run are passed on unchanged, whatever they are, unless it goes back.
    #[test]
    fn the_bytes_of_one_run_are_unchanged(
        text in "[ad:i\n\r]{0,40}",
        cut in 0_usize..40,
        is_resumable in prop::bool::ANY,
    ) {
        let cut = cut.min(text.len());
        let mut events = OrderedEvents::of_one_run();
        if is_resumable {
            events = OrderedEvents::resumable(None);
        }
        let mut passed = events.push(&text.as_bytes()[..cut]).passed;
        passed.extend(events.push(&text.as_bytes()[cut..]).passed);
        if events.is_in_event() {
            prop_assert!(text.as_bytes().starts_with(&passed));
            prop_assert!(is_resumable || passed == text.as_bytes());
        } else {
            prop_assert_eq!(events.end_run(RunEnd::Marked), Ok(()));
            passed.extend(events.take_rest());
            prop_assert_eq!(passed, text.as_bytes());
        }
    }
}

#[test]
fn a_stream_is_not_resumed_after_part_of_a_large_event() {
    let mut events = OrderedEvents::resumable(None);
    let passed = events.push(b"id: 1\ndata: x\n\nid: 2\ndata: ").passed;
    assert_eq!(passed, b"id: 1\ndata: x\n\n");
    assert!(events.can_resume());
    let part = events.push(&vec![b'a'; 300 << 10]).passed;
    assert_eq!(part.len(), "id: 2\ndata: ".len() + (300 << 10));
    assert!(!events.can_resume());
    assert_eq!(events.push(b"a\n\nid: 3").passed, b"a\n\nid: 3");
    assert!(!events.can_resume());
}

/// Guards against a number that goes back in a stream whose events are passed on in parts.
#[test]
fn an_event_that_goes_back_is_not_completed() {
    let mut events = OrderedEvents::of_one_run();
    assert_eq!(events.push(b"id: 2\ndata: a\n\nid: ").passed, b"id: 2\ndata: a\n\nid: ");
    assert_eq!(events.push(b"1\nda").passed, b"1\nda");
    let pushed = events.push(b"ta: b\n\nid: 3\ndata: c\n\n");
    assert_eq!((pushed.passed, pushed.result.is_err()), (vec![], true));
    assert!(!events.can_resume());
}

#[test]
fn large_events_of_one_run_are_passed_on_at_once() {
    let mut events = OrderedEvents::of_one_run();
    let parts: [&[u8]; 4] =
        [b"id: 1\ndata: ", &vec![b'a'; 20 << 10], &vec![b'a'; 20 << 10], b"\n\n"];
    for part in parts {
        assert_eq!(events.push(part).passed, part);
    }
    assert!(events.has_passed_event());
}
