//! Which routers there are and which can be reached.
//!
//! Each period a router sends a heartbeat to a constant number of peers, in an
//! order that passes over all of them. What it carries are changes only:
//! suspicions, their refutations, new lives and drains. So the cost for each
//! node does not grow with the fleet, and a peer that fails is probed by
//! somebody within about a period whatever the size.
//!
//! Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
//! infection-style process group membership protocol", DSN 2002.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::{Millis, Name, Origin, rank_candidates};

use crate::digest::MemberUpdate;
use crate::list::{InstanceList, InstanceState};

/// Earlier lives of a peer that are remembered as gone.
const RETIRED_LIVES: usize = 4;

/// Settings of the membership.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Time between two heartbeats, in milliseconds.
    pub period: Millis,
    /// Peers that get each heartbeat.
    pub fanout: usize,
    /// Changes of others in a heartbeat at most.
    pub max_updates: usize,
    /// Time for which a change is passed on, in milliseconds.
    pub gossip_duration: Millis,
    /// Time that a peer has to refute what others say of it, in milliseconds.
    pub refute_timeout: Millis,
    /// Time after an own failed send during which the peer stays suspected
    /// unless it answers, in milliseconds.
    pub failure_hold: Millis,
    /// Time after which a suspected peer counts as gone, in milliseconds.
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

/// What this router thinks of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStatus {
    /// Nothing speaks against it.
    Alive,
    /// A send to it failed, or others say so and it did not refute them.
    Suspect,
    /// Suspected for so long that it no longer counts, or never heard of.
    Gone,
    /// Finishes its work and takes nothing new.
    Draining,
}

/// A peer as this router sees it.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub name: Name,
    pub status: PeerStatus,
    /// Milliseconds since it was last heard of directly; none if never.
    pub age: Option<Millis>,
    pub domain: Name,
}

#[derive(Clone, Debug)]
struct PeerRecord {
    domain: Name,
    peer_address: SocketAddr,
    leaving: bool,
    beat: Option<MemberUpdate>,
    changed_at: Millis,
    suspect_since: Option<Millis>,
    /// When it last answered or sent something itself.
    heard_at: Option<Millis>,
    failed_at: Option<Millis>,
    /// Incarnations that a later one replaced.
    retired: VecDeque<u64>,
}

impl PeerRecord {
    /// Takes a beat over as the newest.
    fn adopt(&mut self, beat: &MemberUpdate, now: Millis) {
        self.suspect_since = match (beat.suspect, self.suspect_since) {
            (true, Some(since)) => Some(since),
            (true, None) => Some(now),
            (false, _) => None,
        };
        self.beat = Some(beat.clone());
        self.changed_at = now;
    }
}

/// Routers by the published list and what is heard of them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: Origin,
    settings: MemberSettings,
    count: u64,
    draining: bool,
    peers: BTreeMap<Name, PeerRecord>,
    /// Position in the rounds of heartbeats.
    round: usize,
}

impl MemberTable {
    /// A table with this router alone.
    pub fn new(me: Origin, settings: MemberSettings) -> Self {
        Self { me, settings, count: 0, draining: false, peers: BTreeMap::new(), round: 0 }
    }

    /// This router's origin.
    pub fn origin(&self) -> &Origin {
        &self.me
    }

    /// Takes in the published list. Peers off the list are dropped.
    pub fn apply_list(&mut self, list: &InstanceList) {
        let mut old = std::mem::take(&mut self.peers);
        for entry in list.routers().filter(|entry| entry.id != self.me.instance) {
            let Some(peer_address) = entry.peer_address else { continue };
            let fresh = PeerRecord {
                domain: Name::clone(&entry.domain),
                peer_address,
                leaving: entry.state == InstanceState::Leaving,
                beat: None,
                changed_at: 0,
                suspect_since: None,
                heard_at: None,
                failed_at: None,
                retired: VecDeque::new(),
            };
            let state = match old.remove(&entry.id) {
                Some(known) => PeerRecord {
                    domain: fresh.domain,
                    peer_address,
                    leaving: fresh.leaving,
                    ..known
                },
                None => fresh,
            };
            self.peers.insert(Name::clone(&entry.id), state);
        }
    }

