//! Messages between a router and the grantor of a service.

use base::{Name, Origin, stable_hash};
use serde::{Deserialize, Serialize};

/// Identifier of a grant, unique across the fleet. The upper 32 bits identify
/// the incarnation of the grantor, the lower 32 bits count its grants to any
/// router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GrantId(pub u64);

impl GrantId {
    /// Returns the identifier of the `seq`-th grant of `grantor`.
    pub fn new(grantor: &Origin, seq: u32) -> Self {
        Self((u64::from(Self::origin_tag(grantor)) << 32) | u64::from(seq))
    }

    /// Returns the position in the grantor's sequence.
    pub fn seq(self) -> u32 {
        self.0 as u32
    }

    /// Returns whether this incarnation of `grantor` issued the grant.
    pub fn is_from(self, grantor: &Origin) -> bool {
        (self.0 >> 32) as u32 == Self::origin_tag(grantor)
    }

    fn origin_tag(grantor: &Origin) -> u32 {
        let incarnation = grantor.incarnation.to_string();
        stable_hash(&[&grantor.instance, &incarnation]) as u32
    }
}

/// A grantor's permission to send one request to one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    pub id: GrantId,
    /// Account that may use the grant. `None` for a spare grant, which the
    /// router holds in advance for the next request of any account; operators
    /// see it as a "float".
    pub account: Option<Name>,
    pub target: Name,
    /// Estimated cost of the request, charged at dispatch, in cost units.
    pub estimate: f64,
}

/// Waiting requests of one account at one router.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueState {
    pub account: Name,
    pub depth: u32,
    /// Time for which the oldest one has waited, in milliseconds.
    pub head_age: u64,
}

/// Charges of one account at one router since that router started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountTotal {
    pub account: Name,
    /// Settled cost plus the charges of requests in progress, in cost units.
    pub charged: f64,
    /// Number of requests that ended.
    pub done: u64,
    /// Cost of the requests that ended, in cost units.
    pub done_cost: f64,
}

/// A slot that the router uses by a grant of another grantor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForeignSlot {
    pub id: GrantId,
    pub target: Name,
}

/// Charges of one account in a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotEntry {
    pub account: Name,
    /// Charged cost over weight, including the amount by which the account was
    /// raised when it became backlogged.
    pub virtual_cost: f64,
    /// Estimated cost of one request, in cost units.
    pub estimate: f64,
}

/// Charges counted by a grantor. Routers keep a copy from which a new grantor
/// continues.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    pub grantor: Origin,
    pub seq: u64,
    pub entries: Vec<SnapshotEntry>,
    /// Demand of each router, as a sum of account weights, when all routers were
    /// last reachable.
    pub demand: Vec<(Name, f32)>,
}

/// State from which a new grantor continues. A router sends it until the
/// grantor acknowledges a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Baseline {
    pub snapshot: Snapshot,
    /// Charges by account that the snapshot's grantor had acknowledged to this
    /// router.
    pub acked: Vec<(Name, f64)>,
}

/// Complete state of a router for the grantor of one service.
///
/// Invariant: a report replaces every earlier one of the same origin, so lost,
/// duplicated and reordered reports need no special handling.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
    pub from: Origin,
    pub service: Name,
    /// Sequence number, which increases with each report of this origin.
    pub seq: u64,
    /// Queues of the accounts with waiting requests; an absent account has none.
    pub queues: Vec<QueueState>,
    /// Grants of this grantor that requests use.
    pub held: Vec<GrantId>,
    /// Spare grants of this grantor that no request uses.
    pub idle: Vec<GrantId>,
    /// Slots that requests use by grants of other grantors.
    pub foreign: Vec<ForeignSlot>,
    /// Highest grant sequence number received from this grantor.
    pub seen: u32,
    /// Totals that this grantor has not acknowledged yet.
    pub totals: Vec<AccountTotal>,
    /// Failed sends by target since the router started.
    pub faults: Vec<(Name, u32)>,
    pub baseline: Option<Baseline>,
}

/// Message from a grantor to one router, unprompted or in reply to a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantPush {
    pub grantor: Origin,
    pub service: Name,
    pub grants: Vec<Grant>,
    /// Whether more requests wait than there are free slots. The router must then
    /// return unused spare grants and report a freed slot at once.
    pub contended: bool,
    /// Sequence number of the report that this message answers; `None` if it is
    /// unprompted.
    pub answers: Option<u64>,
    pub snapshot: Option<Snapshot>,
}
