//! Decides whether a request may be sent to a target that names a limit.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use base::Millis;
use serde::{Deserialize, Serialize};

use crate::bucket::{BucketRate, PermitBucket};
use crate::cold_permits::ColdPermits;
use crate::facts::{LimitChange, LimitFact, LimitTable};
use crate::fleet::{ColdFleet, FleetView};
use crate::key::RateKey;
use crate::message::{LimitNotice, PermitOutcome, PermitRequest, PermitResponse};
use crate::settings::RateSettings;

/// Maximum unused permits of one target at one router.
const MAX_UNUSED: usize = 8;

/// Which part of a limit a request may use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestClass {
    Regular,
    /// The request gets only what regular ones leave: its account is over its share, or it
    /// is so small that a target without a limit serves it for less.
    Spare,
}

/// A request for a permit that is to be sent to an issuer.
#[derive(Clone, Copy, Debug)]
pub struct PermitAsk {
    pub issuer: SocketAddr,
    pub request: PermitRequest,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug)]
pub enum PermitDecision {
    /// The target names no limit.
    Unlimited,
    /// The request may be sent. A permit that is not used is given back.
    Granted,
    /// The issuer must be asked.
    Ask(PermitAsk),
    /// Not now.
    Unavailable {
        /// Milliseconds until a permit may be available.
        retry_ms: Millis,
    },
}

#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    key: RateKey,
    class: RequestClass,
    asked_at: Millis,
    /// Whether a request still waits for the response.
    is_awaited: bool,
}

/// Permits of one target at this router.
#[derive(Debug, Default)]
struct TargetPermits {
    /// When each unused permit expires, the first one first.
    unused: VecDeque<Millis>,
    /// No permit is asked for until then.
    denied_until: Millis,
    /// The same for requests of [`RequestClass::Spare`].
    spare_denied_until: Millis,
}

impl TargetPermits {
    fn take_unused(&mut self, now: Millis) -> bool {
        while let Some(expires_at) = self.unused.pop_front() {
            if now < expires_at {
                return true;
            }
        }
        false
    }

    fn denied_until(&self, class: RequestClass) -> Millis {
        match class {
            RequestClass::Regular => self.denied_until,
            RequestClass::Spare => self.denied_until.max(self.spare_denied_until),
        }
    }

    fn deny(&mut self, class: RequestClass, until: Millis) {
        let denied_until = match class {
            RequestClass::Regular => &mut self.denied_until,
            RequestClass::Spare => &mut self.spare_denied_until,
        };
        *denied_until = until.max(*denied_until);
    }
}

/// Limits of targets as one router knows them, the permits that it holds, and those that it
/// issues.
#[derive(Debug)]
pub struct RateLimiter {
    pub(crate) settings: RateSettings,
    pub(crate) fleet: FleetView,
    /// What decides which permits for cold targets this router issues.
    pub(crate) cold_fleet: ColdFleet,
    pub(crate) cold: ColdPermits,
    limits: LimitTable,
    buckets: HashMap<RateKey, PermitBucket>,
    permits: HashMap<RateKey, TargetPermits>,
    pending: HashMap<u64, PendingAsk>,
    /// Number of the last request for a permit.
    pub(crate) number: u64,
}

impl RateLimiter {
    /// Creates the limiter of a router that knows no limits.
    pub fn new(fleet: FleetView, settings: RateSettings) -> Self {
        Self {
            settings,
            cold_fleet: ColdFleet::new(fleet.clone()),
            fleet,
            cold: ColdPermits::default(),
            limits: LimitTable::default(),
            buckets: HashMap::new(),
            permits: HashMap::new(),
            pending: HashMap::new(),
            number: 0,
        }
    }

    pub fn set_fleet(&mut self, fleet: FleetView, now: Millis) {
        self.cold_fleet.update(&fleet, now);
        self.fleet = fleet;
    }

    /// Returns the limit of a target in requests per second, if it names one.
    pub fn limit(&self, key: RateKey) -> Option<f64> {
        self.limits.limit(key)
    }

    /// Returns the limit of a target in requests per second, if it names one or is cold; the
    /// lower one if both.
    pub fn limit_at(&self, key: RateKey, now: Millis) -> Option<f64> {
        let limits = [self.limits.limit(key), self.cold.limit(key, now)];
        limits.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Returns the lowest rate at which permits are issued for the limit that a target names.
    pub(crate) fn named_limit(&self, key: RateKey) -> Option<f64> {
        self.limits.limit(key).map(|limit| limit.max(self.settings.min_per_second))
    }

    pub(crate) fn named_fact(&self, key: RateKey, now: Millis) -> LimitFact {
        self.limits.fact(key, now)
    }

    /// Whether any target has named a limit lately or needs permits as it is cold.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty() || !self.cold.is_empty()
    }

