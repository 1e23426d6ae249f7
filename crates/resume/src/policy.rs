//! Decides where streams begin, who is told, and where they go on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use base::{Millis, Name};
use route::StreamMoves;

use crate::history::{VersionHistory, VersionNotice};
use crate::holders::{HolderPeer, StreamHolder, choose_holders};
use crate::lookup::HolderAnswer;
use crate::moves::{MoveHistory, MoveNotice, MoveWindow};
use crate::records::{KnownOrigin, StreamKey, StreamOrigin, StreamRecord, StreamRecords};
use crate::settings::ResumeSettings;

/// What is known of a stream that is taken up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResumeDecision {
    /// It goes on where it began.
    Began(StreamOrigin),
    /// The holders have to be asked.
    Ask(Vec<SocketAddr>),
    /// Its id was used for several streams.
    Ambiguous,
}

/// What one router knows of versions and streams.
#[derive(Debug, Default)]
pub struct ResumePolicy {
    settings: ResumeSettings,
    history: VersionHistory,
    moves: MoveHistory,
    records: StreamRecords,
    peers: Vec<HolderPeer>,
    /// Whether the peers have changed since [`Self::take_peer_change`].
    has_peer_change: bool,
    /// Services whose streams are told to holders.
    told_services: BTreeSet<Name>,
}

