//! Shares the request rates that targets name over the whole fleet.
//!
//! Load pattern: a target in need names the requests per second that it takes from all
//! routers together, a few to some dozens. Requests for it come at any router, and with 90
//! routers each may send it less than one in four seconds. A fixed part for each router
//! rounds to nothing or, with one request of grace each, exceeds the limit by itself.
//!
//! How the rate is shared: rendezvous hashing elects one live router per target as its
//! issuer, which holds a token bucket. A router asks the issuer for a permit before it sends
//! a request to the target. The rate thereby follows demand, and no message is needed for
//! targets without a limit.
//!
//! Who may issue what, so that two issuers together stay near the limit:
//!
//! - the elected issuer, if it hears more than half of the known routers: the limit;
//! - the elected issuer of a minority: the part of the limit that corresponds to the routers
//!   that it hears;
//! - any other router that is asked, as the asking one has another view of the fleet: the
//!   part of one router.
//!
//! What is known of limits spreads with heartbeats and permits; the newest observation
//! counts, whoever made it.
//!
//! A target that is cold is limited too, under a hard bound: see [`ColdBounds`]. Its permits are
//! short-lived, and only a router that hears who else may issue issues any.
//!
//! Does no I/O.

mod bucket;
mod cold;
mod cold_issuer;
mod cold_permits;
mod facts;
mod fleet;
mod key;
mod limiter;
mod message;
mod settings;

pub use cold::{COLD_PERMIT_MS, ColdBounds, ColdLimit};
pub use cold_permits::{ColdAsk, ColdDecision, ColdGrant};
pub use facts::{LimitChange, LimitFact};
pub use fleet::{FleetView, LivePeer};
pub use key::RateKey;
pub use limiter::{PermitAsk, PermitDecision, RateLimiter, RequestClass};
pub use message::{
    ColdOutcome, ColdRequest, ColdResponse, LimitNotice, PermitOutcome, PermitRequest,
    PermitResponse,
};
pub use settings::RateSettings;
