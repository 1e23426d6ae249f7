//! Applies updates to this router's view of the configuration and targets, and
//! serves them to peers.

use base::Millis;
use route::{RouteTable, StreamMoves, VersionVerdict};
use target::{LeftTarget, RecordChange};

use crate::context::GatewayContext;
use crate::messages::{ChangesNotice, ChangesRequest, ChangesResponse, ConfigurationNotice};
use crate::permits::retain_targets;
use crate::platform::SourceUpdate;
use crate::streams::{tell_newly_uncertain, update_versions};

/// Where an update comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpdateOrigin {
    /// A complete listing from the source.
    Listing,
    /// Changes from the source.
    Changes,
    /// Changes from a peer.
    Peer,
}

/// Applies an update. Returns whether it advanced the revision of this router's
/// view.
pub(crate) fn apply_update(
    context: &GatewayContext,
    update: SourceUpdate,
    origin: UpdateOrigin,
) -> bool {
    let now = context.now();
    // How long the changes were known to exist, and how late they may have been read.
    let behind_ms = context.source().behind_since.map(|since| now.saturating_sub(since));
    let late_ms = context.control_lateness().late_ms(now);
    for (key, cause) in &update.unreadable {
        tracing::warn!(unit = "view", event = "unreadable_item", key, cause);
    }
    if let Some(table) = update.table {
        let version = table.version;
        let capacity = table.capacity_tokens_per_s;
        // Before requests are routed by it.
        record_moves(context, &table, now);
        let verdict = context.versions().offer(table);
        if matches!(verdict, VersionVerdict::Accepted { .. }) {
            context.shares().set_capacity(capacity);
            tell_newly_uncertain(context);
            tracing::info!(
                unit = "view",
                event = "configuration",
                version,
                ?verdict,
                ?origin,
                behind_ms,
                late_ms,
            );
        }
    }
    let changes = if origin == UpdateOrigin::Listing {
        context.targets().merge_listing(update.records, update.revision, now)
    } else {
        let mut targets = context.targets();
        let records = update.records.into_iter();
        records.map(|record| (record.id.clone(), targets.merge(record, now))).collect()
    };
    let mut has_changed = false;
    for (target, change) in changes {
        if change != RecordChange::Unchanged {
            has_changed = true;
            let revision = update.revision;
            tracing::info!(
                unit = "view",
                event = "target",
                %target,
                ?change,
                revision,
                ?origin,
                behind_ms,
                late_ms,
            );
        }
    }
    if has_changed {
        let known: Vec<_> = context.targets().known().map(|entry| entry.id.clone()).collect();
        context.loads().retain_targets(|id| known.contains(id));
        retain_targets(context);
        update_versions(context);
    }
    context.source().advance(update.revision)
}

/// Records between which services a configuration moves streams, if it is newer than the one in
/// force.
fn record_moves(context: &GatewayContext, table: &RouteTable, now: Millis) {
    let former = context.table();
    if former.as_ref().is_some_and(|former| former.version >= table.version) {
        return;
    }
    let moves = former.map(|former| StreamMoves::between(&former, table)).unwrap_or_default();
    let mut resumes = context.resumes();
    resumes.set_longest_stream(table.longest_stream_ms(), now);
    resumes.record_moves(table.version, &moves, now);
}

/// Records the targets that a peer saw leave.
pub(crate) fn record_left_targets(context: &GatewayContext, left: Vec<LeftTarget>) {
    let now = context.now();
    let mut targets = context.targets();
    left.into_iter().for_each(|left| targets.record_left(left, now));
}

/// Returns what this router knows beside the changes that it sends to a peer.
pub(crate) fn changes_notice(context: &GatewayContext) -> ChangesNotice {
    ChangesNotice { left: context.targets().left_targets(context.now()) }
}

/// Returns which configuration this router has.
pub(crate) fn configuration_notice(context: &GatewayContext) -> ConfigurationNotice {
    ConfigurationNotice { version: context.versions().version() }
}

/// Returns the changes that this router knows and a peer lacks.
pub(crate) fn changes_since(context: &GatewayContext, request: ChangesRequest) -> ChangesResponse {
    let now: Millis = context.now();
    // The revision is read first, so that the response is complete up to it even
    // if newer changes arrive meanwhile.
    let revision = context.source().revision;
    let table = context.table().filter(|table| Some(table.version) > request.version);
    let targets = context.targets();
    ChangesResponse {
        revision,
        table: table.map(|table| (*table).clone()),
        records: targets.records_since(request.after),
        source_recovery_age: targets.recovery_age(now),
    }
}
