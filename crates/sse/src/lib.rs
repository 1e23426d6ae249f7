//! Server-sent events in byte streams: where they end, and whether the run of a target goes on
//! with the stream that a caller has. Does no I/O.

mod boundary;
mod events;
mod order;
mod splitter;
mod tokens;
mod trace;

pub use boundary::EventBoundary;
pub use events::{OrderedEvents, PushedBytes};
pub use order::{OrderError, RunEnd};
pub use tokens::{TokenError, TokenOrder, TokenPlace};
pub use trace::EventTrace;
