//! Decides until when targets are cold: slower than usual, so that they crash under requests
//! that they take later. Takes the records of targets and the time, and does no I/O.
//!
//! Handles each record once by its revision, whoever sends it. A cold time is never shortened by
//! what is learned later, except for that of a domain that was taken back, which an entry
//! written after that replaces. What is known of a process that was seen not to listen counts
//! beside the records, and whatever they say.

use std::collections::HashMap;

use base::{Millis, Name};

use crate::downtime::{DowntimeNotice, TargetDowntimes};
use crate::entry::TargetEntry;
use crate::registry::TargetRecord;

/// Time in milliseconds for which a removed target is remembered: its entry may have expired in an
/// outage of the source and be published again, which is no new start.
const REMEMBER_MS: Millis = 600_000;
/// Least time in milliseconds for which a target that does not listen is taken for cold at a time:
/// twice the time between two updates.
const UNANSWERED_MS: Millis = 2_000;

/// What an instance knows of the cold times of one target. All times are on its clock.
#[derive(Clone, Debug)]
struct ColdRecord {
    service: Name,
    domain: Name,
    incarnation: u64,
    /// Revision of the last entry or removal.
    revision: u64,
    /// When the time that its entries name has passed; 0 if none did.
    entry_until: Millis,
    /// When this instance learned that it had started; `None` if it ran before this instance.
    started_at: Option<Millis>,
    /// When its failure domain was taken back, unless a later entry says whether it is cold.
    taken_back: Option<TakenBack>,
    /// When it was removed.
    removed_at: Option<Millis>,
}

/// The end of the last evacuation of a failure domain.
#[derive(Clone, Copy, Debug)]
struct TakenBack {
    /// Revision of the removal of its key.
    revision: u64,
    learned_at: Millis,
    /// Milliseconds from the end until this instance learned of it: it may have started since.
    age: Millis,
}

impl TakenBack {
    fn cold_until(self, start_ms: Millis) -> Millis {
        self.learned_at.saturating_add(start_ms).saturating_sub(self.age)
    }
}

/// Cold times of all targets that one instance knows.
#[derive(Debug, Default)]
pub struct ColdTargets {
    records: HashMap<Name, ColdRecord>,
    taken_back: HashMap<Name, TakenBack>,
    downtimes: TargetDowntimes,
}

impl ColdTargets {
    /// Records an entry or a removal. `is_known_at_start` says whether it is part of the first
    /// listing after the start of this instance. Returns whether it may change a cold time.
    pub fn record(&mut self, record: &TargetRecord, is_known_at_start: bool, now: Millis) -> bool {
        let known = self.records.get_mut(&record.id);
        if known.as_ref().is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        let Some(entry) = &record.entry else {
            if let Some(known) = known {
                known.revision = record.revision;
                known.removed_at = Some(now);
            }
            return false;
        };
        let next = match known {
            Some(known) if is_same_start(known, entry) => known.clone(),
            _ => ColdRecord {
                service: Name::clone(&entry.service),
                domain: Name::clone(&entry.failure_domain),
                incarnation: entry.incarnation,
                revision: 0,
                entry_until: 0,
                started_at: (!is_known_at_start).then_some(now),
                taken_back: None,
                removed_at: None,
            },
        };
        let left_ms = entry.warm_up_ms;
        let named_until = if left_ms > 0 { now.saturating_add(left_ms) } else { 0 };
        let taken_back = self.taken_back.get(&entry.failure_domain);
        let taken_back = taken_back.filter(|taken_back| taken_back.revision >= record.revision);
        let next = ColdRecord {
            service: Name::clone(&entry.service),
            domain: Name::clone(&entry.failure_domain),
            revision: record.revision,
            entry_until: next.entry_until.max(named_until),
            taken_back: taken_back.copied(),
            removed_at: None,
            ..next
        };
        self.records.insert(Name::clone(&record.id), next);
        true
    }

    /// Records that a failure domain was taken back from an evacuation by the removal of its key
    /// at `revision`. Returns whether that is new; its targets are then cold unless their entries
    /// were written later.
    pub fn record_taken_back(&mut self, domain: &Name, revision: u64, now: Millis) -> bool {
        self.record_taken_back_before(domain, revision, 0, now)
    }

    /// The same, by a peer that has known it for `age` milliseconds.
    pub fn record_taken_back_before(
        &mut self,
        domain: &Name,
        revision: u64,
        age: Millis,
        now: Millis,
    ) -> bool {
        let known = self.taken_back.get(domain);
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        let taken_back = TakenBack { revision, learned_at: now, age };
        self.taken_back.insert(Name::clone(domain), taken_back);
        let records = self.records.values_mut().filter(|record| record.domain == *domain);
        for record in records.filter(|record| record.revision <= revision) {
            record.taken_back = Some(taken_back);
        }
        true
    }

