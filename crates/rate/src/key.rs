//! Identifies a target in messages between routers.

use base::stable_hash;
use serde::{Deserialize, Serialize};

/// Low 32 bits of the hash of a target's id and incarnation, as messages have to fit into a
/// datagram. A target that starts again gets a new key, so that what was known of it before
/// no longer counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RateKey(u32);

impl RateKey {
    pub fn new(target: &str, incarnation: u64) -> Self {
        Self(stable_hash(&[target, &incarnation.to_string()]) as u32)
    }

    /// Returns the key for rendezvous hashing.
    pub(crate) fn hash(self) -> u64 {
        u64::from(self.0)
    }
}
