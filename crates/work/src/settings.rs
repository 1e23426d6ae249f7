//! Settings of the models and of the decision.

use base::Millis;

/// Limits and initial estimates. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkSettings {
    /// Time to read one prompt token until samples of the target show another. Engines read 48 to
    /// 157 tokens in a millisecond.
    pub token_ms: f64,
    /// Prompt tokens that an engine reads between two token steps of its running requests.
    pub chunk_tokens: f64,
    /// Time of a token step with no running request, and its growth with each of them.
    pub step_ms: [f64; 2],
    /// Time to the first event beside reading and token steps, until samples show another.
    pub overhead_ms: f64,
    /// Time of a request at a plain target that is not busy, until samples show another.
    pub plain_ms: f64,
    /// Requests per slot at which an engine and a plain target are full.
    pub slot_share: [f64; 2],
    /// Age up to which the slow-down that a target reports is used. A shared machine is slow for
    /// about this long.
    pub max_slow_age_ms: Millis,
    /// Age up to which the running requests that a target reports are used. The ledger is
    /// newer otherwise.
    pub max_load_age_ms: Millis,
    /// A prompt may be read for this long although its first byte was not reported: reports are
    /// sent in batches.
    pub report_delay_ms: Millis,
    /// Time after which a placement without a first byte or an end no longer counts.
    pub max_unread_ms: Millis,
    pub max_running_ms: Millis,
    /// Fraction of the target latency up to which an owner places a request at once.
    pub place_share: f64,
    /// Number of candidates that are asked at once, and the number asked in all if none of the
    /// first owners places the request.
    pub asked: [usize; 2],
    /// Weight of the time for which a request occupies a target, against the time until its first
    /// event: a part that is read again takes capacity from all requests.
    pub read_weight: f64,
}

impl Default for WorkSettings {
    fn default() -> Self {
        Self {
            token_ms: 0.01,
            chunk_tokens: 1_024.0,
            step_ms: [3.5, 0.05],
            overhead_ms: 10.0,
            plain_ms: 30.0,
            slot_share: [1.25, 4.0],
            max_slow_age_ms: 600,
            max_load_age_ms: 150,
            report_delay_ms: 40,
            max_unread_ms: 4_000,
            max_running_ms: 30_000,
            place_share: 0.25,
            asked: [1, 3],
            read_weight: 1.0,
        }
    }
}
