//! Failure domains that operators have evacuated, as the configuration source and peers tell it.
//!
//! The record with the highest revision wins, so that duplicated, delayed and reordered records
//! have no effect. A source that is restored from a copy may lack an evacuation that nobody took
//! back. It therefore holds until the operator has had time to write it again.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::left::{ERA_REVISIONS, is_same_era};

/// Time in milliseconds for which an evacuation holds that a restored source lacks: 2 s in which
/// operators write again what was lost, and 1 s until the last instance has read it.
pub(crate) const HOLD_MS: Millis = 3_000;
/// Time in milliseconds from a response of the source after an outage until its changes are read.
pub(crate) const READ_MS: Millis = 1_000;
/// Maximum number of evacuated domains: more than a supported fleet has targets.
const MAX_EVACUATED: usize = 4_096;
/// Maximum number of domains that were taken back and are remembered.
const MAX_TAKEN_BACK: usize = 256;

/// One record of the source: a failure domain is evacuated, or no longer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainRecord {
    pub domain: Name,
    pub is_evacuated: bool,
    /// Revision of the source at which the record was written.
    pub revision: u64,
}

/// What an instance knows of evacuations, to be sent to a peer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainListing {
    /// Domains that are evacuated at this revision are all in `records`; 0 if some may be
    /// missing.
    pub revision: u64,
    pub records: Vec<DomainRecord>,
    /// Milliseconds since the sender learned of each of `records`, in their order.
    pub ages: Vec<Millis>,
}

/// Effect of a record on a failure domain, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DomainChange {
    /// The evacuation begins.
    Evacuated,
    /// The evacuation ends.
    TakenBack,
    Unchanged,
}

/// End of the last evacuation of a failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DomainReturn {
    /// When the evacuation ended, as far as this instance or the peer that told it knows.
    pub at: Millis,
    /// Revision of the source at which the key was removed, or was found to be missing.
    pub revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct DomainState {
    is_evacuated: bool,
    revision: u64,
    /// When `is_evacuated` became what it is.
    changed_at: Millis,
    /// Learned after the source had been restored to a later era. Peers are not told, or
    /// instances that start one after the other could pass it on without end.
    is_late: bool,
}

/// The failure domains that are evacuated or were taken back lately.
#[derive(Debug, Default)]
pub(crate) struct EvacuatedDomains {
    states: BTreeMap<Name, DomainState>,
    /// All changes up to this revision are merged; 0 before the first listing.
    complete: u64,
    /// The newest known era of the source.
    era: u64,
    /// Evacuations of earlier eras hold until this time.
    held_until: Millis,
    /// Evacuated domains were dropped, as there were too many.
    is_truncated: bool,
}

impl EvacuatedDomains {
    /// Merges a record that the sender learned `age` milliseconds ago.
    pub(crate) fn merge(
        &mut self,
        record: DomainRecord,
        age: Millis,
        lost_at: Option<Millis>,
        now: Millis,
    ) -> DomainChange {
        self.enter_era(record.revision, lost_at, now);
        let known = self.states.get(&record.domain).copied();
        let is_known = known.is_some_and(|known| {
            (known.revision, known.is_evacuated) >= (record.revision, record.is_evacuated)
        });
        if is_known || self.is_outdated(&record, lost_at, now) {
            return DomainChange::Unchanged;
        }
        let was_evacuated = self.is_evacuated(&record.domain, lost_at, now);
        let changed_at = known
            .filter(|known| known.is_evacuated == record.is_evacuated)
            .map_or(now.saturating_sub(age), |known| known.changed_at);
        let DomainRecord { domain, is_evacuated, revision } = record;
        let is_late = is_evacuated && revision / ERA_REVISIONS < self.era;
        let state = DomainState { is_evacuated, revision, changed_at, is_late };
        self.states.insert(Name::clone(&domain), state);
        self.drop_excess();
        match (was_evacuated, self.is_evacuated(&domain, lost_at, now)) {
            (false, true) => DomainChange::Evacuated,
            (true, false) => DomainChange::TakenBack,
            _ => DomainChange::Unchanged,
        }
    }

