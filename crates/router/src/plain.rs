//! Calls to plain services, and helpers that all requests to targets use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Name;
use hyper::body::Bytes;
use ntex::http::Method;
use outbound::{AnswerContent, AnswerEnd, EndEvidence, ExchangeError};

use crate::context::RouterContext;
use crate::held::HeldBytes;
use crate::lifecycle::{Queued, Received, Request};
use crate::permit::{SlotPermit, acquire_slot};
use crate::refusal::{Refusal, RefusalCode};
use crate::target_client::{TargetRequest, TargetResponse, send_to_target};

/// Maximum number of attempts for one request, including the first.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Timeout of a target's complete response to a plain call, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 30_000;
/// Maximum size of the response to a plain call, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A caller's request to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) method: Method,
    /// Path and query below the service.
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    /// What the body and the response take of the memory.
    pub(crate) held: Arc<HeldBytes>,
    /// Whether the call must run at most once.
    pub(crate) at_most_once: bool,
}

/// A target's response to a plain call.
#[derive(Clone, Debug)]
pub(crate) struct PlainResponse {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    /// What the body takes of the memory; none for one that is kept anyway.
    pub(crate) held: Option<Arc<HeldBytes>>,
}

enum SendError {
    /// No byte was sent to the target.
    NotSent(String),
    /// The target may have run the call.
    MaybeSent(String),
    /// The target has answered, and the response does not fit into this router's memory, which
    /// says nothing about the target.
    NotHeld(RefusalCode),
}

impl From<ExchangeError> for SendError {
    fn from(error: ExchangeError) -> Self {
        let cause = error.to_string();
        if error.is_unsent() { Self::NotSent(cause) } else { Self::MaybeSent(cause) }
    }
}

/// Sends a call to a target, with retries, and returns the response.
///
/// # Errors
/// Returns a refusal that says whether the call may have run.
pub(crate) async fn run_plain(
    context: &Arc<RouterContext>,
    request: Request<Received>,
    call: &PlainCall,
) -> Result<PlainResponse, Refusal> {
    let mut queued = request.queue();
    let mut attempt = 1;
    loop {
        let (mut permit, address) = acquire_target(context, &queued, attempt).await?;
        permit.mark_dispatched();
        let dispatched = queued.dispatch();
        let start = Instant::now();
        let account = &dispatched.account;
        match send(context, account, &permit.target, address, call).await {
            Ok(response) => {
                permit.settle(cost_of(start));
                return Ok(response);
            }
            Err(SendError::NotHeld(code)) => {
                permit.settle(cost_of(start));
                return Err(dispatched.refuse_outcome_unknown(code));
            }
            Err(SendError::NotSent(cause)) => {
                log_failed_attempt(&dispatched.id, &permit.target, "connect", attempt, &cause);
                permit.fail();
                queued = dispatched.requeue_unsent();
                if attempt >= MAX_ATTEMPTS {
                    return Err(queued.refuse(RefusalCode::TargetUnreachable));
                }
            }
            Err(SendError::MaybeSent(cause)) => {
                log_failed_attempt(&dispatched.id, &permit.target, "answer", attempt, &cause);
                permit.record_progress(cost_of(start));
                permit.fail();
                let may_retry = !call.at_most_once
                    && attempt < MAX_ATTEMPTS
                    && context.core().retries.take(context.now());
                if !may_retry {
                    return Err(dispatched.refuse_outcome_unknown(RefusalCode::TargetSilent));
                }
                queued = dispatched.retry_idempotent();
            }
        }
        attempt += 1;
        pause_before_retry(&queued.id, attempt).await;
    }
}

