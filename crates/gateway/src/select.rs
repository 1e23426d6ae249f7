//! Selects the target of a request, with a permit if the target names a request rate.

use std::sync::Arc;

use base::{Millis, Name};
use rate::RequestClass;
use target::{
    SelectionError, SelectionQuery, TargetEntry, TargetSelection, TriedTargets, select_target,
};

use crate::call::AdmittedCall;
use crate::context::GatewayContext;
use crate::offers::{self, Placement};
use crate::permits::{SendPermit, acquire, rate_key};
use crate::refusal::{Refusal, RefusalCause};
use crate::rounds::{self, PlacedSelection};
use crate::send::{Attempts, TARGET_RETRY_MS};
use crate::share;
use crate::worker::Worker;

/// Limits of the retry time that callers get when all targets are full, in
/// milliseconds.
const TARGETS_FULL_RETRY_MS: (u64, u64) = (200, 2_000);
/// Limits of the retry time that callers get when the rates of all targets are used up, in
/// milliseconds.
const RATE_RETRY_MS: (u64, u64) = (300, 2_000);
/// Shortest retry time of a caller whose request all targets turn away, in milliseconds: a
/// trial of one of them takes about as long.
const MIN_BACKOFF_RETRY_MS: u64 = 200;
/// Number of permits that a request may be denied before it is sent only to targets that name
/// no limit and are not cold.
const MAX_DENIED_PERMITS: usize = 3;

/// Estimates on which the selection of a target was based.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelectionEstimate {
    /// Expected time to the first byte, in milliseconds.
    pub(crate) expected_ms: u64,
    /// The part of `expected_ms` spent waiting behind other requests, in
    /// milliseconds.
    pub(crate) waiting_ms: u64,
    /// Requests at the target per slot.
    pub(crate) occupancy: f64,
    /// Prompt tokens that the target is expected to process, as they are not cached.
    pub(crate) unread_tokens: u32,
    /// Rank of the target in the request's order of homes, the targets that are
    /// likely to have its prompt cached, from 0; `None` if it has no homes.
    pub(crate) home_rank: Option<usize>,
    /// Age of the target's own load report, in milliseconds, if it was used.
    pub(crate) report_age_ms: Option<u64>,
    /// Whether the owner of the target made the estimate.
    pub(crate) is_by_owner: bool,
    /// Age in milliseconds of the owner's newest report on the target.
    pub(crate) owner_age_ms: Option<u64>,
    /// Number of owners that were asked; `None` where placement by offers is not active.
    pub(crate) asked: Option<usize>,
    /// Time that the request waited for offers, in milliseconds.
    pub(crate) offer_ms: Option<u64>,
    /// Time between the selection and the writing of the request, in milliseconds;
    /// `None` if it was not written.
    pub(crate) write_delay_ms: Option<u64>,
}

impl SelectionEstimate {
    /// Returns who made the estimate, for the log.
    pub(crate) fn source(&self) -> &'static str {
        if self.is_by_owner { "owner" } else { "local" }
    }

    fn new(selection: &TargetSelection) -> Self {
        Self {
            expected_ms: selection.expected_ms as u64,
            waiting_ms: selection.waiting_ms as u64,
            occupancy: (selection.occupancy * 100.0).round() / 100.0,
            unread_tokens: selection.unread_tokens,
            home_rank: selection.home_rank,
            report_age_ms: selection.report_age,
            is_by_owner: false,
            owner_age_ms: None,
            asked: None,
            offer_ms: None,
            write_delay_ms: None,
        }
    }
}

/// A selected target, with a permit to send the request there.
#[derive(Debug)]
pub(crate) struct PermittedTarget {
    pub(crate) selection: TargetSelection,
    pub(crate) permit: SendPermit,
    /// `None` where placement by offers is not active.
    pub(crate) placement: Option<Placement>,
}

/// Selects a target, with a permit to send the request there.
///
/// # Errors
/// Returns a refusal if no target can take the request.
pub(crate) async fn select_permitted_target(
    worker: &Worker,
    call: &AdmittedCall,
    attempts: &mut Attempts,
) -> Result<PermittedTarget, Refusal> {
    let context = &worker.context;
    let class = request_class(context, call);
    let mut denied = Vec::new();
    loop {
        let (selection, placement) =
            select_next_target(worker, call, class, attempts, &denied).await?;
        match acquire(context, &selection.entry, class).await {
            Ok(permit) => {
                if permit.is_limited() && call.cost > 0.0 {
                    context.shares().record_rated_cost(call.cost);
                }
                return Ok(PermittedTarget { selection, permit, placement });
            }
            Err(retry_ms) => {
                denied.push(DeniedPermit { target: Name::clone(&selection.entry.id), retry_ms });
            }
        }
    }
}

