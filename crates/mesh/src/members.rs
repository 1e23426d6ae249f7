//! Which routers there are, learnt from seeds and from each other.
//!
//! A router sends beats to every peer that it heard of lately and to its seeds.
//! Each beat names some other routers, so a newcomer that reaches one seed soon
//! knows all. Seeds may be stale, down, or this router itself. A peer is live
//! while its beats are heard; nothing else is remembered of it, so a restart of
//! all routers at once needs no special case. The time between beats grows with
//! the fleet, so that the cost for each router stays within a bound.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::{Millis, Name, Origin};

use crate::beat::{HeartbeatHeader, PeerAddresses, SourceView};

/// Earlier incarnations of a peer that are remembered as gone.
const RETIRED_LIVES: usize = 4;
/// Addresses of others in one beat, so that it fits a datagram.
const OTHERS_IN_BEAT: usize = 16;

/// Bounds of the membership.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// Shortest time between two beats to a peer, in milliseconds.
    pub period: Millis,
    /// Beats that a router sends each second at most, once the period grows:
    /// the bound on control traffic of a router.
    pub beats_per_second: u64,
    /// Periods without a beat after which a peer is no longer live.
    pub missed_periods: u64,
    /// Time without a beat after which a peer is forgotten, in milliseconds.
    pub forget_after: Millis,
    /// Time between two beats to an address that has not answered, in
    /// milliseconds.
    pub unanswered_period: Millis,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            period: 200,
            beats_per_second: 100,
            missed_periods: 5,
            forget_after: 30_000,
            unanswered_period: 1_000,
        }
    }
}

/// What hearing a beat changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// A router that was not known or not live.
    Joined,
    /// Another incarnation than before.
    Restarted,
    /// A newer beat of a live peer; `changed` when it began or ended to drain,
    /// or its view of the source moved on.
    Newer { changed: bool },
    /// Late, repeated, of a life that ended, or this router's own.
    Ignored,
}

/// A peer as this router sees it.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub origin: Origin,
    pub domain: Name,
    pub addresses: PeerAddresses,
    pub is_draining: bool,
    pub source: SourceView,
    /// Milliseconds since its last beat.
    pub age: Millis,
}

#[derive(Debug)]
struct PeerState {
    head: HeartbeatHeader,
    heard_at: Millis,
    retired: VecDeque<u64>,
    /// It was reported as lost and not heard since.
    is_lost: bool,
}

/// Address that was named by a seed list or a peer and has not answered yet.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    is_seed: bool,
    named_at: Millis,
    sent_at: Option<Millis>,
}

/// All peers of a router.
#[derive(Debug)]
pub struct MemberTable {
    me: Origin,
    settings: MemberSettings,
    peers: BTreeMap<Name, PeerState>,
    candidates: BTreeMap<SocketAddr, Candidate>,
    my_beats: SocketAddr,
    count: u64,
    next_other: usize,
}

impl MemberTable {
    /// A table with the seeds only; `my_beats` is where this router is reached.
    pub fn new(
        me: Origin,
        my_beats: SocketAddr,
        seeds: &[SocketAddr],
        settings: MemberSettings,
    ) -> Self {
        let mut table = Self {
            me,
            settings,
            peers: BTreeMap::new(),
            candidates: BTreeMap::new(),
            my_beats,
            count: 0,
            next_other: 0,
        };
        table.set_seeds(seeds, 0);
        table
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Millis) {
        self.candidates.retain(|_, candidate| !candidate.is_seed);
        for seed in seeds.iter().filter(|seed| **seed != self.my_beats) {
            let candidate = Candidate { is_seed: true, named_at: now, sent_at: None };
            self.candidates.insert(*seed, candidate);
        }
    }

