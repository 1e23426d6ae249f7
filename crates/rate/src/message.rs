//! Messages between routers about limits.

use base::Millis;
use serde::{Deserialize, Serialize};

use crate::facts::LimitFact;
use crate::key::RateKey;
use crate::limiter::RequestClass;

/// What a router knows of some limits. It follows a heartbeat in the same datagram.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    pub facts: Vec<(RateKey, LimitFact)>,
}

impl LimitNotice {
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }
}

/// Asks an issuer whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Identifies the request for a permit at its router.
    pub number: u64,
    pub key: RateKey,
    /// What the router knows of the limit.
    pub fact: LimitFact,
    pub class: RequestClass,
}

/// Response to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitResponse {
    /// The number of the request.
    pub number: u64,
    /// What the issuer knows of the limit.
    pub fact: LimitFact,
    pub outcome: PermitOutcome,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitOutcome {
    Granted,
    /// The rate is used up.
    Denied {
        /// Milliseconds until a permit may be available.
        retry_ms: u64,
    },
}

/// Asks an issuer whether a request may be sent to a target that is cold or was so lately. Routers
/// that do not know such messages do not answer, and nothing is sent then.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdRequest {
    /// Identifies the request for a permit at its router.
    pub number: u64,
    pub key: RateKey,
    /// What the router knows of the limit that the target names.
    pub fact: LimitFact,
    pub class: RequestClass,
    /// Requests per second that the target tolerates while it is cold.
    pub per_second: f32,
    /// Milliseconds until the end of its cold time.
    pub left_ms: Millis,
    /// Requests that it has answered in full after its cold time, since the last such message.
    pub answered: u32,
}

/// Response to a [`ColdRequest`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdResponse {
    /// The number of the request.
    pub number: u64,
    pub outcome: ColdOutcome,
}

/// Whether a request may be sent to a target that is cold or was so lately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ColdOutcome {
    Granted,
    /// The rate is used up, or the issuer must not issue.
    Denied {
        /// Milliseconds until a permit may be available.
        retry_ms: Millis,
    },
    /// The target has answered enough since its cold time and needs no more permits.
    Warm,
    /// As [`ColdOutcome::Granted`], after the cold time: no hard bound holds for the target, so the
    /// permit is valid for as long as one of a named limit.
    GrantedWarming,
}
