//! A sum over a sliding window of time.

use base::Millis;

/// Parts into which a window is divided.
const PARTS: usize = 10;

/// Sums what was added within the last window, in tenths of the window.
#[derive(Clone, Debug)]
pub struct RateWindow {
    part_ms: Millis,
    /// Number of the part that is filled now, since the start of the clock.
    newest: u64,
    parts: [f64; PARTS],
}

impl RateWindow {
    /// A window of a length in milliseconds.
    pub fn new(window_ms: Millis) -> Self {
        let part_ms = (window_ms / PARTS as u64).max(1);
        Self { part_ms, newest: 0, parts: [0.0; PARTS] }
    }

    fn turn(&mut self, now: Millis) {
        let number = now / self.part_ms;
        let passed = number.saturating_sub(self.newest).min(PARTS as u64);
        for step in 1..=passed {
            let index = (self.newest + step) % PARTS as u64;
            // After a long pause every part is cleared, whichever they are.
            self.parts[index as usize] = 0.0;
        }
        self.newest = self.newest.max(number);
    }

    pub fn add(&mut self, amount: f64, now: Millis) {
        self.turn(now);
        let index = (self.newest % PARTS as u64) as usize;
        self.parts[index] += amount;
    }

    /// What was added within the window.
    pub fn sum(&mut self, now: Millis) -> f64 {
        self.turn(now);
        self.parts.iter().sum()
    }

    /// What was added in a second, on average.
    pub fn per_second(&mut self, now: Millis) -> f64 {
        // The newest part is filled up to now; a process that just started has
        // not filled the others.
        let covered_ms = self.part_ms * (PARTS as u64 - 1) + now % self.part_ms;
        let filled_ms = covered_ms.min(now.max(self.part_ms));
        self.sum(now) * 1_000.0 / filled_ms as f64
    }
}
