//! State that an allocator keeps for each router and grant.

use std::collections::BTreeMap;

use base::{Millis, Name, Origin};

use crate::message::Grant;

/// Queue of one account at one router.
#[derive(Clone, Debug)]
pub(super) struct QueueRecord {
    pub(super) depth: u32,
    /// When the oldest request began to wait, in milliseconds by this process's
    /// clock. Negative if that was before the clock started.
    pub(super) head_since: i64,
    /// Grants issued for this queue that the router has not confirmed.
    pub(super) unconfirmed: u32,
}

/// State of one incarnation of a router, by its last report.
#[derive(Clone, Debug)]
pub(super) struct RouterRecord {
    pub(super) origin: Origin,
    pub(super) last_seq: u64,
    pub(super) last_report_at: Millis,
    pub(super) reachable: bool,
    pub(super) queues: BTreeMap<Name, QueueRecord>,
    /// Last reported total of each account.
    pub(super) totals: BTreeMap<Name, LastTotal>,
    /// Last reported count of failed sends to each target.
    pub(super) faults: BTreeMap<Name, u32>,
    /// Grants that the next message to the router carries.
    pub(super) outbox: Vec<Grant>,
    /// Whether the router still has to be sent the current contention state.
    pub(super) notify_contended: bool,
    pub(super) last_snapshot_at: Option<Millis>,
}

/// Totals of one account by a router's last report, from which the next
/// report's differences are computed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastTotal {
    pub(super) charged: f64,
    pub(super) done: u64,
    pub(super) done_cost: f64,
}

/// A grant that occupies a slot.
#[derive(Clone, Debug)]
pub(super) struct GrantRecord {
    pub(super) router: Name,
    /// `None` for a spare grant and for a grant that this allocator adopted.
    pub(super) account: Option<Name>,
    pub(super) estimate: f64,
    /// Whether the router has confirmed that it received the grant.
    pub(super) confirmed: bool,
    /// Whether this is a spare grant that no request uses.
    pub(super) idle: bool,
    pub(super) issued_at: Millis,
}
