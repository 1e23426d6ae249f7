//! Logs one line at the end of each request, with the values that decided it.

use std::net::IpAddr;
use std::sync::Arc;

use admit::ShareVerdict;
use base::{Millis, Name};
use cadence::prelude::*;
use inbound::{AnswerEnd, BusyConnection, HandedAnswer, unwritten_bytes};
use ntex::io::IoRef;
use outbound::BodyFraming;
use sse::EventTrace;
use target::FullCounts;

use crate::broken::BrokenReason;
use crate::call::{AdmittedCall, HeldBody, RoutedCall};
use crate::context::GatewayContext;
use crate::open::{OpenCall, RefusedCall, ReportEntry};
use crate::platform::NamedLimit;
use crate::refusal::{Refusal, RefusalCause};
use crate::select::SelectionEstimate;
use crate::send::Attempts;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum CallEnd {
    Answered,
    Refused,
    /// The target broke off a stream, and it could not be resumed.
    Broken,
    /// The request timed out while the response was being relayed, or the process exits.
    Cut,
    /// The caller disconnected before the end.
    Left,
}

/// Collects the details of a request and logs them once, at its end.
#[derive(Debug)]
pub(crate) struct CallReport {
    context: Arc<GatewayContext>,
    /// Connection of the caller.
    io: Option<IoRef>,
    started_at: Millis,
    expires_at: Option<Millis>,
    first_byte_at: Option<Millis>,
    /// When the last part of the response was handed over to the connection.
    handed_over_at: Option<Millis>,
    /// Bytes of the response that were not handed over.
    kept_bytes: usize,
    request: Name,
    caller: Option<IpAddr>,
    route: Option<Name>,
    account: Option<Name>,
    version: Option<u64>,
    target: Option<Name>,
    status: Option<u16>,
    sent: u32,
    selection: Option<SelectionEstimate>,
    named_limit: NamedLimit,
    share: Option<ShareVerdict>,
    full_counts: Option<FullCounts>,
    framing: Option<BodyFraming>,
    /// Whether the last stream of a target ended inside an event.
    ended_in_event: Option<bool>,
    /// Events that the caller received.
    events: Option<EventTrace>,
    /// Largest number of tokens that the request asked for.
    max_output_tokens: Option<u32>,
    /// Error behind the cause; only of a stream that was broken off.
    detail: Option<String>,
    is_finished: bool,
    /// The log line is suppressed, as there are many of the same kind.
    is_suppressed: bool,
    /// Lines suppressed before this one.
    suppressed_lines: u32,
    open: OpenCall,
    _entry: ReportEntry,
}

impl CallReport {
    pub(crate) fn new(
        context: &Arc<GatewayContext>,
        id: &str,
        caller: Option<IpAddr>,
        io: Option<&IoRef>,
        started_at: Millis,
    ) -> Self {
        Self {
            context: Arc::clone(context),
            io: io.cloned(),
            started_at,
            expires_at: None,
            first_byte_at: None,
            handed_over_at: None,
            kept_bytes: 0,
            request: id.into(),
            caller,
            route: None,
            account: None,
            version: None,
            target: None,
            status: None,
            sent: 0,
            selection: None,
            named_limit: NamedLimit::None,
            share: None,
            full_counts: None,
            framing: None,
            ended_in_event: None,
            events: None,
            max_output_tokens: None,
            detail: None,
            is_finished: false,
            is_suppressed: false,
            suppressed_lines: 0,
            open: OpenCall::new(context),
            _entry: ReportEntry::new(context, id.into(), started_at),
        }
    }

