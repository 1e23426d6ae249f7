//! Decides what each part of a run of a target is to the stream that its caller has.
//!
//! A stream is made of the run that began it and of runs at other targets that go on after the
//! last event of the one before, within one response or over the tries of a caller. Ids of events
//! increase within a run. What is passed on is the next event, or the stream is broken off: what
//! a run begins with, and what its end means, follows from nothing that its target was asked for.

use std::collections::VecDeque;

use thiserror::Error;

use crate::splitter::{EventId, StreamEvent, StreamPiece};

/// Largest number of events that are remembered to recognise them in a later run.
const MAX_REMEMBERED_EVENTS: usize = 1_024;

/// How a run of a target ended, in order and outside of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// Its target marked the end, by a length or a last chunk.
    Marked,
    /// The connection was closed, which a target that fails may do too.
    Unmarked,
}

/// Why a run is not, or no longer, part of the stream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum OrderError {
    #[error("stream ended inside an event")]
    InEvent,
    #[error("event {id} came after event {last}")]
    Backward { id: u64, last: u64 },
    /// The run has an event that the caller has with other bytes, or it is not known with which.
    #[error("event {id} is not known to be the one that the caller has")]
    Different { id: u64 },
    #[error("event {id} came after event {last}, which leaves events out")]
    Gap { id: u64, last: u64 },
    /// The position of the run's first event is not known.
    #[error("run goes on with an event that has no place after event {last}")]
    Unplaced { last: u64 },
    #[error("run that goes on after event {last} has none")]
    Empty { last: u64 },
    #[error("stream ended without an event, a length or a last chunk")]
    NoEvent,
    #[error("stream ended after an event, without a length or a last chunk")]
    UnmarkedEnd,
}

impl OrderError {
    /// Whether the target is at fault. An end that proves nothing may be that of a whole stream.
    pub fn is_fault(self) -> bool {
        !matches!(self, Self::Empty { .. } | Self::NoEvent | Self::UnmarkedEnd)
    }
}

/// An event that was passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PassedEvent {
    id: u64,
    digest: u64,
}

/// The order of a stream's events, across all runs that contribute to it.
#[derive(Clone, Debug)]
pub(crate) struct StreamOrder {
    /// The run is to go on after the last event, and no event of it was passed on.
    is_at_seam: bool,
    /// Id of the last event that the caller has.
    last_id: Option<u64>,
    /// Whether the last event that was passed on has an id that is a number, so that a run can go
    /// on after it.
    is_last_told: bool,
    /// Whether part of an event was passed on before its end.
    has_passed_part: bool,
    /// Number of events that were passed on.
    passed_count: u64,
    /// Largest number of events that the stream can have, if it is known.
    max_events: Option<u64>,
    /// Id of the last event that the caller had before the first run.
    taken_up_id: Option<u64>,
    /// The last events that were passed on, in order.
    passed: VecDeque<PassedEvent>,
    /// Largest difference between the ids of two successive events of a run; 0 if none is known.
    largest_step: u64,
    /// Id of the last event of the current run, passed on or not.
    run_last_id: Option<u64>,
    /// Whether the current run had an event that was passed on.
    has_run_passed: bool,
    /// First event of a run that is ahead of the last one, until the next event tells whether
    /// events are missing between the two.
    ahead: Option<(u64, StreamEvent)>,
    /// Whether a run ended in order after the last event, without a mark. Another run that has
    /// that event once more proves whether the stream ends there.
    must_confirm_end: bool,
}

impl Default for StreamOrder {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamOrder {
    /// Creates the order of a stream that begins.
    pub fn new() -> Self {
        Self {
            is_at_seam: false,
            last_id: None,
            is_last_told: false,
            has_passed_part: false,
            passed_count: 0,
            max_events: None,
            taken_up_id: None,
            passed: VecDeque::new(),
            largest_step: 0,
            run_last_id: None,
            has_run_passed: false,
            ahead: None,
            must_confirm_end: false,
        }
    }

    /// Creates the order of a stream that its caller takes up after event `last_id`.
    pub fn taken_up(last_id: u64) -> Self {
        Self {
            is_at_seam: true,
            last_id: Some(last_id),
            is_last_told: true,
            taken_up_id: Some(last_id),
            ..Self::new()
        }
    }

    /// Sets the number of events after which a stream that begins here is whole, whatever marks
    /// its end.
    pub fn with_max_events(self, max_events: Option<u64>) -> Self {
        let max_events = max_events.filter(|count| *count > 0 && self.taken_up_id.is_none());
        Self { max_events, ..self }
    }

    /// Whether the run is to go on with the stream, and it is not known yet that it does.
    pub fn is_at_seam(&self) -> bool {
        self.is_at_seam
    }

    /// Returns the id of the last event that the caller has.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event was passed on, at least in part.
    pub fn has_passed_event(&self) -> bool {
        self.passed_count > 0 || self.has_passed_part
    }

    /// Whether the run of another target may go on with the stream.
    pub fn can_resume(&self) -> bool {
        let is_told = self.is_last_told || self.passed_count == 0;
        is_told && !self.has_passed_part
    }

    /// Returns the id of the event after which the next run is to go on: the last one, or the one
    /// before if the end is to be confirmed. `None` if it is to begin the stream.
    pub fn resume_id(&self) -> Option<u64> {
        if !self.must_confirm_end {
            return self.last_id;
        }
        let before_last = self.passed.iter().rev().nth(1).map(|event| event.id);
        before_last.or(self.taken_up_id)
    }

