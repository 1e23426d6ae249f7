//! Which failed reads of the configuration source say nothing about the source.

use gateway::SourceError;

/// Guards against a source that is taken for lost for a lack of the router's own, and
/// against a real loss that is taken for such a lack.
#[test]
fn own_lack_is_told_from_a_lost_source() {
    let cause = || String::from("cause");
    let exhausted = SourceError::Exhausted { step: "watch", cause: cause() };
    let timed_out = SourceError::TimedOut { step: "watch", cause: cause() };
    let others = [
        SourceError::Failed { step: "watch", cause: cause() },
        SourceError::Busy { step: "watch", status: 503 },
        SourceError::Restored { step: "watch" },
        SourceError::Compacted { after: 1 },
    ];
    for was_late in [false, true] {
        assert!(exhausted.is_own_lack(was_late));
        assert_eq!(timed_out.is_own_lack(was_late), was_late);
        for other in &others {
            assert!(!other.is_own_lack(was_late), "{other}");
        }
    }
}
