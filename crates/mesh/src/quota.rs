//! Counts the peers that are still to be asked for what this instance lacks.

use base::Millis;

/// Time in milliseconds after a request that was not sent or had no answer in which none is repeated.
const RETRY_MS: Millis = 500;

/// How many peers are still to be asked. One that does not answer does not count, and another one
/// is asked instead.
#[derive(Debug)]
pub struct FetchQuota {
    /// Peers still to be asked. Those that were asked and have not answered yet are not counted.
    remaining: usize,
    /// Requests that were not sent or had no answer, and were not repeated yet. At most `remaining`.
    failed: usize,
    /// Whether other peers than those that were found just now are asked, without a failure, too.
    asks_any: bool,
    retry_at: Millis,
}

impl FetchQuota {
    /// Asks the next `count` peers that are found.
    pub fn of_found(count: usize) -> Self {
        Self { remaining: count, failed: 0, asks_any: false, retry_at: 0 }
    }

    /// Asks the next `count` peers that are heard.
    pub fn of_heard(count: usize) -> Self {
        Self { asks_any: true, ..Self::of_found(count) }
    }

    /// Whether a peer that was heard is to be asked. `is_found` tells whether that was for the
    /// first time.
    pub fn allows(&self, is_found: bool, now: Millis) -> bool {
        let is_repeated = self.asks_any || self.failed > 0;
        self.remaining > 0 && (is_found || (is_repeated && now >= self.retry_at))
    }

    /// Records that a peer is asked.
    pub fn begin(&mut self) {
        self.remaining = self.remaining.saturating_sub(1);
        self.failed = self.failed.saturating_sub(1);
    }

    /// Records that a peer that was to be asked was not, as other requests wait.
    pub fn postpone(&mut self, now: Millis) {
        self.failed = (self.failed + 1).min(self.remaining);
        self.retry_at = now.saturating_add(RETRY_MS);
    }

    /// Records that a peer that was asked has not answered.
    pub fn record_failure(&mut self, now: Millis) {
        self.remaining += 1;
        self.failed += 1;
        self.retry_at = now.saturating_add(RETRY_MS);
    }
}
