//! Budget for retries, that is for sending a request once more.
//!
//! When many targets fail, every router would retry at once. The budget limits the
//! retries of all routers together without any message between them: in each window
//! a router may retry `ratio` times the requests that it received itself, plus its
//! part of the fixed allowance. If n routers know of each other, the sum is at most
//! `ratio` x requests + allowance. A router that knows of fewer than n uses the
//! largest number that it knew of recently, so that a partition does not multiply
//! the allowance.

use std::collections::BTreeMap;

use base::{Millis, Name};

use crate::window::RateWindow;

/// Part of the usable budget that [`RetryBudget::try_take_spare`] may use up.
const SPARE_FRACTION: f64 = 0.5;

/// Limits of the retry budget; the platform prescribes the first three.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Further retries of the whole fleet in one window.
    pub allowance: f64,
    pub window_ms: Millis,
    /// Fraction of the budget that is used. The rest is a reserve, because windows
    /// slide and a restarted router does not know its earlier retries.
    pub usable_fraction: f64,
    /// Time in milliseconds for which the largest known number of routers counts.
    pub router_count_ms: Millis,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            allowance: 0.0,
            window_ms: 10_000,
            usable_fraction: 0.7,
            router_count_ms: 60_000,
        }
    }
}

#[derive(Debug)]
struct ServiceCounts {
    requests: RateWindow,
    retries: RateWindow,
}

/// This router's part of the retry budget of each service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    services: BTreeMap<Name, ServiceCounts>,
    /// Largest number of routers and when it was last seen.
    router_count: (usize, Millis),
}

impl RetryBudget {
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, services: BTreeMap::new(), router_count: (1, 0) }
    }

    /// Records the number of routers that are known now, including this one. The
    /// largest recent number is used.
    pub fn set_router_count(&mut self, routers: usize, now: Millis) {
        let (largest, seen_at) = self.router_count;
        let is_expired = now.saturating_sub(seen_at) > self.settings.router_count_ms;
        if routers >= largest || is_expired {
            self.router_count = (routers.max(1), now);
        }
    }

    fn counts(&mut self, service: &Name) -> &mut ServiceCounts {
        let window_ms = self.settings.window_ms;
        self.services.entry(Name::clone(service)).or_insert_with(|| ServiceCounts {
            requests: RateWindow::new(window_ms),
            retries: RateWindow::new(window_ms),
        })
    }

    /// Records a request of a caller for the service.
    pub fn record_request(&mut self, service: &Name, now: Millis) {
        self.counts(service).requests.add(1.0, now);
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub fn try_take(&mut self, service: &Name, now: Millis) -> bool {
        self.try_take_of(self.settings.usable_fraction, service, now)
    }

    /// Takes one retry for what may well be complete, such as a stream whose end nothing proves.
    /// Returns false if that would leave less than half of the budget for what has failed.
    pub fn try_take_spare(&mut self, service: &Name, now: Millis) -> bool {
        self.try_take_of(self.settings.usable_fraction * SPARE_FRACTION, service, now)
    }

    fn try_take_of(&mut self, fraction: f64, service: &Name, now: Millis) -> bool {
        let settings = self.settings;
        let routers = self.router_count.0 as f64;
        let counts = self.counts(service);
        let budget = settings.ratio * counts.requests.sum(now) + settings.allowance / routers;
        if counts.retries.sum(now) + 1.0 > budget * fraction {
            return false;
        }
        counts.retries.add(1.0, now);
        true
    }

    /// Gives back a retry that was taken and then not sent.
    pub fn give_back(&mut self, service: &Name, now: Millis) {
        let counts = self.counts(service);
        if counts.retries.sum(now) >= 1.0 {
            counts.retries.add(-1.0, now);
        }
    }
}
