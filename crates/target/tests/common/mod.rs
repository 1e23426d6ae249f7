//! Helpers shared by the tests.

use std::net::SocketAddr;

use target::{TargetEntry, TargetState};

pub const SERVICE: &str = "model";

/// Returns an entry of [`SERVICE`] at a fixed address.
pub fn entry(id: &str, incarnation: u64, state: TargetState) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        incarnation,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        failure_domain: "a".into(),
        slots: 4,
        state,
        warm_up_ms: 0,
        software_version: "v1".into(),
    }
}
