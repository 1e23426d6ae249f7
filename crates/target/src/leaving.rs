//! Incarnations of targets that leave: by their entries in the configuration source, by their
//! own responses, or by the word of a peer.
//!
//! A target that is replaced or scaled in may say so in its responses before its entry does,
//! or while the source is unavailable or has lost the entry. Its incarnation then gets nothing
//! new, and nothing undoes that. Only a new incarnation of the target is used again.

use std::collections::BTreeMap;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

/// Time in milliseconds for which peers are told what this router read in a response: several
/// heartbeats of a fleet of hundreds.
const NOTICE_MS: Millis = 12_000;
/// Maximum number of targets in one message to a peer, so that it fits into a datagram.
const MAX_NOTICES: usize = 8;
/// Maximum number of incarnations that are remembered of one target.
const MAX_INCARNATIONS: usize = 4;
/// Maximum number of targets that are remembered, as peers may name targets that this router
/// does not know.
const MAX_TARGETS: usize = 4_096;

/// An incarnation of a target that said in a response that it leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingTarget {
    pub id: Name,
    pub incarnation: u64,
}

/// Where it is known from that a target leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingOrigin {
    /// Its entry in the configuration source.
    Entry,
    /// A response of the target to this router.
    Response,
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    origin: LeavingOrigin,
    learned_at: Millis,
}

/// The incarnations that leave, by target.
///
/// Invariant: a target that leaves is used again only as an incarnation that is newer than each that
/// is known to leave. Incarnations rise with each start, and 0 is one that is not known.
#[derive(Debug, Default)]
pub(crate) struct LeavingTargets(BTreeMap<Name, BTreeMap<u64, Departure>>);

impl LeavingTargets {
    /// Records that an incarnation leaves; returns whether it did not count as leaving before.
    pub(crate) fn record(
        &mut self,
        id: &Name,
        incarnation: u64,
        origin: LeavingOrigin,
        now: Millis,
    ) -> bool {
        if self.contains(id, incarnation) {
            return false;
        }
        self.make_room(id);
        let incarnations = self.0.entry(Name::clone(id)).or_default();
        incarnations.insert(incarnation, Departure { origin, learned_at: now });
        if incarnations.len() > MAX_INCARNATIONS {
            let oldest = incarnations.iter().min_by_key(|(incarnation, departure)| {
                (departure.origin != LeavingOrigin::Peer, **incarnation)
            });
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                incarnations.remove(&oldest);
            }
        }
        true
    }

    fn make_room(&mut self, id: &Name) {
        if self.0.len() < MAX_TARGETS || self.0.contains_key(id) {
            return;
        }
        // What peers say goes first, as they may name targets that do not exist.
        let worth = |incarnations: &BTreeMap<u64, Departure>| {
            let departures = incarnations.values();
            departures.map(|known| (known.origin != LeavingOrigin::Peer, known.learned_at)).max()
        };
        let oldest = self.0.iter().min_by_key(|(_, incarnations)| worth(incarnations));
        if let Some(oldest) = oldest.map(|(id, _)| Name::clone(id)) {
            self.0.remove(&oldest);
        }
    }

    /// Whether an incarnation leaves or has left.
    pub(crate) fn contains(&self, id: &str, incarnation: u64) -> bool {
        let incarnations = self.0.get(id);
        incarnations.is_some_and(|known| known.range(incarnation..).next().is_some())
    }

    /// Returns the targets that said lately in responses to this router that they leave, the
    /// newest first.
    pub(crate) fn notices(&self, now: Millis) -> Vec<LeavingTarget> {
        let mut recent: Vec<(Millis, LeavingTarget)> = Vec::new();
        for (id, incarnations) in &self.0 {
            for (incarnation, departure) in incarnations {
                let age = now.saturating_sub(departure.learned_at);
                if departure.origin == LeavingOrigin::Response && age <= NOTICE_MS {
                    let target = LeavingTarget { id: Name::clone(id), incarnation: *incarnation };
                    recent.push((age, target));
                }
            }
        }
        recent.sort_by_key(|(age, _)| *age);
        recent.truncate(MAX_NOTICES);
        recent.into_iter().map(|(_, target)| target).collect()
    }
}
