//! Applies updates to this router's view of the configuration and targets, and
//! serves them to peers.

use base::Millis;
use changes::{ChangesNotice, ChangesRequest, ChangesResponse, ConfigurationNotice};
use route::{RouteTable, StreamMoves, VersionVerdict};
use target::{DomainChange, DomainListing, DomainRecord, LeftTarget, RecordChange, RemovalNotice};

use crate::cold::{fill_in_cold, record_cold_times, record_taken_back, update_all_cold};
use crate::context::GatewayContext;
use crate::permits::update_targets;
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
    /// A restored source lacks what it had, and its writer has had time to write it again.
    Expiry,
}

/// Applies an update. Returns whether it advanced the revision of this router's
/// view.
pub(crate) fn apply_update(
    context: &GatewayContext,
    update: SourceUpdate,
    origin: UpdateOrigin,
) -> bool {
    apply(context, update, origin, None)
}

/// Applies the changes of a peer, with what it knows of removals. Returns whether they advanced the
/// revision of this router's view.
pub(crate) fn apply_peer_update(
    context: &GatewayContext,
    update: SourceUpdate,
    removals: Option<RemovalNotice>,
) -> bool {
    apply(context, update, UpdateOrigin::Peer, removals)
}

fn apply(
    context: &GatewayContext,
    update: SourceUpdate,
    origin: UpdateOrigin,
    removals: Option<RemovalNotice>,
) -> bool {
    let now = context.now();
    // How long the changes were known to exist, and how late they may have been read.
    let behind_ms = context.source().behind_since.map(|since| now.saturating_sub(since));
    let late_ms = context.control_lateness().late_ms(now);
    expire_domains(context);
    // Evacuations come first, so that no target of the update is used in spite of one.
    let domain_changes = merge_domains(context, update.domains, update.revision, origin);
    record_domain_changes(context, &domain_changes, origin);
    for (key, cause) in &update.unreadable {
        tracing::warn!(unit = "view", event = "unreadable_item", key, cause);
    }
    if let Some(table) = update.table {
        let version = table.version;
        let capacity = table.capacity_tokens_per_s;
        let cold_specs = table.cold_specs();
        let cold_services = cold_specs.len();
        // Before requests are routed by it.
        record_moves(context, &table, now);
        let verdict = context.versions().offer(table);
        fill_in_cold(context, Some(version), cold_specs);
        if matches!(verdict, VersionVerdict::Accepted { .. }) {
            context.shares().set_capacity(capacity);
            tell_newly_uncertain(context);
            tracing::info!(
                unit = "view",
                event = "configuration",
                version,
                cold_services,
                ?verdict,
                ?origin,
                behind_ms,
                late_ms,
            );
            update_all_cold(context, origin);
        }
    }
    // Before the targets may be selected.
    record_cold_times(context, &update.records, update.revision, origin);
    let changes = {
        let mut targets = context.targets();
        let SourceUpdate { records, revision, .. } = update;
        match origin {
            UpdateOrigin::Listing => targets.merge_listing(records, revision, now),
            UpdateOrigin::Changes => targets.merge_changes(records, revision, now),
            UpdateOrigin::Peer | UpdateOrigin::Expiry => {
                targets.merge_peer_changes(records, revision, removals, now)
            }
        }
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
        update_targets(context);
        update_versions(context);
    }
    context.source().advance(update.revision)
}

/// Merges the failure domains of an update; returns those whose evacuation began or ended.
fn merge_domains(
    context: &GatewayContext,
    records: Vec<DomainRecord>,
    revision: u64,
    origin: UpdateOrigin,
) -> Vec<(DomainRecord, DomainChange)> {
    let now = context.now();
    let mut targets = context.targets();
    match origin {
        UpdateOrigin::Listing => targets.merge_domain_listing(records, revision, now),
        UpdateOrigin::Changes => {
            let merged = records.into_iter().map(|record| {
                let change = targets.merge_domain(record.clone(), now);
                (record, change)
            });
            let merged = merged.collect();
            targets.advance_domains(revision);
            merged
        }
        // What peers know of failure domains is complete up to a revision of its own.
        UpdateOrigin::Peer | UpdateOrigin::Expiry => Vec::new(),
    }
}

/// Merges what a peer knows of evacuated failure domains.
pub(crate) fn apply_peer_domains(context: &GatewayContext, listing: DomainListing) {
    // An instance that has started since knows nothing of the evacuation either.
    let returned = listing.records.iter().zip(&listing.ages);
    for (record, age) in returned.filter(|(record, _)| !record.is_evacuated) {
        record_taken_back(context, &record.domain, record.revision, *age);
    }
    let changes = context.targets().merge_peer_domains(listing, context.now());
    record_domain_changes(context, &changes, UpdateOrigin::Peer);
}

/// Ends the evacuations that a restored source has lacked for too long.
pub(crate) fn expire_domains(context: &GatewayContext) {
    let ended = context.targets().expire_domains(context.now());
    let changes: Vec<_> =
        ended.into_iter().map(|record| (record, DomainChange::TakenBack)).collect();
    record_domain_changes(context, &changes, UpdateOrigin::Expiry);
}

/// Logs failure domains whose evacuation began or ended. The targets of those that were taken back
/// may have become cold meanwhile.
fn record_domain_changes(
    context: &GatewayContext,
    changes: &[(DomainRecord, DomainChange)],
    origin: UpdateOrigin,
) {
    let taken_back = changes.iter().filter(|(_, change)| *change == DomainChange::TakenBack);
    for (record, _) in taken_back {
        record_taken_back(context, &record.domain, record.revision, 0);
    }
    let now = context.now();
    let behind_ms = context.source().behind_since.map(|since| now.saturating_sub(since));
    let late_ms = context.control_lateness().late_ms(now);
    for (DomainRecord { domain, revision, .. }, change) in changes {
        if *change != DomainChange::Unchanged {
            tracing::info!(
                unit = "view",
                event = "evacuation",
                %domain,
                ?change,
                revision,
                ?origin,
                behind_ms,
                late_ms,
            );
        }
    }
}

/// Returns what this router knows of evacuated failure domains. The whole is sent each time, as
/// it is small: what a peer missed, as an instance of an earlier version was in between, reaches
/// it with the next change.
pub(crate) fn domain_listing(context: &GatewayContext) -> DomainListing {
    context.targets().domain_listing(context.now())
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

/// Returns the changes that this router knows and a peer lacks, and what the peer has to know of
/// removals.
pub(crate) fn changes_since(
    context: &GatewayContext,
    request: ChangesRequest,
) -> (ChangesResponse, RemovalNotice) {
    let now: Millis = context.now();
    // The revision is read first, so that the response is complete up to it even
    // if newer changes arrive meanwhile.
    let revision = context.source().revision;
    let table = context.table().filter(|table| Some(table.version) > request.version);
    let targets = context.targets();
    let response = ChangesResponse {
        revision,
        table: table.map(|table| (*table).clone()),
        records: targets.records_since(request.after),
        source_recovery_age: targets.recovery_age(now),
    };
    (response, targets.removals_after(request.after))
}
