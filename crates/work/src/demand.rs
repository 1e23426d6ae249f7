//! How large a part of the requests share one prompt part.
//!
//! Most parts are shared by one request in hundreds and need one home. A part that most requests
//! share, such as a common instruction, would take all of them to its homes.

use std::collections::HashMap;

/// Requests after which all counts are halved, so that the newest count most.
const WINDOW: u32 = 512;
/// Requests that are assumed to have been seen of other parts, so that the first few requests
/// do not show a part as common.
const PRIOR: u32 = 16;
/// Homes of a part per target that its requests would keep busy.
const HOME_FACTOR: f64 = 2.0;

/// Counts of the parts that the requests of one router share. Has at most [`WINDOW`] parts.
#[derive(Clone, Debug, Default)]
pub struct PartDemand {
    counts: HashMap<u64, u32>,
    total: u32,
}

impl PartDemand {
    /// Counts a request with its shared part, if it has one.
    pub fn record(&mut self, part: Option<u64>) {
        self.total += 1;
        if let Some(part) = part {
            *self.counts.entry(part).or_default() += 1;
        }
        if self.total >= WINDOW {
            self.total /= 2;
            self.counts.retain(|_, count| {
                *count /= 2;
                *count > 0
            });
        }
    }

    /// Returns the number of homes that the demand for a part needs among `targets` targets.
    pub fn home_count(&self, part: u64, targets: usize) -> usize {
        // The first request of a part shows nothing.
        let count = self.counts.get(&part).map_or(0, |count| count.saturating_sub(1));
        let share = f64::from(count) / f64::from(self.total + PRIOR);
        (share * HOME_FACTOR * targets as f64) as usize
    }
}
