//! Identity of requests that come again, and of parts at a version of the targets' software.

use std::ops::RangeInclusive;

use base::{hash_bytes, mix_hashes, stable_hash};
use serde::{Deserialize, Serialize};

/// Hash of a version of the targets' software.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VersionHash(u16);

impl VersionHash {
    pub fn new(version: &str) -> Self {
        Self(stable_hash(&[version]) as u16)
    }
}

/// A prompt part or a request at one software version. What one version completes proves
/// nothing of another one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartKey {
    pub part: u64,
    pub version: VersionHash,
}

impl PartKey {
    /// Returns the keys that a part may have.
    pub(crate) fn all_of(part: u64) -> RangeInclusive<Self> {
        let key = |version| Self { part, version: VersionHash(version) };
        key(u16::MIN)..=key(u16::MAX)
    }
}

/// Returns which of `suspects` a crash is evidence against. A part crashes a target as it begins to
/// write, a request at any time of its run.
pub fn crash_evidence(mut suspects: Vec<u64>, has_just_begun: bool) -> Vec<u64> {
    suspects.retain(|suspect| has_just_begun || is_request(*suspect));
    suspects
}

/// Tells the identity of a request from the id of a prompt part.
const REQUEST_BIT: u64 = 1 << 63;

/// Whether an id is the identity of a request and not a prompt part.
pub(crate) fn is_request(id: u64) -> bool {
    id & REQUEST_BIT != 0
}

/// Returns the id of a prompt part as the quarantine knows it.
pub fn part_identity(part: u64) -> u64 {
    part & !REQUEST_BIT
}

/// Returns what identifies a request that comes again, at any router and under another id:
/// its method, host, path, client account and body.
pub fn request_identity(
    method: &str,
    host: &str,
    path: &str,
    account: Option<&str>,
    body: &[u8],
) -> u64 {
    let head = stable_hash(&[method, host, path, account.unwrap_or_default()]);
    mix_hashes(head, hash_bytes(body)) | REQUEST_BIT
}
