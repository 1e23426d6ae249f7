//! Starts fleets of routers with stand-ins and drives callers against them, for
//! the demo, the measurements and the tests.

mod caller;
mod demo;
mod driver;
mod fault;
mod latency;
mod launch;
mod measure;
mod oracle;
mod plan;
mod ports;
mod random;
mod scenario;
mod slopes;
mod slow_crowd;
mod tracker;

pub use caller::{CallEnd, HttpCaller, StreamResult, credential};
pub use demo::run_demo;
pub use latency::run_latency;
pub use launch::{
    ChildProcess, RunningFleet, RunningRouter, RunningTarget, SECRET, binary_path,
    set_inherited_signals, with_blocked_signals,
};
pub use measure::{MeasureOptions, run_measure};
pub use plan::{ExampleSite, FleetPlan};
pub use ports::{PORT_RANGE, free_address};
pub use scenario::scenario_names;
pub use slopes::run_slopes;
pub use slow_crowd::{ConnectedCrowd, ProcessUse, ReadPace, SlowCrowd, UseSampler};
