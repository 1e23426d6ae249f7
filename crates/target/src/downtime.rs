//! Processes of targets that were seen not to listen, as an instance and its peers saw it. Does no
//! I/O.
//!
//! A target may start again under its name before its entry expires. Until its new entry is known,
//! that a connection was refused is the only evidence of it. A target that is in fact the same
//! process loses its cold time.
//!
//! States of one incarnation are ordered, so that messages may come late, twice and in any order:
//! a higher epoch wins; in the same epoch an answer wins, the earliest one if there are several.

use std::collections::HashMap;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

/// Time in milliseconds for which a process that does not listen, or has answered again, is
/// remembered: longer than an entry outlives its target, also while the source is slow.
const REMEMBER_MS: Millis = 60_000;
/// Time in milliseconds within which refused connections count as the same evidence. One that is
/// refused later may be due to a later process, of whose answers this instance does not know.
const RENEW_MS: Millis = 1_000;
/// Time in milliseconds by which the answer that a peer tells may seem later than it was: two
/// messages between failure domains.
const LATE_MS: Millis = 100;
/// Time in milliseconds for which peers are told of a change: several heartbeats of a fleet of
/// hundreds.
const NOTICE_MS: Millis = 12_000;
/// Maximum number of targets in one message to a peer, so that it fits into a datagram.
const MAX_NOTICES: usize = 12;
/// Maximum number of targets that are remembered, as peers may name targets that this instance
/// does not know.
const MAX_TARGETS: usize = 4_096;

/// What peers are told of a process that was seen not to listen.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DowntimeNotice {
    pub id: Name,
    pub incarnation: u64,
    /// The incarnation under which permits are issued, if it is an earlier one.
    pub permit_incarnation: Option<u64>,
    /// Rises each time that the incarnation is seen not to listen after it has answered.
    pub epoch: u32,
    /// Milliseconds since it was first seen to answer in this epoch.
    pub answered_age: Option<Millis>,
}

/// All times are on this instance's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetDowntime {
    pub(crate) incarnation: u64,
    /// The incarnation under which permits are issued: the first one of those that were seen not
    /// to listen in a row. At most `incarnation`.
    pub(crate) permit_incarnation: u64,
    epoch: u32,
    /// When this instance learned of the epoch.
    learned_at: Millis,
    /// When it last refused a connection of this instance in this epoch. An answer before that is
    /// no answer of a later process.
    refused_at: Option<Millis>,
    /// Whether it has refused a connection of this instance and not answered it since. A link may
    /// refuse connections for long, behind which the process answers others: only the first
    /// one is evidence.
    is_refusing: bool,
    /// When it last refused a connection, or the state last changed.
    seen_at: Millis,
    /// When it was first seen to answer in this epoch.
    pub(crate) answered_at: Option<Millis>,
    /// When the epoch or the answer became known.
    changed_at: Millis,
    /// Rounds of heartbeats that had the last change.
    told: u32,
}

impl TargetDowntime {
    fn new(incarnation: u64, permit_incarnation: u64, epoch: u32, now: Millis) -> Self {
        Self {
            incarnation,
            permit_incarnation: permit_incarnation.min(incarnation),
            epoch,
            learned_at: now,
            refused_at: None,
            is_refusing: false,
            seen_at: now,
            answered_at: None,
            changed_at: now,
            told: 0,
        }
    }

    /// Whether the answer at `at`, which a peer tells, is one of a process that has started since
    /// the last refused connection.
    fn is_later(&self, at: Millis) -> bool {
        self.refused_at.is_none_or(|refused_at| at > refused_at.saturating_add(LATE_MS))
    }

    fn set_answered(&mut self, at: Millis, now: Millis) {
        self.answered_at = Some(at);
        self.seen_at = now;
        self.changed_at = now;
        self.told = 0;
    }
}

/// The last such process of each target.
#[derive(Debug, Default)]
pub(crate) struct TargetDowntimes(HashMap<Name, TargetDowntime>);

impl TargetDowntimes {
    pub(crate) fn get(&self, id: &str) -> Option<&TargetDowntime> {
        self.0.get(id)
    }

    /// Records that `current`, the published incarnation of a target, refused a connection that was
    /// begun at `since`. Returns whether that is news.
    pub(crate) fn record_refused(
        &mut self,
        id: &Name,
        current: u64,
        since: Millis,
        now: Millis,
    ) -> bool {
        let known = self.0.get(id).copied();
        let same = known.filter(|known| known.incarnation == current);
        if same.is_some_and(|known| known.is_refusing && known.answered_at.is_some()) {
            if let Some(known) = self.0.get_mut(id) {
                known.seen_at = now;
            }
            return false;
        }
        let epoch = match same.map(|known| (known.epoch, known.answered_at)) {
            None => 1,
            Some((epoch, Some(answered_at))) if since >= answered_at => epoch.saturating_add(1),
            // It has answered since the connection was begun.
            Some((_, Some(_))) => return false,
            Some((_, None)) if !is_renewed(same, now) => {
                if let Some(known) = self.0.get_mut(id) {
                    known.refused_at = Some(now);
                    known.is_refusing = true;
                    known.seen_at = now;
                }
                return false;
            }
            Some((epoch, None)) => epoch.saturating_add(1),
        };
        let permit_incarnation = known.map_or(current, |known| known.permit_incarnation);
        let next = TargetDowntime::new(current, permit_incarnation, epoch, now);
        self.insert(id, TargetDowntime { refused_at: Some(now), is_refusing: true, ..next });
        // Peers need not be told at once that it is still not listening.
        same.is_none_or(|known| known.answered_at.is_some())
    }