/// Waits for a slot at a target that may still receive new requests, and
/// returns the target's address with it.
///
/// # Errors
/// Returns the same errors as [`acquire_slot`].
pub(crate) async fn acquire_target(
    context: &Arc<RouterContext>,
    request: &Request<Queued>,
    attempt: u32,
) -> Result<(SlotPermit, SocketAddr), Refusal> {
    loop {
        let permit = acquire_slot(context, request, attempt).await?;
        let address = context.core().target_entry(&permit.target).map(|entry| entry.address);
        if let Some(address) = address {
            return Ok((permit, address));
        }
        tracing::info!(
            unit = "route",
            event = "target_left",
            request = request.id,
            target = %permit.target,
        );
        drop(permit);
        // The grantor learns within its next heartbeats that the target is
        // leaving.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits 10 ms for each attempt, plus a jitter below 50 ms that differs between
/// requests.
pub(crate) async fn pause_before_retry(request: &str, attempt: u32) {
    let jitter = base::stable_hash(&[request, &attempt.to_string()]) % 50;
    tokio::time::sleep(Duration::from_millis(u64::from(attempt) * 10 + jitter)).await;
}

/// Logs a failed attempt to send a request.
pub(crate) fn log_failed_attempt(
    request: &str,
    target: &Name,
    step: &str,
    attempt: u32,
    cause: &str,
) {
    tracing::warn!(
        unit = "send", event = "failed", request, %target, step, attempt, cause
    );
}

/// Returns the cost of a plain call: the milliseconds since `start`, at least
/// 1.
fn cost_of(start: Instant) -> f64 {
    (start.elapsed().as_secs_f64() * 1_000.0).max(1.0)
}

/// Checks that a response that has ended in order is whole.
///
/// # Errors
/// Returns an error if nothing proves it.
async fn check_end(
    context: &RouterContext,
    target: &Name,
    address: SocketAddr,
    response: &TargetResponse,
) -> Result<(), SendError> {
    let (framing, has_cut_request) = (response.framing(), response.has_cut_request());
    let is_leaving = context.core().target_entry(target).is_none();
    let content = AnswerContent::Opaque;
    let end = AnswerEnd { framing, content, peer: address, is_leaving, has_cut_request };
    let late_ms = || context.lateness().late_ms(context.now());
    let evidence = EndEvidence::collect(end, late_ms).await;
    evidence.check().map_err(|cause| SendError::MaybeSent(cause.to_string()))
}

/// Reads the body of a response, which counts against the memory of the process.
async fn read_body(
    response: &mut TargetResponse,
    account: &Name,
    call: &PlainCall,
) -> Result<Vec<u8>, SendError> {
    let expected = response.remaining_bytes().unwrap_or_default() as usize;
    if expected > MAX_RESPONSE_BYTES {
        return Err(SendError::MaybeSent(format!("answer has over {MAX_RESPONSE_BYTES} bytes")));
    }
    let mut body = Vec::with_capacity(expected);
    while let Some(bytes) = response.next_bytes().await.map_err(SendError::MaybeSent)? {
        if body.len() + bytes.len() > MAX_RESPONSE_BYTES {
            let cause = format!("answer has over {MAX_RESPONSE_BYTES} bytes");
            return Err(SendError::MaybeSent(cause));
        }
        call.held.hold_response(account, bytes.len()).map_err(SendError::NotHeld)?;
        body.extend_from_slice(&bytes);
    }
    Ok(body)
}

async fn send(
    context: &RouterContext,
    account: &Name,
    target: &Name,
    address: SocketAddr,
    call: &PlainCall,
) -> Result<PlainResponse, SendError> {
    let sending = async {
        let request = TargetRequest {
            method: call.method.clone(),
            path: &call.path,
            content_type: call.content_type.as_deref(),
            body: call.body.clone(),
            receive_buffer: context.settings.resources.socket_buffer_bytes(),
        };
        let mut response = send_to_target(address, request).await?;
        let body = read_body(&mut response, account, call).await?;
        check_end(context, target, address, &response).await?;
        Ok(PlainResponse {
            status: response.status().as_u16(),
            content_type: response.content_type().map(str::to_owned),
            body: body.into(),
            held: Some(Arc::clone(&call.held)),
        })
    };
    tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), sending).await.unwrap_or_else(
        |_| Err(SendError::MaybeSent(format!("no answer in {RESPONSE_TIMEOUT_MS} ms"))),
    )
}
