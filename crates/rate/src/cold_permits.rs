//! Permits for cold targets at the instance that sends the requests.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use base::Millis;

use crate::cold::{COLD_PERMIT_MS, ColdBounds, ColdLimit, WARM_AFTER_MS};
use crate::cold_issuer::{ColdAskView, ColdIssuer};
use crate::key::RateKey;
use crate::limiter::{RateLimiter, RequestClass};
use crate::message::{ColdOutcome, ColdRequest, ColdResponse};

/// Largest cold time in milliseconds that a peer may name.
const MAX_LEFT_MS: Millis = 3_600_000;

/// A request for a permit that is to be sent to an issuer.
#[derive(Clone, Copy, Debug)]
pub struct ColdAsk {
    pub issuer: SocketAddr,
    pub request: ColdRequest,
}

/// Permit to send one request to a target that is cold or was so lately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdGrant {
    /// When it was asked for, in milliseconds on this instance's clock; it was issued later.
    pub asked_at: Millis,
    /// The request may be written before this time, in milliseconds on this instance's clock.
    pub expires_at: Millis,
    /// Whether it was issued after the cold time. It is then worth nothing once the target is cold
    /// again, as no bound of cold times holds for it.
    pub is_warming: bool,
}

/// Whether a request may be sent to a target that is cold or was so lately.
#[derive(Clone, Copy, Debug)]
pub enum ColdDecision {
    /// The request may be sent.
    Granted {
        grant: ColdGrant,
        /// Whether it is a permit of an earlier request that was not sent.
        is_kept: bool,
    },
    /// The issuer must be asked.
    Ask(ColdAsk),
    /// Not now.
    Unavailable {
        /// Milliseconds until a permit may be available.
        retry_ms: Millis,
    },
}

/// One target that is cold, or that has not yet answered enough since.
#[derive(Debug)]
struct ColdTarget {
    limit: ColdLimit,
    /// Identifies the target in requests for permits; its own key unless it is set.
    permit_key: RateKey,
    /// Unused permits. They keep their first times, so that they do not add to those that are issued
    /// later.
    unused: VecDeque<ColdGrant>,
    denied_until: Millis,
    /// The same for requests of [`RequestClass::Spare`].
    spare_denied_until: Millis,
    /// Requests that were answered in full since the issuer was asked last.
    answered: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    key: RateKey,
    class: RequestClass,
    asked_at: Millis,
    is_awaited: bool,
}

/// Cold targets as one instance knows them.
#[derive(Debug, Default)]
pub(crate) struct ColdPermits {
    /// `None` if the platform has no bound; no target is cold then.
    pub(crate) bounds: Option<ColdBounds>,
    targets: HashMap<RateKey, ColdTarget>,
    pending: HashMap<u64, PendingAsk>,
    issuer: ColdIssuer,
}

impl ColdGrant {
    fn new(outcome: ColdOutcome, asked_at: Millis, warming_ms: Millis) -> Self {
        let is_warming = outcome == ColdOutcome::GrantedWarming;
        let valid_ms = if is_warming { warming_ms } else { COLD_PERMIT_MS };
        Self { asked_at, expires_at: asked_at.saturating_add(valid_ms), is_warming }
    }
}

impl ColdPermits {
    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns what a target tolerates in requests per second, if it is cold.
    pub(crate) fn limit(&self, key: RateKey, now: Millis) -> Option<f64> {
        let target = self.targets.get(&key).filter(|target| now < target.limit.until);
        target.map(|target| f64::from(target.limit.per_second))
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(RateKey) -> bool, now: Millis) {
        self.targets.retain(|key, _| is_known(*key));
        self.issuer.expire(now);
    }

    pub(crate) fn wait_ms(&self, key: RateKey, class: RequestClass, now: Millis) -> Option<Millis> {
        let target = self.targets.get(&key)?;
        if target.unused.iter().any(|grant| target.is_valid(*grant, now)) {
            return Some(0);
        }
        Some(target.denied_until(class).saturating_sub(now))
    }
}

impl ColdTarget {
    fn denied_until(&self, class: RequestClass) -> Millis {
        match class {
            RequestClass::Regular => self.denied_until,
            RequestClass::Spare => self.denied_until.max(self.spare_denied_until),
        }
    }

    fn deny(&mut self, class: RequestClass, until: Millis) {
        match class {
            RequestClass::Regular => self.denied_until = self.denied_until.max(until),
            RequestClass::Spare => self.spare_denied_until = self.spare_denied_until.max(until),
        }
    }

