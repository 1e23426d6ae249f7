//! Sum over a sliding time window.

use base::Millis;

/// Number of buckets in a window.
const BUCKETS: usize = 10;

/// Sums the amounts added within the last window, with a resolution of a tenth of
/// its length.
#[derive(Clone, Debug)]
pub struct RateWindow {
    bucket_ms: Millis,
    /// Number of the bucket that is being filled, counted from the start of the
    /// clock.
    newest: u64,
    buckets: [f64; BUCKETS],
}

impl RateWindow {
    /// Creates a window with a length in milliseconds.
    pub fn new(window_ms: Millis) -> Self {
        let bucket_ms = (window_ms / BUCKETS as u64).max(1);
        Self { bucket_ms, newest: 0, buckets: [0.0; BUCKETS] }
    }

    fn advance(&mut self, now: Millis) {
        let number = now / self.bucket_ms;
        let passed = number.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 1..=passed {
            let index = (self.newest + step) % BUCKETS as u64;
            // After a pause longer than the window this clears every bucket, in
            // whichever order.
            self.buckets[index as usize] = 0.0;
        }
        self.newest = self.newest.max(number);
    }

    pub fn add(&mut self, amount: f64, now: Millis) {
        self.advance(now);
        let index = (self.newest % BUCKETS as u64) as usize;
        self.buckets[index] += amount;
    }

    /// Returns the sum of the amounts added within the window.
    pub fn sum(&mut self, now: Millis) -> f64 {
        self.advance(now);
        self.buckets.iter().sum()
    }

    /// Returns the average amount added per second.
    pub fn per_second(&mut self, now: Millis) -> f64 {
        // The newest bucket is filled up to `now`. A process that has just started
        // has not filled the others.
        let covered_ms = self.bucket_ms * (BUCKETS as u64 - 1) + now % self.bucket_ms;
        let filled_ms = covered_ms.min(now.max(self.bucket_ms));
        self.sum(now) * 1_000.0 / filled_ms as f64
    }
}
