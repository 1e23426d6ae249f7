//! Targets as published, merged from several readers of the source.
//!
//! Every record carries the source's revision; the higher one wins, so
//! duplicates, delays and another order change nothing. A target that was once
//! said to drain stays so for its incarnation. Entries that lapsed while the
//! source was away are kept until the targets had time to publish again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::entry::{TargetEntry, TargetState};

/// Bounds of the registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// Time after the return of the source within which live targets publish
    /// their entries again, in milliseconds. Source: the platform's promise of
    /// about two seconds.
    pub republish_ms: Millis,
    /// Removed entries that are remembered, so that a late copy of the entry
    /// does not bring the target back.
    pub tombstones: usize,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self { republish_ms: 2_000, tombstones: 1_024 }
    }
}

/// One record of the source: an entry as written, or its removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    pub id: Name,
    /// None when the entry was removed, or names no target that can be used.
    pub entry: Option<TargetEntry>,
    /// Revision of the source at which it was written.
    pub revision: u64,
}

/// What a record changed, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordChange {
    Added,
    Updated,
    Draining,
    Removed,
    /// Removed while the source was away or just back; still used for a while.
    Lapsed,
    /// Nothing that matters here changed.
    Unchanged,
}

#[derive(Clone, Debug)]
struct Record {
    entry: Option<Arc<TargetEntry>>,
    revision: u64,
    /// The entry was removed but is used until then.
    lapses_at: Option<Millis>,
}

/// All targets that this process knows of.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    settings: RegistrySettings,
    records: BTreeMap<Name, Record>,
    /// Incarnations that were said to drain, by target.
    draining: BTreeMap<Name, BTreeSet<u64>>,
    /// When the source last answered again after it had been away.
    source_back_at: Option<Millis>,
    source_away: bool,
}

impl TargetRegistry {
    pub fn new(settings: RegistrySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The source does not answer.
    pub fn source_lost(&mut self) {
        self.source_away = true;
    }

    /// The source answers; returns whether it had been away.
    pub fn source_reached(&mut self, now: Millis) -> bool {
        let was_away = std::mem::take(&mut self.source_away);
        if was_away {
            self.source_back_at = Some(now);
        }
        was_away
    }

    /// A peer reads the source: that this router lost it says nothing of the
    /// source.
    pub fn source_read_by_peer(&mut self) {
        self.source_away = false;
    }

    /// Milliseconds since the source came back after it had been away; none
    /// when that no longer matters.
    pub fn recovery_age(&self, now: Millis) -> Option<Millis> {
        let age = now.saturating_sub(self.source_back_at?);
        (age < self.settings.republish_ms).then_some(age)
    }

    /// A peer saw the source come back `age` milliseconds ago.
    pub fn record_peer_recovery(&mut self, age: Millis, now: Millis) {
        let back_at = now.saturating_sub(age);
        self.source_back_at = Some(self.source_back_at.map_or(back_at, |at| at.max(back_at)));
    }

    /// Merges one record.
    pub fn merge(&mut self, record: TargetRecord, now: Millis) -> RecordChange {
        let known = self.records.get(&record.id);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return RecordChange::Unchanged;
        }
        let before = known.and_then(|known| known.entry.clone());
        let Some(entry) = record.entry else {
            return self.remove(record.id, record.revision, before, now);
        };
        if entry.state == TargetState::Draining {
            let incarnations = self.draining.entry(Name::clone(&entry.id)).or_default();
            incarnations.insert(entry.incarnation);
        }
        let change = match &before {
            None => RecordChange::Added,
            Some(before) if before.incarnation != entry.incarnation => RecordChange::Added,
            Some(before) if **before == entry => RecordChange::Unchanged,
            Some(_) if entry.state == TargetState::Draining => RecordChange::Draining,
            Some(_) => RecordChange::Updated,
        };
        let entry = Some(Arc::new(entry));
        let record_now = Record { entry, revision: record.revision, lapses_at: None };
        self.records.insert(record.id, record_now);
        change
    }

    /// Takes a whole listing: what is missing in it was removed by `revision`.
    pub fn merge_listing(
        &mut self,
        records: Vec<TargetRecord>,
        revision: u64,
        now: Millis,
    ) -> Vec<(Name, RecordChange)> {
        let listed: BTreeSet<Name> = records.iter().map(|record| Name::clone(&record.id)).collect();
        let missing: Vec<Name> = self
            .records
            .iter()
            .filter(|(id, record)| !listed.contains(*id) && record.revision < revision)
            .filter(|(_, record)| record.entry.is_some() && record.lapses_at.is_none())
            .map(|(id, _)| Name::clone(id))
            .collect();
        let removed = missing.into_iter().map(|id| TargetRecord { id, entry: None, revision });
        records
            .into_iter()
            .chain(removed)
            .map(|record| (Name::clone(&record.id), self.merge(record, now)))
            .collect()
    }

    fn remove(
        &mut self,
        id: Name,
        revision: u64,
        before: Option<Arc<TargetEntry>>,
        now: Millis,
    ) -> RecordChange {
        let may_return = self.may_return(now);
        let drains = before.as_ref().is_some_and(|entry| self.drains(entry));
        let (entry, lapses_at, change) = match before {
            None => (None, None, RecordChange::Unchanged),
            Some(entry) if may_return && !drains => {
                let since = self.source_back_at.unwrap_or(now);
                let lapses_at = since.saturating_add(self.settings.republish_ms);
                (Some(entry), Some(lapses_at), RecordChange::Lapsed)
            }
            Some(_) => (None, None, RecordChange::Removed),
        };
        self.records.insert(id, Record { entry, revision, lapses_at });
        self.forget_oldest();
        change
    }

    /// Whether a removed entry may be one that lapsed with the source away.
    fn may_return(&self, now: Millis) -> bool {
        let back = self.source_back_at;
        self.source_away
            || back.is_some_and(|back| now < back.saturating_add(self.settings.republish_ms))
    }

    fn forget_oldest(&mut self) {
        let gone = self.records.iter().filter(|(_, record)| record.entry.is_none());
        if gone.clone().count() <= self.settings.tombstones {
            return;
        }
        let oldest = gone.min_by_key(|(_, record)| record.revision).map(|(id, _)| Name::clone(id));
        if let Some(id) = oldest {
            self.records.remove(&id);
            self.draining.remove(&id);
        }
    }

    fn drains(&self, entry: &TargetEntry) -> bool {
        let incarnations = self.draining.get(&entry.id);
        incarnations.is_some_and(|incarnations| incarnations.contains(&entry.incarnation))
    }

    /// Targets of a service that may get new requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Arc<TargetEntry>> {
        let records = self.records.values();
        records
            .filter(move |record| match record.lapses_at {
                Some(at) => self.source_away || now < at,
                None => true,
            })
            .filter_map(|record| record.entry.as_ref())
            .filter(move |entry| &*entry.service == service && !self.drains(entry))
    }

    /// Ids and incarnations of all targets that are known and not removed.
    pub fn known(&self) -> impl Iterator<Item = &TargetEntry> {
        self.records.values().filter_map(|record| record.entry.as_deref())
    }

    /// Records newer than a revision, to pass on to a peer.
    pub fn records_since(&self, revision: u64) -> Vec<TargetRecord> {
        let newer = self.records.iter().filter(|(_, record)| record.revision > revision);
        newer
            .map(|(id, record)| TargetRecord {
                id: Name::clone(id),
                entry: record.entry.as_deref().filter(|_| record.lapses_at.is_none()).cloned(),
                revision: record.revision,
            })
            .collect()
    }
}
