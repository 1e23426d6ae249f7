//! Membership table: which routers are live, learned from seeds and from peers.
//!
//! A router sends heartbeats to its seeds and to every peer from which it received
//! one recently. Each heartbeat lists some other routers, so a new router that
//! reaches one seed soon knows all. Seeds may be out of date, down, or this router
//! itself. A peer is live as long as its heartbeats arrive; no other state decides
//! this, so a restart of all routers at once is not a special case. The heartbeat
//! interval grows with the fleet, which bounds the cost for each router.
//!
//! In a fleet of hundreds, a router sends heartbeats to its own failure domain only, and asks
//! one router of each other domain in turn for a report of that domain. Nothing is relayed,
//! so what a report says is at most one interval older than what its sender heard itself.
//!
//! While this router does not run, heartbeats of its peers wait in its socket, so
//! silence then says nothing about them: that time does not count towards their age.

mod reports;
mod unheard;

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;

use base::{Millis, Name, Origin, stable_hash};

use crate::heartbeat::{HeartbeatHeader, PeerAddresses, SourceNotice, SourceView};
use crate::report::SightingTag;

/// Number of earlier incarnations of a peer whose late heartbeats are recognized.
const MAX_RETIRED_INCARNATIONS: usize = 4;
/// Maximum addresses of other routers in one heartbeat, so that it fits into a
/// datagram.
const MAX_KNOWN_PEERS: usize = 16;
/// Intervals for which a peer of another failure domain is live beyond those of a peer of the
/// same one, as its heartbeats are reported and reports may be lost too.
const REPORT_INTERVALS: u64 = 2;
/// Interval of heartbeats in milliseconds up to which they alone say in time who reads the
/// source.
const MAX_UNNOTICED_INTERVAL_MS: Millis = 300;

/// Limits and intervals of the membership.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// Minimum time between two heartbeats to a peer, in milliseconds.
    pub min_interval: Millis,
    /// Maximum heartbeats that a router sends per second once the interval grows;
    /// bounds its control traffic.
    pub heartbeats_per_second: u64,
    /// Intervals without a heartbeat after which a peer is no longer live: datagrams are lost
    /// now and then, but rarely several in a row.
    pub missed_intervals: u64,
    /// Number of peers above which heartbeats stay within the failure domain and other domains
    /// are known by reports.
    pub max_direct_peers: usize,
    /// Minimum time between two heartbeats to a peer in such a fleet, in milliseconds.
    pub min_domain_interval: Millis,
    /// Least time in milliseconds without a heartbeat after which a peer is no longer live, as
    /// a busy router may be late by a part of it.
    pub min_silence: Millis,
    /// Time in milliseconds without a heartbeat after which a peer is removed.
    pub remove_after: Millis,
    /// Time in milliseconds between two heartbeats to an address that has not
    /// responded, once a peer is known.
    pub candidate_interval: Millis,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            min_interval: 200,
            heartbeats_per_second: 100,
            missed_intervals: 3,
            max_direct_peers: 120,
            min_domain_interval: 1_200,
            min_silence: 1_000,
            remove_after: 30_000,
            candidate_interval: 1_000,
        }
    }
}

/// Effect of a heartbeat on the membership table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The sender was not known or not live.
    Joined,
    /// The sender has another incarnation than before.
    Restarted,
    /// The heartbeat of a live peer is newer than the last one; `changed` if the
    /// peer started or stopped draining, or its revision of the source changed.
    Newer { changed: bool },
    /// The heartbeat is late, duplicated, from an earlier incarnation, or from this
    /// router itself.
    Ignored,
}

/// State of a live peer as this router knows it.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub origin: Origin,
    pub domain: Name,
    pub addresses: PeerAddresses,
    pub is_draining: bool,
    pub source: SourceView,
    /// Milliseconds since its last heartbeat.
    pub age: Millis,
}

#[derive(Debug)]
struct PeerState {
    /// Header of its last heartbeat.
    header: HeartbeatHeader,
    received_at: Millis,
    /// Tag of the incarnation in `header`.
    tag: SightingTag,
    /// Its earlier incarnations, oldest first.
    retired: VecDeque<u64>,
    /// It was reported as lost, and no heartbeat has arrived since.
    is_lost: bool,
}

/// Address that is a seed or was listed by a peer. It gets heartbeats as a candidate
/// unless a known peer has it.
#[derive(Clone, Copy, Debug)]
struct CandidateAddress {
    is_seed: bool,
    listed_at: Millis,
    sent_at: Option<Millis>,
}

