//! Fetches complete responses from the platform and from other routers over a
//! reused connection.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Builder;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use thiserror::Error;

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
}

impl FetchError {
    /// Whether this machine lacked resources of its own, which says nothing about the peer.
    pub fn is_local_exhaustion(&self) -> bool {
        matches!(self, Self::Exchange(ExchangeError::Exhausted { .. }))
    }

    /// Whether time ran out. Says nothing about the peer if the thread that waited was late
    /// itself.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Timeout { .. } | Self::Exchange(ExchangeError::TimedOut { .. }))
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
    /// Returns an error if the exchange fails or the complete response doesn't
    /// arrive within `timeout`.
    pub async fn fetch(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, FetchError> {
        let request = Request::builder().method(method).uri(path);
        self.fetch_request(request, body, timeout).await
    }

    /// Sends a request and reads the whole response. `timeout` covers the
    /// entire exchange, including opening a connection. The connection is
    /// reused only after a successful exchange.
    ///
    /// # Errors
    /// Returns an error if the exchange fails or the complete response doesn't
    /// arrive within `timeout`.
    pub async fn fetch_request(
        &mut self,
        request: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, FetchError> {
        let peer = self.peer;
        let idle = self.idle.take().filter(Connection::is_idle);
        let request = request
            .header(http::header::HOST, peer.to_string())
            .body(Full::new(body))
            .map_err(|cause| FetchError::Request { peer, cause: cause.to_string() })?;
        let max_body_bytes = self.max_body_bytes;
        let exchange = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(peer, timeout).await?,
            };
            let (head, body) = connection.exchange(request).await?.into_parts();
            let body = read_body(body, max_body_bytes).await;
            let body = body.map_err(|cause| FetchError::Body { peer, cause })?;
            Ok((connection, Response::from_parts(head, body)))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok((connection, response))) => {
                self.idle = Some(connection);
                Ok(response)
            }
            Ok(Err(cause)) => Err(cause),
            Err(_) => Err(FetchError::Timeout { peer, waited_ms: timeout.as_millis() }),
        }
    }
}

/// Reads a body of up to `max_bytes`. It is copied into one buffer, as chunks of a few bytes
/// would each take many times their length.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, String> {
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| cause.to_string())?;
        let Some(bytes) = frame.data_ref() else { continue };
        if received.len() + bytes.len() > max_bytes {
            return Err(format!("body has over {max_bytes} bytes"));
        }
        received.extend_from_slice(bytes);
    }
    Ok(received.into())
}