    /// Stops this router from being counted on for new work.
    pub fn drain(&mut self) {
        self.draining = true;
        self.count += 1;
    }

    /// The peers to send this period's heartbeat to.
    pub fn next_peers(&mut self) -> Vec<Name> {
        let names: Vec<&Name> = self.peers.keys().collect();
        if names.is_empty() {
            return Vec::new();
        }
        // Each round passes over the peers in an order of its own.
        let round = self.round / names.len();
        let key = format!("{}/{round}", self.me.instance);
        let order = rank_candidates(&key, names.iter().copied());
        let start = self.round % names.len();
        let fanout = self.settings.fanout.min(names.len());
        let chosen = (0..fanout).map(|step| Name::clone(order[(start + step) % names.len()]));
        let chosen = chosen.collect();
        self.round += fanout;
        chosen
    }

    /// Routers of which a life is known.
    pub fn known_count(&self) -> u32 {
        let known = self.peers.values().filter(|peer| peer.beat.is_some());
        u32::try_from(known.count()).unwrap_or(u32::MAX)
    }

    /// Beats for a heartbeat to `peer`: the own one, what it may want to
    /// refute, and the newest changes; or all when it knows fewer routers.
    pub fn updates_for(
        &self,
        peer: &str,
        peer_knows: Option<u32>,
        now: Millis,
    ) -> Vec<MemberUpdate> {
        let own = MemberUpdate {
            origin: self.me.clone(),
            count: self.count,
            draining: self.draining,
            suspect: false,
        };
        let all = peer_knows.is_some_and(|known| known < self.known_count());
        let mut others: Vec<(&Name, &PeerRecord, &MemberUpdate)> = self
            .peers
            .iter()
            .filter_map(|(name, state)| Some((name, state, state.beat.as_ref()?)))
            .filter(|(name, state, beat)| {
                let is_new = now.saturating_sub(state.changed_at) <= self.settings.gossip_duration;
                all || is_new || (***name == *peer && beat.suspect)
            })
            .collect();
        others.sort_by_key(|(name, state, _)| {
            (***name != *peer, std::cmp::Reverse(state.changed_at))
        });
        if !all {
            others.truncate(self.settings.max_updates);
        }
        let others = others.into_iter().map(|(_, _, beat)| beat.clone());
        std::iter::once(own).chain(others).collect()
    }

    /// Takes in the beats of a heartbeat or of its answer.
    pub fn apply_updates(&mut self, beats: &[MemberUpdate], now: Millis) {
        for (index, beat) in beats.iter().enumerate() {
            if beat.origin.instance == self.me.instance {
                self.refute(beat);
            } else if index == 0 {
                self.hear_sender(beat, now);
            } else {
                self.hear_rumour(beat, now);
            }
        }
    }

