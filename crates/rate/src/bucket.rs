//! Token bucket of one target at its issuer.

use base::Millis;

/// Rate and size of a bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketRate {
    /// Tokens per second.
    pub(crate) per_second: f64,
    /// Maximum number of tokens, at least 1.
    pub(crate) burst: f64,
}

/// Tokens for requests that may be sent now. Starts empty, as another issuer may just have
/// spent the rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitBucket {
    /// Between 0 and the burst of the last rate.
    tokens: f64,
    filled_at: Millis,
}

impl PermitBucket {
    pub(crate) fn new(now: Millis) -> Self {
        Self { tokens: 0.0, filled_at: now }
    }

    /// Takes one token if `reserve` tokens are left.
    ///
    /// # Errors
    /// Returns the time in milliseconds until that is possible.
    pub(crate) fn take(
        &mut self,
        rate: BucketRate,
        reserve: f64,
        now: Millis,
    ) -> Result<(), Millis> {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed_s * rate.per_second).min(rate.burst);
        let missing = 1.0 + reserve.min(rate.burst - 1.0) - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err((missing / rate.per_second * 1_000.0).ceil() as Millis)
    }
}
