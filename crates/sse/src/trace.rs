//! Records the ids of the events that a caller receives, for the log.

/// Largest part of a line that is kept until its end, in bytes. An id line is shorter.
const MAX_LINE_BYTES: usize = 64;

/// The events of a stream as its caller receives them, across all targets that contributed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventTrace {
    /// Start of the line that has not ended yet.
    line: Vec<u8>,
    /// Number of ids that are numbers.
    pub events: u64,
    pub first_id: Option<u64>,
    pub last_id: Option<u64>,
    /// Number of ids that are not higher than the one before.
    pub backward_steps: u64,
    /// Largest difference between an id and the one before.
    pub largest_step: u64,
}

impl EventTrace {
    /// Appends bytes that are passed on.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if matches!(byte, b'\n' | b'\r') {
                self.end_line();
            } else if self.line.len() < MAX_LINE_BYTES {
                self.line.push(*byte);
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let id = line.strip_prefix(b"id:").and_then(|id| std::str::from_utf8(id).ok());
        let Some(id) = id.and_then(|id| id.trim().parse().ok()) else { return };
        self.events += 1;
        self.first_id = self.first_id.or(Some(id));
        if let Some(last) = self.last_id.replace(id) {
            self.backward_steps += u64::from(id <= last);
            self.largest_step = self.largest_step.max(id.saturating_sub(last));
        }
    }
}
