//! What responses say of their targets: that they leave, or want no request for a time.

use cadence::prelude::*;
use http::StatusCode;
use target::{LeavingOrigin, LeavingTarget, TargetEntry};

use crate::context::GatewayContext;
use crate::exchange::OwnResponse;
use crate::platform::RetryDelay;

/// Records that a target says in a response that it leaves, and tells the peers.
pub(crate) fn record_leaving(context: &GatewayContext, entry: &TargetEntry) {
    let now = context.now();
    let (target, incarnation) = (&entry.id, entry.incarnation);
    let origin = LeavingOrigin::Response;
    if context.targets().record_leaving(target, incarnation, origin, now) {
        context.metrics.incr("targets_leaving").ok();
        tracing::info!(unit = "answers", event = "leaving", %target, incarnation, learned = ?origin);
        context.heartbeat_now.notify_one();
    }
}

/// Records the targets of which a peer says that they leave.
pub(crate) fn merge_leaving(context: &GatewayContext, peer: &str, leaving: Vec<LeavingTarget>) {
    let now = context.now();
    let origin = LeavingOrigin::Peer;
    for LeavingTarget { id, incarnation } in leaving {
        if context.targets().record_leaving(&id, incarnation, origin, now) {
            tracing::info!(
                unit = "answers",
                event = "leaving",
                target = %id,
                incarnation,
                learned = ?origin,
                peer,
            );
        }
    }
}

/// Records for how long a target wants no request, if its response says so, and
/// otherwise that it accepted the request that was sent at `sent_at`. Returns whether it turned
/// the request away.
pub(crate) fn record_backoff(
    context: &GatewayContext,
    entry: &TargetEntry,
    response: &OwnResponse,
    sent_at: base::Millis,
) -> bool {
    let target = &entry.id;
    let status = response.status();
    match response.metadata().retry_delay {
        RetryDelay::Millis(named_ms) if status == StatusCode::SERVICE_UNAVAILABLE => {
            let wait_ms =
                context.targets().backoffs().record_turned_away(entry, named_ms, context.now());
            context.metrics.incr("turned_away").ok();
            tracing::info!(unit = "answers", event = "turned_away", %target, named_ms, wait_ms);
            return true;
        }
        RetryDelay::Unreadable if status == StatusCode::SERVICE_UNAVAILABLE => {
            tracing::warn!(unit = "answers", event = "retry_delay_unreadable", %target);
        }
        RetryDelay::None | RetryDelay::Millis(_) | RetryDelay::Unreadable => {}
    }
    if context.targets().backoffs().record_accepted(entry, sent_at) {
        tracing::info!(unit = "answers", event = "accepted_again", %target);
    }
    false
}
