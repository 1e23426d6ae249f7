//! The gateway: takes callers' requests by route, shares the targets fairly
//! between client accounts over the fleet, and sends each request itself.
//!
//! `pipeline` shows the way of a request from top to bottom. A platform is met
//! through the traits of `port`.

mod beats;
mod call;
mod context;
mod events;
mod facts;
mod follow;
mod headers;
mod pipeline;
mod port;
mod refusal;
mod relay;
mod reload;
mod report;
mod run;
mod sampling;
mod send;
mod serve;
mod settings;
mod share;
mod view;
mod worker;

pub use port::{
    AddressQuery, CallFormat, CallMetadata, ForwardedMetadata, ResponseMetadata, SourceError,
    SourceUpdate, StateSource,
};
pub use run::run;
pub use settings::{BoundSettings, GatewaySettings, ListenSettings};