    /// A message to the peer failed.
    pub fn record_failure(&mut self, name: &Name, now: Millis) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.failed_at = Some(now);
        let Some(known) = &peer.beat else { return };
        if !known.suspect {
            let suspicion = MemberUpdate { suspect: true, ..known.clone() };
            peer.adopt(&suspicion, now);
        }
    }

    /// What this router thinks of a peer; `Gone` for an unknown one.
    pub fn status(&self, name: &str, now: Millis) -> PeerStatus {
        if *name == *self.me.instance {
            return if self.draining { PeerStatus::Draining } else { PeerStatus::Alive };
        }
        self.peers.get(name).map_or(PeerStatus::Gone, |peer| self.status_of(peer, now))
    }

    /// Peers as this router sees them.
    pub fn views(&self, now: Millis) -> Vec<MemberView> {
        let view = |(name, peer): (&Name, &PeerRecord)| MemberView {
            name: Name::clone(name),
            status: self.status_of(peer, now),
            age: peer.heard_at.map(|at| now.saturating_sub(at)),
            domain: Name::clone(&peer.domain),
        };
        self.peers.iter().map(view).collect()
    }

    /// Routers that can be given work, this one included, in name order.
    pub fn alive(&self, now: Millis) -> Vec<Name> {
        let peers = self.peers.iter();
        let alive = peers.filter(|(_, peer)| self.status_of(peer, now) == PeerStatus::Alive);
        let mut names: Vec<Name> = alive.map(|(name, _)| Name::clone(name)).collect();
        if !self.draining {
            names.push(Name::clone(&self.me.instance));
        }
        names.sort();
        names
    }

    /// Routers that can be reached, this one and draining ones included.
    pub fn reachable(&self, now: Millis) -> Vec<Name> {
        let reached = self.peers.iter().filter(|(_, peer)| {
            matches!(self.status_of(peer, now), PeerStatus::Alive | PeerStatus::Draining)
        });
        let names = reached.map(|(name, _)| Name::clone(name));
        names.chain([Name::clone(&self.me.instance)]).collect()
    }

    /// Listed routers, this one included.
    pub fn listed_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Where the other routers reach a peer, and its life when known.
    pub fn peer(&self, name: &str) -> Option<(SocketAddr, Option<&Origin>)> {
        let peer = self.peers.get(name)?;
        Some((peer.peer_address, peer.beat.as_ref().map(|beat| &beat.origin)))
    }

    /// The grantor of a service: the first reachable router by rendezvous.
    pub fn grantor(&self, service: &str, now: Millis) -> Name {
        let alive = self.alive(now);
        let first = rank_candidates(service, &alive).into_iter().next();
        first.map_or_else(|| Name::clone(&self.me.instance), Name::clone)
    }

    /// Outbids a suspicion of this life.
    fn refute(&mut self, beat: &MemberUpdate) {
        if beat.origin == self.me && beat.suspect && beat.count >= self.count {
            self.count = beat.count + 1;
        }
    }

    /// The sender of a message is alive, in the life that it names.
    fn hear_sender(&mut self, beat: &MemberUpdate, now: Millis) {
        let Some(peer) = self.peers.get_mut(&beat.origin.instance) else { return };
        if peer.retired.contains(&beat.origin.incarnation) {
            return;
        }
        peer.heard_at = Some(now);
        peer.failed_at = None;
        match &peer.beat {
            Some(known) if known.origin == beat.origin => {
                // A sender that did not hear of the suspicion yet refutes it
                // with its next count; this router knows better already.
                let is_news = beat.count > known.count || known.suspect;
                if is_news && beat.count >= known.count {
                    peer.adopt(beat, now);
                }
            }
            Some(known) => {
                let incarnation = known.origin.incarnation;
                retire(peer, incarnation);
                peer.adopt(beat, now);
            }
            None => peer.adopt(beat, now),
        }
    }

    fn hear_rumour(&mut self, beat: &MemberUpdate, now: Millis) {
        let Some(peer) = self.peers.get_mut(&beat.origin.instance) else { return };
        if peer.retired.contains(&beat.origin.incarnation) {
            return;
        }
        let Some(known) = &peer.beat else {
            peer.adopt(beat, now);
            return;
        };
        if known.origin == beat.origin {
            let is_news = beat.count > known.count
                || (beat.count == known.count && beat.suspect && !known.suspect);
            if is_news {
                peer.adopt(beat, now);
            }
            return;
        }
        // Hearsay replaces a life only once that life is suspected.
        if known.suspect && !beat.suspect {
            let incarnation = known.origin.incarnation;
            retire(peer, incarnation);
            peer.adopt(beat, now);
        }
    }

    fn status_of(&self, peer: &PeerRecord, now: Millis) -> PeerStatus {
        let Some(beat) = &peer.beat else { return PeerStatus::Gone };
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
        if beat.draining || peer.leaving {
            return PeerStatus::Draining;
        }
        PeerStatus::Alive
    }
}

fn retire(peer: &mut PeerRecord, incarnation: u64) {
    peer.retired.push_back(incarnation);
    if peer.retired.len() > RETIRED_LIVES {
        peer.retired.pop_front();
    }
    peer.suspect_since = None;
}
