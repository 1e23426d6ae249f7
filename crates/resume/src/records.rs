//! Which version began which stream, for as long as it may be taken up.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use base::{Millis, Name, stable_hash};
use serde::{Deserialize, Serialize};

/// Identifies a stream: a hash of its client account and of the id of the request that brought
/// its first event. Another account can't name it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(u64);

impl StreamKey {
    pub fn new(account: Option<&str>, request: &str) -> Self {
        Self(stable_hash(&["stream", account.unwrap_or_default(), request]))
    }

    /// Returns the hash by which holders are chosen.
    pub(crate) fn hash(self) -> u64 {
        self.0
    }
}

/// What began a stream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamOrigin {
    pub service: Name,
    /// Of the software of the target, not of its weights.
    pub version: Name,
}

/// A stream and what began it, as routers tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecord {
    pub key: StreamKey,
    pub origin: StreamOrigin,
}

#[derive(Clone, Debug)]
struct StoredOrigin {
    /// `None` if it was recorded with different origins, as its id was used twice.
    origin: Option<Arc<StreamOrigin>>,
    recorded_at: Millis,
}

/// What a router knows of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KnownOrigin {
    Began(Arc<StreamOrigin>),
    /// Different origins were recorded.
    Ambiguous,
    Unknown,
}

/// Bounded memory of streams; the oldest records are dropped first.
#[derive(Debug, Default)]
pub struct StreamRecords {
    records: HashMap<StreamKey, StoredOrigin>,
    /// Keys in the order of their records, with the time of the record; those that were
    /// recorded again are in it more than once.
    order: VecDeque<(StreamKey, Millis)>,
    /// Origins in use, so that records share them.
    origins: HashSet<Arc<StreamOrigin>>,
}

impl StreamRecords {
    /// Records what began a stream.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: &StreamOrigin,
        max_records: usize,
        now: Millis,
    ) {
        let known = self.records.get(&key);
        let is_ambiguous = known.is_some_and(|known| known.origin.as_deref() != Some(origin));
        let origin = (!is_ambiguous).then(|| self.share(origin));
        self.records.insert(key, StoredOrigin { origin, recorded_at: now });
        self.order.push_back((key, now));
        // A stream that is recorded again and again must not fill the order.
        while self.records.len() > max_records || self.order.len() > max_records * 2 {
            self.remove_first();
        }
    }

    pub fn get(&self, key: StreamKey) -> KnownOrigin {
        match self.records.get(&key) {
            Some(StoredOrigin { origin: Some(origin), .. }) => {
                KnownOrigin::Began(Arc::clone(origin))
            }
            Some(StoredOrigin { origin: None, .. }) => KnownOrigin::Ambiguous,
            None => KnownOrigin::Unknown,
        }
    }

    /// Drops the records older than `max_age`.
    pub fn expire(&mut self, max_age: Millis, now: Millis) {
        while self.order.front().is_some_and(|(_, at)| now.saturating_sub(*at) > max_age) {
            self.remove_first();
        }
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn share(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.origins.get(origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin.clone());
        self.origins.insert(Arc::clone(&origin));
        origin
    }

    fn remove_first(&mut self) {
        let Some((key, at)) = self.order.pop_front() else { return };
        if self.records.get(&key).is_some_and(|record| record.recorded_at == at) {
            self.records.remove(&key);
        }
    }
}
