//! One connection and one request on it.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;

/// Time after which unacknowledged bytes end a connection: well under the time
/// that callers wait for a first byte, well over a few lost packets.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Silence after which a quiet connection is probed.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why a request brought no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// Nothing was written: the request did not run.
    #[error("step={step} peer={peer}: {cause}")]
    NotSent { step: &'static str, peer: SocketAddr, cause: String },
    /// Something was written: the request may have run.
    #[error("step=exchange peer={peer}: {cause}")]
    Sent { peer: SocketAddr, cause: String },
}

/// An open connection that serves one request at a time.
#[derive(Debug)]
pub struct Connection {
    pub peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Opens a connection.
///
/// # Errors
/// [`ExchangeError::NotSent`]: it is refused, or not open within `timeout`.
pub async fn connect(peer: SocketAddr, timeout: Duration) -> Result<Connection, ExchangeError> {
    let failed = |cause: String| ExchangeError::NotSent { step: "connect", peer, cause };
    let opening = tokio::time::timeout(timeout, TcpStream::connect(peer));
    let stream = match opening.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(failed(cause.to_string())),
        Err(_) => return Err(failed(format!("no connection in {} ms", timeout.as_millis()))),
    };
    if let Err(cause) = set_options(&stream) {
        tracing::debug!(unit = "outbound", event = "socket_option_refused", %peer, %cause);
    }
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).preserve_header_case(false);
    let shaken = builder.handshake(TokioIo::new(stream)).await;
    let (sender, driver) = shaken.map_err(|cause| failed(cause.to_string()))?;
    tokio::task::spawn_local(async move {
        // What the driver ends with reaches the sender or the body as well.
        if let Err(cause) = driver.await {
            tracing::trace!(unit = "outbound", event = "connection_ended", %peer, %cause);
        }
    });
    Ok(Connection { peer, sender })
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_AFTER)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

impl Connection {
    /// Sends a request and waits for the head of its answer. Dropping the
    /// future closes the connection.
    ///
    /// # Errors
    /// No answer; the variant tells whether anything was written.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let peer = self.peer;
        if let Err(cause) = self.sender.ready().await {
            return Err(ExchangeError::NotSent { step: "reuse", peer, cause: cause.to_string() });
        }
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let cause = chain(error.into_error());
            if is_unsent {
                return ExchangeError::NotSent { step: "send", peer, cause };
            }
            ExchangeError::Sent { peer, cause }
        })
    }

    /// Whether another request may be sent now.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

/// An error with what caused it.
fn chain(error: hyper::Error) -> String {
    use std::error::Error;
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
