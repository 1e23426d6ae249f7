//! Relays a target's response to the caller.

use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::Stream;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use ntex::util::Bytes;
use outbound::{BodyFraming, Connection};
use sse::{EventBoundary, EventSplitter};
use target::RequestOutcome;
use thiserror::Error as ThisError;
use tokio::time::Instant;

use crate::call::AdmittedCall;
use crate::headers::{is_event_stream, keep_alive_timeout};
use crate::report::{CallEnd, CallReport};
use crate::send::{Attempts, OutstandingRequest, TargetExchange, send};
use crate::worker::Worker;

/// Why the relay of a response was aborted. The caller's connection is closed,
/// so that the response does not look complete.
#[derive(Debug, ThisError)]
pub(crate) enum RelayError {
    #[error("the caller closed its connection")]
    CallerLeft,
    #[error("the time of the request is over")]
    Timeout,
    #[error("the target broke off: {0}")]
    TargetFailed(String),
}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, RelayError>>>>;

/// Body of a response to a caller.
pub(crate) enum RelayBody {
    Whole(Bytes),
    Stream { size: BodySize, chunks: ChunkStream },
}

impl MessageBody for RelayBody {
    fn size(&self) -> BodySize {
        match self {
            Self::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Stream { size, .. } => *size,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        match self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Stream { chunks, .. } => chunks
                .as_mut()
                .poll_next(cx)
                .map(|item| item.map(|chunk| chunk.map_err(|cause| Rc::new(cause) as Rc<_>))),
        }
    }
}

/// Reads the body of a target's response.
struct ResponseReader {
    body: Incoming,
    framing: BodyFraming,
    /// Place of the bytes read so far; `None` if they are no stream of events.
    boundary: Option<EventBoundary>,
    connection: Connection,
    outstanding: OutstandingRequest,
    advertised_timeout: Option<Duration>,
}

impl ResponseReader {
    /// Creates a reader of a response on a route for streams. Unless its content type
    /// says otherwise, it is a stream of events and must end after one.
    fn of_stream(exchange: TargetExchange) -> Self {
        let is_event_stream = is_event_stream(exchange.response.headers());
        let boundary = is_event_stream.then(EventBoundary::default);
        Self { boundary, ..Self::new(exchange) }
    }

    fn new(exchange: TargetExchange) -> Self {
        let advertised_timeout = keep_alive_timeout(exchange.response.headers());
        let TargetExchange { response, connection, outstanding, .. } = exchange;
        let framing = BodyFraming::of(&response);
        Self {
            body: response.into_body(),
            framing,
            boundary: None,
            connection,
            outstanding,
            advertised_timeout,
        }
    }

    /// Returns the next bytes, or `None` at the end of a complete response.
    ///
    /// # Errors
    /// Returns a message if the response was broken off.
    async fn next_bytes(&mut self) -> Result<Option<hyper::body::Bytes>, String> {
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

    fn record(&self, report: &mut CallReport) {
        let is_in_event = self.boundary.is_some_and(|boundary| boundary.is_in_event());
        report.record_stream(self.framing, is_in_event);
    }

    /// Releases the connection for reuse and records the request as answered.
    fn complete(self, worker: &Worker) {
        worker.release(&self.outstanding.entry, self.connection, self.advertised_timeout);
        self.outstanding.finish(RequestOutcome::Answered);
    }
}

/// Reads a complete response body of at most `max_bytes`.
///
/// # Errors
/// Returns a message if the response breaks off or is too large.
pub(crate) async fn read_to_end(
    worker: &Worker,
    exchange: TargetExchange,
    max_bytes: usize,
) -> Result<hyper::body::Bytes, String> {
    let is_failure = exchange.response.status().is_server_error();
    let mut reader = ResponseReader::new(exchange);
    let mut body = Vec::new();
    loop {
        match reader.next_bytes().await {
            Ok(Some(bytes)) if body.len() + bytes.len() > max_bytes => {
                reader.outstanding.finish(RequestOutcome::Failed);
                return Err(format!("answer has over {max_bytes} bytes"));
            }
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) if is_failure => {
                reader.outstanding.finish(RequestOutcome::Failed);
                return Ok(body.into());
            }
            Ok(None) => {
                reader.complete(worker);
                return Ok(body.into());
            }
            Err(cause) => {
                reader.outstanding.finish(RequestOutcome::Failed);
                return Err(cause);
            }
        }
    }
}

/// Relays a streamed response from a target to a caller.
pub(crate) struct StreamRelay {
    worker: Rc<Worker>,
    call: AdmittedCall,
    attempts: Attempts,
    reader: Option<ResponseReader>,
    /// Bytes that were read before the response head was forwarded.
    first_chunk: Option<hyper::body::Bytes>,
    /// Set only for streams that may be resumed from another target.
    splitter: Option<EventSplitter>,
    io: Option<IoRef>,
    deadline: Instant,
    report: CallReport,
}

impl StreamRelay {
    /// Waits for the first bytes of the response.
    ///
    /// # Errors
    /// Returns a message if the target breaks off the response before that.
    pub(crate) async fn open(
        exchange: TargetExchange,
    ) -> Result<(OpenStream, Option<hyper::body::Bytes>), String> {
        let mut reader = ResponseReader::of_stream(exchange);
        match reader.next_bytes().await {
            Ok(first_chunk) => {
                reader.outstanding.record_first_byte();
                Ok((OpenStream(reader), first_chunk))
            }
            Err(cause) => {
                reader.outstanding.finish(RequestOutcome::Failed);
                Err(cause)
            }
        }
    }

