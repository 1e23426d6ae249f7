//! Callers that do not take the answer that is sent to them. Each holds a part of it in the buffers of
//! two sockets and of this process, so the memory allows only so many.
//!
//! Load pattern: many callers ask for long answers and read them slowly or not at all.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::Name;
use ntex::io::IoRef;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies an answer that its caller does not take.
    struct StallKey;
}

/// An answer that its caller does not take.
#[derive(Debug)]
struct StallEntry {
    /// Answers that stalled earlier have lower numbers.
    number: u64,
    io: IoRef,
    request: Name,
}

/// The stalled answers of a thread.
#[derive(Debug)]
pub struct StalledAnswers {
    limit: usize,
    /// Invariant: no more than `limit`, but while one is added.
    entries: RefCell<SlotMap<StallKey, StallEntry>>,
    last_number: Cell<u64>,
}

/// Counts an answer as stalled until it is dropped.
#[derive(Debug)]
pub struct StallGuard {
    answers: Rc<StalledAnswers>,
    key: StallKey,
}

impl StalledAnswers {
    /// Creates the list of a thread that may have `limit` stalled answers.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, entries: RefCell::default(), last_number: Cell::default() })
    }

    /// Adds the answer to `request`. If there are too many, the connection of the one that stalled
    /// first is terminated; returns its request.
    pub fn begin(self: &Rc<Self>, io: &IoRef, request: &Name) -> (StallGuard, Option<Name>) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let entry = StallEntry { number, io: io.clone(), request: Name::clone(request) };
        let key = self.entries.borrow_mut().insert(entry);
        let guard = StallGuard { answers: Rc::clone(self), key };
        (guard, self.remove_excess())
    }

    /// Returns the number of stalled answers.
    pub fn count(&self) -> usize {
        self.entries.borrow().len()
    }

    fn remove_excess(&self) -> Option<Name> {
        let mut entries = self.entries.borrow_mut();
        if entries.len() <= self.limit {
            return None;
        }
        let (first, _) = entries.iter().min_by_key(|(_, entry)| entry.number)?;
        let removed = entries.remove(first)?;
        drop(entries);
        removed.io.terminate();
        Some(removed.request)
    }
}

impl Drop for StallGuard {
    fn drop(&mut self) {
        // It may have been removed as one too many.
        self.answers.entries.borrow_mut().remove(self.key);
    }
}
