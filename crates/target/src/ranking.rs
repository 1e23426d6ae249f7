//! Order in which a request prefers targets.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use base::{Millis, mix_hashes};

use crate::entry::TargetEntry;
use crate::load::{LoadTracker, TargetKey};
use crate::selection::SelectionQuery;
use crate::tried::find_trace;

/// A target with its rendezvous weight for a request. The target with the
/// greatest weight is the first home, or comes first in the order of a request
/// without homes.
pub(crate) struct RankedTarget<'a> {
    weight: u64,
    pub(crate) key: TargetKey,
    pub(crate) entry: &'a Arc<TargetEntry>,
}

impl PartialEq for RankedTarget<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedTarget<'_> {}

impl PartialOrd for RankedTarget<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for RankedTarget<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.weight.cmp(&other.weight).then_with(|| self.entry.id.cmp(&other.entry.id))
    }
}

/// Ranks the targets that may get the request: those that are preferred, and those that are used
/// only if none of them can take it. Healthy targets at which it failed come after those at which
/// it was not tried; ejected ones are used only if there are no others, since the fault is then
/// more likely elsewhere, and not again.
pub(crate) fn rank_targets<'a>(
    tracker: &mut LoadTracker,
    candidates: impl Iterator<Item = &'a Arc<TargetEntry>>,
    query: &SelectionQuery<'_>,
    now: Millis,
) -> [BinaryHeap<RankedTarget<'a>>; 2] {
    let home_part = query.profile.home_part();
    let mut healthy = Vec::new();
    let mut failed = Vec::new();
    let mut ejected = Vec::new();
    for entry in candidates {
        let trace = find_trace(query.tried, &entry.id);
        let key = tracker.key_for(entry);
        let Some(load) = tracker.get(key) else { continue };
        let weight = mix_hashes(load.hash, home_part.unwrap_or(query.request_hash));
        let target = RankedTarget { weight, key, entry };
        let is_healthy = load.health.accepts_request(&tracker.health_settings, now);
        match (trace, is_healthy) {
            (None, true) => healthy.push(target),
            (None, false) => ejected.push(target),
            (Some(trace), true) if trace.allows_repeat() => failed.push(target),
            (Some(_), _) => {}
        }
    }
    let tiers = if healthy.is_empty() { [failed, ejected] } else { [healthy, failed] };
    tiers.map(BinaryHeap::from)
}
