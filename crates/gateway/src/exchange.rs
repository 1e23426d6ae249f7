//! Exchanges with targets. A response is known to be that to the request before anything else of
//! it can be read.

use std::fmt;

use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use outbound::{Connection, ExchangeError};

use crate::call::ReceivedCall;
use crate::platform::{CallFormat, ResponseMetadata};

/// What arrived where the response to a request was expected.
#[derive(Debug)]
pub(crate) enum TargetResponse {
    Own(Box<OwnResponse>),
    /// Another target holds the address and did not run the request. It says nothing of the one
    /// that the request was sent to.
    Misdirected,
    Foreign(ForeignResponse),
}

/// The response of a target to a request, with the connection that it arrives on.
#[derive(Debug)]
pub(crate) struct OwnResponse {
    /// Its id is that of the request: only [`exchange`] creates an `OwnResponse`.
    response: Response<Incoming>,
    metadata: ResponseMetadata,
    connection: Connection,
}

/// A response to another request, as a faulty target may send one. It says nothing of the request
/// that was sent, which may have run. Its connection is closed, as further responses may be late too.
#[derive(Debug)]
pub(crate) struct ForeignResponse {
    ids: Vec<String>,
    /// Whether no request was sent on its connection before: it is then no late response to an
    /// earlier one, and its target failed.
    pub(crate) is_first: bool,
}

/// Sends the request of a caller to a target. The connection is closed unless the response is that
/// to the request.
///
/// # Errors
/// Returns the same errors as [`Connection::exchange`].
pub(crate) async fn exchange(
    format: &dyn CallFormat,
    call: &ReceivedCall,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<TargetResponse, ExchangeError> {
    let is_first = !connection.is_used();
    let response = connection.exchange(request).await?;
    let ids = response_ids(format, response.headers());
    // Targets repeat the id; a request without one gets a response without one.
    if !ids.iter().map(String::as_str).eq(call.metadata.id.as_deref()) {
        return Ok(TargetResponse::Foreign(ForeignResponse { ids, is_first }));
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Ok(TargetResponse::Misdirected);
    }
    let metadata = format.read_response(response.status(), response.headers());
    Ok(TargetResponse::Own(Box::new(OwnResponse { response, metadata, connection })))
}

/// Returns the different ids that a response names, those of text as in requests.
fn response_ids(format: &dyn CallFormat, headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(format.id_header());
    let ids = values.iter().filter_map(|id| id.to_str().ok());
    let mut ids: Vec<String> = ids.map(|id| id.trim().to_owned()).collect();
    ids.dedup();
    ids
}

impl OwnResponse {
    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    pub(crate) fn metadata(&self) -> &ResponseMetadata {
        &self.metadata
    }

    pub(crate) fn into_parts(self) -> (Response<Incoming>, Connection) {
        (self.response, self.connection)
    }
}

impl fmt::Display for ForeignResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the response is that to request {:?}", self.ids)
    }
}
