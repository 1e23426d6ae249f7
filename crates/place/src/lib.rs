//! Placement of model versions on engines.
//!
//! What each engine should hold is a function of the document and the
//! published list alone ([`assign_versions`]), so that two routers which both believe
//! they own an engine want the same. Orders ([`plan_orders`]) bring engines
//! there a few at a time, without going below the service's floor.

mod assignment;
mod order;

pub use assignment::assign_versions;
pub use order::{
    EngineOrder, EngineReport, OrderReason, OrderSettings, fencing_token, plan_orders,
};
