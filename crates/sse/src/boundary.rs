//! Tracks where events end in a byte stream.

use thiserror::Error;

/// Place of the next byte within the lines of an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LinePlace {
    /// At the start of a line, outside an event.
    #[default]
    Outside,
    /// In a comment line outside an event.
    OutsideComment,
    /// At the start of a line, inside an event.
    LineStart,
    /// Within a line of an event.
    InLine,
}

/// Tells whether a byte stream is inside an event. An event ends with an empty
/// line; lines end with LF, CRLF or CR.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EventBoundary {
    place: LinePlace,
    /// Whether the last byte was a CR; an LF after it belongs to the same line end.
    is_after_cr: bool,
    /// Whether an event has ended.
    has_event: bool,
}

/// Why a stream whose bytes have ended is not complete.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TruncationError {
    #[error("stream ended inside an event")]
    InEvent,
    #[error("stream without a length ended before its first event")]
    NoEvent,
}

impl EventBoundary {
    /// Advances over `bytes`. Returns the length of the part of `bytes` after which
    /// the stream was at the start of a line outside of events for the last time, 0 if
    /// it never was.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut outside_len = 0;
        for (index, byte) in bytes.iter().enumerate() {
            self.advance_byte(*byte);
            if self.place == LinePlace::Outside {
                outside_len = index + 1;
            }
        }
        outside_len
    }

    /// Checks whether the stream may end here. `is_marked` tells whether its sender
    /// marked the end, by a length or a last chunk. Otherwise the stream ended with its
    /// connection, which a sender that fails closes too.
    ///
    /// # Errors
    /// Returns an error if the stream was broken off.
    pub fn check_end(&self, is_marked: bool) -> Result<(), TruncationError> {
        if self.is_in_event() {
            return Err(TruncationError::InEvent);
        }
        if !is_marked && !self.has_event {
            return Err(TruncationError::NoEvent);
        }
        Ok(())
    }

    /// Whether an event has ended.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Whether the stream is inside an event: an event has begun, and its empty line
    /// has not been received.
    pub fn is_in_event(&self) -> bool {
        matches!(self.place, LinePlace::LineStart | LinePlace::InLine)
    }

    fn advance_byte(&mut self, byte: u8) {
        let is_rest_of_crlf = byte == b'\n' && self.is_after_cr;
        self.is_after_cr = byte == b'\r';
        if is_rest_of_crlf {
            return;
        }
        let is_line_end = matches!(byte, b'\n' | b'\r');
        self.has_event |= self.place == LinePlace::LineStart && is_line_end;
        self.place = match self.place {
            LinePlace::Outside | LinePlace::OutsideComment | LinePlace::LineStart
                if is_line_end =>
            {
                LinePlace::Outside
            }
            LinePlace::InLine if is_line_end => LinePlace::LineStart,
            LinePlace::Outside if byte == b':' => LinePlace::OutsideComment,
            LinePlace::OutsideComment => LinePlace::OutsideComment,
            LinePlace::Outside | LinePlace::LineStart | LinePlace::InLine => LinePlace::InLine,
        };
    }
}
