//! Decides what each part of a run of a target is to the stream that its caller has.
//!
//! A stream is made of the run that began it and of runs at other targets that go on after the
//! last event of the one before, within one response or over the tries of a caller. Ids of events
//! increase within a run. What is passed on is the next event, or the stream is broken off: what
//! a run begins with, and what its end means, does not follow from what its target was asked for.

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
    /// Events may be missing between the last one and the run's first one.
    #[error("first event of the run has no known place after event {last}")]
    Unplaced { last: u64 },
    #[error("run that goes on after event {last} has none")]
    Empty { last: u64 },
    #[error("stream ended without an event, which nothing proves to be its end")]
    NoEvent,
    #[error("stream ended after an event, without a length or a last chunk")]
    UnmarkedEnd,
}

impl OrderError {
    /// Whether the run ended, and nothing proves that the stream does.
    pub fn is_unproven_end(self) -> bool {
        matches!(self, Self::Empty { .. } | Self::NoEvent | Self::UnmarkedEnd)
    }
}

/// An event that was passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PassedEvent {
    id: u64,
    digest: u64,
}

/// The run of the target that contributes at present.
#[derive(Clone, Debug, Default)]
struct RunState {
    /// The run is to go on with the stream, and it is not known yet that it does.
    is_unplaced: bool,
    /// Id of its last event, passed on or not.
    last_id: Option<u64>,
    /// Whether an event of it was passed on, at least in part.
    has_passed: bool,
    /// First event of a run that is ahead of the stream, until the next event tells whether
    /// events are missing between the two. Only while the run is unplaced.
    ahead: Option<PassedEvent>,
    /// What is passed on once the run has its place: fillers, and the event that is ahead.
    held: Vec<u8>,
}

/// The order of a stream's events, across all runs that contribute to it.
#[derive(Clone, Debug)]
pub(crate) struct StreamOrder {
    run: RunState,
    /// Id of the last event that the caller has.
    last_id: Option<u64>,
    /// Whether the last event that was passed on has an id that is a number, so that a run can go
    /// on after it.
    last_has_number: bool,
    /// Whether an event has begun, in any run.
    has_event: bool,
    has_passed: bool,
    /// Whether part of an event was passed on before its end.
    has_passed_part: bool,
    /// Id of the last event that the caller had before the first run.
    taken_up_id: Option<u64>,
    /// The last events that were passed on, in order. Empty if the stream can't be resumed.
    passed: VecDeque<PassedEvent>,
    max_remembered: usize,
    /// Largest step between the ids of two successive events of a run; 0 if none is known.
    largest_step: u64,
    /// The next run is to have the last event once more, which shows that it is a run of the same
    /// stream and tells what follows.
    must_overlap: bool,
    /// Another target was asked to confirm the end, and did not mark its own.
    is_end_unknown: bool,
}

impl StreamOrder {
    /// Creates the order of a stream that begins.
    pub fn new() -> Self {
        Self {
            run: RunState::default(),
            last_id: None,
            last_has_number: false,
            has_event: false,
            has_passed: false,
            has_passed_part: false,
            taken_up_id: None,
            passed: VecDeque::new(),
            max_remembered: MAX_REMEMBERED_EVENTS,
            largest_step: 0,
            must_overlap: false,
            is_end_unknown: false,
        }
    }

    /// Creates the order of a stream that its caller takes up after event `last_id`.
    pub fn taken_up(last_id: u64) -> Self {
        Self {
            run: RunState { is_unplaced: true, ..RunState::default() },
            last_id: Some(last_id),
            last_has_number: true,
            has_event: true,
            taken_up_id: Some(last_id),
            ..Self::new()
        }
    }

    /// Creates the order of a stream that can't be resumed.
    pub fn of_one_run() -> Self {
        Self { max_remembered: 0, ..Self::new() }
    }

    /// Whether the run is to go on with the stream, and it is not known yet that it does.
    pub fn is_unplaced(&self) -> bool {
        self.run.is_unplaced
    }

    /// Returns the id of the last event that the caller has.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event was passed on, at least in part.
    pub fn has_passed_event(&self) -> bool {
        self.has_passed || self.has_passed_part
    }

    /// Whether part of an event was passed on before its end.
    pub fn has_passed_part(&self) -> bool {
        self.has_passed_part
    }

