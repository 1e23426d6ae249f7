//! Mean fullness of the engines of a service, on which the shares of client accounts depend.
//!
//! In a fleet of hundreds, a router hears of its peers' requests seconds after they were sent.
//! A limit that follows such sums comes late and swings: the engines are flooded until all
//! know it, and idle until all know that. Each response tells the load of one engine as it is
//! now, and a router gets responses of many engines a second, so their mean is used instead.

use std::collections::HashMap;

use base::{Millis, Name};

use crate::load::LoadReport;

/// Time in milliseconds after which a sample counts by a third.
const SAMPLE_DECAY_MS: f64 = 800.0;
/// Least weight of all samples for their mean to be used; a new sample has the weight 1.
const MIN_WEIGHT: f64 = 3.0;

#[derive(Clone, Copy, Debug, Default)]
struct SampleMean {
    /// Sum of the weights of the samples as of `updated_at`.
    weight: f64,
    /// Sum of the samples with their weights.
    sum: f64,
    updated_at: Millis,
}

impl SampleMean {
    fn decay(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        let factor = (-elapsed_ms / SAMPLE_DECAY_MS).exp();
        self.weight *= factor;
        self.sum *= factor;
        self.updated_at = now;
    }
}

/// Loads of engines as their responses to this router tell them.
#[derive(Debug, Default)]
pub struct FullnessSamples {
    services: HashMap<Name, SampleMean>,
}

impl FullnessSamples {
    /// Records the load that an engine of a service reports.
    pub fn record(&mut self, service: &Name, report: LoadReport, now: Millis) {
        let requests = report.running.saturating_add(report.waiting);
        let fullness = f64::from(requests) / f64::from(report.slots.max(1));
        let mean = self.services.entry(Name::clone(service)).or_default();
        mean.decay(now);
        mean.weight += 1.0;
        mean.sum += fullness;
    }

    /// Returns the mean of what the engines of a service report; `None` if there are too few
    /// reports.
    pub fn mean(&mut self, service: &Name, now: Millis) -> Option<f64> {
        let mean = self.services.get_mut(service)?;
        mean.decay(now);
        (mean.weight >= MIN_WEIGHT).then(|| mean.sum / mean.weight)
    }
}
