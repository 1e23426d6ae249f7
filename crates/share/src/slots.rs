//! Slots of the targets: which grants occupy them, and how many may be in use.

use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name};

use crate::message::GrantId;

/// Age from which a target's load report is ignored, in milliseconds.
const REPORT_MAX_AGE: Millis = 5_000;
/// Age up to which a request that was sent may be missing from the target's
/// load report, in milliseconds.
const REPORT_LAG: Millis = 2_500;
/// Duration of a target's first ejection, in milliseconds. It doubles with each
/// further failure.
const EJECT_BASE: Millis = 500;
/// Maximum duration of an ejection, in milliseconds.
const EJECT_MAX: Millis = 30_000;

/// A target as the published list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    pub name: Name,
    pub domain: Name,
    /// Maximum number of requests in progress at once.
    pub slots: u32,
    /// Whether the target is leaving and must get no new requests.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct TargetState {
    info: TargetInfo,
    used: u32,
    /// Recent values of `used` with their times, newest last. They separate
    /// this allocator's load from that of others in a report that lags behind.
    used_samples: VecDeque<(Millis, u32)>,
    /// Load of other senders by the last load report, with the time at which it
    /// was received.
    other_load: Option<(Millis, u32)>,
    /// Whether the target can serve, by its last load report.
    ready: bool,
    /// Failures since the last success, without those during an ejection.
    failures: u32,
    ejected_until: Millis,
}

impl TargetState {
    fn new(info: TargetInfo) -> Self {
        Self {
            info,
            used: 0,
            used_samples: VecDeque::new(),
            other_load: None,
            ready: true,
            failures: 0,
            ejected_until: 0,
        }
    }

    /// Returns how many slots may be in use now. An ejected target gets none;
    /// once its ejection ends it gets one, as a probe, until a request succeeds.
    ///
    /// Slots that others use are subtracted, but not below the fraction
    /// `min_share` of the target's slots.
    fn limit(&self, now: Millis, min_share: f64) -> u32 {
        if self.info.leaving || !self.ready || now < self.ejected_until {
            return 0;
        }
        if self.failures > 0 {
            return 1;
        }
        let slots = self.info.slots;
        let other_load = match self.other_load {
            Some((at, other_load)) if now.saturating_sub(at) < REPORT_MAX_AGE => other_load,
            _ => 0,
        };
        let guaranteed = (f64::from(slots) * min_share).ceil() as u32;
        slots.saturating_sub(other_load).max(guaranteed.min(slots))
    }

    fn record_used(&mut self, now: Millis) {
        while self.used_samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) > REPORT_LAG)
        {
            self.used_samples.pop_front();
        }
        self.used_samples.push_back((now, self.used));
    }
}

/// Slots of all targets of one service, with the grants that occupy them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotTable {
    targets: BTreeMap<Name, TargetState>,
    targets_by_grant: BTreeMap<GrantId, Name>,
    /// Fraction of each target's slots that may be used whatever load others
    /// put on it, from 0 to 1. It is below 1 during a partition.
    min_share: f64,
}

impl SlotTable {
    pub(crate) fn set_min_share(&mut self, min_share: f64) {
        self.min_share = min_share;
    }

    pub(crate) fn set_targets(&mut self, infos: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.targets);
        for info in infos {
            let name = Name::clone(&info.name);
            let state = match old.remove(&name) {
                Some(state) => TargetState { info, ..state },
                None => TargetState::new(info),
            };
            self.targets.insert(name, state);
        }
        let targets = &self.targets;
        self.targets_by_grant.retain(|_, target| targets.contains_key(target));
    }

    /// Records a target's count of requests in progress and waiting, and
    /// whether it can serve.
    pub(crate) fn record_load(&mut self, target: &Name, load: u32, ready: bool, now: Millis) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.ready = ready;
        state.record_used(now);
        let own = state.used_samples.iter().map(|(_, used)| *used).max().unwrap_or(0);
        state.other_load = Some((now, load.saturating_sub(own)));
    }

    /// Ejects a target after a failed request or load poll. Failures during an
    /// ejection do not prolong it.
    pub(crate) fn record_failure(&mut self, target: &Name, now: Millis) {
        let Some(state) = self.targets.get_mut(target) else { return };
        if now < state.ejected_until {
            return;
        }
        let ejection = (EJECT_BASE << state.failures.min(10)).min(EJECT_MAX);
        state.failures += 1;
        state.ejected_until = now + ejection;
    }

    /// Ends the ejection and resets the failure count of a target.
    pub(crate) fn record_success(&mut self, target: &Name) {
        if let Some(state) = self.targets.get_mut(target) {
            state.failures = 0;
            state.ejected_until = 0;
        }
    }

    /// Returns the target with a free slot that has the lowest ratio of used
    /// slots to its limit.
    pub(crate) fn pick_target(&self, now: Millis) -> Option<Name> {
        let free = self.targets.values().filter_map(|state| {
            let limit = state.limit(now, self.min_share);
            (state.used < limit).then_some((state, limit))
        });
        let least = free.min_by(|(a, a_limit), (b, b_limit)| {
            let left = u64::from(a.used) * u64::from(*b_limit);
            let right = u64::from(b.used) * u64::from(*a_limit);
            left.cmp(&right)
        });
        least.map(|(state, _)| Name::clone(&state.info.name))
    }

    pub(crate) fn free(&self, now: Millis) -> u32 {
        let free =
            |state: &TargetState| state.limit(now, self.min_share).saturating_sub(state.used);
        self.targets.values().map(free).sum()
    }

    /// Marks a slot of `target` as used by the grant. Has no effect when the
    /// grant already occupies a slot.
    pub(crate) fn acquire(&mut self, id: GrantId, target: &Name, now: Millis) {
        if self.targets_by_grant.insert(id, Name::clone(target)).is_some() {
            return;
        }
        if let Some(state) = self.targets.get_mut(target) {
            state.used += 1;
            state.record_used(now);
        }
    }

    /// Frees the grant's slot. Returns its target, or `None` when the grant
    /// occupies no slot.
    pub(crate) fn release(&mut self, id: GrantId) -> Option<Name> {
        let target = self.targets_by_grant.remove(&id)?;
        if let Some(state) = self.targets.get_mut(&target) {
            state.used = state.used.saturating_sub(1);
        }
        Some(target)
    }

    pub(crate) fn target_of(&self, id: GrantId) -> Option<Name> {
        self.targets_by_grant.get(&id).cloned()
    }

    /// Returns each target with its state and its used and permitted slots, as
    /// text for the status.
    pub(crate) fn states(&self, now: Millis) -> Vec<(Name, String)> {
        let state = |(name, state): (&Name, &TargetState)| {
            let limit = state.limit(now, self.min_share);
            let word = match () {
                () if state.info.leaving => "leaving",
                () if !state.ready => "loading",
                () if now < state.ejected_until => "ejected",
                () if state.failures > 0 => "probed",
                () => "serving",
            };
            (Name::clone(name), format!("{word} {}/{limit}", state.used))
        };
        self.targets.iter().map(state).collect()
    }

    pub(crate) fn used(&self) -> u32 {
        self.targets.values().map(|state| state.used).sum()
    }
}
