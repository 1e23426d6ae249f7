//! Complete events of a stream, wherever its bytes are split.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sse::EventSplitter;

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
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for pair in cuts.windows(2) {
            passed.extend(splitter.push(&whole.as_bytes()[pair[0]..pair[1]]));
        }
        splitter.discard_partial();
        let next = splitter.last_id().map_or(1, |id| id as usize + 1);
        let rest: String = (next..=4).map(event).collect();
        passed.extend(splitter.push(rest.as_bytes()));
        // A stream may break off between the CR and the LF of an empty line, which then
        // ends with the CR.
        let lines = |text: &str| text.replace("\r\n", "\n").replace('\r', "\n");
        prop_assert_eq!(lines(&String::from_utf8_lossy(&passed)), lines(&whole));
    }
}

#[test]
fn a_stream_is_not_resumed_after_part_of_a_large_event() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: x\n\nid: 2\ndata: "), b"id: 1\ndata: x\n\n");
    assert!(splitter.can_resume());
    let part = splitter.push(&vec![b'a'; 300 << 10]);
    assert_eq!(part.len(), "id: 2\ndata: ".len() + (300 << 10));
    assert!(!splitter.can_resume());
    assert_eq!(splitter.push(b"a\n\nid: 3"), b"a\n\nid: 3");
    assert!(!splitter.can_resume());
}
