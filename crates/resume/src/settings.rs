//! Limits and times.

use base::Millis;

/// Limits and times of a [`crate::ResumePolicy`].
#[derive(Clone, Copy, Debug)]
pub struct ResumeSettings {
    /// Time in milliseconds for which a version has to be known before streams begin there.
    pub settle_ms: Millis,
    /// Largest age in milliseconds of a view of the targets that is relied on; less than
    /// `settle_ms`.
    pub fresh_ms: Millis,
    /// Time in milliseconds after the longest stream within which callers take it up.
    pub return_ms: Millis,
    /// Largest number of streams whose version is remembered.
    pub max_records: usize,
    /// Number of peers that are told which version began a stream.
    pub holders: usize,
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self {
            settle_ms: 3_000,
            fresh_ms: 2_000,
            return_ms: 5_000,
            max_records: 16_384,
            holders: 3,
        }
    }
}