    /// Records that the process of an entry refused a connection that was begun at `since`: it has
    /// ended. Returns whether that is news for the peers.
    pub fn record_refused(&mut self, entry: &TargetEntry, since: Millis, now: Millis) -> bool {
        let current = self.incarnation(&entry.id);
        current == Some(entry.incarnation)
            && self.downtimes.record_refused(&entry.id, entry.incarnation, since, now)
    }

    /// Records that a target answered a request that was written at `sent_at`. Returns whether it
    /// was seen not to listen before, and that is news for the peers.
    pub fn record_answered(&mut self, entry: &TargetEntry, sent_at: Millis, now: Millis) -> bool {
        self.downtimes.record_answered(&entry.id, entry.incarnation, sent_at, now)
    }

    /// Merges what a peer knows of a target that was seen not to listen. Returns whether that is
    /// news.
    pub fn merge_downtime(&mut self, notice: &DowntimeNotice, now: Millis) -> bool {
        self.downtimes.merge(notice, now)
    }

    /// Returns what all peers are to be told of targets that were seen not to listen, for a round
    /// of heartbeats.
    pub fn downtime_notices(&mut self, now: Millis) -> Vec<DowntimeNotice> {
        self.downtimes.notices(now)
    }

    /// Returns what a single peer is to be told of them.
    pub fn downtime_notices_for_one(&self, now: Millis) -> Vec<DowntimeNotice> {
        self.downtimes.notices_for_one(now)
    }

    /// Returns the targets that were seen not to listen and have not answered since: how long they
    /// are cold is not known yet.
    pub fn unanswered(&self) -> Vec<Name> {
        self.downtimes.unanswered().cloned().collect()
    }

    /// Returns until when a target is cold as its process was seen not to listen; 0 if it was not.
    /// Its cold time of `start_ms` milliseconds begins with its first answer at the latest.
    pub fn down_until(&self, id: &str, start_ms: Millis, now: Millis) -> Millis {
        let current = self.incarnation(id);
        if current.is_none() {
            return 0;
        }
        let downtime = self.downtimes.get(id);
        // If a later process has ended, that of this entry has too.
        let Some(downtime) = downtime.filter(|known| Some(known.incarnation) >= current) else {
            return 0;
        };
        match downtime.answered_at {
            Some(at) => at.saturating_add(start_ms),
            None => now.saturating_add(start_ms.max(UNANSWERED_MS)),
        }
    }

    /// Returns the incarnation under which permits for a target are issued. It is that of a process
    /// that was seen not to listen before the target started again, as some instances may still
    /// have its entry: two issuers would each issue the whole rate.
    pub fn permit_incarnation(&self, id: &str) -> Option<u64> {
        let current = self.incarnation(id)?;
        let downtime = self.downtimes.get(id).filter(|known| known.permit_incarnation <= current);
        Some(downtime.map_or(current, |known| known.permit_incarnation))
    }

    /// Returns until when a target is cold, if `start_ms` is the cold time of its service in
    /// milliseconds; 0 if it never was.
    pub fn cold_until(&self, id: &str, start_ms: Millis) -> Millis {
        let Some(record) = self.records.get(id) else { return 0 };
        let start_until = record.started_at.map_or(0, |at| at.saturating_add(start_ms));
        let return_until =
            record.taken_back.map_or(0, |taken_back| taken_back.cold_until(start_ms));
        start_until.max(return_until).max(record.entry_until)
    }

    /// Returns the incarnation of a target by its last entry; `None` if it is not known.
    pub fn incarnation(&self, id: &str) -> Option<u64> {
        self.records.get(id).map(|record| record.incarnation)
    }

    /// Forgets targets that were removed long ago.
    pub fn expire(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.saturating_sub(at) < REMEMBER_MS;
        self.records.retain(|_, record| record.removed_at.is_none_or(is_recent));
        self.downtimes.expire(now);
    }
}

/// Whether an entry is that of a process that is known. One that does not say when it started may
/// have started again whenever it was removed.
fn is_same_start(known: &ColdRecord, entry: &TargetEntry) -> bool {
    let may_have_restarted = entry.incarnation == 0 && known.removed_at.is_some();
    known.incarnation == entry.incarnation && known.service == entry.service && !may_have_restarted
}
