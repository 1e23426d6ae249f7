//! What a ledger remembers of routers and grants.

use std::collections::BTreeMap;

use base::{Millis, Name, Origin};

use crate::message::Grant;

#[derive(Clone, Debug)]
pub(super) struct QueueBook {
    pub(super) depth: u32,
    /// When the first request began to wait, by this process's clock.
    pub(super) head_since: i64,
    /// Grants sent for this queue that the router has not confirmed.
    pub(super) promised: u32,
}

#[derive(Clone, Debug)]
pub(super) struct RouterBook {
    pub(super) origin: Origin,
    pub(super) last_seq: u64,
    pub(super) heard_at: Millis,
    pub(super) reachable: bool,
    pub(super) queues: BTreeMap<Name, QueueBook>,
    pub(super) marks: BTreeMap<Name, TotalMark>,
    pub(super) faults: BTreeMap<Name, u32>,
    pub(super) outbox: Vec<Grant>,
    /// The router is to hear that slots are contended.
    pub(super) notice: bool,
    pub(super) snapshot_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TotalMark {
    pub(super) charged: f64,
    pub(super) done: u64,
    pub(super) done_cost: f64,
}

#[derive(Clone, Debug)]
pub(super) struct GrantRecord {
    pub(super) router: Name,
    pub(super) account: Option<Name>,
    pub(super) estimate: f64,
    /// The router has confirmed that it received the grant.
    pub(super) seen: bool,
    /// A float that no request uses.
    pub(super) idle: bool,
    pub(super) issued_at: Millis,
}
