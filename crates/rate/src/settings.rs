//! Limits of the rate limiter.

use base::Millis;

/// Limits of the rate limiter.
#[derive(Clone, Copy, Debug)]
pub struct RateSettings {
    /// Time in seconds for which an unused rate is saved, since requests come in bursts.
    pub burst_s: f64,
    /// Fraction of the saved requests that is kept for requests within their account's share.
    pub reserve: f64,
    /// Lowest rate in requests per second, so that the end of a limit of zero is noticed.
    pub min_per_second: f64,
    /// Time in milliseconds after the request for a permit for which the permit is valid.
    pub permit_ms: Millis,
    /// Time in milliseconds after which an issuer that has not responded is asked again.
    pub silence_ms: Millis,
    /// Maximum requests for permits of one target that wait for a response.
    pub max_pending: usize,
    /// Time in milliseconds after which a router whose requests for permits wait may ask again.
    pub pending_retry_ms: Millis,
    /// Time in milliseconds by which a peer's observation that a limit has ended counts as
    /// older, as the time that its message took is not known.
    pub message_ms: Millis,
    /// Time in milliseconds for which the end of a limit is remembered.
    pub forget_ms: Millis,
    /// Time in milliseconds for which the limit of a target is remembered whose entry is gone.
    pub absent_ms: Millis,
    /// Maximum number of targets whose limits are known.
    pub max_facts: usize,
    /// Maximum limits in one notice, so that it fits into a heartbeat.
    pub max_notice: usize,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            burst_s: 0.5,
            reserve: 0.5,
            min_per_second: 0.25,
            permit_ms: 1_000,
            silence_ms: 300,
            max_pending: 4,
            pending_retry_ms: 10,
            message_ms: 500,
            forget_ms: 30_000,
            absent_ms: 3_600_000,
            max_facts: 1_024,
            max_notice: 8,
        }
    }
}
