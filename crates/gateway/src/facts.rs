//! Messages between gateways beside the membership's own.

use admit::AccountDemand;
use base::{Millis, Name};
use route::RouteTable;
use serde::{Deserialize, Serialize};
use target::{InFlightLoad, TargetIdHash, TargetRecord};

/// Largest datagram of a beat, in bytes: below the usual packet size.
pub(crate) const MAX_BEAT_BYTES: usize = 1_400;
/// Largest answer between routers, in bytes.
pub(crate) const MAX_CHANGES_BYTES: usize = 16 << 20;
/// Path of the exchange of changes.
pub(crate) const CHANGES_PATH: &str = "/peer/v1/changes";

/// What a router says of demand and load in each beat.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct LoadFacts {
    pub(crate) accounts: Vec<(Name, AccountDemand)>,
    pub(crate) targets: Vec<(TargetIdHash, InFlightLoad)>,
}

/// Asks a peer for what it knows beyond a revision.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangesQuestion {
    pub(crate) after: u64,
    /// Version of the configuration that the asking router has.
    pub(crate) version: Option<u64>,
}

/// What a router knows beyond a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangesAnswer {
    /// Revision up to which it is complete.
    pub(crate) revision: u64,
    pub(crate) table: Option<RouteTable>,
    pub(crate) records: Vec<TargetRecord>,
    /// Milliseconds since the source came back after it had been away.
    pub(crate) source_back_age: Option<Millis>,
}
