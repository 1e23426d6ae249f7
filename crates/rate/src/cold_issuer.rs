//! Issues permits for cold targets at the instance that its peers elect.

use std::collections::HashMap;

use base::Millis;

use crate::bucket::{BucketRate, PermitBucket};
use crate::cold::{ColdBounds, ColdLimit, growing_rate};
use crate::fleet::ColdFleet;
use crate::key::RateKey;
use crate::limiter::RequestClass;
use crate::message::ColdOutcome;

/// Time in milliseconds after its last permit for which an issuer remembers a target.
const KEEP_MS: Millis = 60_000;
/// Longest time in milliseconds after which a denied instance asks again.
const MAX_RETRY_MS: f64 = 1_000.0;
/// Largest number of answers that one request for a permit may report.
const MAX_ANSWERED: u32 = 1_000;

/// A target for which this instance was asked.
#[derive(Debug)]
struct IssuedTarget {
    bucket: PermitBucket,
    /// The latest end of its cold time that is known here or was named by an instance that asked.
    cold_until: Millis,
    /// Requests that it answered in full since then.
    answered: u32,
    /// Instances that were denied and are expected to ask again, at the rate of the bucket.
    waiting: f64,
    asked_at: Millis,
}

/// What an instance that asks knows of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdAskView {
    pub(crate) limit: ColdLimit,
    /// Rate that the target names itself, in requests per second.
    pub(crate) named: Option<f64>,
    pub(crate) class: RequestClass,
    /// Requests that it answered in full since the instance asked last.
    pub(crate) answered: u32,
    /// Fraction of the saved tokens that is kept for regular requests.
    pub(crate) reserve: f64,
}

/// Buckets of the targets for which this instance was asked.
#[derive(Debug, Default)]
pub(crate) struct ColdIssuer {
    targets: HashMap<RateKey, IssuedTarget>,
}

impl ColdIssuer {
    /// Decides whether a request may be sent to a target.
    pub(crate) fn issue(
        &mut self,
        key: RateKey,
        ask: ColdAskView,
        fleet: &ColdFleet,
        bounds: ColdBounds,
        now: Millis,
    ) -> ColdOutcome {
        let per_second = f64::from(ask.limit.per_second);
        let target = self.targets.entry(key).or_insert_with(|| IssuedTarget {
            bucket: PermitBucket::new(now),
            cold_until: 0,
            answered: 0,
            waiting: 0.0,
            asked_at: now,
        });
        target.cold_until = target.cold_until.max(ask.limit.until);
        let elapsed_s = now.saturating_sub(target.asked_at) as f64 / 1_000.0;
        target.asked_at = now;
        let is_cold = now < target.cold_until;
        let rate = if is_cold {
            target.answered = 0;
            let Some(rate) = bounds.rate(per_second, fleet.role(key, now)) else {
                // What was saved in another role may be issued by another instance now.
                target.bucket = PermitBucket::new(now);
                return ColdOutcome::Denied { retry_ms: MAX_RETRY_MS as Millis };
            };
            rate
        } else {
            target.answered = target.answered.saturating_add(ask.answered.min(MAX_ANSWERED));
            let Some(rate) = growing_rate(per_second, target.answered) else {
                return ColdOutcome::Warm;
            };
            rate
        };
        let named = ask.named.unwrap_or(f64::INFINITY);
        let rate = BucketRate { per_second: rate.per_second.min(named), burst: rate.burst };
        let reserve = match ask.class {
            RequestClass::Regular => 0.0,
            RequestClass::Spare => rate.burst * ask.reserve,
        };
        target.waiting = (target.waiting - elapsed_s * rate.per_second).max(0.0);
        match target.bucket.take(rate, reserve, now) {
            Ok(()) if is_cold => ColdOutcome::Granted,
            Ok(()) => ColdOutcome::GrantedWarming,
            Err(wait_ms) => {
                // Instances that are denied together come back one after the other.
                let queue_ms = target.waiting / rate.per_second * 1_000.0;
                target.waiting += 1.0;
                let retry_ms = (wait_ms as f64 + queue_ms).min(MAX_RETRY_MS) as Millis;
                ColdOutcome::Denied { retry_ms: retry_ms.max(1) }
            }
        }
    }

    /// Removes the targets for which nobody has asked lately.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.targets.retain(|_, target| now.saturating_sub(target.asked_at) < KEEP_MS);
    }
}