impl ResumePolicy {
    pub fn new(settings: ResumeSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Sets the longest time in milliseconds that a stream may last by the configuration.
    pub fn set_longest_stream(&mut self, longest: Millis, now: Millis) {
        self.history.set_longest_stream(longest, &self.settings, now);
    }

    /// Records that the configuration `version` is in force, and what it changes compared with the
    /// one before. To be called after [`Self::set_longest_stream`].
    pub fn record_moves(&mut self, version: u64, moves: &StreamMoves, now: Millis) {
        let window = self.move_window(now);
        self.moves.record(version, moves, window, now);
    }

    /// Records that a peer has the configuration `version`, which this router may lack.
    pub fn record_announced(&mut self, version: u64) {
        self.moves.record_announced(version);
    }

    /// Returns what this router knows of moved streams, for a peer that has just started.
    pub fn move_notice(&self, now: Millis) -> MoveNotice {
        self.moves.notice(now)
    }

    /// Takes over what a peer knows of moved streams.
    pub fn merge_moves(&mut self, notice: MoveNotice, now: Millis) {
        self.moves.merge(notice, now);
    }

    fn move_window(&self, now: Millis) -> MoveWindow {
        MoveWindow::new(self.history.window(now), &self.settings)
    }

    /// Sets the live peers, without this router.
    pub fn set_peers(&mut self, peers: Vec<HolderPeer>) {
        self.has_peer_change |= self.peers != peers;
        self.peers = peers;
    }

    /// Returns the services whose open streams may have other holders than when they were told, as
    /// the peers have changed since the last call.
    pub fn take_peer_change(&mut self) -> Vec<Name> {
        if !std::mem::take(&mut self.has_peer_change) {
            return Vec::new();
        }
        self.told_services.iter().cloned().collect()
    }

    /// Records the service and version of all targets that are published now. What was known
    /// before was complete at `confirmed_at`.
    pub fn update_versions(
        &mut self,
        targets: impl Iterator<Item = (Name, Name)>,
        confirmed_at: Option<Millis>,
        now: Millis,
    ) {
        self.history.update(targets, confirmed_at, now);
    }

    /// Returns what this router has seen of versions, for a peer that has just started.
    pub fn version_notice(&self, now: Millis) -> VersionNotice {
        self.history.notice(now)
    }

    /// Takes over what a peer has seen of versions.
    pub fn merge_versions(&mut self, notice: VersionNotice, now: Millis) {
        self.history.merge(notice, now);
    }

    /// Records the age of the view of the targets, and drops what is too old to matter. To be
    /// called several times a second. Returns the services whose open streams have to be told
    /// to holders now, as they were not told when they began.
    pub fn refresh(&mut self, view_age: Option<Millis>, now: Millis) -> Vec<Name> {
        self.records.expire(self.history.window(now), now);
        self.history.observe(view_age, &self.settings, now);
        self.moves.expire(self.move_window(now), now);
        let services = self.history.services();
        let is_told = |service: &&Name| self.must_tell(service, view_age, now);
        let told: BTreeSet<Name> = services.filter(is_told).cloned().collect();
        let newly = told.difference(&self.told_services).cloned().collect();
        self.told_services = told;
        newly
    }

    /// Whether holders have to be told of a stream of a service that begins.
    pub fn must_tell(&self, service: &str, view_age: Option<Millis>, now: Millis) -> bool {
        let window = self.move_window(now);
        self.history.is_uncertain(service, view_age, &self.settings, now)
            || self.moves.must_tell(service, window, now)
    }

    /// Records what began a stream, of this router or of a peer.
    pub fn record(&mut self, record: &StreamRecord, now: Millis) {
        let StreamRecord { key, origin } = record;
        self.records.record(*key, origin, self.settings.max_records, now);
    }

    /// Returns the holders of a stream.
    pub fn holders(&self, key: StreamKey) -> Vec<StreamHolder> {
        choose_holders(key, &self.peers, self.settings.holders)
    }

    /// Returns the versions that some routers may not know yet. Streams begin there only if
    /// there is no other.
    pub fn unsettled_versions(&self, service: &str, now: Millis) -> Vec<Name> {
        self.history.unsettled(service, &self.settings, now)
    }

    /// Decides where a stream goes on that a caller takes up. It is unknown, like `key`, if the
    /// caller does not name it.
    pub fn decide(
        &self,
        key: Option<StreamKey>,
        service: &Name,
        view_age: Option<Millis>,
        now: Millis,
    ) -> ResumeDecision {
        match key.map(|key| self.records.get(key)) {
            Some(KnownOrigin::Began(origin)) => return ResumeDecision::Began((*origin).clone()),
            Some(KnownOrigin::Ambiguous) => return ResumeDecision::Ambiguous,
            Some(KnownOrigin::Unknown) | None => {}
        }
        let sole = self.history.sole_version(service, &self.settings, now);
        let must_ask = self.moves.must_ask(service, self.move_window(now), now);
        let is_certain = !must_ask && !self.must_tell(service, view_age, now);
        match sole.filter(|_| is_certain) {
            Some(version) => {
                let (service, version) = (Name::clone(service), Name::clone(version));
                ResumeDecision::Began(StreamOrigin { service, version })
            }
            None => {
                let holders = key.map(|key| self.holders(key)).unwrap_or_default();
                ResumeDecision::Ask(holders.iter().map(|holder| holder.address).collect())
            }
        }
    }

    /// Returns what this router says of a stream of `service` that is taken up elsewhere.
    pub fn answer(
        &self,
        key: Option<StreamKey>,
        service: &str,
        view_age: Option<Millis>,
        now: Millis,
    ) -> HolderAnswer {
        match key.map(|key| self.records.get(key)) {
            Some(KnownOrigin::Began(origin)) => {
                return HolderAnswer::Began(Arc::unwrap_or_clone(origin));
            }
            Some(KnownOrigin::Ambiguous) => return HolderAnswer::Unknown,
            Some(KnownOrigin::Unknown) | None => {}
        }
        let window = self.move_window(now);
        if self.moves.is_moved(service, window, now) {
            return HolderAnswer::Unknown;
        }
        let Some(version) = self.history.sole_version(service, &self.settings, now) else {
            return HolderAnswer::Unknown;
        };
        let version = Name::clone(version);
        if !self.moves.is_observed(window, now) {
            return HolderAnswer::Recent { version };
        }
        // Streams that began while the view was old were told to their holders, who know them
        // only by their ids.
        let is_observed = self.history.is_observed(now);
        if !is_observed && (key.is_some() || !self.history.is_settled(now)) {
            return HolderAnswer::Recent { version };
        }
        let is_fresh = view_age.is_some_and(|age| age <= self.settings.fresh_ms);
        HolderAnswer::Sole { version, is_fresh }
    }

    /// Returns for how many milliseconds the view of the targets has been current, of this
    /// router or of a peer before it.
    pub fn observed_ms(&self, now: Millis) -> Millis {
        self.history.observed_ms(now)
    }

    /// Returns the number of streams that are remembered.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}