/// Peers of one router.
#[derive(Debug)]
pub struct MemberTable {
    own_origin: Origin,
    settings: MemberSettings,
    peers: BTreeMap<Name, PeerState>,
    /// Heartbeat addresses of `peers`; may also have those of some that were removed since the
    /// last round.
    peer_addresses: HashSet<SocketAddr>,
    candidates: BTreeMap<SocketAddr, CandidateAddress>,
    own_address: SocketAddr,
    /// `None` if other failure domains are never known by reports.
    own_domain: Option<Name>,
    /// Number of `peers` in `own_domain`.
    domain_peers: usize,
    /// When each other failure domain was last reported.
    reported_at: BTreeMap<Name, Millis>,
    /// Incarnations that the last report of a failure domain named and `peers` lacks.
    unknown: BTreeMap<Name, Vec<SightingTag>>,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Index of the live peer that the next sample starts at.
    next_sample: usize,
    /// Index of the peer whose header the next report starts with.
    next_header: usize,
    /// Number of rounds in which reports were asked for.
    report_round: usize,
    /// When the last round of heartbeats began.
    round_at: Option<Millis>,
}

impl MemberTable {
    /// Creates a table that knows only the seeds; `own_address` is the heartbeat
    /// address of this router.
    pub fn new(
        own_origin: Origin,
        own_address: SocketAddr,
        seeds: &[SocketAddr],
        settings: MemberSettings,
    ) -> Self {
        let mut table = Self {
            own_origin,
            settings,
            peers: BTreeMap::new(),
            peer_addresses: HashSet::new(),
            candidates: BTreeMap::new(),
            own_address,
            own_domain: None,
            domain_peers: 0,
            reported_at: BTreeMap::new(),
            unknown: BTreeMap::new(),
            sequence: 0,
            next_sample: 0,
            next_header: 0,
            report_round: 0,
            round_at: None,
        };
        table.set_seeds(seeds, 0);
        table
    }

    /// Sets the failure domain of this router: once the fleet is large, others are known by
    /// reports.
    pub fn with_domain(self, domain: Name) -> Self {
        Self { own_domain: Some(domain), ..self }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Millis) {
        self.candidates.retain(|_, candidate| !candidate.is_seed);
        for seed in seeds.iter().filter(|seed| **seed != self.own_address) {
            let candidate = CandidateAddress { is_seed: true, listed_at: now, sent_at: None };
            self.candidates.insert(*seed, candidate);
        }
    }

    /// Records a received heartbeat and returns its effect.
    pub fn record_heartbeat(&mut self, header: HeartbeatHeader, now: Millis) -> HeartbeatOutcome {
        if header.origin.instance == self.own_origin.instance {
            return HeartbeatOutcome::Ignored;
        }
        for address in &header.known_peers {
            if !self.peer_addresses.contains(address) && *address != self.own_address {
                self.candidates
                    .entry(*address)
                    .and_modify(|candidate| candidate.listed_at = now)
                    .or_insert(CandidateAddress { is_seed: false, listed_at: now, sent_at: None });
            }
        }
        self.peer_addresses.insert(header.addresses.beats);
        let liveness_timeout = self.liveness_timeout_of(&header.domain);
        let running_now = self.running_now(now);
        let tag = SightingTag::new(&header.origin);
        let Some(peer) = self.peers.get_mut(&header.origin.instance) else {
            let instance = Name::clone(&header.origin.instance);
            self.domain_peers += usize::from(self.own_domain.as_ref() == Some(&header.domain));
            let retired = VecDeque::new();
            let peer = PeerState { header, received_at: now, tag, retired, is_lost: false };
            self.peers.insert(instance, peer);
            return HeartbeatOutcome::Joined;
        };
        if peer.header.origin.incarnation != header.origin.incarnation {
            if peer.retired.contains(&header.origin.incarnation) {
                return HeartbeatOutcome::Ignored;
            }
            peer.retired.push_back(peer.header.origin.incarnation);
            if peer.retired.len() > MAX_RETIRED_INCARNATIONS {
                peer.retired.pop_front();
            }
            peer.header = header;
            peer.received_at = now;
            peer.tag = tag;
            peer.is_lost = false;
            return HeartbeatOutcome::Restarted;
        }
        if header.sequence <= peer.header.sequence {
            return HeartbeatOutcome::Ignored;
        }
        let was_lost = running_now.saturating_sub(peer.received_at) > liveness_timeout;
        let changed = header.is_draining != peer.header.is_draining
            || header.source.revision != peer.header.source.revision;
        peer.header = header;
        peer.received_at = now;
        peer.is_lost = false;
        if was_lost { HeartbeatOutcome::Joined } else { HeartbeatOutcome::Newer { changed } }
    }

