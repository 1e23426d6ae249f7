//! A configuration as an operator wrote it: in order, with duplicates, and with the place of
//! every value.

use base::Name;
use route::CallKind;

/// A value and where it stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacedValue<T> {
    pub value: T,
    /// Of its first byte in the text.
    pub offset: usize,
}

impl<T> PlacedValue<T> {
    pub fn new(value: T, offset: usize) -> Self {
        Self { value, offset }
    }
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftPart {
    pub service: PlacedValue<Name>,
    /// Relative to the sum of the weights of the route.
    pub weight: PlacedValue<u32>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftRoute {
    pub name: PlacedValue<Name>,
    pub host: PlacedValue<Name>,
    pub path_prefix: PlacedValue<Name>,
    pub kind: CallKind,
    /// In milliseconds, as written: may be negative.
    pub timeout_ms: PlacedValue<f64>,
    /// In milliseconds, as written: may be negative.
    pub target_latency_ms: PlacedValue<f64>,
    pub max_attempts: PlacedValue<u32>,
    pub public: bool,
    pub has_prompt: bool,
    /// As requests select among them; may be empty.
    pub split: Vec<DraftPart>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftService {
    pub name: PlacedValue<Name>,
    /// Of one target, from all instances together.
    pub max_connections: u32,
    /// Slots, memory in tokens and tokens in an event of an engine; `None` for a plain service.
    pub engine: Option<(u32, f64, u32)>,
}

/// One client account.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftAccount {
    pub name: PlacedValue<Name>,
    /// Secret: never part of a message.
    pub credentials: Vec<PlacedValue<Name>>,
}

/// Size and time limits for requests of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DraftLimits {
    pub head_bytes: PlacedValue<u64>,
    pub body_bytes: PlacedValue<u64>,
    /// In milliseconds, as written: may be negative.
    pub head_timeout_ms: PlacedValue<f64>,
    /// In milliseconds, as written: may be negative.
    pub idle_timeout_ms: PlacedValue<f64>,
    /// Capacity of all model engines; 0 if it is not written.
    pub capacity_tokens_per_s: f64,
}

/// A complete configuration. The lists are in the order of the text; their places are those of
/// the lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDraft {
    pub version: PlacedValue<u64>,
    pub routes: PlacedValue<Vec<DraftRoute>>,
    pub services: PlacedValue<Vec<DraftService>>,
    pub accounts: PlacedValue<Vec<DraftAccount>>,
    pub limits: PlacedValue<DraftLimits>,
}
