//! Remembers which targets left, for when the configuration source is restored from a copy
//! that still has them.
//!
//! A target that lives publishes its entry again soon after the restoration, and the entry
//! of one that left expires. Until one of both has happened, the copied entry is not used.

use std::collections::BTreeMap;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

/// Distance between the first revisions of two eras of the source, so that revisions only
/// rise although a restored source gives them out again.
pub const ERA_REVISIONS: u64 = 1_000_000_000_000;
/// Time in milliseconds for which a target that left is remembered; copies are some seconds
/// old.
const REMEMBER_MS: Millis = 60_000;
/// Time in milliseconds for which a copied entry is not used: that of a lease and of the
/// reading.
pub(crate) const HOLD_MS: Millis = 5_000;

pub(crate) fn is_same_era(revision: u64, other: u64) -> bool {
    revision / ERA_REVISIONS == other / ERA_REVISIONS
}

/// A target whose entry was removed while the source was available.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeftTarget {
    pub id: Name,
    pub incarnation: u64,
    /// Revision of the source at which the entry was removed.
    pub revision: u64,
    /// Milliseconds since then.
    pub age: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: u64,
    revision: u64,
    at: Millis,
}

/// The targets that left lately, at most one incarnation of each.
#[derive(Debug, Default)]
pub(crate) struct LeftTargets(BTreeMap<Name, Departure>);

impl LeftTargets {
    pub(crate) fn record(&mut self, left: LeftTarget, now: Millis) {
        let LeftTarget { id, incarnation, revision, age } = left;
        self.0.retain(|_, departure| now.saturating_sub(departure.at) < REMEMBER_MS);
        let at = now.saturating_sub(age);
        let is_newer = self.0.get(&id).is_none_or(|known| known.revision < revision);
        if is_newer && age < REMEMBER_MS {
            self.0.insert(id, Departure { incarnation, revision, at });
        }
    }

    /// Whether an entry of `incarnation` at `revision` may be that of a copy: the target
    /// left in an earlier era.
    pub(crate) fn is_copied(&self, id: &str, incarnation: u64, revision: u64, now: Millis) -> bool {
        self.0.get(id).is_some_and(|departure| {
            departure.incarnation == incarnation
                && departure.revision / ERA_REVISIONS < revision / ERA_REVISIONS
                && now.saturating_sub(departure.at) < REMEMBER_MS
        })
    }

    /// Returns the targets that left lately, to be sent to a peer.
    pub(crate) fn recent(&self, now: Millis) -> Vec<LeftTarget> {
        let departures = self.0.iter().map(|(id, departure)| LeftTarget {
            id: Name::clone(id),
            incarnation: departure.incarnation,
            revision: departure.revision,
            age: now.saturating_sub(departure.at),
        });
        departures.filter(|left| left.age < REMEMBER_MS).collect()
    }
}
