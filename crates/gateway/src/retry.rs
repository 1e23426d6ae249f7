//! Decides whether a request is sent once more.

use sse::OrderError;
use target::AttemptTrace;
use thiserror::Error;

use crate::call::AdmittedCall;
use crate::context::GatewayContext;
use crate::crashes::may_retry;
use crate::reader::RunFailure;
use crate::send::Attempts;
use crate::worker::Worker;

/// Why a request is not sent once more.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum RetryDenial {
    #[error("its attempts are used up")]
    Attempts,
    #[error("targets may crash under it")]
    Quarantine,
    #[error("its time is over")]
    Time,
    #[error("the retry budget is used up")]
    Budget,
}

/// Takes one retry from the budget, if the route, the remaining time and the budget allow the request
/// to be sent once more.
///
/// # Errors
/// Returns what does not allow it.
pub(crate) fn take_retry(
    worker: &Worker,
    call: &AdmittedCall,
    attempts: &Attempts,
) -> Result<(), RetryDenial> {
    let context = &worker.context;
    check_retry(context, call, attempts)?;
    let is_taken = context.retries().try_take(&call.routed.service, context.now());
    is_taken.then_some(()).ok_or(RetryDenial::Budget)
}

/// The same for a stream that may be complete, whose end is to be confirmed.
///
/// # Errors
/// Returns what does not allow it.
pub(crate) fn take_confirmation(
    worker: &Worker,
    call: &AdmittedCall,
    attempts: &Attempts,
) -> Result<(), RetryDenial> {
    let context = &worker.context;
    check_retry(context, call, attempts)?;
    let is_taken = context.retries().try_take_spare(&call.routed.service, context.now());
    is_taken.then_some(()).ok_or(RetryDenial::Budget)
}

fn check_retry(
    context: &GatewayContext,
    call: &AdmittedCall,
    attempts: &Attempts,
) -> Result<(), RetryDenial> {
    if attempts.sent >= call.routed.route.max_attempts {
        return Err(RetryDenial::Attempts);
    }
    if !may_retry(context, call) {
        return Err(RetryDenial::Quarantine);
    }
    if call.routed.remaining_ms(context.now()) == 0 {
        return Err(RetryDenial::Time);
    }
    Ok(())
}

/// Returns what a failed run means for further attempts at its target.
pub(crate) fn failure_trace(failure: &RunFailure) -> AttemptTrace {
    match failure {
        RunFailure::Lost(_) | RunFailure::Order(OrderError::InEvent) => AttemptTrace::Failed,
        RunFailure::Order(_) | RunFailure::Unproved(_) => AttemptTrace::Unproven,
    }
}
