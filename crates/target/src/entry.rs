//! Published properties of a target.

use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    Serving,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
}

/// One published target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    pub id: Name,
    /// Differs between two starts of a target with the same id: the Unix time of
    /// the start in milliseconds, if the target publishes it.
    pub incarnation: u64,
    pub service: Name,
    pub address: SocketAddr,
    pub failure_domain: Name,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    pub state: TargetState,
    /// Remaining time in milliseconds for which the target is cold: slower than usual after its
    /// start, as of the time when the entry was written.
    pub warm_up_ms: u64,
    /// Version of the target's software, not of its weights. What two versions write does not
    /// fit together. Routers tell each other beside the entry, as earlier ones do not know it;
    /// empty if none told.
    #[serde(skip)]
    pub software_version: Name,
}
