//! Reads the body of a target's response and detects truncation.

use base::Name;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use outbound::{BodyFraming, Connection};
use sse::EventBoundary;
use target::RequestOutcome;
use thiserror::Error;

use crate::call::HeldBody;
use crate::headers::{is_event_stream, keep_alive_timeout};
use crate::report::CallReport;
use crate::send::{OutstandingRequest, TargetExchange};
use crate::worker::Worker;

/// Why a response was not read to its end.
#[derive(Debug, Error)]
pub(crate) enum ReadFailure {
    #[error("{0}")]
    Lost(String),
    /// The response does not fit into this router's memory, which says nothing about the
    /// target.
    #[error("the response does not fit into the memory of this router")]
    NoMemory,
}

/// Reads the body of a target's response.
pub(crate) struct ResponseReader {
    head: Parts,
    body: Incoming,
    framing: BodyFraming,
    /// Place of the bytes read so far; `None` if they are no stream of events.
    boundary: Option<EventBoundary>,
    connection: Connection,
    outstanding: OutstandingRequest,
}

impl ResponseReader {
    /// Creates a reader of a response that is not a stream.
    pub(crate) fn of_plain(exchange: TargetExchange) -> Self {
        let TargetExchange { response, connection, outstanding } = exchange;
        let framing = BodyFraming::of(&response);
        let (head, body) = response.into_parts();
        Self { head, body, framing, boundary: None, connection, outstanding }
    }

    /// Creates a reader of a response on a route for streams. Unless its content type
    /// says otherwise, it is a stream of events and must end after one.
    pub(crate) fn of_stream(exchange: TargetExchange) -> Self {
        let reader = Self::of_plain(exchange);
        let boundary = is_event_stream(&reader.head.headers).then(EventBoundary::default);
        Self { boundary, ..reader }
    }

    pub(crate) fn head(&self) -> &Parts {
        &self.head
    }

    /// Returns the software version of the target.
    pub(crate) fn software_version(&self) -> &Name {
        &self.outstanding.entry.software_version
    }

    pub(crate) fn is_event_stream(&self) -> bool {
        self.boundary.is_some()
    }

    /// Returns the number of bytes that have not been read, if it is known.
    pub(crate) fn remaining_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next bytes, or `None` at the end of a complete response.
    ///
    /// # Errors
    /// Returns a message if the response was broken off.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            match self.body.frame().await {
                None => return self.check_end().map(|()| None),
                Some(Err(cause)) => return Err(cause.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        if let Some(boundary) = &mut self.boundary {
                            boundary.advance(&bytes);
                        }
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Checks that a stream of events ended after one of them. Its connection may have
    /// been closed by a target that failed.
    fn check_end(&self) -> Result<(), String> {
        let is_marked = self.framing != BodyFraming::Connection;
        let result = self.boundary.map_or(Ok(()), |boundary| boundary.check_end(is_marked));
        result.map_err(|cause| cause.to_string())
    }

    /// Reads the complete response, with a body of at most `max_bytes`.
    ///
    /// # Errors
    /// Returns a message if the response breaks off or is too large.
    pub(crate) async fn read_to_end(
        mut self,
        worker: &Worker,
        held: &HeldBody,
        max_bytes: usize,
    ) -> Result<(Parts, Bytes), ReadFailure> {
        self.record_first_byte();
        let expected = self.remaining_bytes().unwrap_or_default();
        let mut body = Vec::with_capacity(max_bytes.min(expected as usize));
        loop {
            match self.next_bytes().await {
                Ok(Some(bytes)) if body.len() + bytes.len() > max_bytes => {
                    self.fail();
                    let cause = format!("answer has over {max_bytes} bytes");
                    return Err(ReadFailure::Lost(cause));
                }
                Ok(Some(bytes)) => {
                    if held.hold_response(bytes.len()).is_err() {
                        return Err(ReadFailure::NoMemory);
                    }
                    body.extend_from_slice(&bytes);
                }
                Ok(None) if self.head.status.is_server_error() => {
                    return Ok((self.fail(), body.into()));
                }
                Ok(None) => return Ok((self.complete(worker), body.into())),
                Err(cause) => {
                    self.break_off();
                    return Err(ReadFailure::Lost(cause));
                }
            }
        }
    }

    /// Records that the first byte of the response was received.
    pub(crate) fn record_first_byte(&self) {
        self.outstanding.record_first_byte();
    }

    /// Records how the stream was framed and where it ended.
    pub(crate) fn record(&self, report: &mut CallReport) {
        let is_in_event = self.boundary.is_some_and(|boundary| boundary.is_in_event());
        report.record_stream(self.framing, is_in_event);
    }

    /// Records the request as failed and closes the connection. Returns the head.
    pub(crate) fn fail(self) -> Parts {
        self.outstanding.finish(RequestOutcome::Failed);
        self.head
    }

    /// Records that the response broke off and closes the connection.
    pub(crate) fn break_off(self) {
        self.outstanding.break_off();
    }

    /// Releases the connection for reuse and records the request as answered. Returns
    /// the head.
    pub(crate) fn complete(self, worker: &Worker) -> Parts {
        let idle_timeout = keep_alive_timeout(&self.head.headers);
        // A response that ends with its connection may be that of a target that crashed.
        if self.head.status.is_success() && self.framing != BodyFraming::Connection {
            self.outstanding.record_complete();
        }
        worker.release(&self.outstanding.entry, self.connection, idle_timeout);
        self.outstanding.finish(RequestOutcome::Answered);
        self.head
    }
}