    /// Begins the run of another target, which is to go on after [`StreamOrder::resume_id`].
    pub fn begin_run(&mut self) {
        self.is_at_seam = self.last_id.is_some();
        self.run_last_id = None;
        self.has_run_passed = false;
        self.ahead = None;
    }

    /// Appends the part of `piece` that is to be passed on to `passed`.
    ///
    /// # Errors
    /// Returns an error if the run is not part of the stream from here on.
    pub fn push(&mut self, piece: StreamPiece, passed: &mut Vec<u8>) -> Result<(), OrderError> {
        match piece {
            StreamPiece::Filler(bytes) => passed.extend_from_slice(&bytes),
            StreamPiece::Part(bytes) => {
                self.check_seam_passed()?;
                self.has_passed_part = true;
                self.has_run_passed = true;
                passed.extend_from_slice(&bytes);
            }
            StreamPiece::Event(event) => self.push_event(event, passed)?,
        }
        Ok(())
    }

    /// Checks whether the stream may end with the run, which ended outside of an event.
    ///
    /// # Errors
    /// Returns an error if nothing proves that the stream is whole.
    pub fn check_end(&mut self, end: RunEnd) -> Result<(), OrderError> {
        self.check_no_event_ahead()?;
        let is_whole = self.max_events.is_some_and(|max_events| self.passed_count >= max_events);
        if is_whole {
            return Ok(());
        }
        match (self.last_id.filter(|_| !self.has_run_passed), end) {
            (None, RunEnd::Marked) => Ok(()),
            (None, RunEnd::Unmarked) if self.has_run_passed => {
                self.must_confirm_end = true;
                Err(OrderError::UnmarkedEnd)
            }
            (None, RunEnd::Unmarked) => Err(OrderError::NoEvent),
            // The run has the last event as well, and its end after it is marked.
            (Some(last), RunEnd::Marked) if self.run_last_id == Some(last) => Ok(()),
            (Some(last), _) => Err(OrderError::Empty { last }),
        }
    }

    fn push_event(&mut self, event: StreamEvent, passed: &mut Vec<u8>) -> Result<(), OrderError> {
        let EventId::Number(id) = event.id else {
            self.check_seam_passed()?;
            self.pass(None, &event, passed);
            return Ok(());
        };
        let run_last = self.run_last_id.replace(id);
        if let Some(last) = run_last.filter(|last| id <= *last) {
            return Err(OrderError::Backward { id, last });
        }
        if let Some((ahead_id, ahead)) = self.ahead.take() {
            self.check_step(ahead_id, id - ahead_id)?;
            self.pass(Some(ahead_id), &ahead, passed);
        }
        if let Some(last) = self.last_id.filter(|_| self.is_at_seam) {
            if id <= last {
                return self.check_known(id, event.digest());
            }
            let is_next = id - last == 1 || run_last == Some(last);
            if !is_next && run_last.is_none() && self.largest_step == 0 {
                self.ahead = Some((id, event));
                return Ok(());
            }
            if !is_next {
                // A run that has events before the last one and not that one is another one.
                let largest_step = if run_last.is_some() { 0 } else { self.largest_step };
                self.check_step(id, largest_step)?;
            }
        }
        if let Some(run_last) = run_last {
            self.largest_step = self.largest_step.max(id - run_last);
        }
        self.pass(Some(id), &event, passed);
        Ok(())
    }

    /// Checks that no event is missing between the last one and event `id`, if successive ids
    /// differ by at most `largest_step`.
    fn check_step(&self, id: u64, largest_step: u64) -> Result<(), OrderError> {
        let last = self.last_id.unwrap_or_default();
        if id.saturating_sub(last) > largest_step {
            return Err(OrderError::Gap { id, last });
        }
        Ok(())
    }

    fn check_known(&self, id: u64, digest: u64) -> Result<(), OrderError> {
        let is_same = self.passed.contains(&PassedEvent { id, digest });
        if is_same { Ok(()) } else { Err(OrderError::Different { id }) }
    }

    /// Checks that the place of the run in the stream is known.
    fn check_seam_passed(&self) -> Result<(), OrderError> {
        self.check_no_event_ahead()?;
        match self.last_id.filter(|_| self.is_at_seam) {
            Some(last) => Err(OrderError::Unplaced { last }),
            None => Ok(()),
        }
    }

    fn check_no_event_ahead(&self) -> Result<(), OrderError> {
        let last = self.last_id.unwrap_or_default();
        if self.ahead.is_some() { Err(OrderError::Unplaced { last }) } else { Ok(()) }
    }

    fn pass(&mut self, id: Option<u64>, event: &StreamEvent, passed: &mut Vec<u8>) {
        passed.extend_from_slice(&event.bytes);
        self.passed_count += 1;
        self.has_run_passed = true;
        self.must_confirm_end = false;
        self.is_last_told = id.is_some();
        self.is_at_seam = false;
        let Some(id) = id else { return };
        self.last_id = Some(id);
        if self.passed.len() == MAX_REMEMBERED_EVENTS {
            self.passed.pop_front();
        }
        self.passed.push_back(PassedEvent { id, digest: event.digest() });
    }
}
