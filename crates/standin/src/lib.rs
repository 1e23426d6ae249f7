//! Stand-ins for the services around the routers: the configuration service,
//! the instance list, model engines and plain services.
//!
//! No production crate depends on this one.

mod cli;
mod config;
mod engine;
mod pass;
mod plain;
mod serve;

pub use cli::run;
