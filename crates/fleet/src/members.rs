//! Membership: the listed routers and whether each can be reached.
//!
//! In each period a router sends a heartbeat to a constant number of peers, in
//! an order that covers all of them. A heartbeat carries only changes:
//! suspicions, refutations, new incarnations and drains. The cost for each
//! router therefore does not grow with the fleet, and a failed peer is probed
//! by some router within about one period, whatever the size of the fleet.
//!
//! Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
//! infection-style process group membership protocol", DSN 2002.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::{Millis, Name, Origin, rank_candidates};

use crate::digest::MemberUpdate;
use crate::list::{InstanceList, InstanceState};

/// Maximum number of replaced incarnations that are kept for each peer.
const MAX_RETIRED_INCARNATIONS: usize = 4;

/// Settings of the membership protocol.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Interval at which heartbeats are sent, in milliseconds.
    pub period: Millis,
    /// Number of peers that get a heartbeat in each period.
    pub fanout: usize,
    /// Maximum number of updates about other routers in a heartbeat.
    pub max_updates: usize,
    /// Time for which a change is relayed to peers, in milliseconds.
    pub gossip_duration: Millis,
    /// Time that a peer has to refute a relayed suspicion, in milliseconds.
    pub refute_timeout: Millis,
    /// Time after a failed send by this router during which the peer stays
    /// suspected unless it responds, in milliseconds.
    pub failure_hold: Millis,
    /// Time for which a peer may be suspected until it counts as gone, in
    /// milliseconds.
    pub gone_after: Millis,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            period: 1_000,
            fanout: 2,
            max_updates: 16,
            gossip_duration: 10_000,
            refute_timeout: 1_500,
            failure_hold: 5_000,
            gone_after: 15_000,
        }
    }
}

/// Status of a router as seen by this router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStatus {
    /// Not suspected and not draining.
    Alive,
    /// A send to it failed recently, or it did not refute a suspicion in time.
    Suspect,
    /// Suspected for longer than `gone_after`, or no update about it is known.
    Gone,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
}

/// A peer and its status as seen by this router.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub name: Name,
    pub status: PeerStatus,
    /// Milliseconds since the last message from the peer itself; `None` if
    /// there was none.
    pub age: Option<Millis>,
    pub domain: Name,
}

#[derive(Clone, Debug)]
struct PeerRecord {
    domain: Name,
    peer_address: SocketAddr,
    leaving: bool,
    update: Option<MemberUpdate>,
    changed_at: Millis,
    suspect_since: Option<Millis>,
    /// Time of the last message from the peer itself.
    received_at: Option<Millis>,
    failed_at: Option<Millis>,
    /// Incarnations that were replaced by a later one, oldest first.
    retired_incarnations: VecDeque<u64>,
}

impl PeerRecord {
    /// Stores an update as the newest one about this peer.
    fn set_update(&mut self, update: &MemberUpdate, now: Millis) {
        self.suspect_since = match (update.suspect, self.suspect_since) {
            (true, Some(since)) => Some(since),
            (true, None) => Some(now),
            (false, _) => None,
        };
        self.update = Some(update.clone());
        self.changed_at = now;
    }
}

/// Routers of the published list and the newest update about each.
#[derive(Clone, Debug)]
pub struct MemberTable {
    origin: Origin,
    settings: MemberSettings,
    /// Version of the updates about this router; see [`MemberUpdate::version`].
    version: u64,
    draining: bool,
    peers: BTreeMap<Name, PeerRecord>,
    /// Position of the next heartbeat, counted over all rounds; a round is one pass
    /// over the peers.
    next_position: usize,
}

impl MemberTable {
    /// Creates a table that contains only this router.
    pub fn new(origin: Origin, settings: MemberSettings) -> Self {
        Self {
            origin,
            settings,
            version: 0,
            draining: false,
            peers: BTreeMap::new(),
            next_position: 0,
        }
    }

    /// Returns the origin of this router.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Applies the published list. Peers that are not listed are removed.
    pub fn apply_list(&mut self, list: &InstanceList) {
        let mut old = std::mem::take(&mut self.peers);
        for entry in list.routers().filter(|entry| entry.id != self.origin.instance) {
            let Some(peer_address) = entry.peer_address else { continue };
            let new_record = PeerRecord {
                domain: Name::clone(&entry.domain),
                peer_address,
                leaving: entry.state == InstanceState::Leaving,
                update: None,
                changed_at: 0,
                suspect_since: None,
                received_at: None,
                failed_at: None,
                retired_incarnations: VecDeque::new(),
            };
            let record = match old.remove(&entry.id) {
                Some(known) => PeerRecord {
                    domain: new_record.domain,
                    peer_address,
                    leaving: new_record.leaving,
                    ..known
                },
                None => new_record,
            };
            self.peers.insert(Name::clone(&entry.id), record);
        }
    }

