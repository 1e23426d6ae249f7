//! What a request is likely to cost, and the size of a target.

use serde::{Deserialize, Serialize};

/// Largest number of tokens of one request that is believed. Bounds what a forged datagram can
/// add to a model; prompts are far below it.
const MAX_TOKENS: u32 = 1 << 20;
/// Largest number of slots that is believed.
const MAX_SLOTS: u32 = 1 << 14;
/// Largest number of requests in flight of one router at one target that is believed.
const MAX_IN_FLIGHT: u32 = 256;

/// Likely cost of one request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCost {
    pub prompt_tokens: u32,
    /// Tokens at the start of the prompt that other requests share, at most `prompt_tokens`.
    pub shared_tokens: u32,
    /// Identifies the shared tokens; 0 if there are none.
    pub part: u32,
    /// Probability in percent that a target holds the shared tokens if its owner does not know.
    pub held_percent: u8,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
}

impl RequestCost {
    /// Returns the memory in tokens that the request occupies when it completes.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    pub(crate) fn bounded(self) -> Self {
        let prompt_tokens = self.prompt_tokens.min(MAX_TOKENS);
        Self {
            prompt_tokens,
            shared_tokens: self.shared_tokens.min(prompt_tokens),
            held_percent: self.held_percent.min(100),
            output_tokens: self.output_tokens.min(MAX_TOKENS),
            ..self
        }
    }
}

/// Size of a target. It comes with each message, as the owner may know another configuration.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSize {
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Memory in tokens that requests may occupy; 0 for a plain target.
    pub memory_tokens: u32,
}

impl TargetSize {
    pub(crate) fn bounded(self) -> Self {
        Self { slots: self.slots.clamp(1, MAX_SLOTS), ..self }
    }
}

/// Requests in flight of one router at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightWork {
    pub requests: u32,
    /// Prompt tokens of those without a response so far.
    pub unread_tokens: u32,
}

impl InFlightWork {
    pub(crate) fn bounded(self) -> Self {
        Self {
            requests: self.requests.min(MAX_IN_FLIGHT),
            unread_tokens: self.unread_tokens.min(MAX_TOKENS),
        }
    }
}