    fn take_unused(&mut self, now: Millis) -> Option<ColdGrant> {
        while let Some(grant) = self.unused.pop_front() {
            if self.is_valid(grant, now) {
                return Some(grant);
            }
        }
        None
    }

    fn is_valid(&self, grant: ColdGrant, now: Millis) -> bool {
        now < grant.expires_at && !(grant.is_warming && now < self.limit.until)
    }
}

impl RateLimiter {
    /// Enforces `bounds` for cold targets; without them no target is limited for being cold.
    pub fn with_cold_bounds(mut self, bounds: Option<ColdBounds>) -> Self {
        self.cold.bounds = bounds;
        self
    }

    /// Records until when a target is cold, which replaces what was known; `None` if it needs no
    /// permits for that. Returns whether its cold time begins now.
    pub fn set_cold(&mut self, key: RateKey, limit: Option<ColdLimit>, now: Millis) -> bool {
        let Some(limit) = limit.filter(|_| self.cold.bounds.is_some()) else {
            self.cold.targets.remove(&key);
            return false;
        };
        let known = self.cold.targets.get(&key).map(|target| target.limit.until);
        let target = self.cold.targets.entry(key).or_insert_with(|| ColdTarget {
            limit,
            permit_key: key,
            unused: VecDeque::new(),
            denied_until: 0,
            spare_denied_until: 0,
            answered: 0,
        });
        target.limit = limit;
        now < limit.until && known.is_none_or(|until| until <= now)
    }

    /// Sets under which key the permits of a cold target are issued: that of an earlier incarnation
    /// for which other instances may still ask.
    pub fn set_permit_key(&mut self, key: RateKey, permit_key: RateKey) {
        if let Some(target) = self.cold.targets.get_mut(&key) {
            target.permit_key = permit_key;
        }
    }

    /// Whether a request to a target needs a permit as it is cold, or was so lately.
    pub fn needs_cold_permit(&self, key: RateKey) -> bool {
        self.cold.targets.contains_key(&key)
    }

    /// Whether any target needs such permits.
    pub fn has_cold_targets(&self) -> bool {
        !self.cold.is_empty()
    }

    /// Whether a target is cold.
    pub fn is_cold(&self, key: RateKey, now: Millis) -> bool {
        self.cold.limit(key, now).is_some()
    }

    /// Returns the number of targets that are cold.
    pub fn cold_targets(&self, now: Millis) -> usize {
        self.cold.targets.values().filter(|target| now < target.limit.until).count()
    }

    /// Records that a target has answered a request in full.
    pub fn record_answered(&mut self, key: RateKey, now: Millis) {
        if let Some(target) = self.cold.targets.get_mut(&key)
            && now >= target.limit.until
        {
            target.answered = target.answered.saturating_add(1);
        }
    }

    /// Decides whether a request may be sent to a cold target now; `None` if the target is not
    /// limited for being cold.
    pub fn acquire_cold(
        &mut self,
        key: RateKey,
        class: RequestClass,
        now: Millis,
    ) -> Option<ColdDecision> {
        let named = self.named_limit(key);
        let fact = self.named_fact(key, now);
        let settings = self.settings;
        let ColdPermits { bounds, targets, pending, issuer } = &mut self.cold;
        let (target, bounds) = (targets.get_mut(&key)?, (*bounds)?);
        if now >= target.limit.until.saturating_add(WARM_AFTER_MS) {
            targets.remove(&key);
            return None;
        }
        if let Some(grant) = target.take_unused(now) {
            return Some(ColdDecision::Granted { grant, is_kept: true });
        }
        let denied_until = target.denied_until(class);
        if now < denied_until {
            return Some(ColdDecision::Unavailable { retry_ms: denied_until - now });
        }
        let Some(address) = self.fleet.issuer(target.permit_key) else {
            let answered = std::mem::take(&mut target.answered);
            let reserve = settings.reserve;
            let ask = ColdAskView { limit: target.limit, named, class, answered, reserve };
            let outcome = issuer.issue(target.permit_key, ask, &self.cold_fleet, bounds, now);
            return match outcome {
                ColdOutcome::Granted | ColdOutcome::GrantedWarming => {
                    let grant = ColdGrant::new(outcome, now, settings.permit_ms);
                    Some(ColdDecision::Granted { grant, is_kept: false })
                }
                ColdOutcome::Denied { retry_ms } => {
                    target.deny(class, now + retry_ms);
                    Some(ColdDecision::Unavailable { retry_ms })
                }
                ColdOutcome::Warm => {
                    targets.remove(&key);
                    None
                }
            };
        };
        pending.retain(|_, ask| now.saturating_sub(ask.asked_at) < settings.permit_ms);
        let asks = pending.values().filter(|ask| ask.key == key);
        let silent_until = asks.clone().filter(|ask| !ask.is_awaited).map(|ask| ask.asked_at);
        let silent_until = silent_until.max().map_or(0, |at| at + settings.silence_ms);
        if now < silent_until {
            return Some(ColdDecision::Unavailable { retry_ms: silent_until - now });
        }
        if asks.count() >= settings.max_pending {
            return Some(ColdDecision::Unavailable { retry_ms: settings.pending_retry_ms });
        }
        self.number += 1;
        let number = self.number;
        pending.insert(number, PendingAsk { key, class, asked_at: now, is_awaited: true });
        let request = ColdRequest {
            number,
            key: target.permit_key,
            fact,
            class,
            per_second: target.limit.per_second,
            left_ms: target.limit.until.saturating_sub(now),
            answered: std::mem::take(&mut target.answered),
        };
        Some(ColdDecision::Ask(ColdAsk { issuer: address, request }))
    }

