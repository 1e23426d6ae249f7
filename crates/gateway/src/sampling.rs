//! Limits the log lines of requests that end in the same way.
//!
//! An account that floods one router has nearly all of its requests refused for
//! the same reason, each within a millisecond.

use base::Millis;

/// Largest number of lines of one kind per second: enough to see who is refused,
/// and few compared with the requests of a flood.
const MAX_LINES_PER_SECOND: u32 = 50;

/// Limits the rate of one kind of log line.
#[derive(Debug, Default)]
pub(crate) struct LogSampler {
    /// Second since the start of the process to which `written` applies.
    second: u64,
    written: u32,
    /// Lines suppressed since the last one that was written.
    suppressed: u32,
}

impl LogSampler {
    /// Returns `None` if the line must not be written; otherwise the number of
    /// lines suppressed since the previous one.
    pub(crate) fn allow(&mut self, now: Millis) -> Option<u32> {
        let second = now / 1_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
