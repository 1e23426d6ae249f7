//! Relays a target's response to the caller.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use base::Name;
use http::response::Parts;
use inbound::BusyConnection;
use ntex::http::body::BodySize;
use ntex::util::Bytes;
use outbound::{BodyFraming, UnprovedEnd};
use resume::{StreamKey, StreamOrigin, StreamRecord};
use sse::{OrderError, OrderedEvents};
use thiserror::Error as ThisError;
use tokio::time::Instant;

use crate::broken::{BodyError, BrokenReason, ResumeDenial};
use crate::call::AdmittedCall;
use crate::exchange::OwnResponse;
use crate::headers::is_event_stream;
use crate::reader::{EndProof, ReadFailure, ResponseReader, RunFailure};
use crate::report::{CallEnd, CallReport};
use crate::response_body::{PART_BYTES, RelayBody, close_connection};
use crate::retry::{failure_trace, take_confirmation, take_retry};
use crate::send::{Attempts, send};
use crate::stall::wait_until_taken;
use crate::streams::BegunStream;
use crate::worker::Worker;

/// Time for another target to confirm the end of a stream: its caller has all events, and waits only
/// to learn that.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the relay of a response was aborted. The caller's connection is closed,
/// so that the response does not look complete.
#[derive(Debug, ThisError)]
pub(crate) enum RelayError {
    #[error("the caller closed its connection")]
    CallerLeft,
    #[error("the time of the request is over")]
    Timeout,
    #[error("the target broke off: {0}")]
    TargetFailed(BrokenReason),
}

/// The end of a stream that its target ended in order and did not mark, while another target is asked
/// to confirm it.
#[derive(Debug)]
struct EvidentEnd {
    /// Bytes that are passed on at the end.
    rest: Vec<u8>,
    target: Option<Name>,
    confirm_by: Instant,
}

/// Relays a streamed response from a target to a caller.
pub(crate) struct StreamRelay {
    worker: Rc<Worker>,
    call: AdmittedCall,
    attempts: Attempts,
    reader: Option<ResponseReader>,
    /// Bytes that are passed on next.
    pending: Vec<u8>,
    /// Why the current run does not go on, once what came before is passed on.
    failure: Option<RunFailure>,
    /// Invariant: nothing was passed on since the run that ended so.
    evident_end: Option<EvidentEnd>,
    /// `None` if the response is no stream of events.
    events: Option<OrderedEvents>,
    /// Whether the stream may be resumed from another target.
    is_resumable: bool,
    /// Set once the first event is passed on, if the stream can be named by its caller.
    begun: Option<BegunStream>,
    /// Bytes that were passed on since the caller was last known to take them.
    untaken_bytes: usize,
    connection: Option<BusyConnection>,
    deadline: Instant,
    report: CallReport,
}

