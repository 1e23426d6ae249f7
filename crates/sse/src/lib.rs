//! Boundaries of server-sent events in a byte stream. Does no I/O.

mod boundary;

pub use boundary::EventBoundary;
