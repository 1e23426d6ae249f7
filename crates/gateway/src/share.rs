//! Whether a request of a client account is served now.

use base::Millis;
use hyper::body::Bytes;

use crate::call::{AdmittedCall, RoutedCall};
use crate::context::GatewayContext;
use crate::refusal::{Refusal, RefusalCause};

/// What a request costs its account: own prompt tokens once, generated twice.
pub(crate) fn cost_of(call: &RoutedCall) -> f64 {
    let shape = call.shape();
    let own = shape.prompt_tokens.saturating_sub(shape.shared_tokens());
    f64::from(own) + 2.0 * f64::from(shape.output_tokens)
}

/// Admits a request or refuses it at once.
///
/// # Errors
/// The account is over its share and the targets are busy.
pub(crate) fn admit(
    context: &GatewayContext,
    call: RoutedCall,
    body: Bytes,
    now: Millis,
) -> Result<AdmittedCall, Refusal> {
    context.repeats().note_request(&call.service, now);
    let account = call.account.clone().filter(|_| call.engine_memory().is_some());
    let Some(account) = account else {
        return Ok(AdmittedCall { routed: call, body, cost: 0.0, is_within_share: true });
    };
    let cost = cost_of(&call);
    let verdict = context.shares().arrived(&account, cost, now);
    if !verdict.is_within {
        let occupancy = occupancy(context, &call.service, now);
        if occupancy >= context.settings.admission.room_share {
            tracing::debug!(
                unit = "share",
                event = "over_share",
                request = call.id(),
                %account,
                cost,
                share = verdict.share,
                asked = verdict.asked,
                occupancy,
            );
            let aim_ms = call.route.target_latency_ms as f64;
            let wait_ms = aim_ms * context.settings.admission.return_share;
            let refusal = Refusal::retry_after(RefusalCause::OverShare, wait_ms as u64);
            return Err(refusal);
        }
    }
    Ok(AdmittedCall { routed: call, body, cost, is_within_share: verdict.is_within })
}

/// Requests at a service's targets for each of their slots.
fn occupancy(context: &GatewayContext, service: &str, now: Millis) -> f64 {
    let entries: Vec<_> = context.targets().serving(service, now).cloned().collect();
    let mut book = context.loads();
    let (mut requests, mut slots) = (0.0, 0.0);
    for entry in &entries {
        let key = book.key(entry);
        requests += book.get(key).map_or(0.0, |load| f64::from(load.requests(now)));
        slots += f64::from(entry.slots);
    }
    if slots > 0.0 { requests / slots } else { 1.0 }
}
