//! Reports of failure domains: whom to ask, what to say of the own domain, and what follows
//! from those of others.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use base::{Millis, Name, stable_hash};

use super::{MemberTable, PeerState};
use crate::heartbeat::HeartbeatHeader;
use crate::report::{DomainMembers, PeerSighting, SightingTag};

/// Headers in one report of a failure domain, so that it fits into a datagram.
const MAX_REPORTED_HEADERS: usize = 4;
/// Most routers of another failure domain that are asked for a report at once.
const MAX_ASKED: u64 = 3;
/// Time in milliseconds between two failed reads of the source in a failure domain, while all
/// its routers try.
const DOMAIN_RETRY_MS: Millis = 30;
/// Longest time in milliseconds between two failed reads of one router.
const MAX_RETRY_MS: Millis = 1_800;

impl MemberTable {
    /// Whether heartbeats stay within the failure domain and others are known by reports.
    pub fn uses_reports(&self) -> bool {
        self.own_domain.is_some() && self.peers.len() > self.settings.max_direct_peers
    }

    /// Returns the addresses of all peers of other failure domains that get no regular
    /// heartbeats, for news that is urgent.
    pub fn distant_receivers(&self) -> Vec<SocketAddr> {
        if !self.uses_reports() {
            return Vec::new();
        }
        let peers = self.peers.values();
        let distant = peers.filter(|peer| self.own_domain.as_ref() != Some(&peer.header.domain));
        distant.map(|peer| peer.header.addresses.beats).collect()
    }

    /// Returns the peers to ask for reports of their failure domains: one of each, other ones
    /// each time, and more of a domain whose reports fail to arrive.
    ///
    /// With each peer, returns the incarnations whose headers it should send.
    pub fn report_partners(&mut self, now: Millis) -> Vec<(SocketAddr, Vec<SightingTag>)> {
        if !self.uses_reports() {
            return Vec::new();
        }
        let mut live_by_domain: BTreeMap<Name, Vec<SocketAddr>> = BTreeMap::new();
        for view in self.live(now).filter(|view| !view.is_draining) {
            live_by_domain.entry(view.domain).or_default().push(view.addresses.beats);
        }
        let mut by_domain: BTreeMap<Name, Vec<SocketAddr>> = BTreeMap::new();
        for peer in self.peers.values() {
            let domain = &peer.header.domain;
            // A domain of which nobody is heard may be within reach again.
            if !live_by_domain.contains_key(domain) {
                let addresses = by_domain.entry(Name::clone(domain)).or_default();
                addresses.push(peer.header.addresses.beats);
            }
        }
        by_domain.append(&mut live_by_domain);
        by_domain.retain(|domain, _| self.own_domain.as_ref() != Some(domain));
        self.report_round += 1;
        let start = stable_hash(&[&self.own_origin.instance]) as usize;
        let start = start.wrapping_add(self.report_round.wrapping_mul(MAX_ASKED as usize));
        let interval = self.heartbeat_interval().max(1);
        let mut partners = Vec::new();
        for (domain, addresses) in by_domain {
            let reported_at = self.reported_at.get(&domain);
            let age = reported_at.map_or(0, |at| now.saturating_sub(*at));
            let missed = (age + interval / 2) / interval;
            let count = missed.clamp(1, MAX_ASKED).min(addresses.len() as u64) as usize;
            for index in 0..count {
                let partner = addresses[start.wrapping_add(index) % addresses.len()];
                partners.push((partner, self.unknown.get(&domain).cloned().unwrap_or_default()));
            }
        }
        partners
    }

    /// Returns the routers of this failure domain that this router hears itself, led by
    /// `own_header`, with the headers of `wanted` first; `None` if it does not know its failure
    /// domain.
    pub fn domain_members(
        &mut self,
        own_header: HeartbeatHeader,
        wanted: &[SightingTag],
        now: Millis,
    ) -> Option<DomainMembers> {
        let domain = Name::clone(self.own_domain.as_ref()?);
        let names = self.domain_names(now);
        let near: Vec<&PeerState> = names.iter().filter_map(|name| self.peers.get(name)).collect();
        let running_now = self.running_now(now);
        let sightings = near.iter().map(|peer| PeerSighting {
            tag: peer.tag,
            sequence: peer.header.sequence,
            age: running_now.saturating_sub(peer.received_at),
        });
        let sightings = sightings.collect();
        let count = near.len().min(MAX_REPORTED_HEADERS);
        let in_turn = near.iter().cycle().skip(self.next_header % near.len().max(1));
        let wanted = near.iter().filter(|peer| wanted.contains(&peer.tag));
        let headers = wanted.chain(in_turn).take(count).map(|peer| {
            let known_peers = Vec::new();
            HeartbeatHeader { known_peers, ..peer.header.clone() }
        });
        let headers = std::iter::once(own_header).chain(headers).collect();
        self.next_header = self.next_header.wrapping_add(count);
        Some(DomainMembers { domain, sightings, headers })
    }

    /// Returns the time in milliseconds after which this router reads a source again that it
    /// failed to read, such that the attempts of the failure domain together stay few; 0 unless
    /// the fleet is large.
    pub fn shared_retry_ms(&self, now: Millis) -> Millis {
        if !self.uses_reports() {
            return 0;
        }
        let trying = 1 + self.domain_names(now).len() as u64;
        (trying * DOMAIN_RETRY_MS).min(MAX_RETRY_MS)
    }

    /// Returns the names of the live peers of this failure domain.
    pub fn domain_names(&self, now: Millis) -> Vec<Name> {
        let near = self.live(now).filter(|view| self.own_domain.as_ref() == Some(&view.domain));
        near.map(|view| view.origin.instance).collect()
    }

    /// Records which routers of another failure domain one of them hears; returns the peers
    /// that were lost before. A peer counts as heard if the report has a newer heartbeat of it.
    pub fn record_sightings(&mut self, report: &DomainMembers, now: Millis) -> Vec<Name> {
        self.reported_at.insert(Name::clone(&report.domain), now);
        let sightings = report.sightings.iter().map(|sighting| (sighting.tag, *sighting));
        let mut sightings: HashMap<SightingTag, PeerSighting> = sightings.collect();
        let mut found = Vec::new();
        let peers = self.peers.iter_mut().filter(|(_, peer)| peer.header.domain == report.domain);
        for (name, peer) in peers {
            let Some(sighting) = sightings.remove(&peer.tag) else { continue };
            if sighting.sequence <= peer.header.sequence {
                continue;
            }
            peer.header.sequence = sighting.sequence;
            peer.received_at = peer.received_at.max(now.saturating_sub(sighting.age));
            if std::mem::replace(&mut peer.is_lost, false) {
                found.push(Name::clone(name));
            }
        }
        let unknown = sightings.into_keys().take(MAX_REPORTED_HEADERS).collect();
        self.unknown.insert(Name::clone(&report.domain), unknown);
        found
    }

    /// Whether the failure domain `domain` is known by a report, so that the demand and load
    /// of its routers are part of that.
    pub fn has_report(&self, domain: &str, now: Millis) -> bool {
        let max_age = self.liveness_timeout();
        self.reported_at.get(domain).is_some_and(|at| now.saturating_sub(*at) <= max_age)
    }

    /// Returns the names of the known peers of a failure domain.
    pub fn names_in(&self, domain: &str) -> Vec<Name> {
        let peers = self.peers.iter().filter(|(_, peer)| &*peer.header.domain == domain);
        peers.map(|(name, _)| Name::clone(name)).collect()
    }
}
