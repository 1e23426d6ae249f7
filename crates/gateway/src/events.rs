//! Cuts a stream into whole events, so that one that broke off in the middle
//! of an event can go on elsewhere.

use hyper::body::Bytes;

/// Largest event that is held back to be whole, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Holds back the part of an event that has not ended.
#[derive(Debug, Default)]
pub(crate) struct EventCutter {
    partial: Vec<u8>,
    /// Id of the last whole event.
    last_id: Option<u64>,
}

impl EventCutter {
    /// Takes bytes in and gives back the whole events among them.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = self.partial.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
        let end = end.unwrap_or(if self.partial.len() > MAX_EVENT_BYTES {
            self.partial.len()
        } else {
            0
        });
        let whole: Vec<u8> = self.partial.drain(..end).collect();
        for line in whole.split(|byte| *byte == b'\n') {
            let id = line.strip_prefix(b"id:").and_then(|id| std::str::from_utf8(id).ok());
            if let Some(id) = id.and_then(|id| id.trim().parse().ok()) {
                self.last_id = Some(id);
            }
        }
        Bytes::from(whole)
    }

    /// Id of the last whole event that was given back.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops a part of an event whose stream broke off.
    pub(crate) fn forget_partial(&mut self) {
        self.partial.clear();
    }

    /// Bytes after the last whole event, at the end of a whole stream.
    pub(crate) fn rest(&mut self) -> Bytes {
        Bytes::from(std::mem::take(&mut self.partial))
    }
}
