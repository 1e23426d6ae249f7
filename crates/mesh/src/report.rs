//! Report of a failure domain, which one of its routers sends to a router of another domain.

use base::{Millis, Name, Origin, stable_hash};
use serde::{Deserialize, Serialize};

use crate::heartbeat::HeartbeatHeader;

/// Low 32 bits of a hash of an incarnation of a router. Identifies it in reports, which have to
/// fit into a datagram. A peer with the tag of another one would count as live with it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SightingTag(u32);

impl SightingTag {
    pub fn new(origin: &Origin) -> Self {
        let incarnation = origin.incarnation.to_string();
        Self(stable_hash(&[&origin.instance, &incarnation]) as u32)
    }
}

/// A live router as another one of its failure domain hears it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerSighting {
    pub tag: SightingTag,
    /// Sequence number of its newest heartbeat.
    pub sequence: u64,
    /// Milliseconds since that arrived.
    pub age: Millis,
}

/// Asks a router for a report of its failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportRequest {
    /// That of the sender.
    pub header: HeartbeatHeader,
    /// Incarnations that an earlier report named and whose headers the sender lacks.
    pub unknown: Vec<SightingTag>,
}

/// The routers of a failure domain as one of them hears them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainMembers {
    pub domain: Name,
    /// Those that the sender hears. They count as live as long as their sequence numbers rise.
    pub sightings: Vec<PeerSighting>,
    /// That of the sender, those that were asked for, and some others, different ones each time.
    pub headers: Vec<HeartbeatHeader>,
}
