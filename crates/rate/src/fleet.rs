//! The fleet as one router sees it, and the election of issuers.

use std::net::SocketAddr;

use base::{mix_hashes, stable_hash};

use crate::key::RateKey;

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
}

impl FleetView {
    pub fn new(instance: &str, is_candidate: bool, live: Vec<LivePeer>, known: usize) -> Self {
        let known = known.max(live.len() + 1);
        Self { own_hash: stable_hash(&[instance]), is_candidate, live, known }
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
