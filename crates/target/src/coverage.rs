//! Up to which revision of the configuration source a registry is complete, and what its instance
//! promises to peers that take changes from it.
//!
//! An instance that lists the source learns what is there, not what left. So its records of removals
//! begin at that revision, and a peer that is behind it has to learn what is there, too.

use std::collections::BTreeSet;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::entry::TargetState;
use crate::leaving::LeavingOrigin;
use crate::left::ERA_REVISIONS;
use crate::registry::{RecordChange, TargetRecord, TargetRegistry};

/// Revisions of the source that a registry covers: what "I am at `revision`" promises.
///
/// Invariants:
/// - Each target with an entry in the source at `revision` is known, by that entry or by a newer
///   record. A target that is not known has none.
/// - Each target whose newest change after `removals_since` and up to `revision` is a removal has a
///   record of that removal or a newer one.
///
/// So a peer at `removals_since` or later is at `revision`, too, once it has merged the records that
/// are newer than its own. An earlier one has to remove the targets that are not present, as well.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SourceCoverage {
    pub(crate) revision: u64,
    pub(crate) removals_since: u64,
}

/// What a router knows of removals, beside its records. It follows them in the same response, where
/// routers of earlier versions do not read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemovalNotice {
    /// Revision of the source after which the records of removals are complete.
    pub since: u64,
    /// All targets that have an entry, if the peer is behind `since`: it removes the others.
    pub present: Option<Vec<Name>>,
}

impl TargetRegistry {
    /// Returns what a peer at a revision has to know of removals, beside the records after it.
    pub fn removals_after(&self, revision: u64) -> RemovalNotice {
        let since = self.coverage.removals_since;
        RemovalNotice { since, present: (revision < since).then(|| self.present_targets()) }
    }

    /// Merges a complete listing of the source at `revision`. Entries that are missing in it were
    /// removed, or written after the copy from which the source was restored since.
    pub fn merge_listing(
        &mut self,
        records: Vec<TargetRecord>,
        revision: u64,
        now: Millis,
    ) -> Vec<(Name, RecordChange)> {
        self.record_restoration(revision, now);
        let present = records.iter().map(|record| Name::clone(&record.id)).collect();
        let mut changes = self.merge_all(records, now);
        changes.extend(self.remove_missing(&present, revision, now));
        let coverage = &mut self.coverage;
        coverage.revision = coverage.revision.max(revision);
        coverage.removals_since = coverage.removals_since.max(revision);
        changes
    }

    /// Merges all changes of the source from the revision of this registry to `revision`.
    pub fn merge_changes(
        &mut self,
        records: Vec<TargetRecord>,
        revision: u64,
        now: Millis,
    ) -> Vec<(Name, RecordChange)> {
        self.coverage.revision = self.coverage.revision.max(revision);
        self.merge_all(records, now)
    }

    /// Merges the records of a peer that is at `revision`, newer than a revision that this registry
    /// had at the request for them. `removals` is what the peer knows of removals; routers of earlier
    /// versions do not tell it.
    pub fn merge_peer_changes(
        &mut self,
        records: Vec<TargetRecord>,
        revision: u64,
        removals: Option<RemovalNotice>,
        now: Millis,
    ) -> Vec<(Name, RecordChange)> {
        let (outdated, records) = records.into_iter().partition(|record| self.is_outdated(record));
        self.record_all_leaving(outdated, now);
        self.record_restoration(revision, now);
        let mut changes = self.merge_all(records, now);
        // What a peer that is behind lacks may have been written since.
        if revision <= self.coverage.revision {
            return changes;
        }
        self.coverage.revision = revision;
        let since = match removals {
            Some(RemovalNotice { present: None, .. }) => return changes,
            Some(RemovalNotice { since, present: Some(present) }) => {
                self.outage.record_missing(&self.settings.outage, now);
                let present = present.into_iter().collect();
                changes.extend(self.remove_missing(&present, revision, now));
                since
            }
            // Whether the peer knew of all removals is not known, and nothing is promised of them.
            None => revision,
        };
        self.coverage.removals_since = self.coverage.removals_since.max(since);
        changes
    }

    /// Records a recovery of the source if `revision` is of a later era than this registry: the source
    /// was restored from a copy, whether or not this router or its peer was without it.
    fn record_restoration(&mut self, revision: u64, now: Millis) {
        let known = self.coverage.revision;
        if known > 0 && revision / ERA_REVISIONS > known / ERA_REVISIONS {
            self.outage.record_recovery(now);
        }
    }

    fn merge_all(&mut self, records: Vec<TargetRecord>, now: Millis) -> Vec<(Name, RecordChange)> {
        let records = records.into_iter();
        records.map(|record| (Name::clone(&record.id), self.merge(record, now))).collect()
    }

    /// Whether a record would change what this registry knows of a revision that it covers: a peer that
    /// is behind, or in an earlier era of the source, still has an entry that was removed.
    fn is_outdated(&self, record: &TargetRecord) -> bool {
        let known = self.records.get(&record.id);
        let is_covered = record.revision <= self.coverage.revision;
        is_covered && known.is_none_or(|known| known.revision < record.revision)
    }

    fn record_all_leaving(&mut self, records: Vec<TargetRecord>, now: Millis) {
        let entries = records.into_iter().filter_map(|record| record.entry);
        for entry in entries.filter(|entry| entry.state == TargetState::Draining) {
            self.record_leaving(&entry.id, entry.incarnation, LeavingOrigin::Entry, now);
        }
    }

    /// Removes the targets that the source lacked at `revision`.
    fn remove_missing(
        &mut self,
        present: &BTreeSet<Name>,
        revision: u64,
        now: Millis,
    ) -> Vec<(Name, RecordChange)> {
        let older = self.records.iter().filter(|(_, record)| record.revision < revision);
        let published = older.filter(|(_, record)| record.is_published());
        let missing = published.filter(|(id, _)| !present.contains(*id));
        let missing: Vec<Name> = missing.map(|(id, _)| Name::clone(id)).collect();
        let removed = missing.into_iter().map(|id| TargetRecord { id, entry: None, revision });
        self.merge_all(removed.collect(), now)
    }

    fn present_targets(&self) -> Vec<Name> {
        let published = self.records.iter().filter(|(_, record)| record.is_published());
        published.map(|(id, _)| Name::clone(id)).collect()
    }
}
