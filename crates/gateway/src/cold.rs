//! Targets that are cold: records when that begins and ends, and acquires the permits that
//! requests to them need.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{Millis, Name};
use cadence::prelude::*;
use rate::{
    ColdAsk, ColdDecision, ColdGrant, ColdLimit, ColdRequest, ColdResponse, RateKey, RequestClass,
};
use route::ColdSpec;
use target::{ColdTargets, RecentSends, TargetEntry, TargetRecord};
use tokio::sync::oneshot;

use crate::context::GatewayContext;
use crate::messages::PeerMessage;
use crate::permits::{PERMIT_TIMEOUT, SILENT_RETRY_MS, SendPermit, rate_key};
use crate::view::UpdateOrigin;

/// Cold times of the targets.
#[derive(Debug, Default)]
pub(crate) struct ColdState {
    pub(crate) targets: ColdTargets,
    /// Requests to all targets, counted only where the platform has a bound.
    sends: RecentSends,
    /// End of the cold time of each target whose beginning was logged.
    logged: BTreeMap<Name, Millis>,
}

/// A permit of a target that is cold, or was so lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdPermit {
    pub(crate) grant: ColdGrant,
    pub(crate) origin: PermitOrigin,
}

/// Who issued a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PermitOrigin {
    Own,
    /// A request for which it was issued before was not sent.
    Kept,
    Peer(SocketAddr),
}

impl fmt::Display for PermitOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => formatter.write_str("Own"),
            Self::Kept => formatter.write_str("Kept"),
            Self::Peer(address) => address.fmt(formatter),
        }
    }
}

impl PermitOrigin {
    fn metric(self) -> &'static str {
        match self {
            Self::Own => "cold_sent.own",
            Self::Kept => "cold_sent.kept",
            Self::Peer(_) => "cold_sent.peer",
        }
    }
}

/// What this instance knew of a target before it learned that the target is cold.
#[derive(Clone, Copy, Debug)]
struct FormerTarget {
    /// `None` if it did not know the target.
    incarnation: Option<u64>,
}

/// Requests that wait for permits; they are sent `None` if theirs was denied.
type ColdWaiters = HashMap<u64, (RateKey, oneshot::Sender<Option<ColdGrant>>)>;

/// Requests of this router that wait for permits of cold targets.
#[derive(Debug, Default)]
pub(crate) struct ColdExchange {
    waiters: Mutex<ColdWaiters>,
}