    /// Records that a known peer has read the source; returns whether the notice is its newest
    /// message. One of a peer that is not live is left to its next heartbeat.
    pub fn record_source_notice(&mut self, notice: &SourceNotice, now: Millis) -> bool {
        let liveness_timeout = self.liveness_timeout();
        let running_now = self.running_now(now);
        let Some(peer) = self.peers.get_mut(&notice.origin.instance) else { return false };
        let header = &mut peer.header;
        let is_live = running_now.saturating_sub(peer.received_at) <= liveness_timeout;
        if !is_live || header.origin != notice.origin || notice.sequence <= header.sequence {
            return false;
        }
        header.sequence = notice.sequence;
        header.source = notice.source;
        peer.received_at = now;
        true
    }

    /// Returns the addresses of a known peer.
    pub fn addresses_of(&self, instance: &str) -> Option<PeerAddresses> {
        self.peers.get(instance).map(|peer| peer.header.addresses)
    }

    /// Returns the peers of the failure domain `domain` that are told when this router has
    /// read the source; none while heartbeats are frequent enough.
    pub fn notice_receivers(&self, domain: &str, now: Millis) -> Vec<SocketAddr> {
        if self.heartbeat_interval() <= MAX_UNNOTICED_INTERVAL_MS {
            return Vec::new();
        }
        let views = self.live(now).filter(|view| &*view.domain == domain);
        views.map(|view| view.addresses.beats).collect()
    }

    /// Returns the time between two heartbeats to a peer, in milliseconds.
    pub fn heartbeat_interval(&self) -> Millis {
        let settings = &self.settings;
        let (peers, min_interval) = if self.uses_reports() {
            (self.domain_peers, settings.min_domain_interval)
        } else {
            (self.peers.len(), settings.min_interval)
        };
        min_interval.max(peers as u64 * 1_000 / settings.heartbeats_per_second.max(1))
    }

    /// Returns the time in milliseconds after its last heartbeat for which a peer is
    /// live.
    pub fn liveness_timeout(&self) -> Millis {
        self.settings.min_silence.max(self.heartbeat_interval() * self.settings.missed_intervals)
    }

    /// Returns the same for a peer of the failure domain `domain`.
    fn liveness_timeout_of(&self, domain: &str) -> Millis {
        let is_reported = self.uses_reports() && self.own_domain.as_deref() != Some(domain);
        let intervals = if is_reported { REPORT_INTERVALS } else { 0 };
        self.liveness_timeout() + intervals * self.heartbeat_interval()
    }

    /// Returns the sequence number of the next heartbeat.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns for how many milliseconds this router has not run: since its round of
    /// heartbeats was due, if that is over an interval ago, otherwise 0.
    pub fn own_pause(&self, now: Millis) -> Millis {
        let Some(round_at) = self.round_at else { return 0 };
        let interval = self.heartbeat_interval();
        let overdue = now.saturating_sub(round_at + interval);
        if overdue > interval { overdue } else { 0 }
    }

    /// Returns `now` without the pause of this router, for the age of what it received
    /// before.
    fn running_now(&self, now: Millis) -> Millis {
        now - self.own_pause(now)
    }

    /// Begins a round of heartbeats: returns the addresses that get one, and removes
    /// peers and candidates that are out of date.
    pub fn receivers(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.skip_own_pause(now);
        let remove_after = self.settings.remove_after;
        self.peers.retain(|_, peer| now.saturating_sub(peer.received_at) <= remove_after);
        self.candidates.retain(|_, candidate| {
            candidate.is_seed || now.saturating_sub(candidate.listed_at) <= remove_after
        });
        let own_domain = self.own_domain.as_ref();
        let is_near = |peer: &&PeerState| own_domain == Some(&peer.header.domain);
        self.domain_peers = self.peers.values().filter(is_near).count();
        let uses_reports = self.uses_reports();
        let peers = self.peers.values().filter(|peer| !uses_reports || is_near(peer));
        let mut receivers: Vec<SocketAddr> =
            peers.map(|peer| peer.header.addresses.beats).collect();
        self.peer_addresses = self.peers.values().map(|peer| peer.header.addresses.beats).collect();
        // When all start at once, the seeds may not listen yet.
        let candidate_interval = if self.peers.is_empty() {
            self.settings.min_interval
        } else {
            self.settings.candidate_interval
        };
        for (address, candidate) in &mut self.candidates {
            let is_due = candidate
                .sent_at
                .is_none_or(|sent_at| now.saturating_sub(sent_at) >= candidate_interval);
            if is_due && !self.peer_addresses.contains(address) {
                candidate.sent_at = Some(now);
                receivers.push(*address);
            }
        }
        receivers
    }

