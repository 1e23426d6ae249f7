//! Tracks where events end in a byte stream.

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
}

impl EventBoundary {
    /// Advances over `bytes`.
    pub fn advance(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.advance_byte(*byte));
    }

    /// Whether the stream is at the start of a line, outside of events.
    pub fn is_outside(&self) -> bool {
        self.place == LinePlace::Outside
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
