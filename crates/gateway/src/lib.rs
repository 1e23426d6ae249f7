//! The gateway: matches callers' requests to routes, shares the targets fairly
//! among client accounts across the fleet, and sends each request to a target.
//! In this crate, a router is a process that runs the gateway, not the router
//! daemon of the crate `router`.
//!
//! `pipeline` shows how a request is processed, from start to end. The traits in
//! `platform` adapt the gateway to a platform.

mod accept;
mod answers;
mod beats;
mod body;
mod broken;
mod buffered;
mod call;
mod cold;
mod configuration;
mod context;
mod crashes;
mod domains;
mod downtime;
mod exchange;
mod fetch;
mod follow;
mod headers;
mod heap;
mod held;
mod life;
mod messages;
mod offers;
mod open;
mod parts;
mod permits;
mod pipeline;
mod platform;
mod reader;
mod refusal;
mod relay;
mod reload;
mod report;
mod resources;
mod response_body;
mod retry;
mod rounds;
mod run;
mod sampling;
mod select;
mod send;
mod serve;
mod settings;
mod share;
mod signals;
mod stall;
mod stop;
mod streams;
mod view;
mod worker;

pub use admit::ResourceSettings;
pub use platform::{
    AddressQuery, CallFormat, CallMetadata, ForwardedMetadata, NamedLimit, ResponseMetadata,
    RetryDelay, SourceError, SourceUpdate, StateSource,
};
pub use run::run;
pub use settings::{AdmissionSettings, BoundSettings, GatewaySettings, ListenSettings};
pub use signals::ProcessSignals;