    /// Counts the request as refused while its body is being discarded.
    pub(crate) fn begin_refusal(&mut self) -> RefusedCall<'_> {
        self.open.refuse()
    }

    pub(crate) fn record_route(&mut self, call: &RoutedCall) {
        self.expires_at = Some(call.expires_at);
        self.route = Some(Name::clone(&call.route.name));
        self.account.clone_from(&call.account);
        self.version = Some(call.table.version);
        self.max_output_tokens = call.received.metadata.max_output_tokens;
    }

    pub(crate) fn record_admission(&mut self, call: &AdmittedCall) {
        self.share = call.share;
    }

    pub(crate) fn record_attempts(&mut self, attempts: &Attempts) {
        self.sent = attempts.sent;
        self.target = attempts.tried.last().cloned();
        self.selection = attempts.selection;
        self.named_limit = attempts.named_limit;
    }

    /// Records the status and the time of the first bytes of the response.
    pub(crate) fn record_first_byte(&mut self, status: u16) {
        self.first_byte_at = Some(self.context.now());
        self.status = Some(status);
    }

    /// Records how many bytes of the response wait to be handed over to the connection.
    pub(crate) fn record_kept(&mut self, bytes: usize) {
        self.kept_bytes = bytes;
    }

    /// Records that the last part of the response is handed over to the connection. The request is
    /// open, and what it holds counts, until it is written.
    pub(crate) fn hand_over(mut self, connection: Option<BusyConnection>, held: HeldBody) {
        self.kept_bytes = 0;
        self.handed_over_at = Some(self.context.now());
        let answer = Box::new(HandedReport { report: self, held: Some(held) });
        match connection {
            Some(connection) => connection.hand_over(answer),
            None => answer.end(AnswerEnd::Written),
        }
    }

    /// Records how the last stream of a target was framed and where it ended.
    pub(crate) fn record_stream(&mut self, framing: BodyFraming, ended_in_event: bool) {
        self.framing = Some(framing);
        self.ended_in_event = Some(ended_in_event);
    }

    /// Records the target whose run ended the response, after later attempts, and its framing.
    pub(crate) fn record_end(&mut self, target: Option<Name>, framing: BodyFraming) {
        self.target = target;
        self.record_stream(framing, false);
    }

    /// Records events that are passed on to the caller.
    pub(crate) fn record_events(&mut self, bytes: &[u8]) {
        self.events.get_or_insert_default().push(bytes);
    }

    pub(crate) fn finish_refused(&mut self, refusal: &Refusal) {
        self.status = Some(refusal.status().as_u16());
        self.full_counts = refusal.full_counts;
        let retry_after_ms = refusal.retry_after_ms;
        let cause = format!("{:?}", refusal.cause);
        self.context.metrics.incr(&format!("refused.{cause}")).ok();
        if matches!(
            refusal.cause,
            RefusalCause::OverShare
                | RefusalCause::RateLimited
                | RefusalCause::RouterLate
                | RefusalCause::RouterExhausted
        ) {
            let now = self.context.now();
            match self.context.refusal_log_sampler().allow(now) {
                Some(suppressed) => self.suppressed_lines = suppressed,
                None => self.is_suppressed = true,
            }
        }
        self.finish_with(CallEnd::Refused, &cause, retry_after_ms);
    }

    /// Finishes a stream that was broken off. `detail` is the error behind the reason.
    pub(crate) fn finish_broken(&mut self, reason: BrokenReason, detail: String) {
        if self.is_finished {
            return;
        }
        self.detail = Some(detail);
        self.context.metrics.incr(&reason.counter()).ok();
        if self.context.stop_plan().is_some() {
            self.context.open.stop_broken.record(reason);
        }
        self.finish_with(CallEnd::Broken, &reason.to_string(), None);
    }

    pub(crate) fn finish(&mut self, end: CallEnd, cause: &str) {
        self.finish_with(end, cause, None);
    }

    fn finish_with(&mut self, end: CallEnd, cause: &str, retry_after_ms: Option<u64>) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = self.context.now();
        let took_ms = self.handed_over_at.unwrap_or(now).saturating_sub(self.started_at);
        let written_ms = (end == CallEnd::Answered).then(|| now.saturating_sub(self.started_at));
        let unwritten = match end {
            CallEnd::Answered | CallEnd::Refused => 0,
            _ => self.kept_bytes + self.io.as_ref().map_or(0, unwritten_bytes),
        };
        let stop_plan = self.context.stop_plan();
        let after_signal_ms =
            stop_plan.and_then(|plan| self.started_at.checked_sub(plan.unsignalled_at()));
        if stop_plan.is_some() {
            self.context.open.record_stop_end(end);
        }
        let first_ms = self.first_byte_at.map(|at| at.saturating_sub(self.started_at));
        let metrics = &self.context.metrics;
        metrics.incr(&format!("calls.{end:?}")).ok();
        metrics.histogram("call_ms", took_ms).ok();
        if let Some(first_ms) = first_ms {
            metrics.histogram("first_byte_ms", first_ms).ok();
        }
        if self.is_suppressed {
            return;
        }
        let events = self.events.as_ref();
        // Excerpts of logs show about 200 characters of a line, so what tells the cause comes first, and
        // the unit is enough to name the module.
        tracing::info!(
            target: "gateway",
            unit = "call",
            event = "ended",
            request = %self.request,
            ?end,
            cause,
            sent = self.sent,
            after_signal_ms,
            target = self.target.as_deref(),
            route = self.route.as_deref(),
            status = self.status,
            detail = self.detail.as_deref(),
            caller = self.caller.map(tracing::field::display),
            account = self.account.as_deref(),
            expected_ms = self.selection.map(|selection| selection.expected_ms),
            waiting_ms = self.selection.map(|selection| selection.waiting_ms),
            occupancy = self.selection.map(|selection| selection.occupancy),
            unread_tokens = self.selection.map(|selection| selection.unread_tokens),
            home_rank = self.selection.and_then(|selection| selection.home_rank),
            estimate = self.selection.map(|selection| selection.source()),
            owner_age_ms = self.selection.and_then(|selection| selection.owner_age_ms),
            offer_ms = self.selection.and_then(|selection| selection.offer_ms),
            offers_asked = self.selection.and_then(|selection| selection.asked),
            report_age_ms = self.selection.and_then(|selection| selection.report_age_ms),
            write_delay_ms = self.selection.and_then(|selection| selection.write_delay_ms),
            target_limit = self.named_limit.per_second().map(tracing::field::display),
            full_own = self.full_counts.map(|counts| counts.own),
            full_announced = self.full_counts.map(|counts| counts.announced),
            full_reported = self.full_counts.map(|counts| counts.reported),
            full_memory = self.full_counts.map(|counts| counts.memory),
            within_share = self.share.map(|share| share.is_within),
            share = self.share.map(|share| share.share as u64),
            asked = self.share.map(|share| share.demand as u64),
            fullness = self.share.map(|share| (share.fullness * 100.0).round() / 100.0),
            framing = self.framing.map(tracing::field::debug),
            in_event = self.ended_in_event,
            events = events.map(|events| events.events),
            first_id = events.and_then(|events| events.first_id),
            last_id = events.and_then(|events| events.last_id),
            largest_step = events.map(|events| events.largest_step),
            backward_steps = events.map(|events| events.backward_steps),
            max_output = events.and(self.max_output_tokens),
            retry_after_ms,
            first_ms,
            took_ms,
            written_ms,
            unwritten = (unwritten > 0).then_some(unwritten),
            version = self.version,
            revision = self.context.source().revision,
            left_out = (self.suppressed_lines > 0).then_some(self.suppressed_lines),
        );
    }
}

impl Drop for CallReport {
    fn drop(&mut self) {
        if self.context.is_exiting() {
            self.finish(CallEnd::Cut, "the process exits");
        }
        if self.expires_at.is_some_and(|at| self.context.now() >= at) {
            self.finish(CallEnd::Cut, "time is over");
        }
        self.finish(CallEnd::Left, "caller closed its connection");
    }
}

/// Report of a response whose last part was handed over to the connection.
#[derive(Debug)]
struct HandedReport {
    report: CallReport,
    /// None once the next request has begun.
    held: Option<HeldBody>,
}

impl HandedAnswer for HandedReport {
    fn release(&mut self) {
        self.held = None;
    }

    fn end(mut self: Box<Self>, end: AnswerEnd) {
        if end == AnswerEnd::Written {
            self.report.finish(CallEnd::Answered, "complete");
        }
    }
}