    /// Returns the number of targets that name a limit.
    pub fn limited_targets(&self) -> usize {
        self.limits.len()
    }

    /// Records the limit that a response of a target names; `None` if it names none. The
    /// request was sent at `sent_at`.
    pub fn record_response(
        &mut self,
        key: RateKey,
        per_second: Option<f32>,
        sent_at: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        // A response without a limit may be older than one with it that arrived first.
        let observed_at = if per_second.is_some() { now } else { sent_at };
        let change = self.limits.record(key, per_second, observed_at, &self.settings);
        self.apply(key, change, now)
    }

    /// Merges what a peer knows; returns the changes.
    pub fn merge(&mut self, notice: &LimitNotice, now: Millis) -> Vec<(RateKey, LimitChange)> {
        let max_facts = self.settings.max_notice;
        let facts = notice.facts.iter().take(max_facts);
        facts.filter_map(|(key, fact)| Some((*key, self.merge_fact(*key, *fact, now)?))).collect()
    }

    pub(crate) fn merge_fact(
        &mut self,
        key: RateKey,
        fact: LimitFact,
        now: Millis,
    ) -> Option<LimitChange> {
        let change = self.limits.merge(key, fact, &self.settings, now);
        self.apply(key, change, now)
    }

    fn apply(
        &mut self,
        key: RateKey,
        change: Option<LimitChange>,
        now: Millis,
    ) -> Option<LimitChange> {
        match change? {
            LimitChange::Named { .. } => {
                self.buckets.entry(key).or_insert_with(|| PermitBucket::new(now));
            }
            LimitChange::Ended => {
                self.permits.remove(&key);
            }
        }
        change
    }

    /// Returns what all peers should know, for a round of heartbeats.
    pub fn notice(&mut self, now: Millis) -> LimitNotice {
        self.expire(now);
        LimitNotice { facts: self.limits.next_facts(self.settings.max_notice, now) }
    }

    /// Records which targets have an entry. The limits of the others are kept, as they may be
    /// published again.
    pub fn set_present(&mut self, is_known: impl Fn(RateKey) -> bool, now: Millis) {
        self.cold.retain(&is_known, now);
        self.limits.set_present(is_known, now);
    }

    /// Removes what is known of limits that ended long ago, or whose targets' entries have been
    /// gone for long.
    fn expire(&mut self, now: Millis) {
        self.limits.expire(&self.settings, now);
        let limits = &self.limits;
        self.buckets.retain(|key, _| limits.contains(*key));
        self.permits.retain(|key, _| limits.contains(*key));
    }

    /// Returns how long a request has to wait before [`Self::acquire`] may succeed for a
    /// target, in milliseconds; 0 if it may succeed now.
    pub fn wait_ms(&self, key: RateKey, class: RequestClass, now: Millis) -> Millis {
        if let Some(wait_ms) = self.cold.wait_ms(key, class, now) {
            return wait_ms;
        }
        if self.limits.limit(key).is_none() {
            return 0;
        }
        let Some(permits) = self.permits.get(&key) else { return 0 };
        if permits.unused.iter().any(|expires_at| now < *expires_at) {
            return 0;
        }
        permits.denied_until(class).saturating_sub(now)
    }

    /// Decides whether a request may be sent to a target now.
    pub fn acquire(&mut self, key: RateKey, class: RequestClass, now: Millis) -> PermitDecision {
        let Some(limit) = self.limits.limit(key) else { return PermitDecision::Unlimited };
        let permits = self.permits.entry(key).or_default();
        if permits.take_unused(now) {
            return PermitDecision::Granted;
        }
        let denied_until = permits.denied_until(class);
        if now < denied_until {
            return PermitDecision::Unavailable { retry_ms: denied_until - now };
        }
        let Some(issuer) = self.fleet.issuer(key) else {
            let Err(retry_ms) = self.issue(key, limit, class, now) else {
                return PermitDecision::Granted;
            };
            self.permits.entry(key).or_default().deny(class, now.saturating_add(retry_ms));
            return PermitDecision::Unavailable { retry_ms };
        };
        if let Some(retry_ms) = self.pending_wait_ms(key, now) {
            return PermitDecision::Unavailable { retry_ms };
        }
        self.number += 1;
        let number = self.number;
        self.pending.insert(number, PendingAsk { key, class, asked_at: now, is_awaited: true });
        let fact = self.limits.fact(key, now);
        PermitDecision::Ask(PermitAsk {
            issuer,
            request: PermitRequest { number, key, fact, class },
        })
    }

