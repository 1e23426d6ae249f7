//! Messages between routers about crashes.

use base::{Millis, stable_hash};
use serde::{Deserialize, Serialize};

use crate::identity::{PartKey, VersionHash};

/// One run of a target, from its start to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRun {
    /// Hashes of the target's id and of its incarnation.
    run: u64,
    /// Software version of the target.
    pub(crate) version: VersionHash,
}

impl TargetRun {
    pub fn new(target: &str, incarnation: u64, version: VersionHash) -> Self {
        let target = stable_hash(&[target]) << 32;
        let incarnation = stable_hash(&[&incarnation.to_string()]) >> 32;
        Self { run: target | incarnation, version }
    }

    pub(crate) fn is_same_target(self, other: Self) -> bool {
        self.run >> 32 == other.run >> 32
    }
}

/// A response that broke off as it began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Identifies the process of the router that saw it.
    pub origin: u64,
    /// Increases with each report of the process.
    pub sequence: u64,
    /// The run of a target that ended.
    pub target: TargetRun,
    /// Milliseconds since the crash.
    pub age: Millis,
    /// Parts of the prompt that are not known to be sound at the target's version.
    pub parts: Vec<u64>,
}

/// A part in quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartVerdict {
    pub key: PartKey,
    /// Parts that were in every prompt under which a target crashed; only requests with all
    /// of them are withheld.
    pub companions: Vec<u64>,
    /// Milliseconds until the next trial.
    pub remaining: Millis,
    pub trials: u32,
}

/// What a router tells its peers about crashes. Bounded, so that it fits into a heartbeat.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineNotice {
    pub reports: Vec<CrashReport>,
    /// Parts that peers suspect and that got a complete response.
    pub sound: Vec<PartKey>,
    pub verdicts: Vec<PartVerdict>,
}

impl QuarantineNotice {
    /// Whether the notice has crashes or sound parts that were seen just now. Verdicts are
    /// repeated for as long as they hold.
    pub fn has_news(&self) -> bool {
        !self.reports.is_empty() || !self.sound.is_empty()
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.sound.is_empty() && self.verdicts.is_empty()
    }
}
