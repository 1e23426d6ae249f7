//! Boundaries of server-sent events in a byte stream. Does no I/O.

mod boundary;
mod splitter;

pub use boundary::{EventBoundary, TruncationError};
pub use splitter::EventSplitter;
