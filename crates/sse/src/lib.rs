//! Boundaries of server-sent events in a byte stream. Does no I/O.

mod boundary;
mod splitter;
mod trace;

pub use boundary::{EventBoundary, TruncationError};
pub use splitter::EventSplitter;
pub use trace::EventTrace;
