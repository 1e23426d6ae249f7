//! Passes a target's answer on to the caller.

use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use ntex::util::Bytes;
use outbound::Connection;
use target::Outcome;
use thiserror::Error as ThisError;
use tokio::time::Instant;

use crate::call::AdmittedCall;
use crate::events::EventCutter;
use crate::headers::stated_keep_alive;
use crate::report::{CallEnd, CallReport};
use crate::send::{Attempts, Outstanding, TargetAnswer, send};
use crate::worker::Worker;

/// Why an answer on its way was broken off. The caller's connection is closed,
/// so that the answer does not look complete.
#[derive(Debug, ThisError)]
pub(crate) enum RelayError {
    #[error("the caller closed its connection")]
    CallerLeft,
    #[error("the time of the request is over")]
    Timeout,
    #[error("the target broke off: {0}")]
    TargetBroke(String),
}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, RelayError>>>>;

/// Body of an answer to a caller.
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

/// The answer that is read at the moment.
struct OpenAnswer {
    body: Incoming,
    connection: Connection,
    outstanding: Outstanding,
    stated: Option<Duration>,
}

impl OpenAnswer {
    fn new(answer: TargetAnswer) -> Self {
        let stated = stated_keep_alive(answer.response.headers());
        let TargetAnswer { response, connection, outstanding, .. } = answer;
        Self { body: response.into_body(), connection, outstanding, stated }
    }

    /// The next bytes; none at the end of a whole answer.
    async fn next(&mut self) -> Result<Option<hyper::body::Bytes>, String> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(cause)) => return Err(cause.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    fn complete(self, worker: &Worker) {
        worker.keep(&self.outstanding.entry, self.connection, self.stated);
        self.outstanding.end(Outcome::Answered);
    }
}

/// Reads a whole answer.
///
/// # Errors
/// It breaks off; the message says how.
pub(crate) async fn read_whole(
    worker: &Worker,
    answer: TargetAnswer,
    most: usize,
) -> Result<hyper::body::Bytes, String> {
    let is_failure = answer.response.status().is_server_error();
    let mut open = OpenAnswer::new(answer);
    let mut whole = Vec::new();
    loop {
        match open.next().await {
            Ok(Some(bytes)) if whole.len() + bytes.len() > most => {
                open.outstanding.end(Outcome::Failed);
                return Err(format!("answer has over {most} bytes"));
            }
            Ok(Some(bytes)) => whole.extend_from_slice(&bytes),
            Ok(None) if is_failure => {
                open.outstanding.end(Outcome::Failed);
                return Ok(whole.into());
            }
            Ok(None) => {
                open.complete(worker);
                return Ok(whole.into());
            }
            Err(cause) => {
                open.outstanding.end(Outcome::Failed);
                return Err(cause);
            }
        }
    }
}

/// A stream on its way from a target to a caller.
pub(crate) struct StreamRelay {
    worker: Rc<Worker>,
    call: AdmittedCall,
    attempts: Attempts,
    open: Option<OpenAnswer>,
    /// Bytes that were read before the head was passed on.
    first: Option<hyper::body::Bytes>,
    /// Only for streams that may go on elsewhere.
    cutter: Option<EventCutter>,
    io: Option<IoRef>,
    ends_at: Instant,
    report: CallReport,
}

