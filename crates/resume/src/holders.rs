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
