//! The peers that know which version began a stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::{Name, mix_hashes, stable_hash};

use crate::records::StreamKey;

/// One incarnation of a router that remembers streams.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamHolder {
    /// For short messages between routers.
    pub address: SocketAddr,
    /// Differs after a restart, by which what it was told is lost.
    incarnation: u64,
}

/// The holders that were told of one stream.
///
/// Invariant: a holder counts as told only once a message to it was handed to the system, and the
/// stream is pending while one to any holder was not.
#[derive(Clone, Debug, Default)]
pub struct ToldHolders {
    told: Vec<StreamHolder>,
    is_pending: bool,
}

impl ToldHolders {
    /// Returns which of the holders are to be told, which is tried now.
    pub fn begin(&mut self, holders: Vec<StreamHolder>) -> Vec<StreamHolder> {
        self.is_pending = false;
        holders.into_iter().filter(|holder| !self.told.contains(holder)).collect()
    }

    /// Records whether the message to a holder was sent.
    pub fn record(&mut self, holder: StreamHolder, is_sent: bool) {
        self.is_pending |= !is_sent;
        if is_sent && !self.told.contains(&holder) {
            self.told.push(holder);
        }
    }

    /// Whether a holder is to be told again.
    pub fn is_pending(&self) -> bool {
        self.is_pending
    }
}

/// A live router that may be a holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderPeer {
    hash: u64,
    domain: Name,
    holder: StreamHolder,
}

impl HolderPeer {
    pub fn new(instance: &str, domain: Name, address: SocketAddr, incarnation: u64) -> Self {
        let holder = StreamHolder { address, incarnation };
        Self { hash: stable_hash(&["holder", instance]), domain, holder }
    }
}

/// Returns up to `count` holders of a stream: the first of each failure domain by rendezvous
/// hashing, then those that come next. Routers that know nearly the same peers choose nearly the
/// same holders.
pub fn choose_holders(key: StreamKey, peers: &[HolderPeer], count: usize) -> Vec<StreamHolder> {
    let weight = |peer: &HolderPeer| (mix_hashes(peer.hash, key.hash()), peer.holder);
    let mut first: BTreeMap<&Name, (u64, StreamHolder)> = BTreeMap::new();
    for peer in peers {
        let best = first.entry(&peer.domain).or_insert(weight(peer));
        *best = (*best).max(weight(peer));
    }
    let mut chosen: Vec<(u64, StreamHolder)> = first.into_values().collect();
    chosen.sort_by_key(|holder| std::cmp::Reverse(*holder));
    chosen.truncate(count);
    while chosen.len() < count.min(peers.len()) {
        let others = peers.iter().map(weight).filter(|holder| !chosen.contains(holder));
        chosen.extend(others.max());
    }
    chosen.into_iter().map(|(_, holder)| holder).collect()
}