    pub(crate) fn new(
        worker: Rc<Worker>,
        call: AdmittedCall,
        attempts: Attempts,
        opened: (OpenStream, Option<hyper::body::Bytes>),
        io: Option<IoRef>,
        deadline: Instant,
        report: CallReport,
    ) -> Self {
        let (OpenStream(reader), first_chunk) = opened;
        let is_resumable = call.routed.route.kind.is_retryable() && reader.boundary.is_some();
        let splitter = is_resumable.then(EventSplitter::default);
        Self {
            worker,
            call,
            attempts,
            reader: Some(reader),
            first_chunk,
            splitter,
            io,
            deadline,
            report,
        }
    }

    /// Converts the relay into the body of the response to the caller.
    pub(crate) fn into_body(self) -> RelayBody {
        let size = match self.reader.as_ref().and_then(|reader| reader.body.size_hint().exact()) {
            // The length of a stream that may be resumed from another target is
            // not known in advance.
            Some(remaining) if self.splitter.is_none() => {
                let first_len = self.first_chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
                BodySize::Sized(remaining + first_len)
            }
            _ => BodySize::Stream,
        };
        let chunks = futures_util::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(cause) => {
                    // ntex would write an error response into the incomplete
                    // one, so the connection is closed instead.
                    let Some(io) = relay.io.take() else { return Some((Err(cause), None)) };
                    drop(relay);
                    io.close();
                    std::future::pending().await
                }
            }
        });
        RelayBody::Stream { size, chunks: Box::pin(chunks) }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            let bytes = match self.first_chunk.take() {
                Some(chunk) => Ok(Some(chunk)),
                None => self.read_next().await?,
            };
            match bytes {
                Ok(Some(bytes)) => {
                    let Some(splitter) = &mut self.splitter else {
                        return Ok(Some(Bytes::copy_from_slice(&bytes)));
                    };
                    let events = splitter.push(&bytes);
                    if !events.is_empty() {
                        return Ok(Some(Bytes::copy_from_slice(&events)));
                    }
                }
                Ok(None) => {
                    let partial =
                        self.splitter.as_mut().map(EventSplitter::take_partial).unwrap_or_default();
                    if let Some(reader) = self.reader.take() {
                        reader.record(&mut self.report);
                        reader.complete(&self.worker);
                    }
                    if !partial.is_empty() {
                        return Ok(Some(Bytes::copy_from_slice(&partial)));
                    }
                    self.report.finish(CallEnd::Answered, "complete");
                    return Ok(None);
                }
                Err(cause) => self.resume(cause).await?,
            }
        }
    }

    /// Reads the next bytes, unless the caller disconnects or the deadline passes.
    async fn read_next(
        &mut self,
    ) -> Result<Result<Option<hyper::body::Bytes>, String>, RelayError> {
        let Some(reader) = &mut self.reader else { return Ok(Ok(None)) };
        tokio::select! {
            biased;
            bytes = reader.next_bytes() => Ok(bytes),
            () = caller_left(self.io.as_ref()) => {
                self.report.finish(CallEnd::Left, "caller closed its connection");
                Err(RelayError::CallerLeft)
            }
            () = tokio::time::sleep_until(self.deadline) => {
                self.report.finish(CallEnd::Cut, "time is over");
                Err(RelayError::Timeout)
            }
        }
    }

    /// Resumes the stream from another target after the last complete event, if
    /// the route and the retry budget allow it.
    async fn resume(&mut self, cause: String) -> Result<(), RelayError> {
        if let Some(reader) = self.reader.take() {
            reader.record(&mut self.report);
            reader.outstanding.finish(RequestOutcome::Failed);
        }
        let fail = |report: &mut CallReport, cause: String| {
            report.finish(CallEnd::Broken, &cause);
            Err(RelayError::TargetFailed(cause))
        };
        let Some(splitter) = &mut self.splitter else {
            return fail(&mut self.report, cause);
        };
        if !crate::send::take_retry(&self.worker, &self.call, &self.attempts) {
            return fail(&mut self.report, cause);
        }
        splitter.discard_partial();
        self.attempts.last_event_id = splitter.last_id();
        tracing::info!(
            unit = "relay",
            event = "resumed",
            request = self.call.routed.id(),
            after = self.attempts.last_event_id,
            cause,
        );
        let retry = send(&self.worker, &self.call, &mut self.attempts);
        let result = tokio::select! {
            exchange = retry => exchange,
            () = caller_left(self.io.as_ref()) => return Err(RelayError::CallerLeft),
            () = tokio::time::sleep_until(self.deadline) => {
                return fail(&mut self.report, format!("{cause}, then no target in time"));
            }
        };
        self.report.record_attempts(&self.attempts);
        match result {
            Ok(exchange) if is_resumed_stream(&exchange.response) => {
                self.reader = Some(ResponseReader::of_stream(exchange));
                Ok(())
            }
            Ok(exchange) => {
                let status = exchange.response.status().as_u16();
                fail(&mut self.report, format!("{cause}, then status {status}"))
            }
            Err(refusal) => fail(&mut self.report, format!("{cause}, then {:?}", refusal.cause)),
        }
    }
}

/// Whether a response to a request that resumes a stream goes on with its events.
fn is_resumed_stream(response: &Response<Incoming>) -> bool {
    response.status().is_success() && is_event_stream(response.headers())
}

/// A response body whose first bytes have been read.
pub(crate) struct OpenStream(ResponseReader);

/// Waits until the caller's connection is closed, or forever without a connection.
pub(crate) async fn caller_left(io: Option<&IoRef>) {
    match io {
        Some(io) => {
            let disconnect = io.on_disconnect();
            poll_fn(|cx| disconnect.poll_ready(cx)).await;
        }
        None => std::future::pending().await,
    }
}