impl StreamRelay {
    /// Waits for the first bytes of the answer.
    ///
    /// # Errors
    /// The target broke off before; the message says how.
    pub(crate) async fn open(
        answer: TargetAnswer,
    ) -> Result<(OpenStream, Option<hyper::body::Bytes>), String> {
        let mut open = OpenAnswer::new(answer);
        match open.next().await {
            Ok(first) => {
                open.outstanding.first_byte();
                Ok((OpenStream(open), first))
            }
            Err(cause) => {
                open.outstanding.end(Outcome::Failed);
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
        ends_at: Instant,
        report: CallReport,
    ) -> Self {
        let (OpenStream(open), first) = opened;
        let cutter = call.routed.route.kind.is_retryable().then(EventCutter::default);
        Self { worker, call, attempts, open: Some(open), first, cutter, io, ends_at, report }
    }

    /// The body to answer with.
    pub(crate) fn into_body(self) -> RelayBody {
        let size = match self.open.as_ref().and_then(|open| open.body.size_hint().exact()) {
            // A stream that may go on elsewhere has no length known here.
            Some(rest) if self.cutter.is_none() => {
                let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
                BodySize::Sized(rest + first)
            }
            _ => BodySize::Stream,
        };
        let chunks = futures_util::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(cause) => {
                    // The library would write an answer of its own into the
                    // broken one; the connection is closed instead.
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
            let bytes = match self.first.take() {
                Some(first) => Ok(Some(first)),
                None => self.read().await?,
            };
            match bytes {
                Ok(Some(bytes)) => {
                    let Some(cutter) = &mut self.cutter else {
                        return Ok(Some(Bytes::copy_from_slice(&bytes)));
                    };
                    let whole = cutter.push(&bytes);
                    if !whole.is_empty() {
                        return Ok(Some(Bytes::copy_from_slice(&whole)));
                    }
                }
                Ok(None) => {
                    let rest = self.cutter.as_mut().map(EventCutter::rest).unwrap_or_default();
                    if let Some(open) = self.open.take() {
                        open.complete(&self.worker);
                    }
                    if !rest.is_empty() {
                        return Ok(Some(Bytes::copy_from_slice(&rest)));
                    }
                    self.report.ended(CallEnd::Answered, "complete");
                    return Ok(None);
                }
                Err(cause) => self.resume(cause).await?,
            }
        }
    }

    /// Reads on until the caller leaves or the time is over.
    async fn read(&mut self) -> Result<Result<Option<hyper::body::Bytes>, String>, RelayError> {
        let Some(open) = &mut self.open else { return Ok(Ok(None)) };
        tokio::select! {
            biased;
            bytes = open.next() => Ok(bytes),
            () = caller_left(self.io.as_ref()) => {
                self.report.ended(CallEnd::Left, "caller closed its connection");
                Err(RelayError::CallerLeft)
            }
            () = tokio::time::sleep_until(self.ends_at) => {
                self.report.ended(CallEnd::Cut, "time is over");
                Err(RelayError::Timeout)
            }
        }
    }

    /// Goes on at another target after the last whole event, where the route
    /// and the budget allow it.
    async fn resume(&mut self, cause: String) -> Result<(), RelayError> {
        if let Some(open) = self.open.take() {
            open.outstanding.end(Outcome::Failed);
        }
        let broken = |report: &mut CallReport, cause: String| {
            report.ended(CallEnd::Broken, &cause);
            Err(RelayError::TargetBroke(cause))
        };
        let Some(cutter) = &mut self.cutter else {
            return broken(&mut self.report, cause);
        };
        if !crate::send::may_send_again(&self.worker, &self.call, &self.attempts) {
            return broken(&mut self.report, cause);
        }
        cutter.forget_partial();
        self.attempts.last_event_id = cutter.last_id();
        tracing::info!(
            unit = "relay",
            event = "resumed",
            request = self.call.routed.id(),
            after = self.attempts.last_event_id,
            cause,
        );
        let sending = send(&self.worker, &self.call, &mut self.attempts);
        let resumed = tokio::select! {
            resumed = sending => resumed,
            () = caller_left(self.io.as_ref()) => return Err(RelayError::CallerLeft),
            () = tokio::time::sleep_until(self.ends_at) => {
                return broken(&mut self.report, format!("{cause}, then no target in time"));
            }
        };
        self.report.sent(&self.attempts);
        match resumed {
            Ok(answer) if answer.response.status().is_success() => {
                self.open = Some(OpenAnswer::new(answer));
                Ok(())
            }
            Ok(answer) => {
                let status = answer.response.status().as_u16();
                broken(&mut self.report, format!("{cause}, then status {status}"))
            }
            Err(refusal) => broken(&mut self.report, format!("{cause}, then {:?}", refusal.cause)),
        }
    }
}

/// A stream whose first bytes came.
pub(crate) struct OpenStream(OpenAnswer);

/// Ends when the caller's connection is closed.
pub(crate) async fn caller_left(io: Option<&IoRef>) {
    match io {
        Some(io) => {
            let disconnect = io.on_disconnect();
            poll_fn(|cx| disconnect.poll_ready(cx)).await;
        }
        None => std::future::pending().await,
    }
}