    /// Moves what was received before a pause of this router to after it, so that peers
    /// keep the age that they had.
    fn skip_own_pause(&mut self, now: Millis) {
        let pause = self.own_pause(now);
        for peer in self.peers.values_mut() {
            peer.received_at = now.min(peer.received_at + pause);
        }
        for candidate in self.candidates.values_mut() {
            candidate.listed_at = now.min(candidate.listed_at + pause);
        }
        for reported_at in self.reported_at.values_mut() {
            *reported_at = now.min(*reported_at + pause);
        }
        self.round_at = Some(now);
    }

    /// Returns some live peers to list in the next heartbeat, different ones each
    /// time.
    pub fn sample_live_peers(&mut self, now: Millis) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live(now).map(|view| view.addresses.beats).collect();
        if live.is_empty() {
            return live;
        }
        let count = live.len().min(MAX_KNOWN_PEERS);
        let start = self.next_sample % live.len();
        self.next_sample = start + count;
        live.iter().cycle().skip(start).take(count).copied().collect()
    }

    /// Returns the live peers.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = MemberView> {
        let running_now = self.running_now(now);
        self.peers.values().filter_map(move |peer| {
            let age = running_now.saturating_sub(peer.received_at);
            (age <= self.liveness_timeout_of(&peer.header.domain)).then(|| MemberView {
                origin: peer.header.origin.clone(),
                domain: Name::clone(&peer.header.domain),
                addresses: peer.header.addresses,
                is_draining: peer.header.is_draining,
                source: peer.header.source,
                age,
            })
        })
    }

    /// Returns the number of routers that may be running, with this one: those that were
    /// heard lately and do not drain, or the seeds while no router has been heard.
    pub fn known_count(&self) -> usize {
        let peers = self.peers.values();
        let seeds = self.candidates.values().filter(|candidate| candidate.is_seed);
        1 + if self.peers.is_empty() {
            seeds.count()
        } else {
            peers.filter(|peer| !peer.header.is_draining).count()
        }
    }

    /// Whether the last that was heard of a peer, live or not, is that it drains.
    pub fn is_known_draining(&self, instance: &str) -> bool {
        self.peers.get(instance).is_some_and(|peer| peer.header.is_draining)
    }

    /// Returns the peers that ceased to be live since the last call.
    pub fn newly_lost(&mut self, now: Millis) -> Vec<Name> {
        let running_now = self.running_now(now);
        let is_silent = |peer: &PeerState| {
            let silence = running_now.saturating_sub(peer.received_at);
            !peer.is_lost && silence > self.liveness_timeout_of(&peer.header.domain)
        };
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let lost: Vec<Name> = silent.map(|(name, _)| Name::clone(name)).collect();
        for name in &lost {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.is_lost = true;
            }
        }
        lost
    }

    /// Whether a task that one router does for all, named by `key`, is up to this router. No
    /// router that hears less than half of those that it knows is elected.
    pub fn elects_self(&self, key: &str, now: Millis) -> bool {
        let own_rank = stable_hash(&[key, &self.own_origin.instance]);
        let mut live = 1;
        let mut is_first = true;
        for view in self.live(now) {
            live += 1;
            is_first &= own_rank < stable_hash(&[key, &view.origin.instance]);
        }
        is_first && live * 2 > self.peers.len() + 1
    }

    /// Returns up to `max_addresses` caller addresses of live routers that accept
    /// requests. If there are any in the failure domain `domain`, returns only
    /// those. `own` is the failure domain and address of this router, `None` while
    /// it takes no callers; peers for which `is_avoided` holds are left out.
    pub fn caller_addresses(
        &self,
        domain: &str,
        own: Option<(&str, SocketAddr)>,
        max_addresses: usize,
        is_avoided: impl Fn(&MemberView) -> bool,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let mut same_domain = Vec::new();
        let mut other_domains = Vec::new();
        if let Some((own_domain, address)) = own {
            if own_domain == domain {
                same_domain.push(address)
            } else {
                other_domains.push(address)
            }
        }
        for view in self.live(now).filter(|view| !view.is_draining && !is_avoided(view)) {
            let address = view.addresses.callers;
            if &*view.domain == domain {
                same_domain.push(address)
            } else {
                other_domains.push(address)
            }
        }
        let mut chosen = if same_domain.is_empty() { other_domains } else { same_domain };
        chosen.truncate(max_addresses);
        chosen
    }
}
