//! Heartbeat that a router sends to its peers, one datagram each.

use std::net::SocketAddr;

use base::{Millis, Name, Origin};
use serde::{Deserialize, Serialize};

/// Addresses of one router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAddresses {
    /// UDP address for heartbeats.
    pub beats: SocketAddr,
    /// HTTP address for requests of other routers.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// State of the configuration source as a router knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SourceView {
    /// Revision up to which the router has every change; 0 before the first update.
    pub revision: u64,
    /// Milliseconds since the source last responded to this router; `None` if the
    /// router does not read it.
    pub read_age: Option<Millis>,
}

/// Part of a heartbeat that the membership uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatHeader {
    pub origin: Origin,
    /// Increases with each heartbeat of an incarnation.
    #[serde(rename = "count")]
    pub sequence: u64,
    pub domain: Name,
    pub addresses: PeerAddresses,
    /// The router finishes its requests in flight and accepts no new ones.
    pub is_draining: bool,
    pub source: SourceView,
    /// Heartbeat addresses of some other live routers.
    #[serde(rename = "others")]
    pub known_peers: Vec<SocketAddr>,
}

/// Says that a router has just read the source. Sent between two heartbeats, whose interval
/// grows with the fleet, so that the others of the failure domain need not read it too.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SourceNotice {
    pub origin: Origin,
    /// Counted together with the heartbeats.
    pub sequence: u64,
    pub source: SourceView,
}

/// A complete heartbeat; `P` describes the load and demand of the sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat<P> {
    #[serde(rename = "head")]
    pub header: HeartbeatHeader,
    #[serde(rename = "facts")]
    pub payload: P,
}
