//! Targets that turned a request away and named the time for which they want nothing from this
//! router.
//!
//! A target that is flooded turns away requests of many routers within a moment and names the
//! same time to all. It gets nothing until the time is over. Then each router waits for a
//! further part of the time of its own, and tries the target with one request at a time until
//! one is accepted, so that the target is not flooded again at once.
//!
//! Of several times the one that ends last holds: each was asked for, and a request that was
//! accepted in between was sent before. Only a new incarnation of the target ends the time
//! sooner.

use std::collections::BTreeMap;

use base::{Millis, Name, stable_hash};

use crate::entry::TargetEntry;

/// Limits of the time for which a target is left alone.
#[derive(Clone, Copy, Debug)]
pub struct BackoffSettings {
    /// Longest time in milliseconds that a target may name; more is cut to that.
    pub max_ms: Millis,
    /// Largest part of the named time that a router adds, so that not all return at once.
    pub spread: f64,
    /// Longest time in milliseconds that a router adds.
    pub max_spread_ms: Millis,
    /// Time in milliseconds after which a trial without a response is over.
    pub trial_ms: Millis,
    /// Time in milliseconds after the end of a time at which a target that was not tried is
    /// used as any other.
    pub forget_ms: Millis,
    /// Maximum number of targets that are left alone.
    pub max_targets: usize,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            max_ms: 3_600_000,
            spread: 0.25,
            max_spread_ms: 1_000,
            trial_ms: 2_000,
            forget_ms: 10_000,
            max_targets: 4_096,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct TargetBackoff {
    /// When the target may be tried again.
    opens_at: Millis,
    /// When the trial in flight was sent.
    trial_at: Option<Millis>,
}

/// The targets that this router leaves alone, by id and incarnation.
#[derive(Debug, Default)]
pub struct TargetBackoffs {
    settings: BackoffSettings,
    /// Distinguishes this router from its peers.
    router_hash: u64,
    backoffs: BTreeMap<(Name, u64), TargetBackoff>,
}

fn backoff_key(entry: &TargetEntry) -> (Name, u64) {
    (Name::clone(&entry.id), entry.incarnation)
}

impl TargetBackoffs {
    pub fn new(router_hash: u64, settings: BackoffSettings) -> Self {
        Self { settings, router_hash, backoffs: BTreeMap::new() }
    }

    /// Records that a target turned a request away and wants nothing for `named_ms`
    /// milliseconds. Returns the milliseconds until it may be tried again.
    pub fn record_turned_away(
        &mut self,
        entry: &TargetEntry,
        named_ms: Millis,
        now: Millis,
    ) -> Millis {
        let settings = self.settings;
        if named_ms == 0 {
            return 0;
        }
        self.remove_expired(now);
        let named_ms = named_ms.min(settings.max_ms);
        let opens_at = now.saturating_add(named_ms + self.extra_ms(&entry.id, named_ms));
        let key = backoff_key(entry);
        let earlier = self.backoffs.get(&key).map_or(0, |backoff| backoff.opens_at);
        if self.backoffs.len() >= settings.max_targets && earlier == 0 {
            // The one that ends first is the least loss.
            let first = self.backoffs.iter().min_by_key(|(_, backoff)| backoff.opens_at);
            if let Some(first) = first.map(|(key, _)| key.clone()) {
                self.backoffs.remove(&first);
            }
        }
        let opens_at = opens_at.max(earlier);
        self.backoffs.insert(key, TargetBackoff { opens_at, trial_at: None });
        opens_at.saturating_sub(now)
    }

    /// Returns the time in milliseconds that this router adds to a named one.
    fn extra_ms(&self, id: &str, named_ms: Millis) -> Millis {
        let hash = stable_hash(&[id, &self.router_hash.to_string()]);
        let part = (hash % 1_000) as f64 / 1_000.0;
        let range_ms = named_ms as f64 * self.settings.spread;
        (range_ms.min(self.settings.max_spread_ms as f64) * part) as Millis
    }

    fn remove_expired(&mut self, now: Millis) {
        let forget_ms = self.settings.forget_ms;
        self.backoffs.retain(|_, backoff| now < backoff.opens_at.saturating_add(forget_ms));
    }

    /// Returns the milliseconds until a target may get a request; `None` if it may now.
    pub fn wait_ms(&self, entry: &TargetEntry, now: Millis) -> Option<Millis> {
        if self.backoffs.is_empty() {
            return None;
        }
        let backoff = self.backoffs.get(&backoff_key(entry))?;
        if now >= backoff.opens_at.saturating_add(self.settings.forget_ms) {
            return None;
        }
        let trial_ends_at = backoff.trial_at.map(|at| at.saturating_add(self.settings.trial_ms));
        let free_at = backoff.opens_at.max(trial_ends_at.unwrap_or(0));
        (now < free_at).then(|| free_at - now)
    }

    /// Records that a request is written to a target. After its time this is a trial.
    pub fn record_sent(&mut self, entry: &TargetEntry, now: Millis) {
        if self.backoffs.is_empty() {
            return;
        }
        if let Some(backoff) = self.backoffs.get_mut(&backoff_key(entry)) {
            backoff.trial_at = Some(now);
        }
    }

    /// Records that a target accepted the request that was written to it at `sent_at`; returns
    /// whether it is used as any other from now on. One that was written before the end of the
    /// time says nothing about now.
    pub fn record_accepted(&mut self, entry: &TargetEntry, sent_at: Millis) -> bool {
        if self.backoffs.is_empty() {
            return false;
        }
        let key = backoff_key(entry);
        let is_trial = self.backoffs.get(&key).is_some_and(|backoff| sent_at >= backoff.opens_at);
        is_trial && self.backoffs.remove(&key).is_some()
    }
}
