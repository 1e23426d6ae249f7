//! Sends an admitted request to a target, and to another one where the request
//! may be repeated.

use std::rc::Rc;
use std::sync::Arc;

use base::Name;
use cadence::prelude::*;
use http::Response;
use hyper::body::Incoming;
use outbound::{Connection, ExchangeError};
use route::CallKind;
use target::{
    Outcome, OutstandingKey, SelectionError, SelectionQuery, TargetEntry, TargetKey,
    TargetSelection, select_target,
};

use crate::call::AdmittedCall;
use crate::headers::write_request;
use crate::refusal::{Refusal, RefusalCause};
use crate::share;
use crate::worker::{Reuse, Worker};

/// Connections that are refused in a row before the request is given up.
const MAX_UNSENT: usize = 3;
/// Time after which another target is likely to be known, in milliseconds:
/// about the time that a failed one is set aside.
const NO_TARGET_WAIT_MS: u64 = 500;
/// Bounds of the time after which a place is said to be likely, in
/// milliseconds.
const FULL_WAIT_MS: (u64, u64) = (200, 2_000);

/// A request under way at a target; dropping it forgets the request.
#[derive(Debug)]
pub(crate) struct Outstanding {
    worker: Rc<Worker>,
    pub(crate) entry: Arc<TargetEntry>,
    key: TargetKey,
    request: Option<OutstandingKey>,
}

impl Outstanding {
    pub(crate) fn first_byte(&self) {
        let context = &self.worker.context;
        let now = context.now();
        if let Some(request) = self.request {
            context.loads().record_first_byte(self.key, request, now);
        }
    }

    /// The request ended; what that says of the target's health.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.settle(Some(outcome));
    }

    fn settle(&mut self, outcome: Option<Outcome>) {
        let Some(request) = self.request.take() else { return };
        let context = &self.worker.context;
        let now = context.now();
        let mut loads = context.loads();
        let is_set_aside = loads.finish_request(self.key, request, outcome, now);
        let rate = loads.get(self.key).map_or(0.0, |load| load.health.failure_rate());
        drop(loads);
        if is_set_aside {
            let target = &self.entry.id;
            tracing::info!(unit = "health", event = "set_aside", %target, ?outcome, rate);
        }
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.settle(None);
    }
}

/// A target's answer whose head was read.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) outstanding: Outstanding,
}

/// What one request did so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Targets that it was sent to or that could not be reached.
    pub(crate) tried: Vec<Name>,
    /// Times that it was sent.
    pub(crate) sent: u32,
    unsent: usize,
    /// It may have run.
    pub(crate) may_have_run: bool,
    /// Events of a resumed stream that the caller has.
    pub(crate) last_event_id: Option<u64>,
    /// What the last choice of a target went by.
    pub(crate) choice: Option<ChoiceInputs>,
}

impl Attempts {
    /// The refusal, unless it would say of a request that may have run that it
    /// did not.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal::new(RefusalCause::AnswerLost) } else { refusal }
    }
}

/// What decided on a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChoiceInputs {
    /// Expected time to the first byte, in milliseconds.
    pub(crate) expected_ms: u64,
    /// The part of it behind other requests, in milliseconds.
    pub(crate) waiting_ms: u64,
    /// Requests at the target for each of its slots.
    pub(crate) occupancy: f64,
    pub(crate) unread_tokens: u32,
    pub(crate) home_rank: Option<usize>,
}

/// How one attempt ended.
enum AttemptEnd {
    Answer(Box<TargetAnswer>),
    /// Nothing was written.
    NotSent(String),
    /// The target said that it did not run it.
    NotRun(u16),
    /// It may have run.
    Lost(String),
}

/// Sends the request until a target answers.
///
/// # Errors
/// No target can take it, or it may not be sent again.
pub(crate) async fn send(
    worker: &Rc<Worker>,
    call: &AdmittedCall,
    attempts: &mut Attempts,
) -> Result<TargetAnswer, Refusal> {
    let context = &worker.context;
    let route = &call.routed.route;
    let may_repeat = route.kind.is_retryable();
    loop {
        let placed = place(worker, call, &attempts.tried);
        let placement = placed.map_err(|refusal| attempts.truthful(refusal))?;
        attempts.choice = Some(ChoiceInputs {
            expected_ms: placement.expected_ms as u64,
            waiting_ms: placement.waiting_ms as u64,
            occupancy: (placement.occupancy * 100.0).round() / 100.0,
            unread_tokens: placement.unread_tokens,
            home_rank: placement.home_rank,
        });
        if attempts.tried.is_empty() {
            share::check_room(context, call, &placement)?;
        }
        let entry = Arc::clone(&placement.entry);
        attempts.tried.push(Name::clone(&entry.id));
        let end = attempt(worker, call, placement, attempts).await;
        let (cause, refusal) = match end {
            AttemptEnd::Answer(answer) => {
                let failed = answer.response.status().is_server_error();
                if !failed || !may_repeat || !may_send_again(worker, call, attempts) {
                    return Ok(*answer);
                }
                let status = answer.response.status().as_u16();
                answer.outstanding.end(Outcome::Failed);
                (format!("answered with status {status}"), None)
            }
            AttemptEnd::NotSent(cause) => {
                attempts.unsent += 1;
                let wait_ms = NO_TARGET_WAIT_MS;
                let refusal = Refusal::retry_after(RefusalCause::NoTarget, wait_ms);
                let is_last = attempts.unsent >= MAX_UNSENT;
                (cause, is_last.then_some(refusal))
            }
            AttemptEnd::NotRun(status) => {
                let refusal = Refusal::retry_after(RefusalCause::NotRun, NO_TARGET_WAIT_MS);
                let again = may_send_again(worker, call, attempts);
                (format!("not run, status {status}"), (!again).then_some(refusal))
            }
            AttemptEnd::Lost(cause) => {
                attempts.may_have_run = true;
                let again = may_repeat && may_send_again(worker, call, attempts);
                (cause, (!again).then_some(Refusal::new(RefusalCause::AnswerLost)))
            }
        };
        tracing::info!(
            unit = "send",
            event = "attempt_failed",
            request = call.routed.id(),
            target = %entry.id,
            address = %entry.address,
            cause,
            sent = attempts.sent,
            goes_on = refusal.is_none(),
        );
        if let Some(refusal) = refusal {
            return Err(attempts.truthful(refusal));
        }
        context.metrics.incr("repeats").ok();
    }
}

