//! Registry of published targets, merged from the records of several readers of
//! the configuration source.
//!
//! Every record carries a revision of the source and the highest revision wins,
//! so that duplicated, delayed and reordered records have no effect. An
//! incarnation that was once known to leave stays so, whatever later records say. Entries that expired in an outage of the source are used until their
//! targets have had time to publish them again, and never after that.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::backoff::TargetBackoffs;
use crate::coverage::SourceCoverage;
use crate::entry::{TargetEntry, TargetState};
use crate::evacuation::{EvacuatedDomains, HOLD_MS as DOMAIN_HOLD_MS, READ_MS};
use crate::leaving::{LeavingOrigin, LeavingTarget, LeavingTargets};
use crate::left::{HOLD_MS, LeftTarget, LeftTargets, is_same_era};
use crate::outage::{OutageSettings, SourceOutage};

/// Limits of the registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    pub outage: OutageSettings,
    /// Maximum number of removed entries that are remembered, so that a delayed
    /// record does not restore their targets.
    pub max_tombstones: usize,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self { outage: OutageSettings::default(), max_tombstones: 1_024 }
    }
}

/// One record of the source: an entry or its removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    pub id: Name,
    /// `None` if the entry was removed or describes no usable target.
    pub entry: Option<TargetEntry>,
    /// Revision of the source at which the record was written.
    pub revision: u64,
}

/// Effect of a record on the registry, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordChange {
    Added,
    Updated,
    Draining,
    Removed,
    /// The target left before the source was restored from a copy that still has its entry.
    Held,
    /// Removed when the source had just recovered from an outage; the entry is still used
    /// for a limited time.
    Lapsed,
    /// The record is out of date or has no effect on the known targets.
    Unchanged,
}

#[derive(Clone, Debug)]
pub(crate) struct StoredRecord {
    entry: Option<Arc<TargetEntry>>,
    pub(crate) revision: u64,
    /// The entry was removed, but is used until this time. It is never used again after
    /// that, whatever becomes of the source.
    expires_at: Option<Millis>,
    /// The entry may be that of a target that left, from a copy of the source: it is not
    /// used until this time, unless it is written again.
    held_until: Option<Millis>,
    /// The entry was written more than once in the era of its revision.
    is_rewritten: bool,
}

impl StoredRecord {
    /// Whether the source has the entry, as far as is known.
    pub(crate) fn is_published(&self) -> bool {
        self.entry.is_some() && self.expires_at.is_none()
    }
}

/// All targets that this process knows.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    pub(crate) settings: RegistrySettings,
    pub(crate) records: BTreeMap<Name, StoredRecord>,
    pub(crate) coverage: SourceCoverage,
    leaving: LeavingTargets,
    backoffs: TargetBackoffs,
    pub(crate) outage: SourceOutage,
    left: LeftTargets,
    pub(crate) domains: EvacuatedDomains,
}