    /// Records that a target answered a request that was written at `sent_at`. Returns whether
    /// that is news.
    pub(crate) fn record_answered(
        &mut self,
        id: &str,
        incarnation: u64,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let Some(known) = self.0.get_mut(id) else { return false };
        let is_of_later_process = incarnation <= known.incarnation && sent_at > known.learned_at;
        if !is_of_later_process {
            return false;
        }
        known.is_refusing &= known.refused_at.is_some_and(|refused_at| sent_at <= refused_at);
        if known.answered_at.is_some() {
            return false;
        }
        known.set_answered(now, now);
        true
    }

    /// Merges what a peer knows. Returns whether that is news.
    pub(crate) fn merge(&mut self, notice: &DowntimeNotice, now: Millis) -> bool {
        let &DowntimeNotice { ref id, incarnation, permit_incarnation, epoch, answered_age } =
            notice;
        let answered_at = answered_age.map(|age| now.saturating_sub(age));
        let permit_incarnation = permit_incarnation.unwrap_or(incarnation);
        if let Some(known) = self.0.get_mut(id) {
            let (told, own) = ((incarnation, epoch), (known.incarnation, known.epoch));
            if told < own {
                return false;
            }
            known.permit_incarnation = known.permit_incarnation.min(permit_incarnation);
            if told == own {
                return match (known.answered_at, answered_at) {
                    (None, Some(at)) if known.is_later(at) => {
                        known.set_answered(at, now);
                        true
                    }
                    (Some(own_at), Some(at)) => {
                        known.answered_at = Some(own_at.min(at));
                        false
                    }
                    (None, Some(_)) | (_, None) => false,
                };
            }
        }
        let known = self.0.get(id);
        let permit_incarnation = known.map_or(permit_incarnation, |known| known.permit_incarnation);
        let mut next = TargetDowntime::new(incarnation, permit_incarnation, epoch, now);
        if let Some(known) = known.filter(|known| known.incarnation == incarnation) {
            next.refused_at = known.refused_at;
            next.is_refusing = known.is_refusing;
        }
        match answered_at {
            // The process that answered has ended since.
            Some(at) if !next.is_later(at) => next.epoch = epoch.saturating_add(1),
            _ => next.answered_at = answered_at,
        }
        self.insert(id, next);
        true
    }

    /// Returns what all peers are to be told, for a round of heartbeats: the changes of the last
    /// time, those that were told least often first.
    pub(crate) fn notices(&mut self, now: Millis) -> Vec<DowntimeNotice> {
        let notices = self.notices_for_one(now);
        for notice in &notices {
            if let Some(known) = self.0.get_mut(&notice.id) {
                known.told = known.told.saturating_add(1);
            }
        }
        notices
    }

    /// Returns what a single peer is to be told. Leaves the turns of the targets to the rounds that
    /// reach all peers.
    pub(crate) fn notices_for_one(&self, now: Millis) -> Vec<DowntimeNotice> {
        let recent = self.0.iter().filter(|(_, known)| is_recent(known, now));
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(id, known)| (known.told, Name::clone(id)));
        recent.truncate(MAX_NOTICES);
        let notices = recent.into_iter().map(|(id, known)| {
            let earlier = known.permit_incarnation != known.incarnation;
            DowntimeNotice {
                id: Name::clone(id),
                incarnation: known.incarnation,
                permit_incarnation: earlier.then_some(known.permit_incarnation),
                epoch: known.epoch,
                answered_age: known.answered_at.map(|at| now.saturating_sub(at)),
            }
        });
        notices.collect()
    }

    /// Returns the targets that have not answered yet.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().filter(|(_, known)| known.answered_at.is_none()).map(|(id, _)| id)
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        self.0.retain(|_, known| now.saturating_sub(known.seen_at) < REMEMBER_MS);
    }

    fn insert(&mut self, id: &Name, downtime: TargetDowntime) {
        if self.0.len() >= MAX_TARGETS && !self.0.contains_key(id) {
            let oldest = self.0.iter().min_by_key(|(_, known)| known.seen_at);
            if let Some(oldest) = oldest.map(|(id, _)| Name::clone(id)) {
                self.0.remove(&oldest);
            }
        }
        self.0.insert(Name::clone(id), downtime);
    }
}

fn is_renewed(known: Option<TargetDowntime>, now: Millis) -> bool {
    known.is_some_and(|known| now.saturating_sub(known.learned_at) >= RENEW_MS)
}

fn is_recent(known: &TargetDowntime, now: Millis) -> bool {
    now.saturating_sub(known.changed_at) < NOTICE_MS
}
