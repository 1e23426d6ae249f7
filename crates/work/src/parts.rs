//! Which shared prompt parts a target has read lately.
//!
//! Hundreds of parts of some thousand tokens are shared by many requests each. An owner sees every
//! request to its targets and thereby knows better than rendezvous ranks which target holds a
//! part. Bounded by a number of parts.

use std::collections::HashMap;

use base::Millis;

/// Maximum number of parts that are remembered of one target: about 64 parts of 5,000 tokens fill
/// the memory of an engine.
const MAX_PARTS: usize = 64;
/// Age in milliseconds after which the parts that a target lacks are known: an owner that was
/// elected later does not know what was read before.
const LEARNING_MS: Millis = 20_000;

/// Shared parts of one target.
#[derive(Clone, Debug)]
pub(crate) struct HeldParts {
    /// When each part was last used.
    used_at: HashMap<u32, Millis>,
    since: Millis,
}

impl HeldParts {
    pub(crate) fn new(now: Millis) -> Self {
        Self { used_at: HashMap::new(), since: now }
    }

    /// Returns the probability that the target holds a part; `None` if that is not known.
    pub(crate) fn probability(&self, part: u32, now: Millis) -> Option<f64> {
        if self.used_at.contains_key(&part) {
            return Some(0.95);
        }
        (now.saturating_sub(self.since) > LEARNING_MS).then_some(0.0)
    }

    pub(crate) fn record(&mut self, part: u32, now: Millis) {
        if part == 0 {
            return;
        }
        self.used_at.insert(part, now);
        if self.used_at.len() > MAX_PARTS {
            let oldest = self.used_at.iter().min_by_key(|(part, at)| (**at, **part));
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.used_at.remove(&oldest);
            }
        }
    }
}
