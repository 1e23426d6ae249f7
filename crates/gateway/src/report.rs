//! One log line for the end of each request, with what decided it.

use std::sync::Arc;

use admit::ShareVerdict;
use base::{Millis, Name};
use cadence::prelude::*;

use crate::call::{AdmittedCall, RoutedCall};
use crate::context::{GatewayContext, OpenCall};
use crate::refusal::{Refusal, RefusalCause};
use crate::send::{Attempts, ChoiceInputs};

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallEnd {
    Answered,
    Refused,
    /// A stream was broken off by its target.
    Broken,
    /// The time was over while the answer was on its way.
    Cut,
    /// The caller left before the end.
    Left,
}

/// Collects what is known of a request and logs it once, at its end.
#[derive(Debug)]
pub(crate) struct CallReport {
    context: Arc<GatewayContext>,
    started_at: Millis,
    first_at: Option<Millis>,
    request: Name,
    route: Option<Name>,
    account: Option<Name>,
    version: Option<u64>,
    target: Option<Name>,
    status: Option<u16>,
    sent: u32,
    choice: Option<ChoiceInputs>,
    share: Option<ShareVerdict>,
    is_ended: bool,
    /// Its line is left out, as many are alike.
    is_silent: bool,
    /// Lines that were left out before this one.
    left_out: u32,
    _open: OpenCall,
}

impl CallReport {
    pub(crate) fn new(context: &Arc<GatewayContext>, id: &str, started_at: Millis) -> Self {
        Self {
            context: Arc::clone(context),
            started_at,
            first_at: None,
            request: id.into(),
            route: None,
            account: None,
            version: None,
            target: None,
            status: None,
            sent: 0,
            choice: None,
            share: None,
            is_ended: false,
            is_silent: false,
            left_out: 0,
            _open: OpenCall::new(context),
        }
    }

    pub(crate) fn routed(&mut self, call: &RoutedCall) {
        self.route = Some(Name::clone(&call.route.name));
        self.account.clone_from(&call.account);
        self.version = Some(call.table.version);
    }

    pub(crate) fn admitted(&mut self, call: &AdmittedCall) {
        self.share = call.share;
    }

    pub(crate) fn sent(&mut self, attempts: &Attempts) {
        self.sent = attempts.sent;
        self.target = attempts.tried.last().cloned();
        self.choice = attempts.choice;
    }

    /// The first bytes of the answer came.
    pub(crate) fn first_byte(&mut self, status: u16) {
        self.first_at = Some(self.context.now());
        self.status = Some(status);
    }

    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        self.status = Some(refusal.status().as_u16());
        let retry_after_ms = refusal.retry_after_ms;
        let cause = format!("{:?}", refusal.cause);
        self.context.metrics.incr(&format!("refused.{cause}")).ok();
        if matches!(refusal.cause, RefusalCause::OverShare | RefusalCause::RouterLate) {
            let now = self.context.now();
            match self.context.refusal_lines().admit(now) {
                Some(left_out) => self.left_out = left_out,
                None => self.is_silent = true,
            }
        }
        self.end_with(CallEnd::Refused, &cause, retry_after_ms);
    }

    pub(crate) fn ended(&mut self, end: CallEnd, cause: &str) {
        self.end_with(end, cause, None);
    }

    fn end_with(&mut self, end: CallEnd, cause: &str, retry_after_ms: Option<u64>) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let now = self.context.now();
        let took_ms = now.saturating_sub(self.started_at);
        let first_ms = self.first_at.map(|at| at.saturating_sub(self.started_at));
        let metrics = &self.context.metrics;
        metrics.incr(&format!("calls.{end:?}")).ok();
        metrics.histogram("call_ms", took_ms).ok();
        if let Some(first_ms) = first_ms {
            metrics.histogram("first_byte_ms", first_ms).ok();
        }
        if self.is_silent {
            return;
        }
        tracing::info!(
            unit = "call",
            event = "ended",
            request = %self.request,
            ?end,
            cause,
            status = self.status,
            route = self.route.as_deref(),
            account = self.account.as_deref(),
            target = self.target.as_deref(),
            sent = self.sent,
            expected_ms = self.choice.map(|choice| choice.expected_ms),
            waiting_ms = self.choice.map(|choice| choice.waiting_ms),
            occupancy = self.choice.map(|choice| choice.occupancy),
            unread_tokens = self.choice.map(|choice| choice.unread_tokens),
            home_rank = self.choice.and_then(|choice| choice.home_rank),
            within_share = self.share.map(|share| share.is_within),
            share = self.share.map(|share| share.share as u64),
            asked = self.share.map(|share| share.demand as u64),
            retry_after_ms,
            first_ms,
            took_ms,
            version = self.version,
            revision = self.context.source().revision,
            left_out = (self.left_out > 0).then_some(self.left_out),
        );
    }
}

impl Drop for CallReport {
    fn drop(&mut self) {
        self.end_with(CallEnd::Left, "caller closed its connection", None);
    }
}
