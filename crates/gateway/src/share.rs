//! Decides whether a request of a client account is served now.
//!
//! A few accounts may request many times their share while the others request
//! their usual amount. Requests within their account's share are always admitted;
//! the others only to a target that is expected to have spare capacity.

use std::sync::Arc;

use target::{TargetEntry, TargetSelection, mean_fullness};

use crate::call::{AdmittedCall, HeldBody, RoutedCall};
use crate::context::GatewayContext;
use crate::permits::rate_key;
use crate::refusal::{Refusal, RefusalCause};

/// Estimates what a request costs its account, in tokens. Prompt tokens that can
/// be shared with other requests are free, other prompt tokens count once and
/// generated tokens twice.
fn estimate_cost(call: &RoutedCall) -> f64 {
    let profile = call.profile();
    let unshared = profile.prompt_tokens.saturating_sub(profile.shared_tokens());
    f64::from(unshared) + 2.0 * f64::from(profile.output_tokens)
}

/// Counts a request that this router refuses, as it stops, towards the retry budget of its service: the
/// budget is a share of what callers send, and streams that were accepted before still draw on it.
pub(crate) fn record_refused(context: &GatewayContext, call: &RoutedCall) {
    context.retries().record_request(&call.service, context.now());
}

/// Counts a request and determines whether its account is within its share.
pub(crate) fn admit(
    context: &GatewayContext,
    call: RoutedCall,
    body: HeldBody,
    identity: u64,
) -> AdmittedCall {
    let now = context.now();
    context.retries().record_request(&call.service, now);
    let account = call.account.clone().filter(|_| call.engine_memory().is_some());
    let Some(account) = account else {
        return AdmittedCall {
            routed: call,
            body,
            identity,
            cost: 0.0,
            share: None,
            taken_up: None,
        };
    };
    let cost = estimate_cost(&call);
    if context.shares().is_level_due(now) {
        let entries: Vec<Arc<TargetEntry>> =
            context.targets().serving(&call.service, now).cloned().collect();
        let limits = rate_limits(context, &entries);
        let fullness = engine_fullness(context, &call, &entries, &limits);
        let mut shares = context.shares();
        shares.set_fullness(fullness);
        shares.set_rate_limits(limits.into_iter());
    }
    let verdict = context.shares().admit_request(&account, cost, now);
    AdmittedCall { routed: call, body, identity, cost, share: Some(verdict), taken_up: None }
}

/// Returns the mean fullness of the engines that serve the request. Those that name a request
/// rate take no more however empty they are, so they count only if all do.
fn engine_fullness(
    context: &GatewayContext,
    call: &RoutedCall,
    entries: &[Arc<TargetEntry>],
    limits: &[Option<f64>],
) -> f64 {
    let settings = &context.settings.choice;
    let is_limited = |index: usize| limits.get(index).is_some_and(Option::is_some);
    let all_limited = (0..entries.len()).all(is_limited);
    let counted = entries.iter().enumerate();
    let counted = counted.filter(|(index, _)| all_limited || !is_limited(*index));
    let counted = counted.map(|(_, entry)| entry);
    let announced = mean_fullness(&mut context.loads(), counted, call.engine_memory(), settings);
    if !context.loads().has_stale_services() {
        return announced;
    }
    context.fullness().mean(&call.service, context.now()).unwrap_or(announced)
}

/// Returns the request rates that the targets name, or tolerate as they are cold.
fn rate_limits(context: &GatewayContext, entries: &[Arc<TargetEntry>]) -> Vec<Option<f64>> {
    let limits = context.limits();
    if !limits.has_limits() {
        return Vec::new();
    }
    let now = context.now();
    entries.iter().map(|entry| limits.limit_at(rate_key(entry), now)).collect()
}

/// Refuses a request over its account's share unless the selected target has
/// spare capacity.
///
/// # Errors
/// Returns a refusal if the request is over its account's share and the target
/// is expected to be busy.
pub(crate) fn check_capacity(
    context: &GatewayContext,
    call: &AdmittedCall,
    selection: &TargetSelection,
) -> Result<(), Refusal> {
    let settings = &context.settings.admission;
    let target_latency_ms = call.routed.route.target_latency_ms;
    if call.is_within_share() || settings.has_spare_capacity(selection, target_latency_ms) {
        return Ok(());
    }
    let retry_after_ms = target_latency_ms as f64 * settings.return_share;
    Err(Refusal::retry_after(RefusalCause::OverShare, retry_after_ms as u64))
}
