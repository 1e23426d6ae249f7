//! Batches of events for the owners of targets.

use std::collections::HashMap;
use std::hash::Hash;

use base::Millis;
use rate::RateKey;

use crate::message::{WorkEvent, WorkReport};

/// Maximum number of events of one batch, so that it fits into a datagram.
const MAX_BATCH_EVENTS: usize = 40;
/// Maximum number of batches; there are no more owners in the supported fleets.
const MAX_BATCHES: usize = 512;

/// An event and when it was seen, as its age is computed when the batch is sent.
type TimedEvent = (RateKey, WorkEvent, Millis);

/// Events that wait to be sent, by the address of their owner.
#[derive(Clone, Debug)]
pub struct ReportBatches<A> {
    batches: HashMap<A, Vec<TimedEvent>>,
}

impl<A> Default for ReportBatches<A> {
    fn default() -> Self {
        Self { batches: HashMap::new() }
    }
}

impl<A: Copy + Eq + Hash> ReportBatches<A> {
    /// Adds an event. One that does not fit is dropped: placements expire without reports.
    pub fn add(&mut self, owner: A, key: RateKey, event: WorkEvent, now: Millis) {
        if self.batches.len() >= MAX_BATCHES && !self.batches.contains_key(&owner) {
            return;
        }
        let events = self.batches.entry(owner).or_default();
        if events.len() < MAX_BATCH_EVENTS {
            events.push((key, event, now));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns what is to be sent to each owner.
    pub fn take(&mut self, now: Millis) -> Vec<(A, WorkReport)> {
        let batches = std::mem::take(&mut self.batches).into_iter();
        let aged = |(key, event, at): TimedEvent| {
            let waited_ms = now.saturating_sub(at).min(u64::from(u32::MAX)) as u32;
            (key, add_age(event, waited_ms))
        };
        batches
            .map(|(owner, events)| {
                (owner, WorkReport { events: events.into_iter().map(aged).collect() })
            })
            .collect()
    }
}

fn add_age(event: WorkEvent, more_ms: u32) -> WorkEvent {
    match event {
        WorkEvent::FirstByte { id, waited_ms, age_ms } => {
            WorkEvent::FirstByte { id, waited_ms, age_ms: age_ms.saturating_add(more_ms) }
        }
        WorkEvent::Load(mut load) => {
            load.age_ms = load.age_ms.saturating_add(more_ms);
            WorkEvent::Load(load)
        }
        WorkEvent::Ended { .. } => event,
    }
}
