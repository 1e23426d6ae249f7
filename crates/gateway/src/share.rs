//! Whether a request of a client account is served now.
//!
//! Load pattern: a few accounts ask for many times their share while the others
//! ask for their usual. Requests within their account's share always go on; the
//! others only where a target is expected to have room.

use hyper::body::Bytes;
use target::TargetSelection;

use crate::call::{AdmittedCall, RoutedCall};
use crate::context::GatewayContext;
use crate::refusal::{Refusal, RefusalCause};

/// What a request costs its account: own prompt tokens once, generated twice.
fn cost_of(call: &RoutedCall) -> f64 {
    let shape = call.shape();
    let own = shape.prompt_tokens.saturating_sub(shape.shared_tokens());
    f64::from(own) + 2.0 * f64::from(shape.output_tokens)
}

/// Counts a request and says whether its account is within its share with it.
pub(crate) fn admit(context: &GatewayContext, call: RoutedCall, body: Bytes) -> AdmittedCall {
    let now = context.now();
    context.repeats().record_request(&call.service, now);
    let account = call.account.clone().filter(|_| call.engine_memory().is_some());
    let Some(account) = account else {
        return AdmittedCall { routed: call, body, cost: 0.0, share: None };
    };
    let cost = cost_of(&call);
    let verdict = context.shares().admit_request(&account, cost, now);
    AdmittedCall { routed: call, body, cost, share: Some(verdict) }
}

/// Refuses a request over its account's share unless its target has room.
///
/// # Errors
/// The target is expected to be busy.
pub(crate) fn check_room(
    context: &GatewayContext,
    call: &AdmittedCall,
    placement: &TargetSelection,
) -> Result<(), Refusal> {
    let settings = &context.settings.admission;
    let aim_ms = call.routed.route.target_latency_ms as f64;
    let has_room = placement.occupancy < settings.room_share
        && placement.waiting_ms <= aim_ms * settings.room_until;
    if call.is_within_share() || has_room {
        return Ok(());
    }
    let wait_ms = aim_ms * settings.return_share;
    Err(Refusal::retry_after(RefusalCause::OverShare, wait_ms as u64))
}
