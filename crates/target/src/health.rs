//! Health of a target from the outcomes of its requests: a target that fails
//! far more often than its neighbours gets no requests for a while, then one at
//! a time until it answers again.
//!
//! Load pattern: some targets fail half of their requests, or fall silent,
//! while their own health check stays good.

use base::Millis;

/// Bounds of the health of one target.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Weight of the newest outcome in the moving failure rate; about the last
    /// eight outcomes count.
    pub newest_weight: f64,
    /// Failure rate above which a target is set aside: above what a healthy
    /// service shows, below a target that fails half of its requests.
    pub set_aside_above: f64,
    /// Time for which it is set aside, in milliseconds; doubles each time.
    pub set_aside_ms: Millis,
    /// Longest time for which it is set aside, in milliseconds: how long a
    /// target that recovered may stay unused.
    pub longest_ms: Millis,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self { newest_weight: 0.125, set_aside_above: 0.4, set_aside_ms: 500, longest_ms: 2_000 }
    }
}

/// How a request at a target ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Answered,
    /// It answered with a failure of its own, broke off or sent garbage.
    Failed,
    /// No connection, or no sign of life on it.
    Unreachable,
}

/// Health of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    /// Times in a row that it was set aside.
    times: u32,
    until: Option<Millis>,
    /// A trial request is under way since then.
    trial_since: Option<Millis>,
}

impl TargetHealth {
    /// Takes an outcome in; returns whether the target is set aside by it.
    pub fn note(&mut self, outcome: Outcome, settings: &HealthSettings, now: Millis) -> bool {
        self.trial_since = None;
        let failed = outcome != Outcome::Answered;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * settings.newest_weight;
        if !failed {
            if self.until.take().is_some() {
                // The trial went well: the past no longer counts.
                self.failure_rate = 0.0;
            }
            if self.failure_rate < settings.set_aside_above / 2.0 {
                self.times = 0;
            }
            return false;
        }
        let on_trial = self.until.is_some();
        let too_many = self.failure_rate > settings.set_aside_above;
        if !on_trial && !too_many && outcome == Outcome::Failed {
            return false;
        }
        let doubled = settings.set_aside_ms.saturating_mul(1 << self.times.min(8));
        self.until = Some(now.saturating_add(doubled.min(settings.longest_ms)));
        self.times = self.times.saturating_add(1);
        true
    }

    /// Whether it may get a request now.
    pub fn admits(&self, settings: &HealthSettings, now: Millis) -> bool {
        let Some(until) = self.until else { return true };
        let trial_is_over =
            self.trial_since.is_none_or(|since| now >= since.saturating_add(settings.longest_ms));
        now >= until && trial_is_over
    }

    /// A request is sent; the first one after being set aside is a trial.
    pub fn note_sent(&mut self, now: Millis) {
        if self.until.is_some() {
            self.trial_since = Some(now);
        }
    }

    /// Share of the last requests that failed, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