    /// Merges all that is evacuated at `revision`. Domains that are missing were taken back,
    /// unless the source was restored since their evacuation. Returns the changed domains.
    pub(crate) fn merge_listing(
        &mut self,
        listing: DomainListing,
        lost_at: Option<Millis>,
        now: Millis,
    ) -> Vec<(DomainRecord, DomainChange)> {
        let DomainListing { revision, records, ages } = listing;
        self.enter_era(revision, lost_at, now);
        let listed: BTreeSet<Name> =
            records.iter().map(|record| Name::clone(&record.domain)).collect();
        let missing: Vec<DomainRecord> = self
            .states
            .iter()
            .filter(|(domain, state)| state.is_evacuated && !listed.contains(*domain))
            .filter(|(_, state)| state.revision < revision && is_same_era(state.revision, revision))
            .map(|(domain, _)| DomainRecord {
                domain: Name::clone(domain),
                is_evacuated: false,
                revision,
            })
            .collect();
        let ages = ages.into_iter().chain(std::iter::repeat(0));
        let records = records.into_iter().chain(missing);
        let changes = records.zip(ages).map(|(record, age)| {
            let change = self.merge(record.clone(), age, lost_at, now);
            (record, change)
        });
        let changes =
            changes.filter(|(_, change)| *change != DomainChange::Unchanged).collect::<Vec<_>>();
        self.advance(revision);
        changes
    }

    /// Records that all changes up to `revision` are merged.
    pub(crate) fn advance(&mut self, revision: u64) {
        self.complete = self.complete.max(revision);
    }

    pub(crate) fn revision(&self) -> u64 {
        self.complete
    }

    /// Records that the source responded after an outage that began at `lost_at`: evacuations
    /// that held then do so for `extra_ms` more.
    pub(crate) fn extend_hold(&mut self, lost_at: Millis, extra_ms: Millis, now: Millis) {
        if lost_at < self.held_until {
            self.held_until = self.held_until.max(now.saturating_add(extra_ms));
        }
    }

    /// Ends the evacuations that a restored source still lacks. Returns them.
    pub(crate) fn expire(&mut self, lost_at: Option<Millis>, now: Millis) -> Vec<DomainRecord> {
        if self.is_holding(lost_at, now) {
            return Vec::new();
        }
        let (era, held_until) = (self.era, self.held_until);
        // Operators have not written them again up to this revision.
        let revision = self.complete.max(era.saturating_mul(ERA_REVISIONS));
        let mut ended = Vec::new();
        for (domain, state) in &mut self.states {
            if state.is_evacuated && state.revision / ERA_REVISIONS < era {
                state.is_evacuated = false;
                state.is_late = false;
                state.revision = revision;
                state.changed_at = held_until;
                let domain = Name::clone(domain);
                ended.push(DomainRecord { domain, is_evacuated: false, revision });
            }
        }
        self.drop_excess();
        ended
    }

    pub(crate) fn is_evacuated(&self, domain: &str, lost_at: Option<Millis>, now: Millis) -> bool {
        self.states.get(domain).is_some_and(|state| self.is_in_force(state, lost_at, now))
    }

    /// Returns the number of evacuated domains.
    pub(crate) fn evacuated_count(&self, lost_at: Option<Millis>, now: Millis) -> usize {
        self.states.values().filter(|state| self.is_in_force(state, lost_at, now)).count()
    }

    /// Returns when the domain was last taken back; `None` if it is evacuated or that is not
    /// remembered.
    pub(crate) fn returned(
        &self,
        domain: &str,
        lost_at: Option<Millis>,
        now: Millis,
    ) -> Option<DomainReturn> {
        let state = self.states.get(domain)?;
        if self.is_in_force(state, lost_at, now) {
            return None;
        }
        if state.is_evacuated {
            // Its hold is over, and `expire` has not been called yet.
            return Some(DomainReturn { at: self.held_until, revision: self.complete });
        }
        Some(DomainReturn { at: state.changed_at, revision: state.revision })
    }

