//! Messages between the router of a request and the owner of a target.
//!
//! Variants have names of one letter on the wire, as some dozens of messages are sent per second.

use rate::RateKey;
use serde::{Deserialize, Serialize};

use crate::cost::{InFlightWork, RequestCost, TargetSize};

/// Identifies one placement: 32 bits of the hash of the router's origin, then its counter.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PlacementId(u64);

impl PlacementId {
    /// Creates the id number `number` of the router whose origin has the hash `origin`.
    pub fn new(origin: u64, number: u32) -> Self {
        Self((origin << 32) | u64::from(number))
    }

    /// Returns what identifies the router.
    pub fn sender(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// Asks the owner of a target for an offer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct OfferRequest {
    pub id: PlacementId,
    pub key: RateKey,
    pub cost: RequestCost,
    pub size: TargetSize,
    /// The request is placed at once if its first event is expected within this many
    /// milliseconds; 0 asks for an offer only.
    pub place_until_ms: u32,
    /// Requests of the sender in flight at the target, from which a new owner begins.
    pub in_flight: InFlightWork,
}

/// What became of an [`OfferRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OfferOutcome {
    /// The request is placed, and counts until its end is reported.
    #[serde(rename = "p")]
    Placed,
    /// The request may be placed.
    #[serde(rename = "o")]
    Offered,
    /// The target has neither slots nor memory left.
    #[serde(rename = "f")]
    Full,
}

/// The offer of an owner.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct OfferResponse {
    pub id: PlacementId,
    pub key: RateKey,
    pub outcome: OfferOutcome,
    /// Expected time to the first event in milliseconds.
    pub expected_ms: u32,
    /// The part of `expected_ms` spent behind other requests, in milliseconds.
    pub wait_ms: u32,
    /// The part of `expected_ms` in which the target reads the prompt, in milliseconds.
    pub read_ms: u32,
    /// Prompt tokens that the target is expected to read.
    pub unread_tokens: u32,
    /// Age in milliseconds of the newest report on the target; `None` without one.
    pub age_ms: Option<u32>,
}

/// Tells an owner that a request goes to its target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementNotice {
    pub id: PlacementId,
    pub key: RateKey,
    pub cost: RequestCost,
    pub size: TargetSize,
}

/// Load that a target reports with a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    /// How long work takes on the target's machine, 100 as usual.
    pub slow_percent: Option<u32>,
    /// Time since the response in milliseconds.
    pub age_ms: u32,
}

/// What a router saw of one target. Ages are as of the time of sending, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkEvent {
    /// The first byte of a response came `waited_ms` milliseconds after the request was written.
    #[serde(rename = "b")]
    FirstByte { id: PlacementId, waited_ms: u32, age_ms: u32 },
    /// A request ended, in whatever way.
    #[serde(rename = "e")]
    Ended { id: PlacementId },
    #[serde(rename = "l")]
    Load(ReportedLoad),
}

/// What a router saw of the targets of one owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkReport {
    pub events: Vec<(RateKey, WorkEvent)>,
}
