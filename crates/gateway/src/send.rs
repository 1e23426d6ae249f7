//! Sends an admitted request to a target, and retries it where that is allowed: at other
//! targets, or at the same one if none of them can take it.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use base::{Millis, Name};
use cadence::prelude::*;
use http::StatusCode;
use outbound::ExchangeError;
use quarantine::crash_evidence;
use target::{AttemptTrace, OutstandingKey, RequestOutcome, TargetEntry, TargetKey, TriedTargets};

use crate::answers::{record_backoff, record_leaving};
use crate::call::AdmittedCall;
use crate::cold::{record_answered, record_unwritten, record_written};
use crate::context::GatewayContext;
use crate::crashes::{crash_suspects, record_complete, record_crash};
use crate::downtime::{record_reached, record_refused};
use crate::exchange::{OwnResponse, TargetResponse, exchange};
use crate::headers::build_request;
use crate::offers::{Placement, record_service_load};
use crate::parts::PartList;
use crate::permits::record_limit;
use crate::platform::NamedLimit;
use crate::refusal::{Refusal, RefusalCause};
use crate::retry::take_retry;
use crate::select::{
    PermittedTarget, SelectionEstimate, record_rate_outcome, select_permitted_target,
};
use crate::streams::TakenUpStream;
use crate::worker::{ConnectionReuse, Worker};

/// Number of attempts in which a request can't be sent before it is refused.
const MAX_UNSENT_ATTEMPTS: usize = 3;
/// Time after which a target is likely to be available again, in milliseconds:
/// about the duration of a target's first ejection.
pub(crate) const TARGET_RETRY_MS: u64 = 500;
/// Time after which this router is likely to have resources again, in milliseconds: that
/// of a few short requests, whose ends free them.
const EXHAUSTED_RETRY_MS: u64 = 200;
/// Shortest retry time of a request that met a late thread, in milliseconds.
const MIN_LATE_RETRY_MS: u64 = 150;

/// Time after its first byte in milliseconds for which a response counts as just begun: a
/// prompt part that crashes targets does so as they begin to write.
const BEGIN_MS: u64 = 300;

/// A request that counts towards the load of a target. Dropping it removes the
/// request from the load without recording an outcome.
#[derive(Debug)]
pub(crate) struct OutstandingRequest {
    worker: Rc<Worker>,
    pub(crate) entry: Arc<TargetEntry>,
    target_key: TargetKey,
    request_key: Option<OutstandingKey>,
    /// What a crash of the target may be due to.
    suspects: Vec<u64>,
    first_byte_at: Cell<Option<Millis>>,
    /// Counts the request at the owner of the target until it is dropped.
    placement: Option<Placement>,
    /// The target wants no request for a time, which is not a failure.
    is_turned_away: bool,
}

impl OutstandingRequest {
    /// Records that the first byte of the response was received.
    pub(crate) fn record_first_byte(&self) {
        let context = &self.worker.context;
        let now = context.now();
        self.first_byte_at.set(Some(now));
        if let Some(placement) = &self.placement {
            placement.record_first_byte(now);
        }
        if let Some(request_key) = self.request_key {
            context.loads().record_first_byte(self.target_key, request_key, now);
        }
    }

    /// Removes the request from the target's load and records its outcome in the
    /// target's health.
    pub(crate) fn finish(mut self, outcome: RequestOutcome) {
        self.remove(Some(outcome));
    }

    /// Removes the request from the target's load and records that its response broke off.
    /// This is not recorded in the target's health while this thread is late, as the
    /// target may have given up on it.
    pub(crate) fn break_off(mut self) {
        let is_late = self.record_crash();
        self.remove((!is_late).then_some(RequestOutcome::Failed));
    }

    /// Records that the target may have crashed under the request. Returns whether this thread
    /// is late, so that the end says nothing about the target.
    fn record_crash(&mut self) -> bool {
        let now = self.worker.context.now();
        let is_late = self.worker.was_late_since(now);
        let has_just_begun =
            self.first_byte_at.get().is_none_or(|at| now.saturating_sub(at) < BEGIN_MS);
        if !is_late {
            let suspects = std::mem::take(&mut self.suspects);
            let suspects = crash_evidence(suspects, has_just_begun);
            record_crash(&self.worker, &self.entry, suspects);
        }
        is_late
    }

    /// Removes the request from the target's load and records that its response ended in order,
    /// but may not be whole: its target may have crashed.
    pub(crate) fn end_in_order(mut self) {
        self.record_crash();
        self.remove(Some(RequestOutcome::Answered));
    }

    /// Counts an event of the response.
    pub(crate) fn count(&self, name: &str) {
        self.worker.context.metrics.incr(name).ok();
    }