/// A permit that a request did not get.
struct DeniedPermit {
    target: Name,
    /// Milliseconds until it may be available.
    retry_ms: Millis,
}

/// Returns which part of the targets' rates a request may use. Requests of plain services are
/// all alike.
fn request_class(context: &GatewayContext, call: &AdmittedCall) -> RequestClass {
    let is_spare = call
        .share
        .is_some_and(|share| !share.is_within || context.shares().leaves_rates(call.cost));
    if is_spare { RequestClass::Spare } else { RequestClass::Regular }
}

/// Removes the candidates whose rates are used up. Returns the time in milliseconds until one
/// of them may be used, if there are any.
fn remove_rate_limited(
    context: &GatewayContext,
    candidates: &mut Vec<Arc<TargetEntry>>,
    class: RequestClass,
    denied: &[DeniedPermit],
) -> Option<Millis> {
    let now = context.now();
    let limits = context.limits();
    if !limits.has_limits() {
        return None;
    }
    let mut min_wait_ms: Option<Millis> = None;
    candidates.retain(|entry| {
        let key = rate_key(entry);
        let own_denial = denied.iter().find(|denied| denied.target == entry.id);
        let is_limited = limits.limit(key).is_some() || limits.needs_cold_permit(key);
        let is_excluded = denied.len() >= MAX_DENIED_PERMITS && is_limited;
        let wait_ms = own_denial.map_or_else(
            || limits.wait_ms(key, class, now).max(u64::from(is_excluded)),
            |denied| denied.retry_ms,
        );
        if wait_ms > 0 {
            min_wait_ms = Some(min_wait_ms.map_or(wait_ms, |least| least.min(wait_ms)));
        }
        wait_ms == 0
    });
    min_wait_ms
}

/// Records whether a request within its account's share was refused for used up rates.
pub(crate) fn record_rate_outcome(
    context: &GatewayContext,
    call: &AdmittedCall,
    refusal: Option<&Refusal>,
) {
    if call.share.is_some_and(|share| share.is_within) && context.limits().has_limits() {
        let is_refused = refusal.is_some_and(|refusal| {
            matches!(refusal.cause, RefusalCause::RateLimited | RefusalCause::TargetsFull)
        });
        context.shares().record_rate_outcome(is_refused, context.now());
    }
}

/// Returns the refusal of a request for which the rates of the targets are used up.
fn rate_refusal(call: &AdmittedCall, wait_ms: Millis) -> Refusal {
    let cause =
        if call.is_within_share() { RefusalCause::RateLimited } else { RefusalCause::OverShare };
    Refusal::retry_after(cause, wait_ms.clamp(RATE_RETRY_MS.0, RATE_RETRY_MS.1))
}

/// Returns the refusal of a request for which there is no target, or none that does not turn
/// requests away.
fn no_target_refusal(context: &GatewayContext, call: &AdmittedCall, now: Millis) -> Refusal {
    match context.targets().backoff_ms(&call.routed.service, now) {
        Some(wait_ms) => {
            Refusal::retry_after(RefusalCause::TurnedAway, wait_ms.max(MIN_BACKOFF_RETRY_MS))
        }
        None => Refusal::retry_after(RefusalCause::NoTarget, TARGET_RETRY_MS),
    }
}

/// Removes the candidates at which a stream must not go on: those of another version than the
/// one that began it. A stream that nothing has begun yet does not begin at a version that some
/// routers may not know.
///
/// # Errors
/// Returns a refusal if no candidate has the version that began the stream.
fn restrict_versions(
    context: &GatewayContext,
    service: &str,
    version: Option<&str>,
    tried: &TriedTargets,
    candidates: &mut Vec<Arc<TargetEntry>>,
) -> Result<(), Refusal> {
    if let Some(version) = version {
        candidates.retain(|entry| &*entry.software_version == version);
        if candidates.is_empty() {
            return Err(Refusal::retry_after(RefusalCause::VersionGone, TARGET_RETRY_MS));
        }
        return Ok(());
    }
    let unsettled = context.resumes().unsettled_versions(service, context.now());
    let is_settled = |entry: &Arc<TargetEntry>| !unsettled.contains(&entry.software_version);
    // A target that was tried is no reason to leave out those that were not.
    let is_preferred = |entry| is_settled(entry) && !tried.contains(&entry.id);
    if !unsettled.is_empty() && candidates.iter().any(is_preferred) {
        candidates.retain(is_settled);
    }
    Ok(())
}