    /// Whether the run of another target may go on with the stream.
    pub fn can_resume(&self) -> bool {
        let has_place = self.last_has_number || !self.has_passed;
        has_place && !self.has_passed_part && !self.is_end_unknown
    }

    /// Returns the id of the event after which the next run is to go on: the last one, or the one
    /// before if the run is to have the last one once more. `None` if it is to begin the stream.
    pub fn resume_id(&self) -> Option<u64> {
        if !self.must_overlap {
            return self.last_id;
        }
        match self.passed.len() {
            // Ids are asked for as numbers, so this is after the event before, whatever its id.
            0 => self.taken_up_id.and_then(|id| id.checked_sub(1)),
            1 => self.taken_up_id,
            count => Some(self.passed[count - 2].id),
        }
    }

    /// Begins the run of another target, which is to go on after [`StreamOrder::resume_id`].
    /// `was_in_event` tells whether the run before ended inside an event.
    pub fn begin_run(&mut self, was_in_event: bool) {
        self.has_event |= was_in_event;
        self.run = RunState { is_unplaced: self.last_id.is_some(), ..RunState::default() };
    }

    /// Appends what is to be passed on to `passed`.
    ///
    /// # Errors
    /// Returns an error if the run is not part of the stream from here on.
    pub fn push(&mut self, piece: StreamPiece, passed: &mut Vec<u8>) -> Result<(), OrderError> {
        match piece {
            StreamPiece::Filler(bytes) => self.push_filler(&bytes, passed),
            StreamPiece::Part { bytes, id } => self.push_part(&bytes, id, passed)?,
            StreamPiece::Event(event) => self.push_event(&event, passed)?,
        }
        Ok(())
    }

    /// Ends the run, which ended outside of an event. Returns whether the stream may end with it.
    ///
    /// # Errors
    /// Returns an error if nothing proves that the stream is whole.
    pub fn end_run(&mut self, end: RunEnd) -> Result<(), OrderError> {
        if self.run.ahead.is_some() {
            return Err(self.unplaced());
        }
        if self.run.has_passed {
            return self.end_after_event(end);
        }
        let Some(last) = self.last_id else {
            let is_proved = end == RunEnd::Marked && !self.has_event;
            return if is_proved { Ok(()) } else { Err(OrderError::NoEvent) };
        };
        let has_last = self.run.last_id == Some(last);
        if has_last && end == RunEnd::Marked {
            return Ok(());
        }
        self.is_end_unknown |= self.must_overlap && end == RunEnd::Unmarked;
        self.must_overlap = true;
        Err(if has_last { OrderError::UnmarkedEnd } else { OrderError::Empty { last } })
    }

    fn end_after_event(&mut self, end: RunEnd) -> Result<(), OrderError> {
        if end == RunEnd::Marked {
            return Ok(());
        }
        self.must_overlap = true;
        Err(OrderError::UnmarkedEnd)
    }

    fn push_filler(&mut self, bytes: &[u8], passed: &mut Vec<u8>) {
        let is_blank = bytes.iter().all(|byte| matches!(byte, b'\n' | b'\r'));
        if !self.run.is_unplaced {
            passed.extend_from_slice(bytes);
        } else if !is_blank || self.run.last_id.is_none() || self.run.ahead.is_some() {
            self.run.held.extend_from_slice(bytes);
        }
    }

    fn push_part(
        &mut self,
        bytes: &[u8],
        id: Option<u64>,
        passed: &mut Vec<u8>,
    ) -> Result<(), OrderError> {
        self.check_placed()?;
        if let Some(id) = id {
            self.advance_run(id)?;
        }
        self.place(passed);
        self.has_event = true;
        self.has_passed_part = true;
        self.run.has_passed = true;
        passed.extend_from_slice(bytes);
        Ok(())
    }

    fn push_event(&mut self, event: &StreamEvent, passed: &mut Vec<u8>) -> Result<(), OrderError> {
        let EventId::Number(id) = event.id else {
            self.check_placed()?;
            self.place(passed);
            self.pass(&event.bytes, passed);
            self.last_has_number = false;
            return Ok(());
        };
        let digest = if self.max_remembered > 0 { event.digest() } else { 0 };
        let numbered = PassedEvent { id, digest };
        let run_last = self.advance_run(id)?;
        if let Some(ahead) = self.run.ahead.take() {
            self.release_ahead(ahead, id - ahead.id, passed)?;
        } else if let Some(last) = self.last_id.filter(|_| self.run.is_unplaced) {
            if id <= last {
                self.run.held.clear();
                return self.check_known(run_last, numbered);
            }
            if run_last.is_none() && id - last > 1 && self.largest_step == 0 {
                self.run.ahead = Some(numbered);
                self.run.held.extend_from_slice(&event.bytes);
                return Ok(());
            }
            self.check_next(run_last, id, last)?;
        }
        if let Some(run_last) = run_last {
            self.largest_step = self.largest_step.max(id - run_last);
        }
        self.place(passed);
        self.pass(&event.bytes, passed);
        self.remember(numbered);
        Ok(())
    }

