//! The processing of one request: it is received, routed, authenticated,
//! admitted, sent and answered. Each step is a separate function that gets the
//! data for its decision as arguments.

use std::rc::Rc;
use std::time::Duration;

use base::Name;
use http::StatusCode;
use http::response::Parts;
use inbound::BusyConnection;
use ntex::http::{ConnectionType, Request, Response};
use sse::OrderedEvents;
use tokio::time::Instant;

use crate::body::BodyReader;
use crate::buffered::BufferedBody;
use crate::call::{AdmittedCall, ReceivedCall};
use crate::crashes::{check_parts, check_request};
use crate::headers::end_to_end_headers;
use crate::open::RefusedCall;
use crate::parts::PartList;
use crate::reader::{ReadFailure, ResponseReader};
use crate::refusal::{Refusal, RefusalCause};
use crate::relay::{OpenStream, StreamRelay};
use crate::report::CallReport;
use crate::response_body::RelayBody;
use crate::retry::{failure_trace, take_retry};
use crate::send::{Attempts, send};
use crate::share;
use crate::streams::find_taken_up;
use crate::worker::Worker;

/// Largest response that is buffered completely before it is forwarded, in
/// bytes. A failed request can be retried only while nothing of its response has
/// been forwarded; a larger response counts as a failure.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Time after which a caller of a router that shuts down may try another one, in
/// milliseconds: about the time that it takes to open a connection.
const DRAINING_RETRY_MS: u64 = 10;
/// Limits for reading a body that is discarded. Closing a connection with unread
/// bytes resets it, and the refusal could be lost.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a request ends without a response of a target.
#[derive(Clone, Copy, Debug)]
enum ForwardEnd {
    TimedOut,
    /// The router exits.
    Stopped,
}

/// A response that is ready to be forwarded.
enum ReadyResponse {
    Whole(Box<Parts>, hyper::body::Bytes),
    Stream(Box<OpenStream>),
}

