//! What is known of the limits of targets.

use std::collections::HashMap;

use base::Millis;
use serde::{Deserialize, Serialize};

use crate::key::RateKey;
use crate::settings::RateSettings;

/// An observation of a target's limit, as it is sent to peers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitFact {
    /// Requests per second that the target takes from all routers together; `None` if it no
    /// longer names a limit.
    pub per_second: Option<f32>,
    /// Milliseconds since the observation.
    pub age: Millis,
}

impl LimitFact {
    /// Whether the fact can come from a router.
    fn is_valid(&self) -> bool {
        self.per_second.is_none_or(|limit| limit.is_finite() && limit >= 0.0)
    }
}

/// A change of belief, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target names a limit, or another one than before, in requests per second.
    Named { per_second: f32 },
    /// The target no longer names a limit.
    Ended,
}

/// Largest age of an observation in milliseconds; older ones are unknown.
const MAX_AGE_MS: Millis = 24 * 3_600 * 1_000;

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    per_second: Option<f32>,
    /// On this router's clock; negative if a peer made the observation before this router
    /// started.
    observed_at: i64,
    /// Since when no entry of the incarnation is known; `None` while one is.
    absent_since: Option<Millis>,
}

impl KnownLimit {
    fn age(&self, now: Millis) -> Millis {
        Millis::try_from(signed(now) - self.observed_at).unwrap_or_default()
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

/// Newest observation of each incarnation of a target that has named a limit.
///
/// Invariant: only a newer observation of the incarnation ends its limit. A limit whose entry is
/// gone is kept for [`RateSettings::absent_ms`] while there is room, as the target may serve on and
/// be published again.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    limits: HashMap<RateKey, KnownLimit>,
    /// Index of the fact that the next notice starts at.
    next_fact: usize,
    /// The same among the facts of targets without an entry.
    next_absent: usize,
}

impl LimitTable {
    /// Returns the limit of a target in requests per second, if it has one.
    pub(crate) fn limit(&self, key: RateKey) -> Option<f64> {
        self.limits.get(&key)?.per_second.map(f64::from)
    }

    /// Records this router's own observation if it is newer than what is known.
    pub(crate) fn record(
        &mut self,
        key: RateKey,
        per_second: Option<f32>,
        observed_at: Millis,
        settings: &RateSettings,
    ) -> Option<LimitChange> {
        self.observe(key, per_second, signed(observed_at), settings)
    }

    fn observe(
        &mut self,
        key: RateKey,
        per_second: Option<f32>,
        observed_at: i64,
        settings: &RateSettings,
    ) -> Option<LimitChange> {
        let known = self.limits.get(&key).copied();
        if known.is_none() && per_second.is_none() {
            return None;
        }
        if known.is_some_and(|known| known.observed_at >= observed_at) {
            return None;
        }
        if known.is_none() {
            self.make_room(settings.max_facts);
        }
        let absent_since = known.and_then(|known| known.absent_since);
        self.limits.insert(key, KnownLimit { per_second, observed_at, absent_since });
        let previous = known.and_then(|known| known.per_second);
        match per_second {
            _ if previous == per_second => None,
            Some(per_second) => Some(LimitChange::Named { per_second }),
            None => Some(LimitChange::Ended),
        }
    }

    /// Merges an observation of a peer.
    pub(crate) fn merge(
        &mut self,
        key: RateKey,
        fact: LimitFact,
        settings: &RateSettings,
        now: Millis,
    ) -> Option<LimitChange> {
        if !fact.is_valid() || fact.age > MAX_AGE_MS {
            return None;
        }
        let message_ms = if fact.per_second.is_none() { settings.message_ms } else { 0 };
        let observed_at = signed(now) - signed(fact.age + message_ms);
        self.observe(key, fact.per_second, observed_at, settings)
    }

    /// Returns what is known of a target, to be sent to a peer.
    pub(crate) fn fact(&self, key: RateKey, now: Millis) -> LimitFact {
        let known = self.limits.get(&key);
        LimitFact {
            per_second: known.and_then(|known| known.per_second),
            age: known.map_or(Millis::MAX, |known| known.age(now)),
        }
    }

    /// Returns some facts, different ones each time. Those of targets without an entry take only
    /// the room that the others leave.
    pub(crate) fn next_facts(
        &mut self,
        max_facts: usize,
        now: Millis,
    ) -> Vec<(RateKey, LimitFact)> {
        let (mut keys, mut absent): (Vec<RateKey>, Vec<RateKey>) =
            self.limits.keys().partition(|key| self.limits[key].absent_since.is_none());
        keys.sort_unstable();
        absent.sort_unstable();
        let facts = [
            next_keys(&keys, max_facts, &mut self.next_fact),
            next_keys(&absent, max_facts.saturating_sub(keys.len()), &mut self.next_absent),
        ];
        facts.into_iter().flatten().map(|key| (key, self.fact(key, now))).collect()
    }

    /// Records of which targets an entry is known.
    pub(crate) fn set_present(&mut self, is_known: impl Fn(RateKey) -> bool, now: Millis) {
        for (key, known) in &mut self.limits {
            let absent_since = known.absent_since.unwrap_or(now);
            known.absent_since = (!is_known(*key)).then_some(absent_since);
        }
    }

    /// Removes limits that ended long ago, and those of targets whose entries have been gone for
    /// long.
    pub(crate) fn expire(&mut self, settings: &RateSettings, now: Millis) {
        self.limits.retain(|_, known| {
            let is_current = known.per_second.is_some() || known.age(now) < settings.forget_ms;
            let absent_ms = known.absent_since.map_or(0, |since| now.saturating_sub(since));
            is_current && absent_ms < settings.absent_ms
        });
    }

    pub(crate) fn contains(&self, key: RateKey) -> bool {
        self.limits.contains_key(&key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.limits.values().filter(|known| known.per_second.is_some()).count()
    }

    /// Removes the oldest fact if there are as many as allowed: an ended limit first, then one of a
    /// target without an entry.
    fn make_room(&mut self, max_facts: usize) {
        if self.limits.len() < max_facts {
            return;
        }
        let oldest = self.limits.iter().min_by_key(|(_, known)| {
            (known.per_second.is_some(), known.absent_since.is_none(), known.observed_at)
        });
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.limits.remove(&key);
        }
    }
}

/// Returns `count` of the keys at most, beginning at the index `next`, which it advances.
fn next_keys(keys: &[RateKey], count: usize, next: &mut usize) -> Vec<RateKey> {
    let count = keys.len().min(count);
    let start = next.checked_rem(keys.len()).unwrap_or(0);
    *next = start + count;
    keys.iter().cycle().skip(start).take(count).copied().collect()
}