    /// Records that the response was complete, which its target survived.
    pub(crate) fn record_complete(&self) {
        record_complete(&self.worker.context, &self.entry, &self.suspects);
        record_answered(&self.worker.context, &self.entry);
    }

    fn remove(&mut self, outcome: Option<RequestOutcome>) {
        let outcome = outcome.filter(|_| !self.is_turned_away);
        self.placement = None;
        let Some(request_key) = self.request_key.take() else { return };
        let context = &self.worker.context;
        let now = context.now();
        let mut loads = context.loads();
        let is_ejected = loads.finish_request(self.target_key, request_key, outcome, now);
        let rate = loads.get(self.target_key).map_or(0.0, |load| load.health.failure_rate());
        drop(loads);
        if is_ejected {
            let target = &self.entry.id;
            tracing::info!(unit = "health", event = "set_aside", %target, ?outcome, rate);
        }
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        self.remove(None);
    }
}

/// An exchange with a target whose response head has been read.
#[derive(Debug)]
pub(crate) struct TargetExchange {
    pub(crate) response: OwnResponse,
    pub(crate) outstanding: OutstandingRequest,
}

/// The attempts to send one request so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Targets that the request was sent to or that could not be reached.
    pub(crate) tried: TriedTargets,
    /// Number of times that the request was sent.
    pub(crate) sent: u32,
    /// Number of attempts in which the request could not be sent.
    unsent: usize,
    /// Whether the request may have run at a target.
    pub(crate) may_have_run: bool,
    /// Id of the last event that the caller received of a stream that is resumed.
    pub(crate) last_event_id: Option<u64>,
    /// Software version of the targets that began the stream: the only one at which it goes on.
    pub(crate) software_version: Option<Name>,
    /// Estimates behind the last selection of a target.
    pub(crate) selection: Option<SelectionEstimate>,
    /// Request rate that the last response of a target named.
    pub(crate) named_limit: NamedLimit,
}

impl Attempts {
    /// Creates the attempts of a request that takes up `stream`, or that begins a new one.
    pub(crate) fn of_stream(stream: Option<&TakenUpStream>) -> Self {
        let software_version = stream.map(|stream| Name::clone(&stream.origin.version));
        Self { software_version, ..Self::default() }
    }

    /// Returns `refusal`, or [`RefusalCause::AnswerLost`] if the request may have
    /// run, as the status of `refusal` could guarantee that it did not.
    fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal::new(RefusalCause::AnswerLost) } else { refusal }
    }
}

/// How one attempt ended.
enum AttemptEnd {
    Response(Box<TargetExchange>),
    /// Nothing of the request was written.
    NotSent(String),
    /// This router could not send the request for a lack of its own, which says nothing
    /// about any target.
    OwnLack(String, Refusal),
    /// The target stated that it did not run the request.
    NotRun(u16),
    /// The request may have run, but there is no valid response.
    ResponseLost(String, AttemptTrace),
}

impl AttemptEnd {
    /// Returns what the end means for further attempts at the target. A response may break off
    /// later.
    fn trace(&self) -> AttemptTrace {
        match self {
            Self::Response(exchange) => match exchange.response.status() {
                StatusCode::SERVICE_UNAVAILABLE => AttemptTrace::NotTaken,
                _ => AttemptTrace::Failed,
            },
            Self::ResponseLost(_, trace) => *trace,
            Self::NotSent(_) | Self::OwnLack(..) | Self::NotRun(_) => AttemptTrace::NotTaken,
        }
    }
}

