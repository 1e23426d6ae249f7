//! Heartbeat messages.

use base::{Name, Origin};
use serde::{Deserialize, Serialize};

/// What is known of one life of a router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    pub origin: Origin,
    /// Raised by that life itself, to refute a suspicion or to announce that
    /// it drains.
    pub count: u64,
    /// Takes no new work.
    pub draining: bool,
    /// Somebody could not reach it.
    pub suspect: bool,
}

/// What one router tells another in a heartbeat and in its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's own beat comes first.
    #[serde(rename = "beats")]
    pub updates: Vec<MemberUpdate>,
    /// Routers of which the sender knows a life.
    pub known: u32,
    /// Revision in force at the sender; 0 for none.
    pub revision: u64,
    /// Targets that the sender knows as leaving.
    pub leaving: Vec<Name>,
}
