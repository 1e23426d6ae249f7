//! Relays a target's response to the caller.

use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use base::Name;
use futures_util::Stream;
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use ntex::util::Bytes;
use resume::{StreamKey, StreamOrigin, StreamRecord};
use sse::EventSplitter;
use thiserror::Error as ThisError;
use tokio::time::Instant;

use crate::call::{AdmittedCall, HeldBody};
use crate::connections::BusyConnection;
use crate::headers::is_event_stream;
use crate::reader::ResponseReader;
use crate::report::{CallEnd, CallReport};
use crate::send::{Attempts, send};
use crate::streams::BegunStream;
use crate::worker::Worker;

/// Time between checks whether the connection of an aborted response is closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a caller that reads slowly to receive what was sent to it before its
/// connection is terminated.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

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

/// Largest part of a buffered response that is passed to the connection at once, in
/// bytes. The next one is passed on when the caller has taken most of it.
const PART_BYTES: usize = 16 << 10;

/// Body of a response to a caller.
pub(crate) enum RelayBody {
    Whole(Bytes),
    Buffered(Box<BufferedBody>),
    Stream { size: BodySize, chunks: ChunkStream },
}

impl MessageBody for RelayBody {
    fn size(&self) -> BodySize {
        match self {
            Self::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Buffered(body) => BodySize::Sized(body.bytes.len() as u64),
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
            Self::Buffered(body) => {
                let part = body.next_part();
                if body.bytes.is_empty() {
                    *self = Self::Whole(Bytes::new());
                }
                Poll::Ready(part.map(Ok))
            }
            Self::Stream { chunks, .. } => chunks
                .as_mut()
                .poll_next(cx)
                .map(|item| item.map(|chunk| chunk.map_err(|cause| Rc::new(cause) as Rc<_>))),
        }
    }
}

/// A target's response that was read completely. Until its caller has taken it, its bytes
/// count against the memory of the process, its connection is not idle, and its request
/// is open.
pub(crate) struct BufferedBody {
    bytes: hyper::body::Bytes,
    _held: HeldBody,
    _connection: Option<BusyConnection>,
    _report: CallReport,
}

impl BufferedBody {
    pub(crate) fn new(
        bytes: hyper::body::Bytes,
        mut held: HeldBody,
        connection: Option<BusyConnection>,
        report: CallReport,
    ) -> Self {
        held.free_bytes();
        Self { bytes, _held: held, _connection: connection, _report: report }
    }

    fn next_part(&mut self) -> Option<Bytes> {
        let part = self.bytes.split_to(self.bytes.len().min(PART_BYTES));
        (!part.is_empty()).then(|| Bytes::copy_from_slice(&part))
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
    is_event_stream: bool,
    /// Set only for streams that may be resumed from another target.
    splitter: Option<EventSplitter>,
    /// Set once the first event is passed on, if the stream can be named by its caller.
    begun: Option<BegunStream>,
    connection: Option<BusyConnection>,
    deadline: Instant,
    report: CallReport,
}

impl StreamRelay {
    /// Waits for the first bytes of the response.
    ///
    /// # Errors
    /// Returns a message if the target breaks off the response before that.
    pub(crate) async fn open(mut reader: ResponseReader) -> Result<OpenStream, String> {
        match reader.next_bytes().await {
            Ok(first_chunk) => {
                reader.record_first_byte();
                Ok(OpenStream { reader, first_chunk })
            }
            Err(cause) => {
                reader.break_off();
                Err(cause)
            }
        }
    }

    pub(crate) fn new(
        worker: Rc<Worker>,
        call: AdmittedCall,
        attempts: Attempts,
        stream: OpenStream,
        connection: Option<BusyConnection>,
        deadline: Instant,
        report: CallReport,
    ) -> Self {
        let OpenStream { reader, first_chunk } = stream;
        if let Some(connection) = &connection {
            connection.set_deadline(deadline);
        }
        let is_event_stream = reader.is_event_stream();
        let is_resumable = call.routed.route.kind.is_retryable() && is_event_stream;
        let splitter = is_resumable.then(EventSplitter::default);
        Self {
            worker,
            call,
            attempts,
            reader: Some(reader),
            first_chunk,
            is_event_stream,
            splitter,
            begun: None,
            connection,
            deadline,
            report,
        }
    }

