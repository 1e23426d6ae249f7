//! Routes, services and client accounts of a published configuration, and the
//! version of it that is in force. Does no I/O.

mod encoded;
mod moves;
mod table;
mod version;

pub use encoded::EncodedTable;
pub use moves::StreamMoves;
pub use table::{
    CallKind, CallerLimits, ColdSpec, EngineSpec, HostRoutes, RouteSpec, RouteTable,
    RouteTableBuilder, ServiceSpec, WeightedService,
};
pub use version::{VersionGate, VersionVerdict};
