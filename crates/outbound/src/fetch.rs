//! Fetches complete responses from the platform and from other routers over a
//! reused connection.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Builder;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use thiserror::Error;
use tokio::time::Instant;

use crate::connection::{Connection, ExchangeError, connect};

/// Why a fetch failed.
#[derive(Debug, Error)]
pub enum FetchError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("step=build_request peer={peer}: {cause}")]
    Request { peer: SocketAddr, cause: String },
    #[error("step=read_body peer={peer}: {cause}")]
    Body { peer: SocketAddr, cause: String },
    #[error("step=fetch peer={peer}: no answer in {waited_ms} ms")]
    Timeout { peer: SocketAddr, waited_ms: u128 },
    #[error("step=read_body peer={peer}: under {PART_BYTES} bytes in {waited_ms} ms")]
    Stalled { peer: SocketAddr, waited_ms: u128 },
}

/// Bytes of a body that have to arrive in the time for a part.
pub const PART_BYTES: usize = 16 << 10;

/// Time limits of a fetch.
#[derive(Clone, Copy, Debug)]
pub struct FetchTimeouts {
    /// Until the head of the response has arrived, including opening a connection.
    pub head: Duration,
    /// For each [`PART_BYTES`] of the body, and for what is left of it. A peer that sends a byte
    /// now and then is not waited for.
    pub part: Duration,
    /// For the whole exchange.
    pub total: Duration,
}

impl From<Duration> for FetchTimeouts {
    /// Limits the whole exchange only.
    fn from(total: Duration) -> Self {
        Self { head: total, part: total * 2, total }
    }
}

impl FetchError {
    /// Whether this machine lacked resources of its own, which says nothing about the peer.
    pub fn is_local_exhaustion(&self) -> bool {
        matches!(self, Self::Exchange(ExchangeError::Exhausted { .. }))
    }

    /// Whether time ran out. Says nothing about the peer if the thread that waited was late
    /// itself.
    pub fn is_timeout(&self) -> bool {
        matches!(
            self,
            Self::Timeout { .. }
                | Self::Stalled { .. }
                | Self::Exchange(ExchangeError::TimedOut { .. })
        )
    }
}

/// Fetches response bodies from one peer, one request at a time.
#[derive(Debug)]
pub struct FetchClient {
    peer: SocketAddr,
    max_body_bytes: usize,
    idle: Option<Connection>,
}

impl FetchClient {
    /// Creates a client of `peer` that accepts response bodies of up to
    /// `max_body_bytes`.
    pub fn new(peer: SocketAddr, max_body_bytes: usize) -> Self {
        Self { peer, max_body_bytes, idle: None }
    }

    /// Sends a request without headers of its own; see [`FetchClient::fetch_request`].
    ///
    /// # Errors
    /// Returns an error if the exchange fails or exceeds a time limit.
    pub async fn fetch(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeouts: impl Into<FetchTimeouts>,
    ) -> Result<Response<Bytes>, FetchError> {
        let request = Request::builder().method(method).uri(path);
        self.fetch_request(request, body, timeouts).await
    }

    /// Sends a request and reads the whole response. The connection is reused only after a
    /// successful exchange.
    ///
    /// # Errors
    /// Returns an error if the exchange fails or exceeds a time limit.
    pub async fn fetch_request(
        &mut self,
        request: Builder,
        body: Bytes,
        timeouts: impl Into<FetchTimeouts>,
    ) -> Result<Response<Bytes>, FetchError> {
        let FetchTimeouts { head, part, total } = timeouts.into();
        let peer = self.peer;
        let idle = self.idle.take().filter(Connection::is_idle);
        let request = request
            .header(http::header::HOST, peer.to_string())
            .body(Full::new(body))
            .map_err(|cause| FetchError::Request { peer, cause: cause.to_string() })?;
        let max_body_bytes = self.max_body_bytes;
        let timed_out =
            |limit: Duration| FetchError::Timeout { peer, waited_ms: limit.as_millis() };
        let begin = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(peer, head).await?,
            };
            let response = connection.exchange(request).await?;
            Ok::<_, FetchError>((connection, response))
        };
        let exchange = async {
            let begun = tokio::time::timeout(head, begin).await;
            let (connection, response) = begun.map_err(|_| timed_out(head))??;
            let (parts, body) = response.into_parts();
            let body = read_body(peer, body, max_body_bytes, part).await?;
            Ok((connection, Response::from_parts(parts, body)))
        };
        match tokio::time::timeout(total, exchange).await {
            Ok(Ok((connection, response))) => {
                self.idle = Some(connection);
                Ok(response)
            }
            Ok(Err(cause)) => Err(cause),
            Err(_) => Err(timed_out(total)),
        }
    }
}

/// Reads a body of up to `max_bytes`, of which each part arrives within `part`. It is copied into
/// one buffer, as chunks of a few bytes would each take many times their length.
async fn read_body(
    peer: SocketAddr,
    mut body: Incoming,
    max_bytes: usize,
    part: Duration,
) -> Result<Bytes, FetchError> {
    let failed = |cause: String| FetchError::Body { peer, cause };
    let mut received = Vec::new();
    let mut part_bytes = 0;
    let mut deadline = Instant::now() + part;
    loop {
        let next = tokio::time::timeout_at(deadline, body.frame()).await;
        let next = next.map_err(|_| FetchError::Stalled { peer, waited_ms: part.as_millis() })?;
        let Some(frame) = next else { return Ok(received.into()) };
        let frame = frame.map_err(|cause| failed(cause.to_string()))?;
        let Some(bytes) = frame.data_ref() else { continue };
        if received.len() + bytes.len() > max_bytes {
            return Err(failed(format!("body has over {max_bytes} bytes")));
        }
        received.extend_from_slice(bytes);
        part_bytes += bytes.len();
        if part_bytes >= PART_BYTES {
            part_bytes = 0;
            deadline = Instant::now() + part;
        }
    }
}