impl StreamRelay {
    /// Waits for the first bytes of the response; if it goes on with a stream of the caller, for
    /// the first bytes that are passed on. `events` are those of the stream.
    ///
    /// # Errors
    /// Returns a message if the target breaks off the response before that, or if its run is not
    /// part of the stream.
    pub(crate) async fn open(
        mut reader: ResponseReader,
        events: &mut OrderedEvents,
    ) -> Result<OpenStream, ReadFailure> {
        let mut events = reader.is_event_stream().then_some(events);
        let mut has_first_byte = false;
        let failure = loop {
            let bytes = match reader.next_bytes().await {
                Ok(bytes) => bytes,
                Err(cause) => break RunFailure::Lost(cause),
            };
            if !std::mem::replace(&mut has_first_byte, true) {
                reader.record_first_byte();
            }
            let Some(bytes) = bytes else {
                if let Some(events) = &mut events
                    && let Err(failure) = reader.check_events(events)
                {
                    break failure;
                }
                return Ok(OpenStream::new(reader, events.cloned(), Vec::new()));
            };
            let Some(events) = &mut events else {
                return Ok(OpenStream::new(reader, None, bytes.to_vec()));
            };
            let pushed = events.push(&bytes);
            let failure = pushed.result.err().map(RunFailure::from);
            match failure {
                Some(failure) if pushed.passed.is_empty() => break failure,
                None if events.is_unplaced() => {}
                _ => {
                    let stream = OpenStream::new(reader, Some(events.clone()), pushed.passed);
                    return Ok(OpenStream { failure, ..stream });
                }
            }
        };
        reader.end_run(&failure);
        Err(ReadFailure::Lost(failure))
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
        let OpenStream { reader, events, pending, failure } = stream;
        if let Some(connection) = &connection {
            connection.set_deadline(deadline);
        }
        let is_resumable = call.routed.route.kind.is_retryable() && events.is_some();
        Self {
            worker,
            call,
            attempts,
            reader: Some(reader),
            pending,
            failure,
            evident_end: None,
            events,
            is_resumable,
            begun: None,
            untaken_bytes: 0,
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
                BodySize::Sized(remaining + self.pending.len() as u64)
            });
        let chunks = futures_util::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => {
                    relay.report.hand_over(relay.connection, relay.call.body);
                    None
                }
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
        Ok(self.next_part().await?.map(Bytes::from))
    }

    /// Returns the next bytes that are passed on.
    async fn next_part(&mut self) -> Result<Option<Vec<u8>>, RelayError> {
        loop {
            self.wait_for_caller().await?;
            if !self.pending.is_empty() {
                if self.must_record_begin() {
                    self.record_begin();
                }
                let rest = self.pending.split_off(self.pending.len().min(PART_BYTES));
                let part = std::mem::replace(&mut self.pending, rest);
                if self.events.is_some() {
                    self.report.record_events(&part);
                }
                self.untaken_bytes += part.len();
                return Ok(Some(part));
            }
            if let Some(failure) = self.failure.take() {
                self.resume(&failure).await?;
            }
            match self.read_next().await? {
                Ok(Some(bytes)) => match &mut self.events {
                    Some(events) => {
                        let pushed = events.push(&bytes);
                        self.evident_end.take_if(|_| !pushed.passed.is_empty());
                        self.pending = pushed.passed;
                        self.failure = pushed.result.err().map(RunFailure::from);
                    }
                    None => self.pending = bytes.to_vec(),
                },
                Ok(None) => match self.end().await {
                    Ok(rest) if rest.is_empty() => return Ok(None),
                    Ok(rest) => self.pending = rest,
                    Err(failure) => self.failure = Some(failure),
                },
                Err(cause) => self.failure = Some(RunFailure::Lost(cause)),
            }
        }
    }

    /// Waits until the caller takes what was passed on, at each further part: meanwhile nothing is read
    /// from the target.
    async fn wait_for_caller(&mut self) -> Result<(), RelayError> {
        let Some(connection) = &self.connection else { return Ok(()) };
        if self.untaken_bytes < PART_BYTES {
            return Ok(());
        }
        self.untaken_bytes = 0;
        tokio::select! {
            biased;
            () = wait_until_taken(&self.worker, connection.io(), self.call.routed.id()) => Ok(()),
            () = caller_left(Some(connection)) => {
                self.report.finish(CallEnd::Left, "caller closed its connection");
                Err(RelayError::CallerLeft)
            }
            () = tokio::time::sleep_until(self.deadline) => {
                self.report.finish(CallEnd::Cut, "time is over");
                Err(RelayError::Timeout)
            }
        }
    }

    /// Whether the first event is about to be passed on.
    fn must_record_begin(&self) -> bool {
        let events = self.events.as_ref().filter(|_| self.is_resumable && self.begun.is_none());
        events.is_some_and(OrderedEvents::has_passed_event)
    }

    /// Ends the response with the current run; returns the rest of its bytes.
    async fn end(&mut self) -> Result<Vec<u8>, RunFailure> {
        let Some(reader) = &self.reader else { return Ok(Vec::new()) };
        let request = self.call.routed.id();
        // A target that stops at the deadline ends its response in order, too.
        let checking = reader.check_end(&self.worker, request, self.events.as_mut());
        let checked = tokio::time::timeout_at(self.deadline, checking).await;
        let proof = checked.unwrap_or(Err(UnprovedEnd::Late.into()))?;
        let rest = self.events.as_mut().map_or_else(Vec::new, |events| {
            reader.record(&mut self.report, false);
            events.take_rest()
        });
        if proof == EndProof::Listener
            && self.check_resume().is_ok()
            && take_confirmation(&self.worker, &self.call, &self.attempts).is_ok()
        {
            let confirm_by = self.deadline.min(Instant::now() + CONFIRM_TIMEOUT);
            let target = self.attempts.tried.last().cloned();
            self.evident_end = Some(EvidentEnd { rest, target, confirm_by });
            return Err(OrderError::UnmarkedEnd.into());
        }
        if let Some(reader) = self.reader.take() {
            reader.complete(&self.worker);
        }
        Ok(rest)
    }

    /// Checks that the run of another target may go on with the stream, as far as attempts, time and the
    /// retry budget allow it.
    ///
    /// # Errors
    /// Returns why none may.
    fn check_resume(&self) -> Result<(), ResumeDenial> {
        if !self.call.routed.route.kind.is_retryable() {
            return Err(ResumeDenial::Route);
        }
        let events = self.events.as_ref().ok_or(ResumeDenial::NoEvents)?;
        if !events.can_resume() {
            return Err(ResumeDenial::NoPlace);
        }
        match self.evident_end {
            Some(_) => Err(ResumeDenial::EndStands),
            None => Ok(()),
        }
    }

    /// Reads the next bytes, unless the caller disconnects or the deadline passes.
    async fn read_next(
        &mut self,
    ) -> Result<Result<Option<hyper::body::Bytes>, BodyError>, RelayError> {
        let Some(reader) = &mut self.reader else { return Ok(Ok(None)) };
        let deadline = self.evident_end.as_ref().map_or(self.deadline, |end| end.confirm_by);
        tokio::select! {
            biased;
            bytes = reader.next_bytes() => Ok(bytes),
            () = caller_left(self.connection.as_ref()) => {
                self.report.finish(CallEnd::Left, "caller closed its connection");
                Err(RelayError::CallerLeft)
            }
            () = tokio::time::sleep_until(deadline) => {
                if self.evident_end.is_some() {
                    return Ok(Err(BodyError::failed("run confirmed no end in time".into())));
                }
                self.report.finish(CallEnd::Cut, "time is over");
                Err(RelayError::Timeout)
            }
        }
    }

    /// Logs a run that is not part of the stream, or whose end proves nothing.
    fn log_failure(&self, failure: &RunFailure) {
        let RunFailure::Order(cause) = failure else { return };
        if *cause == OrderError::UnmarkedEnd {
            return;
        }
        tracing::info!(
            unit = "relay",
            event = "run_rejected",
            request = self.call.routed.id(),
            target = self.attempts.tried.last().map(|target| &**target),
            after = self.events.as_ref().and_then(OrderedEvents::last_id),
            cause = cause.to_string(),
        );
    }

    /// Resumes the stream after the last complete event, from another target or as the last resort from
    /// the same one, if the route and the retry budget allow it.
    async fn resume(&mut self, failure: &RunFailure) -> Result<(), RelayError> {
        let target = self.attempts.tried.last().cloned();
        if let Some(reader) = self.reader.take() {
            let is_in_event = self.events.as_ref().is_some_and(OrderedEvents::is_in_event);
            reader.record(&mut self.report, is_in_event);
            reader.end_run(failure);
        }
        self.attempts.tried.record_end(failure_trace(failure));
        self.log_failure(failure);
        let may_resume = match failure {
            // The retry of a confirmation was taken when its need was found.
            RunFailure::Order(OrderError::UnmarkedEnd) => Ok(()),
            _ => self
                .check_resume()
                .and_then(|()| Ok(take_retry(&self.worker, &self.call, &self.attempts)?)),
        };
        if let Err(denial) = may_resume {
            return self.give_up(failure, denial);
        }
        if let Some(events) = &mut self.events {
            events.begin_run();
            self.attempts.last_event_id = events.resume_id();
        }
        tracing::info!(
            unit = "relay",
            event = "resumed",
            request = self.call.routed.id(),
            target = target.as_deref(),
            after = self.attempts.last_event_id,
            cause = failure.to_string(),
        );
        let deadline = self.evident_end.as_ref().map_or(self.deadline, |end| end.confirm_by);
        let retry = send(&self.worker, &self.call, &mut self.attempts);
        let result = tokio::select! {
            exchange = retry => exchange,
            () = caller_left(self.connection.as_ref()) => return Err(RelayError::CallerLeft),
            () = tokio::time::sleep_until(deadline) => {
                return self.give_up(failure, ResumeDenial::Time);
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
                self.give_up(failure, ResumeDenial::Status(status))
            }
            Err(refusal) => self.give_up(failure, ResumeDenial::NotSent(refusal.cause)),
        }
    }

    /// Ends a stream that does not go on: it is whole if its last run ended in order at a target that
    /// runs on, and broken off otherwise.
    ///
    /// # Errors
    /// Returns an error if the stream is broken off.
    fn give_up(&mut self, failure: &RunFailure, denial: ResumeDenial) -> Result<(), RelayError> {
        let reason = BrokenReason { denial, loss: failure.loss() };
        let Some(end) = self.evident_end.take() else {
            self.report.finish_broken(reason, failure.to_string());
            return Err(RelayError::TargetFailed(reason));
        };
        tracing::info!(
            unit = "relay",
            event = "end_unconfirmed",
            request = self.call.routed.id(),
            cause = reason.to_string(),
            after = self.events.as_ref().and_then(OrderedEvents::last_id),
            detail = failure.to_string(),
        );
        self.report.record_end(end.target, BodyFraming::Connection);
        // Without a reader, the response ends after these bytes.
        self.pending = end.rest;
        Ok(())
    }
}

/// Whether a response to a request that resumes a stream goes on with its events.
fn is_resumed_stream(response: &OwnResponse) -> bool {
    response.status().is_success() && is_event_stream(response.headers())
}

/// A stream whose first bytes have been read.
pub(crate) struct OpenStream {
    reader: ResponseReader,
    /// `None` if the response is no stream of events.
    events: Option<OrderedEvents>,
    /// Bytes that are passed on.
    pending: Vec<u8>,
    /// Why the run does not go on after them.
    failure: Option<RunFailure>,
}

impl OpenStream {
    fn new(reader: ResponseReader, events: Option<OrderedEvents>, pending: Vec<u8>) -> Self {
        Self { reader, events, pending, failure: None }
    }

    /// Returns the head of the target's response.
    pub(crate) fn head(&self) -> &Parts {
        self.reader.head()
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
