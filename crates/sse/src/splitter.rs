//! Splits an event stream into complete events.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::boundary::EventBoundary;

/// Id of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventId {
    /// None, or one that is no number.
    Unknown,
    Number(u64),
}

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    pub(crate) bytes: Vec<u8>,
    pub(crate) id: EventId,
}

impl StreamEvent {
    /// Returns a hash of the event's lines, whatever ends them.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        lines(&self.bytes).for_each(|line| line.hash(&mut hasher));
        hasher.finish()
    }
}

/// A part of a stream. All parts together are the bytes of the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamPiece {
    Event(StreamEvent),
    /// Comments, empty lines, and fields that make no event without data or an id.
    Filler(Vec<u8>),
    /// A part of an event that is too large to be buffered. Its first part has the event's id, if
    /// that is a number and comes early enough.
    Part {
        bytes: Vec<u8>,
        id: Option<u64>,
    },
}

/// Buffers the part of an event whose end has not been received yet.
#[derive(Clone, Debug)]
pub(crate) struct EventSplitter {
    boundary: EventBoundary,
    /// Largest event that is buffered until it is complete, in bytes.
    max_event_bytes: usize,
    partial: Vec<u8>,
    /// Whether part of the current event was returned.
    has_returned_part: bool,
}

impl EventSplitter {
    pub(crate) fn new(max_event_bytes: usize) -> Self {
        let boundary = EventBoundary::default();
        Self { boundary, max_event_bytes, partial: Vec::new(), has_returned_part: false }
    }

    /// Begins the run of another target. Discards the incomplete event of the run before.
    pub(crate) fn restart(&mut self) {
        *self = Self::new(self.max_event_bytes);
    }

    /// Appends received bytes and returns what is complete now, or everything that is
    /// buffered if an event is too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<StreamPiece> {
        let mut pieces = Vec::new();
        let mut start = 0;
        for (index, byte) in bytes.iter().enumerate() {
            let was_in_event = self.boundary.is_in_event();
            self.boundary.advance(std::slice::from_ref(byte));
            // The LF of a CRLF belongs to the line that the CR ended.
            if self.boundary.is_outside() && index >= start {
                let is_crlf = bytes[index..].starts_with(b"\r\n");
                let end = index + 1 + usize::from(is_crlf);
                self.partial.extend_from_slice(&bytes[start..end]);
                start = end;
                pieces.push(self.take_complete(was_in_event));
            }
        }
        self.partial.extend_from_slice(&bytes[start..]);
        let is_first = !self.has_returned_part;
        self.has_returned_part |= self.partial.len() > self.max_event_bytes;
        if self.has_returned_part && !self.partial.is_empty() {
            let bytes = std::mem::take(&mut self.partial);
            let id = if is_first { started_id(&bytes) } else { None };
            pieces.push(StreamPiece::Part { bytes, id });
        }
        pieces
    }

    fn take_complete(&mut self, is_event: bool) -> StreamPiece {
        let bytes = std::mem::take(&mut self.partial);
        if std::mem::take(&mut self.has_returned_part) {
            StreamPiece::Part { bytes, id: None }
        } else {
            complete_piece(bytes, is_event)
        }
    }

    /// Whether the stream is inside an event.
    pub(crate) fn is_in_event(&self) -> bool {
        self.boundary.is_in_event()
    }

    /// Returns the bytes of the event or the comment that has not ended.
    pub(crate) fn partial(&self) -> &[u8] {
        &self.partial
    }
}

fn complete_piece(bytes: Vec<u8>, is_event: bool) -> StreamPiece {
    let id = event_id(&bytes);
    let has_data = lines(&bytes).any(|line| field(line, b"data").is_some());
    if is_event && (has_data || id.is_some()) {
        StreamPiece::Event(StreamEvent { bytes, id: id.unwrap_or(EventId::Unknown) })
    } else {
        StreamPiece::Filler(bytes)
    }
}

/// Returns the lines that are not empty, without what ends them.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| matches!(byte, b'\n' | b'\r')).filter(|line| !line.is_empty())
}

/// Returns the value of a line if its field has the name `name`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    match line.strip_prefix(name)? {
        [] => Some(&[]),
        [b':', value @ ..] => Some(value),
        _ => None,
    }
}

/// Returns the id of an event, `None` if it has no id field.
fn event_id(bytes: &[u8]) -> Option<EventId> {
    let value = lines(bytes).filter_map(|line| field(line, b"id")).last()?;
    let number = std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
    Some(number.map_or(EventId::Unknown, EventId::Number))
}

/// Returns the id of an event whose last line may be incomplete.
fn started_id(bytes: &[u8]) -> Option<u64> {
    let end = bytes.iter().rposition(|byte| matches!(byte, b'\n' | b'\r'))?;
    match event_id(&bytes[..end])? {
        EventId::Number(id) => Some(id),
        EventId::Unknown => None,
    }
}
