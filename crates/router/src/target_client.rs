//! Sends requests to targets.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use outbound::{BodyFraming, Connection, ExchangeError, connect_buffered};

/// Time to open a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) content_type: Option<&'a str>,
    pub(crate) body: Bytes,
    /// Size of the socket's receive buffer, in bytes.
    pub(crate) receive_buffer: usize,
}

/// A response of a target whose head has been read. Dropping it closes its connection.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    response: Response<Incoming>,
    framing: BodyFraming,
    connection: Connection,
}

/// Sends a request on a new connection, so that a late or duplicate response cannot be
/// taken for the response to a later request.
///
/// # Errors
/// Returns an error if no response arrives; its variant tells whether any part of the
/// request was written.
pub(crate) async fn send_to_target(
    address: SocketAddr,
    request: TargetRequest<'_>,
) -> Result<TargetResponse, ExchangeError> {
    let receive_buffer = request.receive_buffer;
    let mut builder = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(HOST, address.to_string())
        .header(CONNECTION, HeaderValue::from_static("close"));
    if let Some(content_type) = request.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    let built = builder.body(Full::new(request.body)).map_err(|cause| ExchangeError::NotSent {
        step: "build_request",
        peer: address,
        cause: cause.to_string(),
    })?;
    let mut connection = connect_buffered(address, CONNECT_TIMEOUT, receive_buffer).await?;
    let response = connection.exchange(built).await?;
    let framing = BodyFraming::of(&response);
    Ok(TargetResponse { response, framing, connection })
}

impl TargetResponse {
    pub(crate) fn status(&self) -> http::StatusCode {
        self.response.status()
    }

    /// Returns how the end of the body is marked.
    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing
    }

    pub(crate) fn content_type(&self) -> Option<&str> {
        self.response.headers().get(CONTENT_TYPE)?.to_str().ok()
    }

    /// Returns the next bytes of the body, or `None` at its end. The end of a body
    /// without length and chunks is the end of its connection.
    ///
    /// # Errors
    /// Returns a message if the body was broken off.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, String> {
        while let Some(frame) = self.response.body_mut().frame().await {
            if let Ok(bytes) = frame.map_err(|cause| cause.to_string())?.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    /// Whether the target ended its successful response before it had the whole request.
    pub(crate) fn has_cut_request(&self) -> bool {
        self.status().is_success() && self.connection.has_cut_request()
    }

    /// Returns the number of bytes that have not been read, if it is known.
    pub(crate) fn remaining_bytes(&self) -> Option<u64> {
        self.response.body().size_hint().exact()
    }
}