/// Whether the route and the budget allow one more send.
pub(crate) fn may_send_again(worker: &Worker, call: &AdmittedCall, attempts: &Attempts) -> bool {
    let context = &worker.context;
    let now = context.now();
    attempts.sent < call.routed.route.max_attempts
        && call.routed.left_ms(now) > 0
        && context.repeats().try_take(&call.routed.service, now)
}

fn place(worker: &Worker, call: &AdmittedCall, tried: &[Name]) -> Result<TargetSelection, Refusal> {
    let context = &worker.context;
    let now = context.now();
    let routed = &call.routed;
    let candidates: Vec<Arc<TargetEntry>> =
        context.targets().serving(&routed.service, now).cloned().collect();
    let question = SelectionQuery {
        profile: routed.shape(),
        target_latency_ms: routed.route.target_latency_ms,
        engine_memory: routed.engine_memory(),
        request_hash: base::stable_hash(&[routed.id()]),
        tried,
        failure_domain: &context.settings.failure_domain,
    };
    let loads = &mut context.loads();
    let choice = select_target(loads, candidates.iter(), &question, &context.settings.choice, now);
    choice.map_err(|refused| match refused {
        SelectionError::NoTarget => Refusal::retry_after(RefusalCause::NoTarget, NO_TARGET_WAIT_MS),
        SelectionError::Full { wait_ms } => {
            let wait_ms = wait_ms.clamp(FULL_WAIT_MS.0, FULL_WAIT_MS.1);
            Refusal::retry_after(RefusalCause::TargetsFull, wait_ms)
        }
    })
}

async fn attempt(
    worker: &Rc<Worker>,
    call: &AdmittedCall,
    placement: TargetSelection,
    attempts: &mut Attempts,
) -> AttemptEnd {
    let context = &worker.context;
    let entry = placement.entry;
    let shape = call.routed.shape();
    let request = context.loads().start_request(
        placement.key,
        shape,
        placement.unread_tokens,
        placement.overhead_ms,
        context.now(),
    );
    let outstanding = Outstanding { worker: Rc::clone(worker), entry, key: placement.key, request };
    let mut reuse = match call.routed.route.kind {
        CallKind::NonIdempotent => Reuse::Never,
        CallKind::Idempotent | CallKind::Stream { .. } => Reuse::Allowed,
    };
    let was_possible = attempts.may_have_run;
    let (connection, response) = loop {
        let mut connection = match worker.connection(&outstanding.entry, reuse).await {
            Ok(connection) => connection,
            Err(cause) => {
                outstanding.end(Outcome::Unreachable);
                return AttemptEnd::NotSent(cause.to_string());
            }
        };
        let request = match write_request(worker, call, &outstanding.entry, attempts.last_event_id)
        {
            Ok(request) => request,
            Err(cause) => return AttemptEnd::NotSent(cause),
        };
        attempts.may_have_run = true;
        match connection.exchange(request).await {
            Ok(response) => break (connection, response),
            Err(ExchangeError::NotSent { .. }) if reuse == Reuse::Allowed => {
                // A kept connection was closed meanwhile: a new one to the same
                // target keeps the request at its home.
                attempts.may_have_run = was_possible;
                reuse = Reuse::Never;
            }
            Err(ExchangeError::NotSent { cause, .. }) => {
                attempts.may_have_run = was_possible;
                return AttemptEnd::NotSent(cause);
            }
            Err(cause @ ExchangeError::Sent { .. }) => {
                attempts.sent += 1;
                outstanding.end(Outcome::Failed);
                return AttemptEnd::Lost(cause.to_string());
            }
        }
    };
    attempts.sent += 1;
    let head = context.format.read_response(response.status(), response.headers());
    if let Some(load) = head.load {
        context.loads().record_report(placement.key, load, context.now());
    }
    let status = response.status();
    if head.was_not_run {
        attempts.may_have_run = was_possible;
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            // Another target has the address now.
            outstanding.end(Outcome::Unreachable);
        }
        return AttemptEnd::NotRun(status.as_u16());
    }
    if head.id.as_deref() != call.routed.received.head.id.as_deref() {
        outstanding.end(Outcome::Failed);
        return AttemptEnd::Lost(format!("answer is for request {:?}", head.id));
    }
    if status.is_success() && !head.is_signed {
        outstanding.end(Outcome::Failed);
        return AttemptEnd::Lost("answer is not signed".into());
    }
    AttemptEnd::Answer(Box::new(TargetAnswer { response, connection, outstanding }))
}
