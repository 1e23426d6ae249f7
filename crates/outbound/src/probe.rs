//! Tells whether a process listens at an address.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Time from the end of a connection to the first attempt to connect again. The system may close the
/// connections of a killed process a moment before the socket at which it listens.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(20);

/// What an attempt to connect shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenerState {
    /// A connection was established.
    Listening,
    /// The machine refuses connections: no process listens.
    Refused,
    /// The peer did not respond, or this machine lacks something to connect.
    Unknown,
}

/// Tries to connect to `peer` and closes the connection at once.
pub async fn probe_listener(peer: SocketAddr, timeout: Duration) -> ListenerState {
    match tokio::time::timeout(timeout, TcpStream::connect(peer)).await {
        Ok(Ok(_)) => ListenerState::Listening,
        Ok(Err(cause)) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            ListenerState::Refused
        }
        Ok(Err(_)) | Err(_) => ListenerState::Unknown,
    }
}

/// Like [`probe_listener`], after a connection to `peer` has ended: waits until the system has closed
/// what else a killed process had open.
pub async fn probe_after_end(peer: SocketAddr, timeout: Duration) -> ListenerState {
    tokio::time::sleep(SETTLE_TIME).await;
    probe_listener(peer, timeout).await
}