/// The targets that may get a request.
struct Candidates {
    entries: Vec<Arc<TargetEntry>>,
    /// Time in milliseconds until the rate of a target that is not among them may be used.
    rate_wait_ms: Option<Millis>,
}

impl Candidates {
    /// # Errors
    /// Returns a refusal if no target has the version that began the stream.
    fn of(
        context: &GatewayContext,
        call: &AdmittedCall,
        class: RequestClass,
        attempts: &Attempts,
        denied: &[DeniedPermit],
    ) -> Result<Self, Refusal> {
        let now = context.now();
        let routed = &call.routed;
        let mut entries: Vec<Arc<TargetEntry>> =
            context.targets().serving(&routed.service, now).cloned().collect();
        entries.retain(|entry| attempts.tried.allows(&entry.id));
        if routed.route.kind.is_resumable() {
            let version = attempts.software_version.as_deref();
            restrict_versions(context, &routed.service, version, &attempts.tried, &mut entries)?;
        }
        let rate_wait_ms = remove_rate_limited(context, &mut entries, class, denied);
        Ok(Self { entries, rate_wait_ms })
    }

    /// Selects a target by this router's own estimate.
    ///
    /// # Errors
    /// Returns a refusal if no target can take the request.
    fn select(
        &self,
        context: &GatewayContext,
        call: &AdmittedCall,
        query: &SelectionQuery<'_>,
    ) -> Result<TargetSelection, Refusal> {
        let now = context.now();
        let settings = &context.settings.choice;
        let entries = self.entries.iter();
        let result = select_target(&mut context.loads(), entries, query, settings, now);
        result.map_err(|error| match (error, self.rate_wait_ms) {
            (SelectionError::NoTarget, Some(wait_ms)) => rate_refusal(call, wait_ms),
            (SelectionError::NoTarget, None) => no_target_refusal(context, call, now),
            (SelectionError::Full { wait_ms, counts }, _) => {
                let wait_ms = wait_ms.clamp(TARGETS_FULL_RETRY_MS.0, TARGETS_FULL_RETRY_MS.1);
                Refusal::targets_full(counts, wait_ms)
            }
        })
    }

    /// Removes targets, unless none is left then.
    fn remove(&mut self, names: &[Name]) {
        if self.entries.iter().any(|entry| !names.contains(&entry.id)) {
            self.entries.retain(|entry| !names.contains(&entry.id));
        }
    }
}

async fn select_next_target(
    worker: &Worker,
    call: &AdmittedCall,
    class: RequestClass,
    attempts: &mut Attempts,
    denied: &[DeniedPermit],
) -> Result<(TargetSelection, Option<Placement>), Refusal> {
    let context = &worker.context;
    let routed = &call.routed;
    let mut candidates = Candidates::of(context, call, class, attempts, denied)?;
    let tried = attempts.tried.as_slice().to_vec();
    let query = SelectionQuery {
        profile: routed.profile(),
        target_latency_ms: routed.route.target_latency_ms,
        engine_memory: routed.engine_memory(),
        request_hash: base::stable_hash(&[routed.id()]),
        tried: &tried,
        failure_domain: &context.settings.failure_domain,
    };
    let is_active = offers::is_active(context, &routed.service);
    let mut asked = None;
    let mut offer_ms = None;
    let untried = candidates.entries.iter().filter(|entry| !attempts.tried.contains(&entry.id));
    if is_active && untried.count() > 1 {
        // Whether an account over its share is served is decided as without offers.
        if tried.is_empty() && !call.is_within_share() {
            share::check_capacity(context, call, &candidates.select(context, call, &query)?)?;
        }
        let asked_at = context.now();
        let result = rounds::place(context, &query, &candidates.entries).await;
        offer_ms = Some(context.now().saturating_sub(asked_at));
        asked = Some(result.asked);
        if let Some(placed) = result.placed {
            let PlacedSelection { selection, placement, age_ms } = *placed;
            attempts.selection = Some(SelectionEstimate {
                is_by_owner: true,
                owner_age_ms: age_ms,
                asked,
                offer_ms,
                ..SelectionEstimate::new(&selection)
            });
            return Ok((selection, Some(placement)));
        }
        candidates.remove(&result.full);
    }
    let selection = candidates.select(context, call, &query)?;
    attempts.selection =
        Some(SelectionEstimate { asked, offer_ms, ..SelectionEstimate::new(&selection) });
    if tried.is_empty() {
        share::check_capacity(context, call, &selection)?;
    }
    let placement = is_active.then(|| offers::record_local(context, &query, &selection));
    Ok((selection, placement))
}