    /// Records that no request waits any longer for a response.
    pub(crate) fn abandon_cold(&mut self, number: u64) {
        if let Some(ask) = self.cold.pending.get_mut(&number) {
            ask.is_awaited = false;
        }
    }

    /// Records the response of an issuer. Returns the permit of the request that waits for it; `None`
    /// if none waits or none was granted.
    pub fn record_cold_permit(&mut self, response: ColdResponse, now: Millis) -> Option<ColdGrant> {
        let ask = self.cold.pending.remove(&response.number)?;
        match response.outcome {
            ColdOutcome::Granted | ColdOutcome::GrantedWarming => {
                let grant = ColdGrant::new(response.outcome, ask.asked_at, self.settings.permit_ms);
                if now >= grant.expires_at {
                    return None;
                }
                if ask.is_awaited {
                    return Some(grant);
                }
                self.give_back_cold(ask.key, grant);
            }
            ColdOutcome::Denied { retry_ms } => {
                if let Some(target) = self.cold.targets.get_mut(&ask.key) {
                    target.deny(ask.class, now + retry_ms.min(self.settings.permit_ms));
                }
            }
            ColdOutcome::Warm => {
                // It may have become cold again since the request for the permit.
                let target = self.cold.targets.get(&ask.key);
                if target.is_some_and(|target| target.limit.until <= ask.asked_at) {
                    self.cold.targets.remove(&ask.key);
                }
            }
        }
        None
    }

    /// Keeps a permit whose request was not sent for the next request, until it expires.
    pub fn give_back_cold(&mut self, key: RateKey, grant: ColdGrant) {
        if let Some(target) = self.cold.targets.get_mut(&key) {
            target.unused.push_back(grant);
        }
    }

    /// Whether a request may be written with a permit now.
    pub fn is_cold_permit_valid(&self, key: RateKey, grant: ColdGrant, now: Millis) -> bool {
        let is_void = grant.is_warming && self.is_cold(key, now);
        now < grant.expires_at && !is_void
    }

    /// Decides on a peer's request for a permit.
    pub fn respond_cold(&mut self, request: ColdRequest, now: Millis) -> ColdResponse {
        let ColdRequest { number, key, fact, class, per_second, left_ms, answered } = request;
        self.merge_fact(key, fact, now);
        let named = self.named_limit(key);
        let ColdPermits { bounds, targets, issuer, .. } = &mut self.cold;
        let is_valid = per_second.is_finite() && per_second > 0.0;
        let (Some(bounds), true) = (*bounds, is_valid) else {
            let outcome = ColdOutcome::Denied { retry_ms: self.settings.permit_ms };
            return ColdResponse { number, outcome };
        };
        let until = if left_ms == 0 { 0 } else { now + left_ms.min(MAX_LEFT_MS) };
        // This instance may know that the target is cold, or tolerates less, before the peer.
        let known = targets.values().find(|target| target.permit_key == key);
        let limit = match known.map(|target| target.limit) {
            Some(known) => ColdLimit {
                per_second: known.per_second.min(per_second),
                until: known.until.max(until),
            },
            None => ColdLimit { per_second, until },
        };
        let reserve = self.settings.reserve;
        let ask = ColdAskView { limit, named, class, answered, reserve };
        let outcome = issuer.issue(key, ask, &self.cold_fleet, bounds, now);
        ColdResponse { number, outcome }
    }
}
