//! Routes, services and client accounts of one published configuration, and
//! which version of it is in force. Pure; no network.

mod table;
mod version;

pub use table::{
    CallKind, CallerLimits, EngineSpec, HostRoutes, RouteSpec, RouteTable, RouteTableBuilder,
    ServiceSpec, WeightedService,
};
pub use version::{VersionGate, VersionVerdict};
