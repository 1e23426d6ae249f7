//! Limits of the quarantine.

use base::Millis;

/// Limits of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// Crashes without a complete response in between that put a part in quarantine. Fewer
    /// than the fleet may have under one part, since the evidence takes time to spread.
    pub min_crashes: usize,
    /// The same while other parts have as much evidence, or one target alone crashed.
    pub min_ambiguous: usize,
    /// Time in milliseconds within which targets end together. If not all of them had a request
    /// with the part, they have another cause and count as one.
    pub group_ms: Millis,
    /// Time in milliseconds after a crash in which the reports of what ended with it arrive.
    pub settle_ms: Millis,
    /// Time in milliseconds for which a complete response proves its parts sound.
    pub sound_ms: Millis,
    /// Time in milliseconds after which evidence is forgotten.
    pub evidence_ms: Millis,
    /// Time in milliseconds until the first trial; doubles with each one.
    pub first_hold_ms: Millis,
    /// Longest time in milliseconds until a trial.
    pub max_hold_ms: Millis,
    /// Maximum trials of a request, as each costs a target of its service.
    pub max_request_trials: u32,
    /// Time in milliseconds after its last trial or crash at which a quarantine is forgotten.
    pub forget_ms: Millis,
    /// Maximum numbers of parts that are suspected, in quarantine and known to be sound.
    pub max_suspects: usize,
    pub max_held: usize,
    pub max_sound: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            min_ambiguous: 5,
            group_ms: 250,
            settle_ms: 75,
            sound_ms: 30_000,
            evidence_ms: 60_000,
            first_hold_ms: 60_000,
            max_hold_ms: 960_000,
            max_request_trials: 2,
            forget_ms: 1_920_000,
            max_suspects: 256,
            max_held: 32,
            max_sound: 4_096,
        }
    }
}

impl QuarantineSettings {
    /// Returns the time until the trial after `trials` earlier ones, in milliseconds.
    pub(crate) fn hold_ms(&self, trials: u32) -> Millis {
        self.first_hold_ms.saturating_mul(1 << trials.min(16)).min(self.max_hold_ms)
    }
}