/// Sends the request until a target responds.
///
/// # Errors
/// Returns a refusal if no target can take the request, or if an attempt failed
/// and no retry is allowed.
pub(crate) async fn send(
    worker: &Rc<Worker>,
    call: &AdmittedCall,
    attempts: &mut Attempts,
) -> Result<TargetExchange, Refusal> {
    let context = &worker.context;
    let route = &call.routed.route;
    let is_retryable = route.kind.is_retryable();
    loop {
        let result = select_permitted_target(worker, call, attempts).await;
        record_rate_outcome(context, call, result.as_ref().err());
        let permitted = result.map_err(|refusal| attempts.adjust_refusal(refusal))?;
        let entry = Arc::clone(&permitted.selection.entry);
        attempts.tried.record_begin(&entry.id);
        let sent_before = attempts.sent;
        let end = run_attempt(worker, call, permitted, attempts).await;
        attempts.tried.record_end(end.trace());
        let mut denial = None;
        let (cause, refusal) = match end {
            AttemptEnd::Response(exchange) => {
                let failed = exchange.response.status().is_server_error();
                if !failed || !is_retryable || take_retry(worker, call, attempts).is_err() {
                    return Ok(*exchange);
                }
                let status = exchange.response.status().as_u16();
                exchange.outstanding.finish(RequestOutcome::Failed);
                (format!("answered with status {status}"), None)
            }
            AttemptEnd::NotSent(cause) => {
                attempts.unsent += 1;
                let wait_ms = target_retry_ms(context, call);
                let refusal = Refusal::retry_after(RefusalCause::NoTarget, wait_ms);
                let is_last = attempts.unsent >= MAX_UNSENT_ATTEMPTS;
                (cause, is_last.then_some(refusal))
            }
            AttemptEnd::OwnLack(cause, refusal) => {
                if sent_before > 0 && attempts.sent == sent_before {
                    // The retry that was taken for this attempt was not sent.
                    context.retries().give_back(&call.routed.service, context.now());
                }
                (cause, Some(refusal))
            }
            AttemptEnd::NotRun(status) => {
                let wait_ms = target_retry_ms(context, call);
                let refusal = Refusal::retry_after(RefusalCause::NotRun, wait_ms);
                denial = take_retry(worker, call, attempts).err();
                (format!("not run, status {status}"), denial.map(|_| refusal))
            }
            AttemptEnd::ResponseLost(cause, _) => {
                attempts.may_have_run = true;
                if is_retryable {
                    denial = take_retry(worker, call, attempts).err();
                }
                let is_over = !is_retryable || denial.is_some();
                (cause, is_over.then(|| Refusal::new(RefusalCause::AnswerLost)))
            }
        };
        tracing::info!(
            unit = "send",
            event = "attempt_failed",
            request = call.routed.id(),
            target = %entry.id,
            address = %entry.address,
            identity = %format_args!("{:x}", call.identity),
            parts = ?PartList(&call.routed.profile().shared_parts()),
            cause,
            sent = attempts.sent,
            goes_on = refusal.is_none(),
            denial = denial.map(tracing::field::display),
        );
        if let Some(refusal) = refusal {
            return Err(attempts.adjust_refusal(refusal));
        }
        context.metrics.incr("repeats").ok();
    }
}

/// Returns the time in milliseconds after which a target is likely to take the request: that of
/// an ejection or, if all targets turn requests away, the one that they named.
fn target_retry_ms(context: &GatewayContext, call: &AdmittedCall) -> Millis {
    let now = context.now();
    let targets = context.targets();
    let service = &call.routed.service;
    if targets.serving(service, now).next().is_some() {
        return TARGET_RETRY_MS;
    }
    targets.backoff_ms(service, now).map_or(TARGET_RETRY_MS, |wait_ms| wait_ms.max(TARGET_RETRY_MS))
}

/// Returns the refusal of a request that failed for a lack of this router's own; `None` if
/// the error is that of the target. The attempt began at `since`.
fn own_lack_refusal(worker: &Worker, cause: &ExchangeError, since: Millis) -> Option<Refusal> {
    match cause {
        ExchangeError::Exhausted { .. } => {
            Some(Refusal::retry_after(RefusalCause::RouterExhausted, EXHAUSTED_RETRY_MS))
        }
        ExchangeError::TimedOut { .. } if worker.was_late_since(since) => {
            let late_ms = worker.context.lateness().late_ms(worker.context.now());
            let wait_ms = late_ms.max(MIN_LATE_RETRY_MS);
            Some(Refusal::retry_after(RefusalCause::RouterLate, wait_ms))
        }
        _ => None,
    }
}

