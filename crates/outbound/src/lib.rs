//! HTTP/1.1 client connections to targets, other routers and the platform. In
//! this crate, a peer is the remote end of a connection.
//!
//! The code that sends a request holds the connection itself, nothing is retried
//! implicitly, and errors distinguish requests that were not sent from those that
//! were, and a lack of this machine's own resources from a fault of the peer.

mod connection;
mod ending;
mod exhaustion;
mod fetch;
mod framing;
mod pool;
mod probe;
mod socket;

pub use connection::{Connection, ExchangeError, connect, connect_buffered, format_with_sources};
pub use ending::{AnswerContent, AnswerEnd, EndEvidence, UnprovedEnd};
pub use exhaustion::is_local_exhaustion;
pub use fetch::{FetchClient, FetchError, FetchTimeouts, PART_BYTES};
pub use framing::BodyFraming;
pub use pool::{ConnectionPool, PoolKey, PoolSettings, max_idle_connections};
pub use probe::{ListenerState, probe_after_end, probe_listener};
