//! Heartbeat messages.

use base::{Name, Origin};
use serde::{Deserialize, Serialize};

/// Update about one incarnation of a router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    pub origin: Origin,
    /// Raised only by that incarnation itself, to refute a suspicion or to
    /// announce that it drains. The higher version is the newer update.
    #[serde(rename = "count")]
    pub version: u64,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Whether some router could not reach it.
    pub suspect: bool,
}

/// Payload of a heartbeat and of the reply to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Updates about routers, the one about the sender first.
    #[serde(rename = "beats")]
    pub updates: Vec<MemberUpdate>,
    /// Number of peers of which the sender knows an incarnation.
    pub known: u32,
    /// Revision in force at the sender; 0 if there is none.
    pub revision: u64,
    /// Instances that the sender knows to be leaving.
    pub leaving: Vec<Name>,
}