impl TargetRegistry {
    pub fn new(settings: RegistrySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Creates a registry that leaves targets alone as `backoffs` says.
    pub fn with_backoffs(settings: RegistrySettings, backoffs: TargetBackoffs) -> Self {
        Self { settings, backoffs, ..Self::default() }
    }

    /// Returns which targets are left alone as they asked for it.
    pub fn backoffs(&mut self) -> &mut TargetBackoffs {
        &mut self.backoffs
    }

    /// Records that an incarnation of a target leaves, whatever the source has of it. Returns
    /// whether that is new.
    pub fn record_leaving(
        &mut self,
        id: &Name,
        incarnation: u64,
        origin: LeavingOrigin,
        now: Millis,
    ) -> bool {
        self.leaving.record(id, incarnation, origin, now)
    }

    /// Returns the targets that said lately in responses to this router that they leave, to be
    /// sent to peers.
    pub fn leaving_notices(&self, now: Millis) -> Vec<LeavingTarget> {
        self.leaving.notices(now)
    }

    /// Records that a read of the source failed.
    pub fn record_source_lost(&mut self, now: Millis) {
        self.outage.record_lost(now);
    }

    /// Records that the source was restored from a copy: what it lacks is written again.
    pub fn record_source_restored(&mut self, now: Millis) {
        self.outage.record_restored(now);
    }

    /// Records that the source responded to this router.
    pub fn record_source_reached(&mut self, now: Millis) {
        let lost_at = self.outage.lost_at;
        let was_long = self.outage.record_response(&self.settings.outage, now);
        if let Some(lost_at) = lost_at {
            let extra_ms = if was_long { DOMAIN_HOLD_MS } else { READ_MS };
            self.domains.extend_hold(lost_at, extra_ms, now);
        }
        if !was_long {
            return;
        }
        // Targets whose entries had not expired when the source was lost get the time again.
        let expires_at = now.saturating_add(self.settings.outage.republish_ms);
        for record in self.records.values_mut() {
            record.expires_at =
                record.expires_at.map(|at| if Some(at) > lost_at { expires_at } else { at });
        }
    }

    /// Records that the source responded to a peer `age` milliseconds ago. It is then
    /// available, even if this router does not reach it.
    pub fn record_source_read_by_peer(&mut self, age: Millis, now: Millis) {
        self.outage.record_peer_response(&self.settings.outage, age, now);
    }

    /// Returns the milliseconds since the source recovered; `None` once targets
    /// have had time to publish their entries again.
    pub fn recovery_age(&self, now: Millis) -> Option<Millis> {
        self.outage.recovery_age(&self.settings.outage, now)
    }

    /// Records that a peer saw the source recover `age` milliseconds ago.
    pub fn record_peer_recovery(&mut self, age: Millis, now: Millis) {
        self.outage.record_recovery(now.saturating_sub(age));
    }

    /// Merges one record and returns its effect.
    pub fn merge(&mut self, record: TargetRecord, now: Millis) -> RecordChange {
        // Holds whatever the revision: a restored source may have lost the draining entry.
        let is_newly_draining = record.entry.as_ref().is_some_and(|entry| {
            entry.state == TargetState::Draining
                && self.leaving.record(&entry.id, entry.incarnation, LeavingOrigin::Entry, now)
        });
        if self.fill_in_version(&record) {
            return RecordChange::Updated;
        }
        let known = self.records.get(&record.id);
        if known.is_some_and(|known| known.revision >= record.revision) {
            let is_known = known.and_then(|known| known.entry.as_ref()).is_some_and(|known| {
                record.entry.is_some_and(|entry| entry.incarnation == known.incarnation)
            });
            return if is_newly_draining && is_known {
                RecordChange::Draining
            } else {
                RecordChange::Unchanged
            };
        }
        let known_revision = known.map(|known| known.revision);
        let previous = known.and_then(|known| known.entry.clone());
        let Some(entry) = record.entry else {
            return self.remove(record.id, record.revision, previous, now);
        };
        // A second write in the same era is the target's own.
        let is_first = known_revision.is_none_or(|known| !is_same_era(known, record.revision));
        let is_copied =
            is_first && self.left.is_copied(&entry.id, entry.incarnation, record.revision, now);
        let held_until = is_copied.then(|| now.saturating_add(HOLD_MS));
        let change = match &previous {
            _ if is_copied => RecordChange::Held,
            None => RecordChange::Added,
            Some(previous) if previous.incarnation != entry.incarnation => RecordChange::Added,
            Some(previous) if **previous == entry => RecordChange::Unchanged,
            Some(_) if entry.state == TargetState::Draining => RecordChange::Draining,
            Some(_) => RecordChange::Updated,
        };
        let entry = Some(Arc::new(entry));
        let stored_record = StoredRecord {
            entry,
            revision: record.revision,
            expires_at: None,
            held_until,
            is_rewritten: !is_first,
        };
        self.records.insert(record.id, stored_record);
        change
    }

    /// Takes the software version of a known entry from a record of the same revision, if the
    /// peer that sent the known one did not tell it; returns whether it did.
    fn fill_in_version(&mut self, record: &TargetRecord) -> bool {
        let told = record.entry.as_ref().map(|entry| &entry.software_version);
        let Some(told) = told.filter(|version| !version.is_empty()) else { return false };
        let known = self.records.get_mut(&record.id);
        let known = known.filter(|known| known.revision == record.revision);
        let Some(known) = known.and_then(|known| known.entry.as_mut()) else { return false };
        if !known.software_version.is_empty() {
            return false;
        }
        Arc::make_mut(known).software_version = Name::clone(told);
        true
    }

    fn remove(
        &mut self,
        id: Name,
        revision: u64,
        previous: Option<Arc<TargetEntry>>,
        now: Millis,
    ) -> RecordChange {
        let republish_until = self.outage.republish_until(&self.settings.outage, now);
        let (entry, expires_at, change) = match (previous, republish_until) {
            (None, _) => (None, None, RecordChange::Unchanged),
            (Some(entry), Some(until)) if !self.is_draining(&entry) => {
                (Some(entry), Some(until), RecordChange::Lapsed)
            }
            (Some(entry), _) => {
                let incarnation = entry.incarnation;
                let left = LeftTarget { id: Name::clone(&id), incarnation, revision, age: 0 };
                self.left.record(left, now);
                (None, None, RecordChange::Removed)
            }
        };
        self.records.insert(
            id,
            StoredRecord { entry, revision, expires_at, held_until: None, is_rewritten: false },
        );
        self.remove_oldest_tombstone();
        change
    }

    fn remove_oldest_tombstone(&mut self) {
        let tombstones = self.records.iter().filter(|(_, record)| record.entry.is_none());
        if tombstones.clone().count() <= self.settings.max_tombstones {
            return;
        }
        let oldest = tombstones.min_by_key(|(_, record)| record.revision);
        let oldest = oldest.map(|(id, record)| (Name::clone(id), record.revision));
        if let Some((id, revision)) = oldest {
            self.records.remove(&id);
            let coverage = &mut self.coverage;
            coverage.removals_since = coverage.removals_since.max(revision);
        }
    }

    fn is_draining(&self, entry: &TargetEntry) -> bool {
        self.leaving.contains(&entry.id, entry.incarnation)
    }

    /// Returns the targets of a service that may get new requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Arc<TargetEntry>> {
        self.published(service, now)
            .filter(move |entry| self.backoffs.wait_ms(entry, now).is_none())
    }

