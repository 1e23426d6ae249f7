//! A retry budget that keeps failing targets from multiplying the load.

use base::Millis;

/// Capacity of the retry budget, in retries.
const BURST: f64 = 20.0;
/// Retries added to the budget each second.
const REFILL_PER_SECOND: f64 = 5.0;

/// A token bucket that limits retries.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BURST, refilled_at: 0 }
    }
}

impl RetryBudget {
    /// Takes one retry from the budget. Returns false if the budget is
    /// exhausted.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + seconds * REFILL_PER_SECOND).min(BURST);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn burst_is_bounded_and_refills() {
        let mut budget = RetryBudget::default();
        let taken = (0..100).filter(|_| budget.take(0)).count();
        assert_eq!(taken, 20);
        assert!(budget.take(1_000));
    }
}
