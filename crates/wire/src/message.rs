//! Messages about documents and idempotency keys, and the check of the shared
//! secret.

use base::Name;
use serde::{Deserialize, Serialize};

/// HTTP header that carries the secret shared by all routers.
pub const SECRET_HEADER: &str = "x-poplar-secret";

/// A configuration document that one router sends to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DocumentCopy {
    pub revision: u64,
    pub text: String,
}

/// Asks the router that issued an idempotency key for the outcome of its call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyQuery {
    pub account: Name,
    pub key: Name,
}

/// The outcome of a call, as known to the router that issued its idempotency
/// key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeyResponse {
    /// The call never ran, and the issuer will refuse to run it.
    Sealed,
    /// The call ran; the target's response is included.
    Done { status: u16, body: Vec<u8> },
    /// The call may have run.
    Unknown,
    /// The call was refused before it was sent to a target.
    NotRun,
}

/// Compares two secrets in a time that does not depend on their contents.
pub fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && differing == 0
}
