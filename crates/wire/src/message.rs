//! Messages that belong to no single area.

use base::Name;
use serde::{Deserialize, Serialize};

/// HTTP header with the shared secret.
pub const SECRET_HEADER: &str = "x-poplar-secret";

/// A document as one router passes it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DocumentCopy {
    pub revision: u64,
    pub text: String,
}

/// Asks the router that issued a key what became of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyQuery {
    pub account: Name,
    pub key: Name,
}

/// What became of a key at the router that issued it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeyResponse {
    /// Never ran and never will.
    Sealed,
    /// Ran; the answer of the target follows.
    Done { status: u16, body: Vec<u8> },
    /// May have run.
    Unknown,
    /// Was refused before it was sent.
    NotRun,
}

/// Compares secrets in a time that does not depend on their content.
pub fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && differing == 0
}
