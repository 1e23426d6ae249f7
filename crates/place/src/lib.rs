//! Placement of model versions on engines.
//!
//! The version that each engine should load depends only on the document and the
//! published list ([`assign_versions`]), so two routers that both believe they
//! own an engine compute the same assignment. Orders ([`plan_orders`]) bring
//! engines to this assignment a few at a time, without reducing the number of
//! serving engines below the service's floor.

mod assignment;
mod order;

pub use assignment::assign_versions;
pub use order::{
    EngineOrder, EngineReport, OrderReason, OrderSettings, fencing_token, plan_orders,
};