    /// Records that the target begins or goes on with the stream: others of its software version
    /// may go on later, here or where the caller takes it up.
    fn record_begin(&mut self) {
        let Some(reader) = &self.reader else { return };
        let version = Name::clone(reader.software_version());
        self.attempts.software_version = Some(Name::clone(&version));
        let call = &self.call;
        let metadata = &call.routed.received.metadata;
        let account = call.routed.account.as_deref();
        let key = match &call.taken_up {
            Some(stream) => stream.key,
            None => metadata.id.as_deref().map(|id| StreamKey::new(account, id)),
        };
        let Some(key) = key else { return };
        let origin = StreamOrigin { service: Name::clone(&call.routed.service), version };
        self.begun = Some(BegunStream::begin(&self.worker.context, StreamRecord { key, origin }));
    }

    /// Converts the relay into the body of the response to the caller.
    pub(crate) fn into_body(self) -> RelayBody {
        // The length of a stream of events is not passed on: a caller that has all of its
        // bytes could not be told any more that they end inside an event.
        let plain = self.reader.as_ref().filter(|reader| !reader.is_event_stream());
        let size =
            plain.and_then(ResponseReader::remaining_bytes).map_or(BodySize::Stream, |remaining| {
                let first_len = self.first_chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
                BodySize::Sized(remaining + first_len)
            });
        let chunks = futures_util::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(cause) => {
                    // ntex would write an error response into the incomplete
                    // one, so the connection is closed instead.
                    let Some(connection) = relay.connection.take() else {
                        return Some((Err(cause), None));
                    };
                    drop(relay);
                    close_connection(connection.io()).await
                }
            }
        });
        RelayBody::Stream { size, chunks: Box::pin(chunks) }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        let bytes = self.next_part().await?;
        if let Some(bytes) = bytes.as_ref().filter(|_| self.is_event_stream) {
            self.report.record_events(bytes);
        }
        Ok(bytes)
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, RelayError> {
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
                    if splitter.has_passed_event() && self.begun.is_none() {
                        self.record_begin();
                    }
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
            () = caller_left(self.connection.as_ref()) => {
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
            reader.break_off();
        }
        let fail = |report: &mut CallReport, cause: String| {
            report.finish(CallEnd::Broken, &cause);
            Err(RelayError::TargetFailed(cause))
        };
        let splitter = self.splitter.as_mut().filter(|splitter| splitter.can_resume());
        let Some(splitter) = splitter else {
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
            () = caller_left(self.connection.as_ref()) => return Err(RelayError::CallerLeft),
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

/// A stream whose first bytes have been read.
pub(crate) struct OpenStream {
    reader: ResponseReader,
    /// None if the stream has no bytes.
    first_chunk: Option<hyper::body::Bytes>,
}

impl OpenStream {
    /// Returns the head of the target's response.
    pub(crate) fn head(&self) -> &Parts {
        self.reader.head()
    }
}

/// Closes a caller's connection inside a response. The future is dropped once the
/// connection is closed: the HTTP dispatcher checks that only when the response's body
/// wakes it, and may not be woken by the closing itself.
async fn close_connection(io: &IoRef) -> ! {
    io.close();
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    while Instant::now() < deadline {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
    io.terminate();
    loop {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}

/// Waits until the caller's connection is closed, or forever without a connection.
pub(crate) async fn caller_left(connection: Option<&BusyConnection>) {
    match connection {
        Some(connection) => {
            let disconnect = connection.io().on_disconnect();
            poll_fn(|cx| disconnect.poll_ready(cx)).await;
        }
        None => std::future::pending().await,
    }
}
