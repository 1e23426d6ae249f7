//! Passive health checks: a target that fails far more requests than healthy
//! targets do is ejected for a while, then gets one probe request at a time
//! until one succeeds.
//!
//! This detects targets that fail half of their requests, or stop responding, while
//! their own health check still passes.

use base::Millis;

/// Limits for the ejection of a target.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Weight of the newest outcome in the moving failure rate; about the last
    /// eight outcomes count.
    pub outcome_weight: f64,
    /// Failure rate above which a target is ejected: higher than the rate of a
    /// healthy service, lower than that of a target that fails half of its
    /// requests.
    pub ejection_threshold: f64,
    /// Duration of the first ejection in milliseconds; doubles with each further
    /// ejection in a row.
    pub ejection_ms: Millis,
    /// Maximum duration of an ejection in milliseconds, which bounds how long a
    /// recovered target stays unused.
    pub max_ejection_ms: Millis,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            outcome_weight: 0.125,
            ejection_threshold: 0.4,
            ejection_ms: 500,
            max_ejection_ms: 2_000,
        }
    }
}

/// How a request to a target ended, as far as the target's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    Answered,
    /// The target responded with an error of its own, closed the connection
    /// early or sent an invalid response.
    Failed,
    /// The connection could not be opened or showed no activity.
    Unreachable,
    /// Nothing was sent, for a lack of this router's own. Says nothing about the target.
    NotAttempted,
}

/// Health of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    /// Ejections in a row.
    ejections: u32,
    ejected_until: Option<Millis>,
    /// When the probe request in flight was sent.
    probe_sent_at: Option<Millis>,
}

impl TargetHealth {
    /// Records the outcome of a request; returns whether it ejects the target. An
    /// unreachable target is ejected at once, a failing one above the threshold. Any
    /// failure of an ejected target, such as a failed probe, ejects it again.
    pub fn record_outcome(
        &mut self,
        outcome: RequestOutcome,
        settings: &HealthSettings,
        now: Millis,
    ) -> bool {
        self.probe_sent_at = None;
        if outcome == RequestOutcome::NotAttempted {
            return false;
        }
        let is_failure = outcome != RequestOutcome::Answered;
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * settings.outcome_weight;
        if !is_failure {
            if self.ejected_until.take().is_some() {
                // The probe succeeded, so earlier failures no longer count.
                self.failure_rate = 0.0;
            }
            if self.failure_rate < settings.ejection_threshold / 2.0 {
                self.ejections = 0;
            }
            return false;
        }
        let was_ejected = self.ejected_until.is_some();
        let exceeds_threshold = self.failure_rate > settings.ejection_threshold;
        if !was_ejected && !exceeds_threshold && outcome == RequestOutcome::Failed {
            return false;
        }
        let ejection_ms = settings.ejection_ms.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until = Some(now.saturating_add(ejection_ms.min(settings.max_ejection_ms)));
        self.ejections = self.ejections.saturating_add(1);
        true
    }

    /// Whether the target may get a request now.
    pub fn accepts_request(&self, settings: &HealthSettings, now: Millis) -> bool {
        let Some(ejected_until) = self.ejected_until else { return true };
        let probe_is_over = self
            .probe_sent_at
            .is_none_or(|sent_at| now >= sent_at.saturating_add(settings.max_ejection_ms));
        now >= ejected_until && probe_is_over
    }

    /// Records that a request is sent; while the target is ejected, the request
    /// is a probe.
    pub fn record_sent(&mut self, now: Millis) {
        if self.ejected_until.is_some() {
            self.probe_sent_at = Some(now);
        }
    }

    /// Returns the moving fraction of requests that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