    /// Marks this router as draining; its next heartbeats announce that.
    pub fn start_draining(&mut self) {
        self.draining = true;
        self.version += 1;
    }

    /// Returns the peers that receive the heartbeat of this period.
    pub fn next_peers(&mut self) -> Vec<Name> {
        let names: Vec<&Name> = self.peers.keys().collect();
        if names.is_empty() {
            return Vec::new();
        }
        // Each round has its own order of the peers.
        let round = self.next_position / names.len();
        let key = format!("{}/{round}", self.origin.instance);
        let order = rank_candidates(&key, names.iter().copied());
        let start = self.next_position % names.len();
        let fanout = self.settings.fanout.min(names.len());
        let chosen = (0..fanout).map(|step| Name::clone(order[(start + step) % names.len()]));
        let chosen = chosen.collect();
        self.next_position += fanout;
        chosen
    }

    /// Returns the number of peers of which an incarnation is known.
    pub fn known_count(&self) -> u32 {
        let known = self.peers.values().filter(|peer| peer.update.is_some());
        u32::try_from(known.count()).unwrap_or(u32::MAX)
    }

    /// Returns the updates for a heartbeat to `peer`: first the one about this
    /// router, then a suspicion of `peer` that it may refute, then the newest
    /// changes. Contains every known peer if `peer` knows fewer of them.
    pub fn updates_for(
        &self,
        peer: &str,
        peer_known_count: Option<u32>,
        now: Millis,
    ) -> Vec<MemberUpdate> {
        let own = MemberUpdate {
            origin: self.origin.clone(),
            version: self.version,
            draining: self.draining,
            suspect: false,
        };
        let send_all = peer_known_count.is_some_and(|known| known < self.known_count());
        let mut others: Vec<(&Name, &PeerRecord, &MemberUpdate)> = self
            .peers
            .iter()
            .filter_map(|(name, record)| Some((name, record, record.update.as_ref()?)))
            .filter(|(name, record, update)| {
                let is_recent =
                    now.saturating_sub(record.changed_at) <= self.settings.gossip_duration;
                send_all || is_recent || (***name == *peer && update.suspect)
            })
            .collect();
        others.sort_by_key(|(name, record, _)| {
            (***name != *peer, std::cmp::Reverse(record.changed_at))
        });
        if !send_all {
            others.truncate(self.settings.max_updates);
        }
        let others = others.into_iter().map(|(_, _, update)| update.clone());
        std::iter::once(own).chain(others).collect()
    }

    /// Applies the updates of a heartbeat or of the reply to it. The first one
    /// is about the sender.
    pub fn apply_updates(&mut self, updates: &[MemberUpdate], now: Millis) {
        for (index, update) in updates.iter().enumerate() {
            if update.origin.instance == self.origin.instance {
                self.refute(update);
            } else if index == 0 {
                self.apply_sender_update(update, now);
            } else {
                self.apply_relayed_update(update, now);
            }
        }
    }