    /// Returns how long to wait before the issuer is asked once more, as it has not responded
    /// yet; `None` if it may be asked now.
    fn pending_wait_ms(&mut self, key: RateKey, now: Millis) -> Option<Millis> {
        let settings = self.settings;
        self.pending.retain(|_, ask| now.saturating_sub(ask.asked_at) < settings.permit_ms);
        let mut count = 0;
        let mut silent_until = now;
        for ask in self.pending.values().filter(|ask| ask.key == key) {
            count += 1;
            if !ask.is_awaited {
                silent_until = silent_until.max(ask.asked_at + settings.silence_ms);
            }
        }
        if silent_until > now {
            return Some(silent_until - now);
        }
        (count >= settings.max_pending).then_some(settings.pending_retry_ms)
    }

    /// Records that no request waits any longer for a response. A permit that arrives later
    /// is kept for the next request.
    pub fn abandon(&mut self, number: u64) {
        if let Some(ask) = self.pending.get_mut(&number) {
            ask.is_awaited = false;
        }
        self.abandon_cold(number);
    }

    /// Records the response of an issuer. Returns whether the request that waits for it may
    /// be sent; `None` if none waits.
    pub fn record_permit(&mut self, response: PermitResponse, now: Millis) -> Option<bool> {
        let ask = self.pending.remove(&response.number)?;
        self.merge_fact(ask.key, response.fact, now);
        let is_granted = response.outcome == PermitOutcome::Granted;
        let permits = self.permits.entry(ask.key).or_default();
        if let PermitOutcome::Denied { retry_ms } = response.outcome {
            let max_ms = 1_000.0 / self.settings.min_per_second;
            permits.deny(ask.class, now.saturating_add(retry_ms.min(max_ms as Millis)));
        }
        if ask.is_awaited {
            return Some(is_granted);
        }
        let expires_at = ask.asked_at + self.settings.permit_ms;
        if is_granted && now < expires_at && permits.unused.len() < MAX_UNUSED {
            permits.unused.push_back(expires_at);
        }
        None
    }

    /// Keeps a permit whose request was not sent for the next request.
    pub fn give_back(&mut self, key: RateKey, now: Millis) {
        if self.limits.limit(key).is_none() {
            return;
        }
        let expires_at = now + self.settings.permit_ms;
        let permits = self.permits.entry(key).or_default();
        if permits.unused.len() < MAX_UNUSED {
            permits.unused.push_back(expires_at);
        }
    }

    /// Decides on a peer's request for a permit.
    pub fn respond(&mut self, request: PermitRequest, now: Millis) -> PermitResponse {
        let PermitRequest { number, key, fact, class } = request;
        self.merge_fact(key, fact, now);
        let outcome = match self.limits.limit(key) {
            None => PermitOutcome::Granted,
            Some(limit) => match self.issue(key, limit, class, now) {
                Ok(()) => PermitOutcome::Granted,
                Err(retry_ms) => PermitOutcome::Denied { retry_ms },
            },
        };
        PermitResponse { number, fact: self.limits.fact(key, now), outcome }
    }

    /// Issues a permit of this router's part of a limit.
    ///
    /// # Errors
    /// Returns the time in milliseconds until that is possible.
    fn issue(
        &mut self,
        key: RateKey,
        limit: f64,
        class: RequestClass,
        now: Millis,
    ) -> Result<(), Millis> {
        let settings = &self.settings;
        let limit = limit.max(settings.min_per_second);
        let fraction = self.fleet.issued_fraction(key);
        let per_second = limit * fraction;
        // At least one request, and two at the issuer of the whole limit: a token that finds
        // its bucket full is lost.
        let burst = (per_second * settings.burst_s).max(1.0 + fraction);
        let rate = BucketRate { per_second, burst };
        let reserve = match class {
            RequestClass::Regular => 0.0,
            RequestClass::Spare => rate.burst * settings.reserve,
        };
        let bucket = self.buckets.entry(key).or_insert_with(|| PermitBucket::new(now));
        bucket.take(rate, reserve, now)
    }
}