async fn run_attempt(
    worker: &Rc<Worker>,
    call: &AdmittedCall,
    permitted: PermittedTarget,
    attempts: &mut Attempts,
) -> AttemptEnd {
    let PermittedTarget { selection, mut permit, placement } = permitted;
    let context = &worker.context;
    let entry = selection.entry;
    let profile = call.routed.profile();
    let request_key = context.loads().start_request(
        selection.key,
        profile,
        selection.unread_tokens,
        selection.overhead_ms,
        context.now(),
    );
    let mut outstanding = OutstandingRequest {
        worker: Rc::clone(worker),
        entry,
        target_key: selection.key,
        request_key,
        suspects: crash_suspects(call),
        first_byte_at: Cell::new(None),
        placement,
        is_turned_away: false,
    };
    let mut reuse = ConnectionReuse::of(&call.routed);
    let may_have_run_before = attempts.may_have_run;
    let started_at = context.now();
    let (response, sent_at) = loop {
        let connecting_at = context.now();
        let connection = match worker.connection(&outstanding.entry, reuse).await {
            Ok(connection) => connection,
            Err(cause) => {
                if let Some(refusal) = own_lack_refusal(worker, &cause, started_at) {
                    outstanding.finish(RequestOutcome::NotAttempted);
                    return AttemptEnd::OwnLack(cause.to_string(), refusal);
                }
                if cause.is_refused() {
                    record_refused(context, &outstanding.entry, connecting_at);
                }
                outstanding.finish(RequestOutcome::Unreachable);
                return AttemptEnd::NotSent(cause.to_string());
            }
        };
        if !context.targets().may_serve(&outstanding.entry, context.now()) {
            outstanding.finish(RequestOutcome::NotAttempted);
            return AttemptEnd::NotSent("the target was withdrawn before the write".into());
        }
        if !permit.is_valid(&outstanding.entry, context.now()) {
            outstanding.finish(RequestOutcome::NotAttempted);
            return AttemptEnd::NotSent("no valid permit at the write".into());
        }
        let request = match build_request(worker, call, &outstanding.entry, attempts.last_event_id)
        {
            Ok(request) => request,
            Err(cause) => return AttemptEnd::NotSent(cause),
        };
        attempts.may_have_run = true;
        if let Some(selection) = &mut attempts.selection {
            selection.write_delay_ms = Some(context.now().saturating_sub(started_at));
        }
        let sent_at = context.now();
        context.targets().backoffs().record_sent(&outstanding.entry, sent_at);
        if let Some(placement) = &outstanding.placement {
            placement.record_written(sent_at);
        }
        permit.set_used(true);
        record_written(context, call.routed.id(), &outstanding.entry, permit.cold());
        let result = exchange(&*context.format, &call.routed.received, connection, request).await;
        if result.as_ref().is_err_and(ExchangeError::is_unsent) {
            permit.set_used(false);
            record_unwritten(context, call.routed.id(), &outstanding.entry, permit.cold());
        }
        match result {
            Ok(response) => break (response, sent_at),
            Err(cause @ ExchangeError::Exhausted { .. }) => {
                if cause.is_unsent() {
                    attempts.may_have_run = may_have_run_before;
                    outstanding.finish(RequestOutcome::NotAttempted);
                } else {
                    attempts.sent += 1;
                }
                let refusal =
                    Refusal::retry_after(RefusalCause::RouterExhausted, EXHAUSTED_RETRY_MS);
                return AttemptEnd::OwnLack(cause.to_string(), refusal);
            }
            Err(cause) if cause.is_unsent() && reuse == ConnectionReuse::Allowed => {
                // The target closed the idle connection. A new connection to
                // the same target keeps the request at its home target.
                attempts.may_have_run = may_have_run_before;
                reuse = ConnectionReuse::Never;
            }
            Err(cause) if cause.is_unsent() => {
                attempts.may_have_run = may_have_run_before;
                return AttemptEnd::NotSent(cause.to_string());
            }
            Err(cause) => {
                attempts.sent += 1;
                outstanding.break_off();
                return AttemptEnd::ResponseLost(cause.to_string(), AttemptTrace::Failed);
            }
        }
    };
    attempts.sent += 1;
    let response = match response {
        TargetResponse::Own(response) => *response,
        TargetResponse::Misdirected => {
            attempts.may_have_run = may_have_run_before;
            outstanding.finish(RequestOutcome::Unreachable);
            return AttemptEnd::NotRun(StatusCode::MISDIRECTED_REQUEST.as_u16());
        }
        TargetResponse::Foreign(response) => {
            context.metrics.incr("foreign_responses").ok();
            if response.is_first {
                outstanding.finish(RequestOutcome::Failed);
            }
            return AttemptEnd::ResponseLost(response.to_string(), AttemptTrace::Unproven);
        }
    };
    let metadata = response.metadata();
    if let Some(load) = metadata.load {
        context.loads().record_report(selection.key, load, context.now());
        context.fullness().record(&call.routed.service, load, context.now());
        record_service_load(context, &call.routed.service, load);
        if let Some(placement) = &outstanding.placement {
            placement.record_load(load);
        }
    }
    attempts.named_limit = metadata.rate_limit;
    record_reached(context, &outstanding.entry, sent_at);
    record_limit(context, &outstanding.entry, metadata.rate_limit, sent_at);
    if metadata.is_leaving {
        record_leaving(context, &outstanding.entry);
    }
    outstanding.is_turned_away = record_backoff(context, &outstanding.entry, &response, sent_at);
    if metadata.was_not_run {
        attempts.may_have_run = may_have_run_before;
        return AttemptEnd::NotRun(response.status().as_u16());
    }
    if response.status().is_success() && !metadata.is_signed {
        outstanding.finish(RequestOutcome::Failed);
        return AttemptEnd::ResponseLost("answer is not signed".into(), AttemptTrace::Unproven);
    }
    AttemptEnd::Response(Box::new(TargetExchange { response, outstanding }))
}
