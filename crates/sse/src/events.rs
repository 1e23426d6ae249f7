//! The events of a stream that are passed on, from the bytes of the targets that contribute.

use crate::order::{OrderError, RunEnd, StreamOrder};
use crate::splitter::EventSplitter;

/// Largest event of a stream that may be resumed, in bytes. A larger event is passed on in parts,
/// and its stream can't be resumed from then on.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Largest event whose id is checked if parts of it are passed on at once, in bytes.
const MAX_CHECKED_BYTES: usize = 16 << 10;

/// What follows from received bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PushedBytes {
    /// Bytes that are passed on.
    pub passed: Vec<u8>,
    /// An error if the run is not part of the stream after `passed`.
    pub result: Result<(), OrderError>,
}

/// Splits the run of each target into events and passes on those that come next.
#[derive(Clone, Debug)]
pub struct OrderedEvents {
    splitter: EventSplitter,
    order: StreamOrder,
    /// Whether parts of events are passed on at once. Otherwise only whole events are, until one
    /// is too large, as the stream can't be resumed after its first part.
    passes_parts: bool,
    /// Bytes of the incomplete event that were passed on.
    partial_passed: usize,
}

impl OrderedEvents {
    /// Creates the events of a stream that may be resumed, of which whole events are passed on.
    /// Its caller takes it up after event `last_id`, or it begins.
    pub fn resumable(last_id: Option<u64>) -> Self {
        let order = last_id.map_or_else(StreamOrder::new, StreamOrder::taken_up);
        let splitter = EventSplitter::new(MAX_EVENT_BYTES);
        Self { splitter, order, passes_parts: false, partial_passed: 0 }
    }

    /// Creates the events of a stream of one run, of which parts are passed on at once.
    pub fn of_one_run() -> Self {
        let splitter = EventSplitter::new(MAX_CHECKED_BYTES);
        Self { splitter, order: StreamOrder::of_one_run(), passes_parts: true, partial_passed: 0 }
    }

    /// Appends bytes of the current run. After an error, the run must not be read any further.
    pub fn push(&mut self, bytes: &[u8]) -> PushedBytes {
        let mut passed = Vec::with_capacity(bytes.len());
        let mut pieces = self.splitter.push(bytes).into_iter();
        let result = pieces.try_for_each(|piece| self.order.push(piece, &mut passed));
        self.passes_parts |= self.order.has_passed_part();
        if self.passes_parts {
            if result.is_ok() {
                passed.extend_from_slice(self.splitter.partial());
            }
            passed.drain(..self.partial_passed.min(passed.len()));
            self.partial_passed = self.splitter.partial().len();
        }
        PushedBytes { passed, result }
    }

    /// Ends the current run, whose bytes have ended.
    ///
    /// # Errors
    /// Returns an error if nothing proves that the stream is whole.
    pub fn end_run(&mut self, end: RunEnd) -> Result<(), OrderError> {
        if self.splitter.is_in_event() {
            return Err(OrderError::InEvent);
        }
        self.order.end_run(end)
    }

    /// Returns what is left of a stream that may end: a comment without a line end.
    pub fn take_rest(&mut self) -> Vec<u8> {
        let rest = self.splitter.partial().get(self.partial_passed..).unwrap_or_default().to_vec();
        self.splitter.restart();
        rest
    }

    /// Begins the run of another target, which is to go on after
    /// [`OrderedEvents::resume_id`].
    /// Discards the incomplete event of the run before.
    pub fn begin_run(&mut self) {
        let was_in_event = self.splitter.is_in_event();
        self.splitter.restart();
        self.order.begin_run(was_in_event);
    }

    /// Whether the run of another target may go on with the stream.
    pub fn can_resume(&self) -> bool {
        !self.passes_parts && self.order.can_resume()
    }

    /// Whether the current run is to go on with the stream, and it is not known yet that it does.
    /// Nothing is passed on before.
    pub fn is_unplaced(&self) -> bool {
        self.order.is_unplaced()
    }

    /// Whether an event was passed on, at least in part.
    pub fn has_passed_event(&self) -> bool {
        self.order.has_passed_event()
    }

    /// Whether the current run is inside an event.
    pub fn is_in_event(&self) -> bool {
        self.splitter.is_in_event()
    }

    /// Returns the id of the event after which the next run is to go on: the last one, or the one
    /// before if the run is to have the last one once more. `None` if it is to begin the stream.
    pub fn resume_id(&self) -> Option<u64> {
        self.order.resume_id()
    }

    /// Returns the id of the last event that the caller has.
    pub fn last_id(&self) -> Option<u64> {
        self.order.last_id()
    }
}