    /// Returns the milliseconds until one of the targets of a service that are left alone may
    /// get a request; `None` if there is none.
    pub fn backoff_ms(&self, service: &str, now: Millis) -> Option<Millis> {
        self.published(service, now).filter_map(|entry| self.backoffs.wait_ms(entry, now)).min()
    }

    /// Returns the targets of a service that take requests, by what is published and said, and
    /// whose failure domains are not evacuated.
    fn published<'a>(
        &'a self,
        service: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Arc<TargetEntry>> {
        let records = self.records.values().filter(move |record| self.is_usable(record, now));
        records
            .filter_map(|record| record.entry.as_ref())
            .filter(move |entry| &*entry.service == service && !self.is_evacuated(entry, now))
    }

    /// Whether a target that was selected before may still get a request: its entry, or its
    /// failure domain, may have changed while the request waited for a connection.
    pub fn may_serve(&self, selected: &TargetEntry, now: Millis) -> bool {
        self.published_now(selected, now).is_some_and(|entry| {
            !self.is_evacuated(entry, now) && self.backoffs.wait_ms(entry, now).is_none()
        })
    }

    /// Whether a target that was selected before is published and not known to leave, also if its
    /// failure domain is evacuated or if it is left alone for a time.
    pub fn is_present(&self, selected: &TargetEntry, now: Millis) -> bool {
        self.published_now(selected, now).is_some()
    }

    /// Returns the present entry of a target that was selected before, unless it leaves.
    fn published_now(&self, selected: &TargetEntry, now: Millis) -> Option<&TargetEntry> {
        let record = self.records.get(&selected.id).filter(|record| self.is_usable(record, now))?;
        record.entry.as_deref().filter(|entry| {
            entry.incarnation == selected.incarnation
                && entry.address == selected.address
                && entry.service == selected.service
        })
    }

    fn is_usable(&self, record: &StoredRecord, now: Millis) -> bool {
        let is_held = record.held_until.is_some_and(|until| now < until);
        let is_expired = record.expires_at.is_some_and(|at| {
            // An outage that began before holds the entry until the source is back.
            now >= at && self.outage.lost_at.is_none_or(|lost_at| lost_at >= at)
        });
        let is_draining = record.entry.as_ref().is_some_and(|entry| self.is_draining(entry));
        !is_held && !is_expired && !is_draining
    }

    /// Returns the entries of all targets that are not removed, whether or not they
    /// may get new requests.
    pub fn known(&self) -> impl Iterator<Item = &TargetEntry> {
        self.records.values().filter_map(|record| record.entry.as_deref())
    }

    /// Returns the records newer than a revision, to be sent to a peer. Targets that were once
    /// published as draining are draining in them, as the peer may not know it.
    pub fn records_since(&self, revision: u64) -> Vec<TargetRecord> {
        let newer = self.records.iter().filter(|(_, record)| record.revision > revision);
        newer
            .map(|(id, record)| TargetRecord {
                id: Name::clone(id),
                entry: self.published_entry(record),
                revision: record.revision,
            })
            .collect()
    }

    /// Returns the targets that left lately, to be sent to a peer.
    pub fn left_targets(&self, now: Millis) -> Vec<LeftTarget> {
        self.left.recent(now)
    }

    /// Records that a peer saw a target leave. Its entry is held if it was read from a copy of
    /// the source.
    pub fn record_left(&mut self, left: LeftTarget, now: Millis) {
        let id = Name::clone(&left.id);
        self.left.record(left, now);
        let Some(record) = self.records.get_mut(&id) else { return };
        let Some(entry) = &record.entry else { return };
        if record.held_until.is_none() && !record.is_rewritten {
            let is_copied = self.left.is_copied(&id, entry.incarnation, record.revision, now);
            record.held_until = is_copied.then(|| now.saturating_add(HOLD_MS));
        }
    }

    fn published_entry(&self, record: &StoredRecord) -> Option<TargetEntry> {
        let entry = record.entry.as_deref().filter(|_| record.expires_at.is_none())?;
        let state = if self.is_draining(entry) { TargetState::Draining } else { entry.state };
        Some(TargetEntry { state, ..entry.clone() })
    }
}