/// Handles one request.
pub(crate) async fn serve(worker: Rc<Worker>, mut request: Request) -> Response<RelayBody> {
    let context = &worker.context;
    let connection = request.io().map(|io| worker.begin_request(io));
    let is_connection_closed = matches!(connection, Some(None));
    let connection = connection.flatten();
    let caller = request.peer_addr().map(|address| address.ip());
    let received = ReceivedCall::read(context, &mut request);
    let mut report =
        CallReport::new(context, received.id(), caller, request.io(), received.received_at);
    let id = received.metadata.id.clone();
    let refuse = |report: &mut CallReport, refusal: Refusal| {
        report.finish_refused(&refusal);
        let id = id.as_deref().map(|id| (context.format.id_header(), id));
        refusal.into_response(id, context.closes_connections())
    };
    let refuse_for_stop = || Refusal::retry_after(RefusalCause::Draining, DRAINING_RETRY_MS);
    let mut body = BodyReader::new(&mut request);
    if is_connection_closed {
        return refuse(&mut report, Refusal::new(RefusalCause::ConnectionClosed));
    }
    if context.is_closed() {
        discard_body(report.begin_refusal(), &mut body).await;
        return refuse(&mut report, refuse_for_stop());
    }
    let overload_lateness = context.lateness().overload_lateness(context.now());
    if let Some(late_ms) = overload_lateness {
        discard_body(report.begin_refusal(), &mut body).await;
        return refuse(&mut report, Refusal::retry_after(RefusalCause::RouterLate, late_ms));
    }
    let mut routed = match received.route(context) {
        Ok(routed) => routed,
        Err(refusal) => {
            discard_body(report.begin_refusal(), &mut body).await;
            return refuse(&mut report, refusal);
        }
    };
    report.record_route(&routed);
    if !context.accepts(&routed) {
        share::record_refused(context, &routed);
        discard_body(report.begin_refusal(), &mut body).await;
        return refuse(&mut report, refuse_for_stop());
    }
    let check = match check_parts(context, &routed) {
        Ok(check) => check,
        Err(refusal) => {
            discard_body(report.begin_refusal(), &mut body).await;
            return refuse(&mut report, refusal);
        }
    };
    let read = tokio::select! {
        read = routed.read_body(context, &mut body) => read,
        () = context.ending.cancelled() => Err(refuse_for_stop()),
    };
    let body = match read {
        Ok(body) => body,
        Err(refusal) => {
            if refusal.is_for_memory() {
                discard_body(report.begin_refusal(), &mut body).await;
            }
            return refuse(&mut report, refusal);
        }
    };
    // The body may have taken some time.
    if !context.accepts(&routed) {
        share::record_refused(context, &routed);
        return refuse(&mut report, refuse_for_stop());
    }
    if routed.remaining_ms(context.now()) == 0 {
        return refuse(&mut report, Refusal::new(RefusalCause::TimeoutUnsent));
    }
    let identity = routed.identity(&body.bytes);
    if let Err(refusal) = check_request(context, &routed, identity, check) {
        return refuse(&mut report, refusal);
    }
    let taken_up = match find_taken_up(context, &routed).await {
        Ok(taken_up) => taken_up,
        Err(refusal) => return refuse(&mut report, refusal),
    };
    if let Some(stream) = &taken_up {
        routed.service = Name::clone(&stream.origin.service);
    }
    let mut attempts = Attempts::of_stream(taken_up.as_ref());
    let admitted = AdmittedCall { taken_up, ..share::admit(context, routed, body, identity) };
    report.record_admission(&admitted);
    let remaining_ms = admitted.routed.remaining_ms(context.now());
    let deadline = Instant::now() + Duration::from_millis(remaining_ms);
    let result = tokio::select! {
        result = forward(&worker, &admitted, &mut attempts) => Ok(result),
        () = tokio::time::sleep_until(deadline) => Err(ForwardEnd::TimedOut),
        () = context.ending.cancelled() => Err(ForwardEnd::Stopped),
    };
    report.record_attempts(&attempts);
    let ready = match result {
        Ok(Ok(ready)) => ready,
        Ok(Err(refusal)) => {
            refund_cost(&worker, &admitted);
            return refuse(&mut report, refusal);
        }
        Err(end) => {
            refund_cost(&worker, &admitted);
            let refusal = match (end, attempts.may_have_run) {
                (ForwardEnd::TimedOut, true) => Refusal::new(RefusalCause::Timeout),
                (ForwardEnd::TimedOut, false) => Refusal::new(RefusalCause::TimeoutUnsent),
                (ForwardEnd::Stopped, true) => Refusal::new(RefusalCause::Stopped),
                (ForwardEnd::Stopped, false) => refuse_for_stop(),
            };
            return refuse(&mut report, refusal);
        }
    };
    let mut response = match ready {
        ReadyResponse::Whole(head, bytes) => {
            report.record_first_byte(head.status.as_u16());
            if let Some(connection) = &connection {
                connection.set_deadline(deadline);
            }
            let request = Name::from(admitted.routed.id());
            let body = BufferedBody::new(bytes, admitted.body, connection, report);
            buffered_response(&head, body.into_body(&worker, request))
        }
        ReadyResponse::Stream(stream) => {
            report.record_first_byte(stream.head().status.as_u16());
            stream_response(&worker, admitted, attempts, *stream, connection, deadline, report)
        }
    };
    if context.closes_connections() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn discard_body(_refused: RefusedCall<'_>, body: &mut BodyReader) {
    let reading = async {
        let mut discarded = 0;
        while let Some(Ok(chunk)) = body.next_chunk().await {
            discarded += chunk.len();
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // A body that takes longer is left unread.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

/// Sends a request until a complete response or the start of a streamed one has
/// been received, retrying where the route and the retry budget allow it.
async fn forward(
    worker: &Rc<Worker>,
    call: &AdmittedCall,
    attempts: &mut Attempts,
) -> Result<ReadyResponse, Refusal> {
    let mut events = call.events();
    loop {
        let exchange = send(worker, call, attempts).await?;
        let status = exchange.response.status();
        let has_body = status.is_success() && status != StatusCode::NO_CONTENT;
        let is_stream = call.routed.route.kind.is_stream() && has_body;
        let result = if is_stream {
            let reader = ResponseReader::of_stream(exchange);
            if call.routed.received.accepts_chunks {
                let stream = StreamRelay::open(reader, &mut events).await;
                stream.map(|stream| ReadyResponse::Stream(Box::new(stream)))
            } else {
                let events = reader.is_event_stream().then(|| call.events());
                buffer_response(worker, call, reader, events).await
            }
        } else {
            buffer_response(worker, call, ResponseReader::of_plain(exchange), None).await
        };
        let cause = match result {
            Ok(ready) => return Ok(ready),
            Err(cause) => cause,
        };
        if let ReadFailure::Lost(failure) = &cause {
            attempts.tried.record_end(failure_trace(failure));
        }
        let is_own_lack = matches!(cause, ReadFailure::NoMemory);
        let can_go_on = !is_stream || events.can_resume();
        let is_retryable = call.routed.route.kind.is_retryable() && !is_own_lack && can_go_on;
        let will_retry = is_retryable && take_retry(worker, call, attempts).is_ok();
        tracing::info!(
            unit = "pipeline",
            event = "answer_lost",
            request = call.routed.id(),
            identity = %format_args!("{:x}", call.identity),
            parts = ?PartList(&call.routed.profile().shared_parts()),
            target = attempts.tried.last().map(|target| &**target),
            cause = cause.to_string(),
            goes_on = will_retry,
        );
        if !will_retry {
            return Err(Refusal::new(RefusalCause::AnswerLost));
        }
        events.begin_run();
        attempts.last_event_id = events.resume_id();
    }
}

async fn buffer_response(
    worker: &Worker,
    call: &AdmittedCall,
    reader: ResponseReader,
    events: Option<OrderedEvents>,
) -> Result<ReadyResponse, ReadFailure> {
    let read = reader.read_to_end(worker, call, MAX_BUFFERED_BYTES, events);
    let (head, bytes) = read.await?;
    Ok(ReadyResponse::Whole(Box::new(head), bytes))
}

fn buffered_response(head: &Parts, body: RelayBody) -> Response<RelayBody> {
    let mut response = Response::with_body(head.status, body);
    response.head_mut().headers = end_to_end_headers(&head.headers);
    response
}

fn stream_response(
    worker: &Rc<Worker>,
    mut call: AdmittedCall,
    attempts: Attempts,
    stream: OpenStream,
    connection: Option<BusyConnection>,
    deadline: Instant,
    report: CallReport,
) -> Response<RelayBody> {
    if !call.routed.route.kind.is_retryable() {
        call.body.drop_bytes();
    }
    let status = stream.head().status;
    let headers = end_to_end_headers(&stream.head().headers);
    let relay =
        StreamRelay::new(Rc::clone(worker), call, attempts, stream, connection, deadline, report);
    let mut response = Response::with_body(status, relay.into_body());
    response.head_mut().headers = headers;
    response
}

fn refund_cost(worker: &Worker, call: &AdmittedCall) {
    let account = call.routed.account.as_ref().filter(|_| call.is_within_share());
    if let Some(account) = account.filter(|_| call.cost > 0.0) {
        worker.context.shares().refund(account, call.cost);
    }
}
