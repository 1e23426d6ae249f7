//! What a router says of itself to its peers, in one datagram.

use std::net::SocketAddr;

use base::{Millis, Name, Origin};
use serde::{Deserialize, Serialize};

/// Where a router is reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAddresses {
    /// Beats, as datagrams.
    pub beats: SocketAddr,
    /// Exchanges between routers, over HTTP.
    pub peers: SocketAddr,
    /// Callers.
    pub callers: SocketAddr,
}

/// What a router knows from the configuration source.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SourceView {
    /// Revision up to which its view is complete; 0 before the first.
    pub revision: u64,
    /// Milliseconds since it last heard from the source itself; none when it
    /// does not read.
    pub read_age: Option<Millis>,
}

/// The part of a beat that the membership needs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatHeader {
    pub origin: Origin,
    /// Rises with each beat of an incarnation.
    #[serde(rename = "count")]
    pub sequence: u64,
    pub domain: Name,
    pub addresses: PeerAddresses,
    /// Finishes its requests and takes nothing new.
    pub is_draining: bool,
    pub source: SourceView,
    /// Heartbeat addresses of some other routers that it heard lately.
    #[serde(rename = "others")]
    pub known_peers: Vec<SocketAddr>,
}

/// A whole beat; `F` is what it says of load and demand.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat<F> {
    #[serde(rename = "head")]
    pub header: HeartbeatHeader,
    #[serde(rename = "facts")]
    pub payload: F,
}
