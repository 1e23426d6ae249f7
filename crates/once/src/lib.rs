//! Idempotency keys: at most one run for each key, over the whole fleet.
//!
//! A key is issued by one life of one router and names it. Only that life
//! runs a call under the key, and its memory of the key dies together with
//! the right to run it; so no partition, restart or pause can run it twice.

mod store;

pub use store::{KEY_LIFETIME, KeyDecision, KeyOutcome, KeyStore};
