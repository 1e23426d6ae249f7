//! The budget for sending a request to one more target.
//!
//! Load pattern: targets fail in numbers and every router would repeat at
//! once. The budget holds for the sum of all routers without any message
//! between them: in a window each may repeat `ratio` times the requests that it
//! took itself, and its part of the fixed allowance. With n routers that know
//! of each other the sum is at most `ratio` x requests + allowance. A router
//! that knows of fewer than n uses the largest number that it knew of lately,
//! so a partition does not multiply the allowance.

use std::collections::BTreeMap;

use base::{Millis, Name};

use crate::window::RateWindow;

/// Bounds of the budget; the first three come from the platform.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats of the whole fleet in a window beyond that.
    pub allowance: f64,
    pub window_ms: Millis,
    /// Part of the budget that is used, since windows slide and a restarted
    /// router forgets what it repeated.
    pub used_part: f64,
    /// Time for which the largest number of routers counts, in milliseconds.
    pub fleet_memory_ms: Millis,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            allowance: 0.0,
            window_ms: 10_000,
            used_part: 0.7,
            fleet_memory_ms: 60_000,
        }
    }
}

#[derive(Debug)]
struct ServiceCounts {
    requests: RateWindow,
    repeats: RateWindow,
}

/// This router's part of the budget, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    services: BTreeMap<Name, ServiceCounts>,
    /// Largest number of routers and when it was seen.
    fleet: (usize, Millis),
}

impl RetryBudget {
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, services: BTreeMap::new(), fleet: (1, 0) }
    }

    /// The number of routers that are known now, this one included.
    pub fn set_router_count(&mut self, routers: usize, now: Millis) {
        let (largest, seen_at) = self.fleet;
        let is_old = now.saturating_sub(seen_at) > self.settings.fleet_memory_ms;
        if routers >= largest || is_old {
            self.fleet = (routers.max(1), now);
        }
    }

    fn counts(&mut self, service: &Name) -> &mut ServiceCounts {
        let window_ms = self.settings.window_ms;
        self.services.entry(Name::clone(service)).or_insert_with(|| ServiceCounts {
            requests: RateWindow::new(window_ms),
            repeats: RateWindow::new(window_ms),
        })
    }

    /// A caller's request for the service.
    pub fn record_request(&mut self, service: &Name, now: Millis) {
        self.counts(service).requests.add(1.0, now);
    }

    /// Takes one repeat from the budget; false when it is used up.
    pub fn try_take(&mut self, service: &Name, now: Millis) -> bool {
        let settings = self.settings;
        let routers = self.fleet.0 as f64;
        let counts = self.counts(service);
        let budget = settings.ratio * counts.requests.sum(now) + settings.allowance / routers;
        if counts.repeats.sum(now) + 1.0 > budget * settings.used_part {
            return false;
        }
        counts.repeats.add(1.0, now);
        true
    }
}
