//! The most recent routing decisions, which the `explain` endpoint reports.

use std::collections::VecDeque;

use base::{Millis, Name};
use serde::Serialize;

/// Maximum number of decisions kept in memory.
const MAX_DECISIONS: usize = 2_000;

/// Where a request was sent, and why.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RouteDecision {
    pub(crate) request: String,
    pub(crate) account: Name,
    pub(crate) service: Name,
    pub(crate) target: Name,
    pub(crate) grantor: Name,
    /// `float` if the request got a spare grant, otherwise `least_served`.
    pub(crate) reason: &'static str,
    /// Time that the request waited for its slot, in milliseconds.
    pub(crate) waited_ms: Millis,
    /// Requests of all accounts that still wait for the service at this router.
    pub(crate) still_waiting: usize,
    /// Estimated cost, charged at dispatch, in cost units.
    pub(crate) estimate: f64,
    pub(crate) attempt: u32,
}

/// A bounded log of decisions; the oldest are dropped first.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    decisions: VecDeque<RouteDecision>,
}

impl DecisionLog {
    /// Writes a decision to the log and keeps it in memory.
    pub(crate) fn record(&mut self, decision: RouteDecision) {
        tracing::info!(
            unit = "route",
            request = decision.request,
            account = %decision.account,
            service = %decision.service,
            target = %decision.target,
            grantor = %decision.grantor,
            reason = decision.reason,
            waited_ms = decision.waited_ms,
            still_waiting = decision.still_waiting,
            estimate = decision.estimate,
            attempt = decision.attempt,
        );
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Returns the decisions about one request, in the order of its attempts.
    pub(crate) fn of_request(&self, request: &str) -> Vec<RouteDecision> {
        self.decisions.iter().filter(|decision| decision.request == request).cloned().collect()
    }
}
