//! Reads the body of a target's response and detects truncation.

use base::Name;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use outbound::{
    AnswerContent, AnswerEnd, BodyFraming, Connection, EndEvidence, ListenerState, UnprovedEnd,
};
use sse::{OrderError, OrderedEvents, RunEnd};
use target::RequestOutcome;
use thiserror::Error;

use crate::broken::BodyError;
use crate::call::AdmittedCall;
use crate::downtime::record_refused;
use crate::headers::{is_event_stream, keep_alive_timeout};
use crate::report::CallReport;
use crate::send::{OutstandingRequest, TargetExchange};
use crate::worker::Worker;

/// Why a response was not read to its end.
#[derive(Debug, Error)]
pub(crate) enum ReadFailure {
    #[error("{0}")]
    Lost(RunFailure),
    /// The response does not fit into this router's memory, which says nothing about the
    /// target.
    #[error("the response does not fit into the memory of this router")]
    NoMemory,
}

/// Why the run of a target does not go on with its stream, or did not end it.
#[derive(Clone, Debug, Error)]
pub(crate) enum RunFailure {
    /// The response was broken off.
    #[error("{0}")]
    Lost(#[from] BodyError),
    #[error("{0}")]
    Order(#[from] OrderError),
    /// The response ended in order, and nothing proves that it is whole.
    #[error("{0}")]
    Unproved(#[from] UnprovedEnd),
}

/// What proves that a response is whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndProof {
    /// Its target marked the end.
    Mark,
    /// Its target ended it in order and runs on.
    Listener,
}

/// Reads the body of a target's response.
pub(crate) struct ResponseReader {
    head: Parts,
    body: Incoming,
    framing: BodyFraming,
    content: AnswerContent,
    is_event_stream: bool,
    connection: Connection,
    outstanding: OutstandingRequest,
}

impl ResponseReader {
    /// Creates a reader of a response that is not a stream.
    pub(crate) fn of_plain(exchange: TargetExchange) -> Self {
        let TargetExchange { response, outstanding } = exchange;
        let (response, connection) = response.into_parts();
        let framing = BodyFraming::of(&response);
        let (head, body) = response.into_parts();
        let (content, is_event_stream) = (AnswerContent::Opaque, false);
        Self { head, body, framing, content, is_event_stream, connection, outstanding }
    }

    /// Creates a reader of a response on a route for streams. Unless its content type
    /// says otherwise, it is a stream of events.
    pub(crate) fn of_stream(exchange: TargetExchange) -> Self {
        let reader = Self::of_plain(exchange);
        let is_event_stream = is_event_stream(&reader.head.headers);
        Self { content: AnswerContent::Stream, is_event_stream, ..reader }
    }

    pub(crate) fn head(&self) -> &Parts {
        &self.head
    }

    /// Returns the software version of the target.
    pub(crate) fn software_version(&self) -> &Name {
        &self.outstanding.entry.software_version
    }

    pub(crate) fn is_event_stream(&self) -> bool {
        self.is_event_stream
    }

    /// Returns the number of bytes that have not been read, if it is known.
    pub(crate) fn remaining_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns what marks the end of the response.
    fn run_end(&self) -> RunEnd {
        match self.framing {
            BodyFraming::Length | BodyFraming::Chunked => RunEnd::Marked,
            BodyFraming::Connection => RunEnd::Unmarked,
        }
    }

    /// Returns the next bytes, or `None` at the end of the response.
    ///
    /// # Errors
    /// Returns an error if the response was broken off.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(cause)) => return Err(cause.into()),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the complete response, with a body of at most `max_bytes`. `events` are those of
    /// a stream.
    ///
    /// # Errors
    /// Returns a message if the response breaks off or is too large, or if nothing proves that it
    /// is whole.
    pub(crate) async fn read_to_end(
        mut self,
        worker: &Worker,
        call: &AdmittedCall,
        max_bytes: usize,
        mut events: Option<OrderedEvents>,
    ) -> Result<(Parts, Bytes), ReadFailure> {
        self.record_first_byte();
        let expected = self.remaining_bytes().unwrap_or_default() as usize;
        let mut held = max_bytes.min(expected);
        if call.body.hold_response(held).is_err() {
            return Err(ReadFailure::NoMemory);
        }
        let mut body = Vec::with_capacity(held);
        loop {
            let bytes = match self.next_bytes().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(cause) => return Err(self.lose(RunFailure::Lost(cause))),
            };
            if body.len() + bytes.len() > max_bytes {
                self.fail();
                let cause = format!("answer has over {max_bytes} bytes");
                return Err(ReadFailure::Lost(RunFailure::Lost(BodyError::failed(cause))));
            }
            let excess = (body.len() + bytes.len()).saturating_sub(held);
            if call.body.hold_response(excess).is_err() {
                return Err(ReadFailure::NoMemory);
            }
            held += excess;
            let Some(events) = &mut events else {
                body.extend_from_slice(&bytes);
                continue;
            };
            let pushed = events.push(&bytes);
            body.extend_from_slice(&pushed.passed);
            if let Err(cause) = pushed.result {
                return Err(self.lose(cause.into()));
            }
        }
        let checked = self.check_end(worker, call.routed.id(), events.as_mut()).await;
        if let Err(failure) = checked {
            return Err(self.lose(failure));
        }
        if let Some(events) = &mut events {
            body.extend_from_slice(&events.take_rest());
        }
        if self.head.status.is_server_error() {
            return Ok((self.fail(), body.into()));
        }
        Ok((self.complete(worker), body.into()))
    }

    /// Checks that the response, which has ended in order, is whole: a stream by its events, any
    /// other response and a stream without a mark of its end by [`EndEvidence`].
    ///
    /// # Errors
    /// Returns an error if nothing proves it.
    pub(crate) async fn check_end(
        &self,
        worker: &Worker,
        request: &str,
        events: Option<&mut OrderedEvents>,
    ) -> Result<EndProof, RunFailure> {
        let content = match events.map(|events| self.check_events(events)) {
            Some(Ok(())) => return Ok(EndProof::Mark),
            Some(Err(RunFailure::Order(OrderError::UnmarkedEnd))) => {
                self.outstanding.count("stream_ends_unmarked");
                AnswerContent::Events
            }
            Some(Err(failure)) => return Err(failure),
            None => self.content,
        };
        self.check_evidence(worker, request, content).await?;
        Ok(match self.run_end() {
            RunEnd::Marked => EndProof::Mark,
            RunEnd::Unmarked => EndProof::Listener,
        })
    }

    async fn check_evidence(
        &self,
        worker: &Worker,
        request: &str,
        content: AnswerContent,
    ) -> Result<(), UnprovedEnd> {
        let entry = &self.outstanding.entry;
        let probed_at = worker.context.now();
        let is_leaving = !worker.context.targets().is_present(entry, probed_at);
        let framing = self.framing;
        // A refusal of a body that is too long counts by its status.
        let has_cut_request = self.head.status.is_success() && self.connection.has_cut_request();
        let end = AnswerEnd { framing, content, peer: entry.address, is_leaving, has_cut_request };
        let late_ms = || worker.context.lateness().late_ms(worker.context.now());
        let evidence = EndEvidence::collect(end, late_ms).await;
        if evidence.listener == Some(ListenerState::Refused) {
            record_refused(&worker.context, entry, probed_at);
        }
        let Err(cause) = evidence.check() else { return Ok(()) };
        tracing::info!(
            unit = "relay",
            event = "end_unproved",
            request,
            target = &*entry.id,
            address = %entry.address,
            ?framing,
            ?content,
            listener = evidence.listener.map(tracing::field::debug),
            is_leaving,
            has_cut_request,
            late_ms = evidence.late_ms,
        );
        Err(cause)
    }

    /// Checks that the stream may end with the events of this response. An end that is not marked
    /// never proves that.
    ///
    /// # Errors
    /// Returns an error if nothing proves it.
    pub(crate) fn check_events(&self, events: &mut OrderedEvents) -> Result<(), RunFailure> {
        Ok(events.end_run(self.run_end())?)
    }

    fn lose(self, failure: RunFailure) -> ReadFailure {
        self.end_run(&failure);
        ReadFailure::Lost(failure)
    }

    /// Records that the first byte of the response was received.
    pub(crate) fn record_first_byte(&self) {
        self.outstanding.record_first_byte();
    }

    /// Records how the stream was framed and whether it ended inside an event.
    pub(crate) fn record(&self, report: &mut CallReport, is_in_event: bool) {
        report.record_stream(self.framing, is_in_event);
    }

    /// Closes the connection, and counts the failure of the run and what it says of its target.
    pub(crate) fn end_run(self, failure: &RunFailure) {
        match failure {
            // Counted as unmarked, and stands unless another target goes on.
            RunFailure::Lost(_) | RunFailure::Order(OrderError::UnmarkedEnd) => {}
            RunFailure::Order(cause) if !cause.is_unproven_end() => {
                self.outstanding.count("runs_rejected");
            }
            RunFailure::Unproved(_) if !self.is_event_stream => {}
            RunFailure::Order(_) | RunFailure::Unproved(_) => {
                self.outstanding.count("stream_ends_unproven");
            }
        }
        match failure {
            RunFailure::Lost(_)
            | RunFailure::Order(OrderError::InEvent | OrderError::NoEvent)
            | RunFailure::Unproved(UnprovedEnd::Ended | UnprovedEnd::Left) => {
                self.outstanding.break_off();
            }
            RunFailure::Order(OrderError::Backward { .. }) => drop(self.fail()),
            // The target may be sound: it ended in order, or serves new streams well.
            RunFailure::Order(_) | RunFailure::Unproved(_) => self.outstanding.end_in_order(),
        }
    }

    /// Records the request as failed and closes the connection. Returns the head.
    pub(crate) fn fail(self) -> Parts {
        self.outstanding.finish(RequestOutcome::Failed);
        self.head
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
