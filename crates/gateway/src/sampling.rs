//! Bounds the log lines of requests that ended alike.
//!
//! Load pattern: an account floods one router, and nearly all of its requests
//! are refused for the same reason within a millisecond each.

use base::Millis;

/// Lines of one kind in a second at most: enough to see who is refused, few
/// beside the requests of a flood.
const LINES_PER_SECOND: u32 = 50;

/// Counts lines of one kind.
#[derive(Debug, Default)]
pub(crate) struct LineSampler {
    /// Second of the process that is counted.
    second: u64,
    written: u32,
    /// Lines left out since the last one that was written.
    left_out: u32,
}

impl LineSampler {
    /// Whether a line may be written; if so, how many were left out before it.
    pub(crate) fn admit(&mut self, now: Millis) -> Option<u32> {
        let second = now / 1_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
