//! Places requests by their likely cost and by the work that each target still has to do.
//!
//! Load pattern: 6 to 350 routers send to up to 3,200 targets, some dozens of requests a second
//! to each target. One router sends to a given target only every few seconds, so that it learns
//! neither the speed of the target nor its queue. The cost of requests differs by a factor of
//! more than ten, the speed of targets by more than two, and the speed of one target changes
//! several times a minute.
//!
//! Rendezvous hashing elects one live router per target as its work owner
//! ([`rate::FleetView::issuer`]). The owner keeps a [`WorkModel`] of the target. Before a request
//! is sent, its router asks the owners of a few candidates for offers ([`OfferRequest`]). An
//! owner places the request at once if its offer is good enough; otherwise the router takes the
//! best offer and tells that owner ([`PlacementNotice`]). First bytes, ends and reported loads
//! follow in batches ([`WorkReport`]).
//!
//! Owners neither admit nor refuse requests: an offer only orders or excludes candidates.
//!
//! Does no I/O.

mod cost;
mod decision;
mod demand;
mod message;
mod model;
mod owner;
mod parts;
mod report;
mod settings;

pub use cost::{InFlightWork, RequestCost, TargetSize};
pub use decision::{OfferChoice, ReceivedOffer};
pub use demand::PartDemand;
pub use message::{
    OfferOutcome, OfferRequest, OfferResponse, PlacementId, PlacementNotice, ReportedLoad,
    WorkEvent, WorkReport,
};
pub use model::{WorkEstimate, WorkModel};
pub use owner::WorkOwner;
pub use report::ReportBatches;
pub use settings::WorkSettings;