impl ColdExchange {
    fn waiters(&self) -> MutexGuard<'_, ColdWaiters> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records what an update says of the cold times of targets, before it is merged.
pub(crate) fn record_cold_times(
    context: &GatewayContext,
    records: &[TargetRecord],
    revision: u64,
    origin: UpdateOrigin,
) {
    let now = context.now();
    let is_known_at_start = context.source().revision == 0 && revision > 0;
    let changed: Vec<(&TargetEntry, FormerTarget)> = {
        let targets = &mut context.cold().targets;
        targets.expire(now);
        let changed = records.iter().filter_map(|record| {
            let former = FormerTarget { incarnation: targets.incarnation(&record.id) };
            let is_changed = targets.record(record, is_known_at_start, now);
            record.entry.as_ref().filter(|_| is_changed).map(|entry| (entry, former))
        });
        changed.collect()
    };
    let origin = format!("{origin:?}");
    for (entry, former) in changed {
        update_cold(context, entry, former, &origin);
    }
}

/// Records that a failure domain was taken back from an evacuation by the removal of its key at
/// `revision` of the source: its targets are cold unless they have written their entries since.
/// This instance or a peer has known it for `age` milliseconds.
pub(crate) fn record_taken_back(
    context: &GatewayContext,
    domain: &Name,
    revision: u64,
    age: Millis,
) {
    let now = context.now();
    if context.cold().targets.record_taken_back_before(domain, revision, age, now) {
        update_known(context, "TakenBack", |entry| entry.failure_domain == *domain);
    }
}

/// Updates the cold times of all targets, as the configuration has changed.
pub(crate) fn update_all_cold(context: &GatewayContext, origin: UpdateOrigin) {
    update_known(context, &format!("{origin:?}"), |_| true);
}

/// Completes the configuration by what routers of earlier versions do not pass on.
pub(crate) fn fill_in_cold(
    context: &GatewayContext,
    version: Option<u64>,
    specs: Vec<(Name, ColdSpec)>,
) {
    if context.versions().fill_in_cold(version, specs) {
        update_known(context, "Configuration", |_| true);
    }
}

pub(crate) fn update_known(
    context: &GatewayContext,
    origin: &str,
    is_affected: impl Fn(&TargetEntry) -> bool,
) {
    let known: Vec<TargetEntry> =
        context.targets().known().filter(|entry| is_affected(entry)).cloned().collect();
    for entry in &known {
        let former = FormerTarget { incarnation: Some(entry.incarnation) };
        update_cold(context, entry, former, origin);
    }
}

fn update_cold(context: &GatewayContext, entry: &TargetEntry, former: FormerTarget, origin: &str) {
    let key = rate_key(entry);
    // Held until the limit is set, so that no other thread sets an older one after that.
    let mut cold = context.cold();
    let now = context.now();
    let Some(table) = context.table() else { return };
    let spec = table.service(&entry.service).and_then(|service| service.cold);
    let mut limits = context.limits();
    let Some(spec) = spec else {
        limits.set_cold(key, None, now);
        return;
    };
    let until = cold.targets.cold_until(&entry.id, spec.start_ms);
    let until = until.max(cold.targets.down_until(&entry.id, spec.start_ms, now));
    // A later entry may say that a target of a domain that was taken back is not cold.
    if until <= now && !limits.is_cold(key, now) {
        return;
    }
    let until = until.max(now);
    let limit = ColdLimit { per_second: spec.per_second as f32, until };
    let begins = limits.set_cold(key, Some(limit), now);
    if !limits.needs_cold_permit(key) {
        return;
    }
    if let Some(incarnation) = cold.targets.permit_incarnation(&entry.id) {
        limits.set_permit_key(key, RateKey::new(&entry.id, incarnation));
    }
    drop(limits);
    cold.logged.insert(Name::clone(&entry.id), until);
    let sent_before = cold.sends.count(&entry.id, now);
    drop(cold);
    if begins {
        let (target, incarnation) = (&entry.id, entry.incarnation);
        context.metrics.incr(&format!("cold_begun.{}", origin.to_lowercase())).ok();
        context.metrics.count("cold_sent.before", sent_before as i64).ok();
        tracing::info!(
            unit = "limits",
            event = "cold",
            %target,
            incarnation,
            known = former.incarnation.is_some(),
            known_incarnation = former.incarnation,
            sent_before,
            left_ms = until - now,
            per_second = spec.per_second,
            origin,
        );
    }
}

/// Counts a request that is written to a target, and logs it if its target is cold or was so
/// lately.
pub(crate) fn record_written(
    context: &GatewayContext,
    request: &str,
    entry: &TargetEntry,
    permit: Option<ColdPermit>,
) {
    let now = context.now();
    if context.settings.bounds.cold().is_some() {
        context.cold().sends.record(&entry.id, now);
    }
    let Some(permit) = permit else { return };
    let left_ms = permit.grant.expires_at.saturating_sub(now);
    let is_cold = context.limits().is_cold(rate_key(entry), now);
    context.metrics.incr(permit.origin.metric()).ok();
    tracing::info!(
        unit = "limits",
        event = "cold_sent",
        request,
        target = %entry.id,
        incarnation = entry.incarnation,
        is_cold,
        issuer = %permit.origin,
        age_ms = now.saturating_sub(permit.grant.asked_at),
        left_ms,
    );
}

/// Logs that nothing of a request to a target that is cold was written after all.
pub(crate) fn record_unwritten(
    context: &GatewayContext,
    request: &str,
    entry: &TargetEntry,
    permit: Option<ColdPermit>,
) {
    if permit.is_some() {
        context.metrics.incr("cold_sent.undone").ok();
        let target = &entry.id;
        tracing::info!(unit = "limits", event = "cold_not_sent", request, %target);
    }
}

/// Logs the targets whose cold time has ended.
pub(crate) fn log_warm_targets(context: &GatewayContext) {
    let now = context.now();
    context.cold().sends.expire(now);
    let ended: Vec<(Name, Millis)> = {
        let logged = &mut context.cold().logged;
        logged.extract_if(.., |_, until| *until <= now).collect()
    };
    for (target, until) in ended {
        let ago_ms = now - until;
        tracing::info!(unit = "limits", event = "warm", %target, ago_ms, origin = "Time");
    }
}

/// Records that a target has answered a request in full.
pub(crate) fn record_answered(context: &GatewayContext, entry: &TargetEntry) {
    let now = context.now();
    let mut limits = context.limits();
    if limits.has_cold_targets() {
        limits.record_answered(rate_key(entry), now);
    }
}

/// A request for a permit whose response is awaited.
struct AwaitedPermit<'a> {
    context: &'a GatewayContext,
    number: u64,
}

