//! Services between which configurations moved streams lately.

use std::collections::BTreeMap;

use base::{Millis, Name};
use route::StreamMoves;
use serde::{Deserialize, Serialize};

use crate::settings::ResumeSettings;
use crate::signed::SignedMillis;

/// What a router knows of moved streams, for one that has just started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveNotice {
    /// Version of the sender's configuration; `None` without one.
    version: Option<u64>,
    /// Time in milliseconds for which the sender knows all configurations.
    observed_ms: Millis,
    /// Services, and the time in milliseconds for which the absence of a record proves nothing.
    moved: Vec<(Name, Millis)>,
    /// Time in milliseconds for which streams may come back to a path that a configuration
    /// opens again.
    lost_ms: Millis,
    /// Time in milliseconds for which streams may have begun under a configuration that the
    /// sender has not seen.
    skipped_ms: Millis,
}

/// How long a move matters.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MoveWindow {
    /// Time in milliseconds after its beginning within which a stream may be taken up.
    pub(crate) stream_ms: Millis,
    /// Time in milliseconds after which all routers with a current view know a configuration.
    pub(crate) settle_ms: Millis,
}

impl MoveWindow {
    pub(crate) fn new(stream_ms: Millis, settings: &ResumeSettings) -> Self {
        Self { stream_ms, settle_ms: settings.settle_ms }
    }

    /// Other routers begin streams by the earlier configuration for some time.
    fn end(self, now: Millis) -> Millis {
        now.saturating_add(self.stream_ms).saturating_add(self.settle_ms)
    }
}

/// Configurations that a router has known.
#[derive(Debug, Default)]
pub(crate) struct MoveHistory {
    /// Version in force; `None` until the first configuration.
    version: Option<u64>,
    /// Since when all configurations are known, to this router or to a peer before it. `None`
    /// until the first one.
    known_since: Option<SignedMillis>,
    /// Version of a peer's configuration, and since when the peer knows all of them. Kept until
    /// this router has one.
    peer_known: Option<(u64, SignedMillis)>,
    /// Until when streams of a service may have begun at another one.
    moved_until: BTreeMap<Name, Millis>,
    /// Until when streams may come back to a path that a configuration opens again.
    lost_until: Millis,
    /// Until when streams may have begun under a configuration that this router has not seen.
    skipped_until: Millis,
    /// Newest version that a peer announced.
    announced: Option<u64>,
}

impl MoveHistory {
    /// Records that a configuration is in force from now on. `moves` is what it changes; ignored
    /// for the first one.
    pub(crate) fn record(
        &mut self,
        version: u64,
        moves: &StreamMoves,
        window: MoveWindow,
        now: Millis,
    ) {
        let end = window.end(now);
        match self.version.replace(version) {
            None => {
                let peer = self.peer_known.filter(|(known, _)| *known >= version);
                let own = SignedMillis::before(now, 0);
                self.known_since = Some(peer.map_or(own, |(_, since)| since.min(own)));
            }
            Some(former) => {
                let StreamMoves { changed, gained, is_any_lost } = moves;
                // A path without a route may have had another service before that.
                let gained = gained.iter().filter(|_| now < self.lost_until);
                for service in changed.iter().chain(gained) {
                    self.moved_until.insert(Name::clone(service), end);
                }
                if *is_any_lost {
                    self.lost_until = end;
                }
                if version > former.saturating_add(1) {
                    self.skipped_until = end;
                }
            }
        }
    }

    /// Records the version of the configuration of a peer.
    pub(crate) fn record_announced(&mut self, version: u64) {
        self.announced = self.announced.max(Some(version));
    }

    /// Drops what no longer matters.
    pub(crate) fn expire(&mut self, window: MoveWindow, now: Millis) {
        self.moved_until.retain(|_, until| now < *until + window.settle_ms);
    }

    /// Returns what this router knows, for a peer.
    pub(crate) fn notice(&self, now: Millis) -> MoveNotice {
        let remaining = |until: Millis| until.saturating_sub(now);
        let moved = self.moved_until.iter();
        MoveNotice {
            version: self.version,
            observed_ms: self.known_since.map_or(0, |since| since.age(now)),
            moved: moved.map(|(name, until)| (Name::clone(name), remaining(*until))).collect(),
            lost_ms: remaining(self.lost_until),
            skipped_ms: remaining(self.skipped_until),
        }
    }

    /// Takes over what a peer knows. How long it has known that counts only if its configuration
    /// is not older than this router's: a move after it is known to neither.
    pub(crate) fn merge(&mut self, notice: MoveNotice, now: Millis) {
        for (service, remaining_ms) in notice.moved {
            let until = now.saturating_add(remaining_ms);
            let known = self.moved_until.entry(service).or_insert(until);
            *known = until.max(*known);
        }
        self.lost_until = self.lost_until.max(now.saturating_add(notice.lost_ms));
        self.skipped_until = self.skipped_until.max(now.saturating_add(notice.skipped_ms));
        let Some(version) = notice.version else { return };
        let since = SignedMillis::before(now, notice.observed_ms);
        match self.version {
            Some(own) if version >= own => {
                self.known_since = self.known_since.map(|known| known.min(since));
            }
            Some(_) => {}
            None => {
                let is_better = self.peer_known.is_none_or(|(known, known_since)| {
                    (known, std::cmp::Reverse(known_since)) < (version, std::cmp::Reverse(since))
                });
                if is_better {
                    self.peer_known = Some((version, since));
                }
            }
        }
    }

    /// Whether holders have to know the streams of a service. They are told for somewhat longer
    /// than the absence of a record proves nothing, as others learned of the move later.
    pub(crate) fn must_tell(&self, service: &str, window: MoveWindow, now: Millis) -> bool {
        let until = self.moved_until.get(service);
        let is_moved = until.is_some_and(|until| now < *until + window.settle_ms);
        is_moved || !self.is_observed(window, now)
    }

    /// Whether holders have to be asked about a stream of a service: also if streams may have
    /// begun elsewhere under a configuration that this router lacks.
    pub(crate) fn must_ask(&self, service: &str, window: MoveWindow, now: Millis) -> bool {
        let is_behind = self.announced > self.version;
        is_behind || self.must_tell(service, window, now) || now < self.skipped_until
    }

    /// Whether streams that are taken up at a service may have begun at another one, as far as
    /// this router knows. It knows nothing from before its first configuration while routers with
    /// a current view may have an older one.
    pub(crate) fn is_moved(&self, service: &str, window: MoveWindow, now: Millis) -> bool {
        let is_moved = self.moved_until.get(service).is_some_and(|until| now < *until);
        let known_ms = self.known_since.map(|since| since.age(now));
        is_moved
            || known_ms.is_some_and(|known_ms| known_ms < window.settle_ms.min(window.stream_ms))
    }

    /// Whether all configurations are known under which streams may have begun.
    pub(crate) fn is_observed(&self, window: MoveWindow, now: Millis) -> bool {
        self.known_since.is_none_or(|since| since.age(now) >= window.stream_ms)
    }
}