    /// Returns what a peer has to know.
    pub(crate) fn listing(&self, lost_at: Option<Millis>, now: Millis) -> DomainListing {
        let mut records = Vec::new();
        let mut ages = Vec::new();
        for (domain, state) in self.told(0) {
            if !state.is_evacuated || self.is_in_force(state, lost_at, now) {
                records.push(told_record(domain, state));
                ages.push(now.saturating_sub(state.changed_at));
            }
        }
        let revision = if self.is_truncated { 0 } else { self.complete };
        DomainListing { revision, records, ages }
    }

    /// Returns the records newer than a revision, to be sent to a peer.
    pub(crate) fn records_since(&self, revision: u64) -> Vec<DomainRecord> {
        self.told(revision).map(|(domain, state)| told_record(domain, state)).collect()
    }

    fn told(&self, revision: u64) -> impl Iterator<Item = (&Name, &DomainState)> {
        let newer = self.states.iter().filter(move |(_, state)| state.revision > revision);
        newer.filter(|(_, state)| !state.is_late)
    }

    /// Whether the record is older than a complete view, or than a restoration after which the
    /// operator has had time to write it again.
    fn is_outdated(&self, record: &DomainRecord, lost_at: Option<Millis>, now: Millis) -> bool {
        let is_of_earlier_era = record.revision / ERA_REVISIONS < self.era;
        let is_merged =
            record.revision <= self.complete && is_same_era(record.revision, self.complete);
        is_merged || (is_of_earlier_era && !self.is_holding(lost_at, now))
    }

    fn is_in_force(&self, state: &DomainState, lost_at: Option<Millis>, now: Millis) -> bool {
        let is_current = state.revision / ERA_REVISIONS >= self.era;
        state.is_evacuated && (is_current || self.is_holding(lost_at, now))
    }

    /// Whether evacuations of earlier eras hold. An outage that began before their end prolongs
    /// them, as operators can't write meanwhile.
    fn is_holding(&self, lost_at: Option<Millis>, now: Millis) -> bool {
        now < self.held_until || lost_at.is_some_and(|lost_at| lost_at < self.held_until)
    }

    fn enter_era(&mut self, revision: u64, lost_at: Option<Millis>, now: Millis) {
        let era = revision / ERA_REVISIONS;
        if era > self.era {
            // What has ended is not held once more.
            self.expire(lost_at, now);
            self.era = era;
            self.held_until = now.saturating_add(HOLD_MS);
        }
    }

    fn drop_excess(&mut self) {
        if self.states.len() <= MAX_TAKEN_BACK {
            return;
        }
        self.drop_oldest(false, MAX_TAKEN_BACK);
        if self.states.len() > MAX_EVACUATED && self.drop_oldest(true, MAX_EVACUATED) {
            self.is_truncated = true;
        }
    }

    /// Drops the states with the lowest revisions; returns whether there were more than `max`.
    fn drop_oldest(&mut self, is_evacuated: bool, max: usize) -> bool {
        let is_of_kind = |state: &DomainState| state.is_evacuated == is_evacuated;
        let count = self.states.values().filter(|state| is_of_kind(state)).count();
        for _ in max..count {
            let states = self.states.iter().filter(|(_, state)| is_of_kind(state));
            let oldest = states.min_by_key(|(_, state)| state.revision);
            if let Some(oldest) = oldest.map(|(domain, _)| Name::clone(domain)) {
                self.states.remove(&oldest);
            }
        }
        count > max
    }
}

fn told_record(domain: &Name, state: &DomainState) -> DomainRecord {
    DomainRecord {
        domain: Name::clone(domain),
        is_evacuated: state.is_evacuated,
        revision: state.revision,
    }
}
