//! Splits an event stream into complete events, so that a stream that breaks off
//! inside an event can be resumed from another target.

use crate::boundary::EventBoundary;

/// Largest event that is buffered until it is complete, in bytes. A larger
/// event is passed on in parts, and its stream can't be resumed from then on.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers the part of an event whose end has not been received yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    boundary: EventBoundary,
    partial: Vec<u8>,
    /// Last event id that was passed on.
    last_id: Option<u64>,
    /// Whether part of an event was passed on before its end.
    has_passed_part: bool,
    /// Whether an event was passed on, at least in part.
    has_passed_event: bool,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete, or
    /// everything that is buffered if that exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let buffered_len = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let mut end = match self.boundary.advance(bytes) {
            0 => 0,
            outside_len => buffered_len + outside_len,
        };
        self.has_passed_part |= end == 0 && self.partial.len() > MAX_EVENT_BYTES;
        if self.has_passed_part {
            end = self.partial.len();
        }
        let complete: Vec<u8> = self.partial.drain(..end).collect();
        let has_event = self.boundary.has_event() || self.has_passed_part;
        self.has_passed_event |= !complete.is_empty() && has_event;
        for line in complete.split(|byte| matches!(byte, b'\n' | b'\r')) {
            let id = line.strip_prefix(b"id:").and_then(|id| std::str::from_utf8(id).ok());
            if let Some(id) = id.and_then(|id| id.trim().parse().ok()) {
                self.last_id = Some(id);
            }
        }
        complete
    }

    /// Whether another target may go on after [`EventSplitter::last_id`].
    pub fn can_resume(&self) -> bool {
        !self.has_passed_part
    }

    /// Whether an event was passed on, at least in part.
    pub fn has_passed_event(&self) -> bool {
        self.has_passed_event
    }

    /// Returns the last event id that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the incomplete event of a stream that broke off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.boundary = EventBoundary::default();
    }

    /// Returns the bytes after the last complete event, once the stream has ended.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}