    /// Records that a message to a peer failed and suspects the peer.
    pub fn record_failure(&mut self, name: &Name, now: Millis) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.failed_at = Some(now);
        let Some(known) = &peer.update else { return };
        if !known.suspect {
            let suspicion = MemberUpdate { suspect: true, ..known.clone() };
            peer.set_update(&suspicion, now);
        }
    }

    /// Returns the status of a router; `Gone` if it is not listed.
    pub fn status(&self, name: &str, now: Millis) -> PeerStatus {
        if *name == *self.origin.instance {
            return if self.draining { PeerStatus::Draining } else { PeerStatus::Alive };
        }
        self.peers.get(name).map_or(PeerStatus::Gone, |peer| self.status_of(peer, now))
    }

    /// Returns every listed peer with its status.
    pub fn views(&self, now: Millis) -> Vec<MemberView> {
        let view = |(name, peer): (&Name, &PeerRecord)| MemberView {
            name: Name::clone(name),
            status: self.status_of(peer, now),
            age: peer.received_at.map(|at| now.saturating_sub(at)),
            domain: Name::clone(&peer.domain),
        };
        self.peers.iter().map(view).collect()
    }

    /// Returns the routers that accept new requests, sorted by name. Includes
    /// this router unless it drains.
    pub fn alive(&self, now: Millis) -> Vec<Name> {
        let peers = self.peers.iter();
        let alive = peers.filter(|(_, peer)| self.status_of(peer, now) == PeerStatus::Alive);
        let mut names: Vec<Name> = alive.map(|(name, _)| Name::clone(name)).collect();
        if !self.draining {
            names.push(Name::clone(&self.origin.instance));
        }
        names.sort();
        names
    }

    /// Returns the routers that can be reached, including draining ones and
    /// this router.
    pub fn reachable(&self, now: Millis) -> Vec<Name> {
        let reached = self.peers.iter().filter(|(_, peer)| {
            matches!(self.status_of(peer, now), PeerStatus::Alive | PeerStatus::Draining)
        });
        let names = reached.map(|(name, _)| Name::clone(name));
        names.chain([Name::clone(&self.origin.instance)]).collect()
    }

    /// Returns the number of listed routers, including this one.
    pub fn listed_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the address at which other routers reach a peer, and the peer's
    /// origin if known.
    pub fn peer(&self, name: &str) -> Option<(SocketAddr, Option<&Origin>)> {
        let peer = self.peers.get(name)?;
        Some((peer.peer_address, peer.update.as_ref().map(|update| &update.origin)))
    }

    /// Returns the grantor of a service: the first of the alive routers by
    /// rendezvous hashing.
    pub fn grantor(&self, service: &str, now: Millis) -> Name {
        let alive = self.alive(now);
        let first = rank_candidates(service, &alive).into_iter().next();
        first.map_or_else(|| Name::clone(&self.origin.instance), Name::clone)
    }

    /// Raises the version above a suspicion of this router's incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        if update.origin == self.origin && update.suspect && update.version >= self.version {
            self.version = update.version + 1;
        }
    }

    /// Applies an update from the peer itself: the message proves that the peer
    /// is alive in the incarnation that it names.
    fn apply_sender_update(&mut self, update: &MemberUpdate, now: Millis) {
        let Some(peer) = self.peers.get_mut(&update.origin.instance) else { return };
        if peer.retired_incarnations.contains(&update.origin.incarnation) {
            return;
        }
        peer.received_at = Some(now);
        peer.failed_at = None;
        match &peer.update {
            Some(known) if known.origin == update.origin => {
                // The message itself clears a suspicion, even if the peer has
                // not yet learned of it and so has not raised its version.
                let is_change = update.version > known.version || known.suspect;
                if is_change && update.version >= known.version {
                    peer.set_update(update, now);
                }
            }
            Some(known) => {
                let incarnation = known.origin.incarnation;
                retire_incarnation(peer, incarnation);
                peer.set_update(update, now);
            }
            None => peer.set_update(update, now),
        }
    }

    /// Applies an update about a peer that another router relayed.
    fn apply_relayed_update(&mut self, update: &MemberUpdate, now: Millis) {
        let Some(peer) = self.peers.get_mut(&update.origin.instance) else { return };
        if peer.retired_incarnations.contains(&update.origin.incarnation) {
            return;
        }
        let Some(known) = &peer.update else {
            peer.set_update(update, now);
            return;
        };
        if known.origin == update.origin {
            let is_change = update.version > known.version
                || (update.version == known.version && update.suspect && !known.suspect);
            if is_change {
                peer.set_update(update, now);
            }
            return;
        }
        // A relayed update replaces an incarnation only if it is suspected.
        if known.suspect && !update.suspect {
            let incarnation = known.origin.incarnation;
            retire_incarnation(peer, incarnation);
            peer.set_update(update, now);
        }
    }

    fn status_of(&self, peer: &PeerRecord, now: Millis) -> PeerStatus {
        let Some(update) = &peer.update else { return PeerStatus::Gone };
        let settings = &self.settings;
        let age = |since: Option<Millis>| since.map(|since| now.saturating_sub(since));
        if age(peer.suspect_since).is_some_and(|age| age > settings.gone_after) {
            return PeerStatus::Gone;
        }
        let failed = age(peer.failed_at).is_some_and(|age| age <= settings.failure_hold);
        let unrefuted = age(peer.suspect_since).is_some_and(|age| age > settings.refute_timeout);
        if failed || unrefuted {
            return PeerStatus::Suspect;
        }
        if update.draining || peer.leaving {
            return PeerStatus::Draining;
        }
        PeerStatus::Alive
    }
}

/// Records that an incarnation was replaced, and clears the suspicion of it.
fn retire_incarnation(peer: &mut PeerRecord, incarnation: u64) {
    peer.retired_incarnations.push_back(incarnation);
    if peer.retired_incarnations.len() > MAX_RETIRED_INCARNATIONS {
        peer.retired_incarnations.pop_front();
    }
    peer.suspect_since = None;
}
