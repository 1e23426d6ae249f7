//! Splits an event stream into complete events, so that a stream that breaks off
//! in the middle of an event can be resumed from another target.

use hyper::body::Bytes;

/// Largest event that is buffered until it is complete, in bytes. A larger
/// event is passed on in parts.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers the part of an event whose end has not been received yet.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: Vec<u8>,
    /// Last event id that was passed on.
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete, or
    /// everything that is buffered if that exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = self.partial.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
        let end = end.unwrap_or(if self.partial.len() > MAX_EVENT_BYTES {
            self.partial.len()
        } else {
            0
        });
        let complete: Vec<u8> = self.partial.drain(..end).collect();
        for line in complete.split(|byte| *byte == b'\n') {
            let id = line.strip_prefix(b"id:").and_then(|id| std::str::from_utf8(id).ok());
            if let Some(id) = id.and_then(|id| id.trim().parse().ok()) {
                self.last_id = Some(id);
            }
        }
        Bytes::from(complete)
    }

    /// Returns the last event id that was passed on.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the incomplete event of a stream that broke off.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the bytes after the last complete event, once the stream has ended.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        Bytes::from(std::mem::take(&mut self.partial))
    }
}
