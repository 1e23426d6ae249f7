//! Idempotency keys: at most one execution for each key in the whole fleet.
//!
//! A key contains the router incarnation that issued it. Only that incarnation
//! may run a call under the key, and it loses that right together with its
//! record of the key when it ends, so no partition, restart or pause can cause a
//! second execution.

mod store;

pub use store::{KEY_LIFETIME, KeyDecision, KeyOutcome, KeyStore};
