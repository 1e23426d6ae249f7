//! Targets whose processes were seen not to listen: they may start again under their names before
//! their entries say so, and are cold then.

use std::collections::BTreeSet;

use base::{Millis, Name};
use cadence::prelude::*;
use target::{DowntimeNotice, TargetEntry};

use crate::cold::update_known;
use crate::context::GatewayContext;

/// Whether the targets of a service may be cold.
fn has_cold_targets(context: &GatewayContext, service: &str) -> bool {
    context.settings.bounds.cold().is_some()
        && context.table().is_some_and(|table| {
            table.service(service).is_some_and(|service| service.cold.is_some())
        })
}

/// Records that the machine of a target refused a connection that was begun at `since`, and tells
/// the peers. A time-out or a reset says nothing, as links that lose packets cause them too.
pub(crate) fn record_refused(context: &GatewayContext, entry: &TargetEntry, since: Millis) {
    if !has_cold_targets(context, &entry.service) {
        return;
    }
    let now = context.now();
    if context.cold().targets.record_refused(entry, since, now) {
        let (target, incarnation) = (&entry.id, entry.incarnation);
        context.metrics.incr("targets_refusing").ok();
        tracing::info!(unit = "limits", event = "refusing", %target, incarnation, learned = "Own");
        update_known(context, "Refused", |known| known.id == *target);
        context.heartbeat_now.notify_one();
    }
}

/// Records that a target answered a request that was written at `sent_at`, and tells the peers if
/// it was seen not to listen before.
pub(crate) fn record_reached(context: &GatewayContext, entry: &TargetEntry, sent_at: Millis) {
    if context.settings.bounds.cold().is_none() {
        return;
    }
    let now = context.now();
    if context.cold().targets.record_answered(entry, sent_at, now) {
        let (target, incarnation) = (&entry.id, entry.incarnation);
        tracing::info!(unit = "limits", event = "reached", %target, incarnation, learned = "Own");
        update_known(context, "Reached", |known| known.id == *target);
        context.heartbeat_now.notify_one();
    }
}

/// Merges what a peer knows of targets that were seen not to listen.
pub(crate) fn merge_downtimes(context: &GatewayContext, peer: &str, notices: &[DowntimeNotice]) {
    if context.settings.bounds.cold().is_none() {
        return;
    }
    let now = context.now();
    let mut changed = BTreeSet::new();
    for notice in notices {
        if context.cold().targets.merge_downtime(notice, now) {
            let event = if notice.answered_age.is_some() { "reached" } else { "refusing" };
            tracing::info!(
                unit = "limits",
                event,
                target = %notice.id,
                incarnation = notice.incarnation,
                learned = "Peer",
                peer,
                answered_age = notice.answered_age,
            );
            changed.insert(Name::clone(&notice.id));
        }
    }
    if !changed.is_empty() {
        update_known(context, "Peer", |entry| changed.contains(&entry.id));
    }
}

/// Returns what all peers are to be told of such targets, for a round of heartbeats.
pub(crate) fn downtime_notices(context: &GatewayContext) -> Vec<DowntimeNotice> {
    let now = context.now();
    context.cold().targets.downtime_notices(now)
}

/// Returns what a single peer is to be told of such targets.
pub(crate) fn downtime_notices_for_one(context: &GatewayContext) -> Vec<DowntimeNotice> {
    let now = context.now();
    context.cold().targets.downtime_notices_for_one(now)
}

/// Prolongs the cold time of the targets that have not answered since they were seen not to
/// listen.
pub(crate) fn update_unanswered(context: &GatewayContext) {
    let unanswered = context.cold().targets.unanswered();
    if !unanswered.is_empty() {
        update_known(context, "Refused", |entry| unanswered.contains(&entry.id));
    }
}
