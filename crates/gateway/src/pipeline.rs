//! The way of one request: received, routed, authenticated, admitted, sent,
//! answered. Each step is a function of its own; what it decides on is passed
//! in.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::{ConnectionType, Payload, Request, Response};
use ntex::io::IoRef;
use ntex::util::Bytes;
use tokio::time::Instant;

use crate::call::{AdmittedCall, ReceivedCall};
use crate::headers::pass_headers;
use crate::refusal::{Refusal, RefusalCause};
use crate::relay::{OpenStream, RelayBody, StreamRelay, read_whole};
use crate::report::{CallEnd, CallReport};
use crate::send::{Attempts, TargetAnswer, send};
use crate::share;
use crate::worker::Worker;

/// Largest answer that is read whole before it is passed on, in bytes: beyond
/// it no failure can be turned into a repeat.
const MAX_WHOLE_BYTES: usize = 8 << 20;

/// Time after which a caller of a stopping router may try another one, in
/// milliseconds: a new connection takes about as long.
const ELSEWHERE_WAIT_MS: u64 = 10;
/// Bounds of a body that is read only to be dropped: closing a connection with
/// unread bytes resets it, and the refusal could be lost.
const DROPPED_BODY_BYTES: usize = 4 << 20;
const DROPPED_BODY_TIME: Duration = Duration::from_millis(500);

/// A stream whose first bytes came.
struct BegunStream {
    parts: http::response::Parts,
    open: OpenStream,
    first: Option<hyper::body::Bytes>,
}

/// An answer that is ready to be passed on.
enum ReadyAnswer {
    Whole(Response<RelayBody>),
    Stream(Box<BegunStream>),
}

/// Serves one request.
pub(crate) async fn serve(worker: Rc<Worker>, mut request: Request) -> Response<RelayBody> {
    let context = &worker.context;
    let io = request.io().cloned();
    let received = ReceivedCall::read(context, &mut request);
    let mut report = CallReport::new(context, received.id(), received.at);
    let id = received.head.id.clone();
    let refuse = |report: &mut CallReport, refusal: Refusal| {
        report.refused(&refusal);
        let id = id.as_deref().map(|id| (context.format.id_header(), id));
        refusal.into_response(id, context.is_draining())
    };
    let mut payload = request.take_payload();
    if context.is_closed() {
        drop_body(&mut payload).await;
        let refusal = Refusal::retry_after(RefusalCause::Draining, ELSEWHERE_WAIT_MS);
        return refuse(&mut report, refusal);
    }
    let too_late = worker.lateness.borrow().too_late(context.now());
    if let Some(late_ms) = too_late {
        drop_body(&mut payload).await;
        return refuse(&mut report, Refusal::retry_after(RefusalCause::RouterLate, late_ms));
    }
    let routed = match received.route(context) {
        Ok(routed) => routed,
        Err(refusal) => {
            drop_body(&mut payload).await;
            return refuse(&mut report, refusal);
        }
    };
    report.routed(&routed);
    let body = match routed.read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&mut report, refusal),
    };
    let admitted = share::admit(context, routed, body);
    report.admitted(&admitted);
    let mut attempts = Attempts::default();
    let left_ms = admitted.routed.left_ms(context.now());
    let ends_at = Instant::now() + Duration::from_millis(left_ms);
    let answering = answer(&worker, &admitted, &mut attempts);
    let result = tokio::time::timeout_at(ends_at, answering).await;
    report.sent(&attempts);
    let ready = match result {
        Ok(Ok(ready)) => ready,
        Ok(Err(refusal)) => {
            give_back(&worker, &admitted);
            return refuse(&mut report, refusal);
        }
        Err(_) => {
            give_back(&worker, &admitted);
            let cause = if attempts.may_have_run {
                RefusalCause::Timeout
            } else {
                RefusalCause::TimeoutUnsent
            };
            return refuse(&mut report, Refusal::new(cause));
        }
    };
    let mut response = match ready {
        ReadyAnswer::Whole(response) => {
            report.first_byte(response.status().as_u16());
            report.ended(CallEnd::Answered, "complete");
            response
        }
        ReadyAnswer::Stream(begun) => {
            report.first_byte(begun.parts.status.as_u16());
            stream(&worker, admitted, attempts, *begun, io, ends_at, report)
        }
    };
    if context.is_draining() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn drop_body(payload: &mut Payload) {
    let reading = async {
        let mut dropped = 0;
        while let Some(Ok(chunk)) = payload.recv().await {
            dropped += chunk.len();
            if dropped > DROPPED_BODY_BYTES {
                return;
            }
        }
    };
    // A body that comes slower than this is not worth waiting for.
    let _ = tokio::time::timeout(DROPPED_BODY_TIME, reading).await;
}

/// Sends until a whole answer, or the beginning of a stream, is there.
async fn answer(
    worker: &Rc<Worker>,
    call: &AdmittedCall,
    attempts: &mut Attempts,
) -> Result<ReadyAnswer, Refusal> {
    loop {
        let answer = send(worker, call, attempts).await?;
        let is_stream = call.routed.route.kind.is_stream() && answer.response.status().is_success();
        let result =
            if is_stream { begin_stream(answer).await } else { whole(worker, answer).await };
        let cause = match result {
            Ok(ready) => return Ok(ready),
            Err(cause) => cause,
        };
        let may_repeat = call.routed.route.kind.is_retryable();
        let goes_on = may_repeat && crate::send::may_send_again(worker, call, attempts);
        tracing::info!(
            unit = "pipeline",
            event = "answer_lost",
            request = call.routed.id(),
            target = attempts.tried.last().map(|target| &**target),
            cause,
            goes_on,
        );
        if !goes_on {
            return Err(Refusal::new(RefusalCause::AnswerLost));
        }
    }
}

async fn begin_stream(answer: TargetAnswer) -> Result<ReadyAnswer, String> {
    let mut parts = http::Response::new(()).into_parts().0;
    parts.status = answer.response.status();
    parts.headers = answer.response.headers().clone();
    let (open, first) = StreamRelay::open(answer).await?;
    Ok(ReadyAnswer::Stream(Box::new(BegunStream { parts, open, first })))
}

async fn whole(worker: &Worker, answer: TargetAnswer) -> Result<ReadyAnswer, String> {
    let status = answer.response.status();
    let headers = pass_headers(answer.response.headers());
    answer.outstanding.first_byte();
    let bytes = read_whole(worker, answer, MAX_WHOLE_BYTES).await?;
    let body = RelayBody::Whole(Bytes::copy_from_slice(&bytes));
    let mut response = Response::with_body(status, body);
    response.head_mut().headers = headers;
    Ok(ReadyAnswer::Whole(response))
}

fn stream(
    worker: &Rc<Worker>,
    call: AdmittedCall,
    attempts: Attempts,
    begun: BegunStream,
    io: Option<IoRef>,
    ends_at: Instant,
    report: CallReport,
) -> Response<RelayBody> {
    let BegunStream { parts, open, first } = begun;
    let worker = Rc::clone(worker);
    let relay = StreamRelay::new(worker, call, attempts, (open, first), io, ends_at, report);
    let mut response = Response::with_body(parts.status, relay.into_body());
    response.head_mut().headers = pass_headers(&parts.headers);
    response
}

fn give_back(worker: &Worker, call: &AdmittedCall) {
    let account = call.routed.account.as_ref().filter(|_| call.is_within_share());
    if let Some(account) = account.filter(|_| call.cost > 0.0) {
        worker.context.shares().refund(account, call.cost);
    }
}