    /// Advances the run to event `id`; returns the id of the event before it.
    fn advance_run(&mut self, id: u64) -> Result<Option<u64>, OrderError> {
        let run_last = self.run.last_id.replace(id);
        match run_last.filter(|last| id <= *last) {
            Some(last) => Err(OrderError::Backward { id, last }),
            None => Ok(run_last),
        }
    }

    /// Passes on the first event of a run whose second event is `step` after it.
    fn release_ahead(
        &mut self,
        ahead: PassedEvent,
        step: u64,
        passed: &mut Vec<u8>,
    ) -> Result<(), OrderError> {
        let PassedEvent { id, .. } = ahead;
        if let Some(last) = self.last_id.filter(|last| id - last > step) {
            return Err(OrderError::Gap { id, last });
        }
        self.place(passed);
        self.run.has_passed = true;
        self.has_passed = true;
        self.remember(ahead);
        Ok(())
    }

    /// Checks that the first event of a run after the last one, `last`, is the next one.
    fn check_next(&mut self, run_last: Option<u64>, id: u64, last: u64) -> Result<(), OrderError> {
        let step = id - last;
        match run_last {
            // A run that has events before the last one and not that one is another one.
            Some(run_last) if run_last != last => Err(OrderError::Gap { id, last }),
            // Its bytes are not known here, so the run may be another one that begins there.
            Some(_) if self.passed.is_empty() => Err(self.unplaced()),
            Some(_) => Ok(()),
            None if step == 1 || step <= self.largest_step => Ok(()),
            None => Err(self.unplaced()),
        }
    }

    /// Checks that the caller has `event`, and that it has it after event `run_last`.
    fn check_known(&self, run_last: Option<u64>, event: PassedEvent) -> Result<(), OrderError> {
        let id = event.id;
        // The run was asked to have it, and may only confirm that the stream ends there.
        let is_taken_up = self.must_overlap && Some(id) == self.taken_up_id;
        if self.passed.is_empty() && is_taken_up {
            return Ok(());
        }
        let Some(position) = self.passed.iter().position(|passed| *passed == event) else {
            return Err(OrderError::Different { id });
        };
        let before = position.checked_sub(1).map(|before| self.passed[before].id);
        match run_last.filter(|_| run_last != before) {
            Some(last) => Err(OrderError::Gap { id, last }),
            None => Ok(()),
        }
    }

    /// Checks that what comes next has its place, whatever its id: after the last event, which was
    /// passed on here. A caller that takes a stream up may have events without a number after it.
    fn check_placed(&mut self) -> Result<(), OrderError> {
        let has_last = self.run.last_id == self.last_id && !self.passed.is_empty();
        let is_after_last = has_last && self.run.ahead.is_none();
        if self.run.is_unplaced && !is_after_last { Err(self.unplaced()) } else { Ok(()) }
    }

    /// Returns the error of a run without a place; the next run is to show its place.
    fn unplaced(&mut self) -> OrderError {
        self.must_overlap = true;
        OrderError::Unplaced { last: self.last_id.unwrap_or_default() }
    }

    /// Passes on what was held until the run has its place.
    fn place(&mut self, passed: &mut Vec<u8>) {
        self.run.is_unplaced = false;
        passed.append(&mut self.run.held);
    }

    fn pass(&mut self, bytes: &[u8], passed: &mut Vec<u8>) {
        passed.extend_from_slice(bytes);
        self.run.has_passed = true;
        self.has_passed = true;
        self.has_event = true;
        self.must_overlap = false;
        self.is_end_unknown = false;
    }

    fn remember(&mut self, event: PassedEvent) {
        self.last_id = Some(event.id);
        self.last_has_number = true;
        if self.max_remembered == 0 {
            return;
        }
        if self.passed.len() == self.max_remembered {
            self.passed.pop_front();
        }
        self.passed.push_back(event);
    }
}