impl Drop for AwaitedPermit<'_> {
    fn drop(&mut self) {
        let waiter = self.context.cold_permits.waiters().remove(&self.number);
        if waiter.is_some() {
            self.context.limits().abandon(self.number);
        }
    }
}

/// Acquires a permit to send a request to a target that is cold, or was so lately. Returns `None`
/// if the target is not limited for that, and otherwise the time in milliseconds after which a
/// permit may be available if there is none now.
pub(crate) async fn acquire_cold(
    context: &Arc<GatewayContext>,
    key: RateKey,
    class: RequestClass,
) -> Option<Result<SendPermit, Millis>> {
    let decision = context.limits().acquire_cold(key, class, context.now())?;
    Some(match decision {
        ColdDecision::Granted { grant, is_kept } => {
            let origin = if is_kept { PermitOrigin::Kept } else { PermitOrigin::Own };
            Ok(SendPermit::new_cold(context, key, ColdPermit { grant, origin }))
        }
        ColdDecision::Unavailable { retry_ms } => Err(retry_ms),
        ColdDecision::Ask(ask) => ask_issuer(context, key, ask).await,
    })
}

async fn ask_issuer(
    context: &Arc<GatewayContext>,
    key: RateKey,
    ask: ColdAsk,
) -> Result<SendPermit, Millis> {
    let ColdAsk { issuer, request } = ask;
    let (sender, receiver) = oneshot::channel();
    context.cold_permits.waiters().insert(request.number, (key, sender));
    let awaited = AwaitedPermit { context, number: request.number };
    context.permits.send(issuer, &PeerMessage::ColdRequest(request));
    let result = tokio::time::timeout(PERMIT_TIMEOUT, receiver).await;
    drop(awaited);
    match result {
        Ok(Ok(Some(grant))) => {
            context.metrics.incr("permits.granted").ok();
            let origin = PermitOrigin::Peer(issuer);
            Ok(SendPermit::new_cold(context, key, ColdPermit { grant, origin }))
        }
        Ok(Ok(None)) => {
            context.metrics.incr("permits.denied").ok();
            let now = context.now();
            Err(context.limits().wait_ms(key, request.class, now).max(1))
        }
        Ok(Err(_)) | Err(_) => {
            context.metrics.incr("permits.unanswered").ok();
            tracing::info!(unit = "limits", event = "no_permit", peer = %issuer);
            Err(SILENT_RETRY_MS)
        }
    }
}

/// Answers a peer that asks for a permit of a cold target.
pub(crate) fn answer_cold_request(
    context: &GatewayContext,
    request: ColdRequest,
    peer: SocketAddr,
) {
    let response = context.limits().respond_cold(request, context.now());
    context.permits.send(peer, &PeerMessage::ColdResponse(response));
}

/// Passes the response of an issuer on to the request that waits for it.
pub(crate) fn handle_cold_response(context: &GatewayContext, response: ColdResponse) {
    let grant = context.limits().record_cold_permit(response, context.now());
    let waiter = context.cold_permits.waiters().remove(&response.number);
    let Some((key, sender)) = waiter else { return };
    if let Err(Some(grant)) = sender.send(grant) {
        context.limits().give_back_cold(key, grant);
    }
}
