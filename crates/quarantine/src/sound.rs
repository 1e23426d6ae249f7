//! Parts that lately got a complete response.

use std::collections::BTreeMap;

use base::Millis;

use crate::identity::{PartKey, VersionHash};

/// When each part last got a complete response. Bounded: a part that does not fit is only
/// suspected earlier than it would be.
#[derive(Debug, Default)]
pub(crate) struct SoundParts(BTreeMap<PartKey, Millis>);

impl SoundParts {
    pub(crate) fn record(&mut self, key: PartKey, max_parts: usize, max_age: Millis, now: Millis) {
        if self.0.len() >= max_parts && !self.0.contains_key(&key) {
            self.0.retain(|_, at| now.saturating_sub(*at) < max_age);
            if self.0.len() >= max_parts {
                return;
            }
        }
        self.0.insert(key, now);
    }

    /// Whether the part got a complete response in the time `max_age` before `at`, or later.
    pub(crate) fn is_sound(&self, key: PartKey, max_age: Millis, at: Millis) -> bool {
        self.0.get(&key).is_some_and(|sound_at| at.saturating_sub(*sound_at) < max_age)
    }

    /// Whether a target of the version has completed a response.
    pub(crate) fn has_version(&self, version: VersionHash) -> bool {
        self.0.keys().any(|key| key.version == version)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