    /// Takes a beat in.
    pub fn record_heartbeat(&mut self, head: HeartbeatHeader, now: Millis) -> HeartbeatOutcome {
        if head.origin.instance == self.me.instance {
            return HeartbeatOutcome::Ignored;
        }
        for other in &head.known_peers {
            let is_known = self.peers.values().any(|peer| peer.head.addresses.beats == *other);
            if !is_known && *other != self.my_beats {
                self.candidates
                    .entry(*other)
                    .and_modify(|candidate| candidate.named_at = now)
                    .or_insert(Candidate { is_seed: false, named_at: now, sent_at: None });
            }
        }
        let live_ms = self.liveness_timeout();
        let Some(peer) = self.peers.get_mut(&head.origin.instance) else {
            let name = Name::clone(&head.origin.instance);
            let retired = VecDeque::new();
            self.peers.insert(name, PeerState { head, heard_at: now, retired, is_lost: false });
            return HeartbeatOutcome::Joined;
        };
        if peer.head.origin.incarnation != head.origin.incarnation {
            if peer.retired.contains(&head.origin.incarnation) {
                return HeartbeatOutcome::Ignored;
            }
            peer.retired.push_back(peer.head.origin.incarnation);
            if peer.retired.len() > RETIRED_LIVES {
                peer.retired.pop_front();
            }
            peer.head = head;
            peer.heard_at = now;
            peer.is_lost = false;
            return HeartbeatOutcome::Restarted;
        }
        if head.sequence <= peer.head.sequence {
            return HeartbeatOutcome::Ignored;
        }
        let was_lost = now.saturating_sub(peer.heard_at) > live_ms;
        let changed = head.is_draining != peer.head.is_draining
            || head.source.revision != peer.head.source.revision;
        peer.head = head;
        peer.heard_at = now;
        peer.is_lost = false;
        if was_lost { HeartbeatOutcome::Joined } else { HeartbeatOutcome::Newer { changed } }
    }

    /// Time between two beats to a peer, in milliseconds.
    pub fn heartbeat_interval(&self) -> Millis {
        let peers = self.peers.len() as u64;
        self.settings.period.max(peers * 1_000 / self.settings.beats_per_second.max(1))
    }

    /// Time after the last beat for which a peer counts as live, in
    /// milliseconds.
    pub fn liveness_timeout(&self) -> Millis {
        self.heartbeat_interval() * self.settings.missed_periods
    }

    /// Number of the next beat.
    pub fn next_sequence(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Addresses that get the next beat.
    pub fn receivers(&mut self, now: Millis) -> Vec<SocketAddr> {
        let forget_after = self.settings.forget_after;
        self.peers.retain(|_, peer| now.saturating_sub(peer.heard_at) <= forget_after);
        self.candidates.retain(|_, candidate| {
            candidate.is_seed || now.saturating_sub(candidate.named_at) <= forget_after
        });
        let mut receivers: Vec<SocketAddr> =
            self.peers.values().map(|peer| peer.head.addresses.beats).collect();
        for (address, candidate) in &mut self.candidates {
            let unanswered_period = self.settings.unanswered_period;
            let is_due = candidate
                .sent_at
                .is_none_or(|sent_at| now.saturating_sub(sent_at) >= unanswered_period);
            if is_due && !receivers.contains(address) {
                candidate.sent_at = Some(now);
                receivers.push(*address);
            }
        }
        receivers
    }

    /// Some live peers for the next beat, others each time.
    pub fn sample_live_peers(&mut self, now: Millis) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live(now).map(|view| view.addresses.beats).collect();
        if live.is_empty() {
            return live;
        }
        let count = live.len().min(OTHERS_IN_BEAT);
        let start = self.next_other % live.len();
        self.next_other = start + count;
        live.iter().cycle().skip(start).take(count).copied().collect()
    }

    /// Peers whose beats are heard.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = MemberView> {
        let live_ms = self.liveness_timeout();
        self.peers.values().filter_map(move |peer| {
            let age = now.saturating_sub(peer.heard_at);
            (age <= live_ms).then(|| MemberView {
                origin: peer.head.origin.clone(),
                domain: Name::clone(&peer.head.domain),
                addresses: peer.head.addresses,
                is_draining: peer.head.is_draining,
                source: peer.head.source,
                age,
            })
        })
    }

    /// Peers that fell silent since the last call.
    pub fn newly_lost(&mut self, now: Millis) -> Vec<Name> {
        let live_ms = self.liveness_timeout();
        let mut lost = Vec::new();
        for (name, peer) in &mut self.peers {
            if !peer.is_lost && now.saturating_sub(peer.heard_at) > live_ms {
                peer.is_lost = true;
                lost.push(Name::clone(name));
            }
        }
        lost
    }

    /// Callers' addresses of live routers that take new requests, those of
    /// `domain` if there are any; `mine` is this router's, none while it drains.
    pub fn caller_addresses(
        &self,
        domain: &str,
        mine: Option<(&str, SocketAddr)>,
        most: usize,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        if let Some((my_domain, address)) = mine {
            if my_domain == domain { near.push(address) } else { far.push(address) }
        }
        for view in self.live(now).filter(|view| !view.is_draining) {
            let address = view.addresses.callers;
            if &*view.domain == domain { near.push(address) } else { far.push(address) }
        }
        let mut chosen = if near.is_empty() { far } else { near };
        chosen.truncate(most);
        chosen
    }
}
