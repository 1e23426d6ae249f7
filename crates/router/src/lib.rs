//! The router daemon. It accepts requests from callers, divides the targets'
//! slots fairly among accounts together with the other routers, and forwards
//! each request to a target itself. The gateway, in the crate `gateway`, is a
//! separate program.

mod accept;
mod address;
mod caller;
mod client;
mod context;
mod core;
mod decision;
mod granting;
mod heartbeat;
mod held;
mod lifecycle;
mod list;
mod load;
mod peer;
mod permit;
mod placing;
mod plain;
mod refusal;
mod retries;
mod run;
mod settings;
mod signals;
mod sse;
mod status;
mod stream;
mod taken_body;
mod target_client;
mod threads;
mod watch;

pub use run::run;
pub use settings::RouterSettings;
