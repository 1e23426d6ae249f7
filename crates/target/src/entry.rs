//! What a target says of itself.

use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    Serving,
    /// Finishes its requests and takes nothing new.
    Draining,
}

/// One published target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    pub id: Name,
    /// Differs between two starts under one id: Unix milliseconds of the start,
    /// where the target tells it.
    pub incarnation: u64,
    pub service: Name,
    pub address: SocketAddr,
    pub failure_domain: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    pub state: TargetState,
    /// Milliseconds for which it is slower than usual after its start, as of
    /// the entry's writing.
    pub warm_up_ms: u64,
}
