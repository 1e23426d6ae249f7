//! A connection that carries one request at a time.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

use crate::exhaustion::{is_caused_by_exhaustion, is_local_exhaustion};
use crate::socket::{ConnectionSocket, ReadSize, SocketWatch};

/// Statuses of a final response (RFC 9110, section 15). No request asks for another protocol, which a
/// status below would announce.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// How long sent bytes may stay unacknowledged before the connection is closed.
/// Well below the time that callers wait for a first byte, and well above the
/// time needed to recover a few lost packets.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest accepted response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Number of interim responses (status 1xx) that may precede a response. Peers send one or
/// two of them, and only a limit ends those of a peer that never responds.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was written, so it did not run.
    #[error("step={step} peer={peer}: {cause}")]
    NotSent { step: &'static str, peer: SocketAddr, cause: String },
    /// No connection was established in time, so the request did not run. Says nothing
    /// about the peer if the thread that waited was late itself.
    #[error("step=connect peer={peer}: no connection in {waited_ms} ms")]
    TimedOut { peer: SocketAddr, waited_ms: u128 },
    /// This machine lacks descriptors, buffers, memory or local ports, which says nothing
    /// about the peer. The request may have run if `is_sent`.
    #[error("step={step} peer={peer}: {cause}")]
    Exhausted { step: &'static str, peer: SocketAddr, cause: String, is_sent: bool },
    /// At least part of the request was written, so it may have run.
    #[error("step=exchange peer={peer}: {cause}")]
    Sent { peer: SocketAddr, cause: String },
}

/// Step of a connection that the machine of the peer refused.
const REFUSED_STEP: &str = "connect_refused";

impl ExchangeError {
    /// Whether the machine of the peer refused the connection, as no process listens.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent { step: REFUSED_STEP, .. })
    }

    /// Whether no byte of the request was written.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::TimedOut { .. } => true,
            Self::Exhausted { is_sent, .. } => !is_sent,
            Self::Sent { .. } => false,
        }
    }
}

/// An open connection that serves one request at a time.
#[derive(Debug)]
pub struct Connection {
    pub peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    socket: SocketWatch,
    /// Whether a request was sent, so that responses to earlier ones may still arrive.
    is_used: bool,
}

/// Opens a connection to `peer`. Must be called within a `LocalSet`, which then
/// drives the connection.
///
/// # Errors
/// Returns an error for which [`ExchangeError::is_unsent`] holds if the connection is
/// refused, is not established within `timeout`, or can't be opened for a local lack.
pub async fn connect(peer: SocketAddr, timeout: Duration) -> Result<Connection, ExchangeError> {
    connect_with(peer, timeout, None).await
}

/// Like [`connect`]. The system buffers about `receive_buffer` bytes, doubled by Linux, that the
/// peer has sent and that are not read, and few are read at once: a response that its caller does not
/// take is not read.
///
/// # Errors
/// Returns the same errors as [`connect`].
pub async fn connect_buffered(
    peer: SocketAddr,
    timeout: Duration,
    receive_buffer: usize,
) -> Result<Connection, ExchangeError> {
    connect_with(peer, timeout, Some(receive_buffer)).await
}

async fn connect_with(
    peer: SocketAddr,
    timeout: Duration,
    receive_buffer: Option<usize>,
) -> Result<Connection, ExchangeError> {
    let not_sent = |cause: String| ExchangeError::NotSent { step: "connect", peer, cause };
    let connecting = tokio::time::timeout(timeout, open_stream(peer, receive_buffer));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) if is_local_exhaustion(&cause) => {
            let cause = cause.to_string();
            return Err(ExchangeError::Exhausted { step: "connect", peer, cause, is_sent: false });
        }
        Ok(Err(cause)) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            let cause = cause.to_string();
            return Err(ExchangeError::NotSent { step: REFUSED_STEP, peer, cause });
        }
        Ok(Err(cause)) => return Err(not_sent(cause.to_string())),
        Err(_) => return Err(ExchangeError::TimedOut { peer, waited_ms: timeout.as_millis() }),
    };
    if let Err(cause) = set_options(&stream) {
        tracing::debug!(unit = "outbound", event = "socket_option_refused", %peer, %cause);
    }
    let read_size = receive_buffer.map_or(ReadSize::Any, |_| ReadSize::Small);
    let (stream, socket) = ConnectionSocket::new(stream, read_size);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES).preserve_header_case(false);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(|cause| not_sent(cause.to_string()))?;
    tokio::task::spawn_local(async move {
        // The sender or the response body reports the same error, so it is
        // only traced here.
        if let Err(cause) = driver.await {
            tracing::trace!(unit = "outbound", event = "connection_ended", %peer, %cause);
        }
    });
    Ok(Connection { peer, sender, socket, is_used: false })
}

/// Opens a connection. Its receive buffer is set before, as a window that was offered to the peer is
/// not taken back.
async fn open_stream(peer: SocketAddr, receive_buffer: Option<usize>) -> io::Result<TcpStream> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes.try_into().unwrap_or(u32::MAX))?;
    }
    socket.connect(peer).await
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

impl Connection {
    /// Whether a request was sent on this connection.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Sends a request and waits for the response head. Dropping the future
    /// closes the connection.
    ///
    /// # Errors
    /// Returns an error if no response arrives, or one whose status is not that of a final response;
    /// its variant tells whether any part of the request was written.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let peer = self.peer;
        if let Err(cause) = self.sender.ready().await {
            return Err(ExchangeError::NotSent { step: "reuse", peer, cause: cause.to_string() });
        }
        self.is_used = true;
        let excess = watch_interim_responses(&mut request);
        let result = tokio::select! {
            biased;
            () = excess.notified() => {
                let cause = format!("over {MAX_INTERIM_RESPONSES} interim responses");
                return Err(ExchangeError::Sent { peer, cause });
            }
            result = self.sender.try_send_request(request) => result,
        };
        let response = result.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let error = error.into_error();
            let is_exhausted = is_caused_by_exhaustion(&error);
            let cause = format_with_sources(&error);
            if is_exhausted {
                let is_sent = !is_unsent;
                return ExchangeError::Exhausted { step: "exchange", peer, cause, is_sent };
            }
            if is_unsent {
                return ExchangeError::NotSent { step: "send", peer, cause };
            }
            ExchangeError::Sent { peer, cause }
        })?;
        // Statuses of 0 to 99 are refused by the HTTP client.
        if !FINAL_STATUSES.contains(&response.status().as_u16()) {
            let cause = format!("status {} ends no response", response.status().as_u16());
            return Err(ExchangeError::Sent { peer, cause });
        }
        Ok(response)
    }

    /// Whether the peer has ended the connection before it had the whole request.
    pub fn has_cut_request(&self) -> bool {
        self.socket.is_cut()
    }

    /// Whether the connection can take another request now: nothing has arrived since its last
    /// response, and its peer has not closed it.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready() && self.socket.is_silent()
    }
}

/// Returns what is notified when `request` gets too many interim responses.
fn watch_interim_responses(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let (notified, count) = (Arc::clone(&excess), AtomicUsize::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            notified.notify_one();
        }
    });
    excess
}

/// Formats an error together with its sources.
pub fn format_with_sources(error: &dyn StdError) -> String {
    let sources = std::iter::successors(error.source(), |&cause| cause.source());
    sources.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}
