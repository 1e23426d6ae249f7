//! The fleet as one router sees it, and the election of issuers.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::{Millis, mix_hashes, stable_hash};

use crate::cold::IssuerRole;
use crate::key::RateKey;

/// Time in milliseconds after its start, or after a peer was lost, within which a router learns
/// who else may issue permits for cold targets: some intervals of heartbeats in the largest fleet.
const SETTLE_MS: Millis = 5_000;
/// Time in milliseconds for which a peer that is no longer heard, and did not say that it shuts
/// down, may be issuing permits for cold targets.
const MISSING_MS: Millis = 600_000;

/// A live router that accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LivePeer {
    /// Hash of its name, the same at all routers.
    hash: u64,
    /// Address to which requests for permits are sent.
    pub address: SocketAddr,
}

impl LivePeer {
    pub fn new(instance: &str, address: SocketAddr) -> Self {
        Self { hash: stable_hash(&[instance]), address }
    }
}

/// The routers that one router knows.
#[derive(Clone, Debug)]
pub struct FleetView {
    own_hash: u64,
    /// Whether this router may be elected; one that shuts down is not.
    is_candidate: bool,
    live: Vec<LivePeer>,
    /// Number of routers that may be running, including this one and those that are not
    /// heard; at least one more than `live` has.
    known: usize,
    /// Hashes of the names of live routers that shut down.
    draining: Vec<u64>,
    /// Number of routers that peers hear and this one does not.
    unheard: usize,
}

impl FleetView {
    pub fn new(instance: &str, is_candidate: bool, live: Vec<LivePeer>, known: usize) -> Self {
        let known = known.max(live.len() + 1);
        let own_hash = stable_hash(&[instance]);
        Self { own_hash, is_candidate, live, known, draining: Vec::new(), unheard: 0 }
    }

    /// Sets the names of the live routers that shut down, which issue nothing more.
    pub fn with_draining<'a>(self, instances: impl Iterator<Item = &'a str>) -> Self {
        let draining = instances.map(|instance| stable_hash(&[instance])).collect();
        Self { draining, ..self }
    }

    /// Sets the number of routers that peers hear and this one does not; the default is 0.
    pub fn with_unheard(self, unheard: usize) -> Self {
        Self { unheard, ..self }
    }

    /// Returns the address of the peer that is elected for a target, which issues its permits and
    /// keeps its work; `None` if this router is elected.
    pub fn issuer(&self, key: RateKey) -> Option<SocketAddr> {
        let weight = |hash| mix_hashes(hash, key.hash());
        let first = self.live.iter().max_by_key(|peer| weight(peer.hash))?;
        let is_own = self.is_candidate && weight(self.own_hash) > weight(first.hash);
        (!is_own).then_some(first.address)
    }

    /// Returns the part of a target's limit that this router issues.
    pub(crate) fn issued_fraction(&self, key: RateKey) -> f64 {
        let heard = self.live.len() + 1;
        if self.issuer(key).is_some() {
            return 1.0 / self.known as f64;
        }
        if heard * 2 > self.known { 1.0 } else { heard as f64 / self.known as f64 }
    }
}

/// What one router knows of all others that may issue permits for cold targets. Its clock starts
/// with its process.
#[derive(Debug)]
pub(crate) struct ColdFleet {
    view: FleetView,
    /// Routers that were heard, with the time at which they were no longer heard; `None` while
    /// they are.
    heard: HashMap<u64, Option<Millis>>,
}

impl ColdFleet {
    pub(crate) fn new(view: FleetView) -> Self {
        Self { view, heard: HashMap::new() }
    }

    pub(crate) fn update(&mut self, view: &FleetView, now: Millis) {
        for missing_at in self.heard.values_mut() {
            missing_at.get_or_insert(now);
        }
        for peer in &view.live {
            self.heard.insert(peer.hash, None);
        }
        for hash in &view.draining {
            self.heard.remove(hash);
        }
        let is_remembered =
            |at: Option<Millis>| at.is_none_or(|at| now.saturating_sub(at) < MISSING_MS);
        self.heard.retain(|_, missing_at| is_remembered(*missing_at));
        self.view = view.clone();
    }

    /// Returns which permits for a cold target this router issues. Two routers together issue no
    /// more than the bound, also if each of them believes to be elected.
    pub(crate) fn role(&self, key: RateKey, now: Millis) -> IssuerRole {
        let live = self.view.live.len();
        // Peers may still hear some of those that this router misses.
        let missing = self.heard.values().flatten().count();
        let never_heard = self.view.unheard.saturating_sub(missing);
        let known = self.view.known.max(self.heard.len() + 1) + never_heard;
        let knows_nobody = self.heard.is_empty() && known > 1;
        if now < SETTLE_MS || knows_nobody || self.view.issuer(key).is_some() {
            return IssuerRole::None;
        }
        let fraction = (live + 1) as f64 / known as f64;
        let own_weight = mix_hashes(self.view.own_hash, key.hash());
        let preferred = self.heard.iter().filter_map(|(hash, at)| Some((*hash, (*at)?)));
        let preferred = preferred.filter(|(hash, _)| mix_hashes(*hash, key.hash()) > own_weight);
        let lost: Vec<Millis> = preferred.map(|(_, missing_at)| missing_at).collect();
        let has_settled = |at: &Millis| now >= at + SETTLE_MS;
        // One that was never heard may be elected anywhere, as its name is not known.
        match lost.len() + never_heard {
            0 => IssuerRole::Elected { fraction },
            1 if fraction > 0.5 => IssuerRole::Second { fraction },
            // The majority on the other side of a cut has noticed it too by now.
            _ if never_heard == 0 && fraction <= 0.5 && lost.iter().all(has_settled) => {
                IssuerRole::Elected { fraction }
            }
            _ => IssuerRole::None,
        }
    }
}
