//! Calls to plain services, and what every send to a target has in common.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Name;
use ntex::client::Client;
use ntex::http::Method;
use ntex::util::Bytes;

use crate::client::may_have_sent;
use crate::context::RouterContext;
use crate::lifecycle::{Queued, Received, Request};
use crate::permit::{SlotPermit, acquire};
use crate::refusal::{Refusal, RefusalCode};

/// Sends of one request at most, the first included.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Time for a target's whole answer to a plain call, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 30_000;
/// Largest answer of a plain call, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A call as the caller made it.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) method: Method,
    /// Path and query below the service.
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
    /// Must run at most once.
    pub(crate) once: bool,
}

/// A target's answer.
#[derive(Clone, Debug)]
pub(crate) struct PlainAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}

enum SendError {
    /// No byte was offered to the target.
    NotSent(String),
    /// The target may have run the call.
    MaybeSent(String),
}

/// Runs a call to its end.
///
/// # Errors
/// The refusal says whether the call may have run.
pub(crate) async fn run_plain(
    context: &Arc<RouterContext>,
    client: &Client,
    request: Request<Received>,
    call: &PlainCall,
) -> Result<PlainAnswer, Refusal> {
    let mut queued = request.queue();
    let mut attempt = 1;
    loop {
        let (mut permit, address) = acquire_target(context, &queued, attempt).await?;
        permit.mark_dispatched();
        let dispatched = queued.dispatch();
        let start = Instant::now();
        match send(client, address, call).await {
            Ok(answer) => {
                permit.settle(cost_of(start));
                return Ok(answer);
            }
            Err(SendError::NotSent(cause)) => {
                log_failure(&dispatched.id, &permit.target, "connect", attempt, &cause);
                permit.fail();
                queued = dispatched.requeue_unsent();
                if attempt >= MAX_ATTEMPTS {
                    return Err(queued.refuse(RefusalCode::TargetUnreachable));
                }
            }
            Err(SendError::MaybeSent(cause)) => {
                log_failure(&dispatched.id, &permit.target, "answer", attempt, &cause);
                permit.progress(cost_of(start));
                permit.fail();
                let may_retry = !call.once
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

/// Waits for a slot at a target that may still get new work.
///
/// # Errors
/// As [`acquire`].
pub(crate) async fn acquire_target(
    context: &Arc<RouterContext>,
    request: &Request<Queued>,
    attempt: u32,
) -> Result<(SlotPermit, SocketAddr), Refusal> {
    loop {
        let permit = acquire(context, request, attempt).await?;
        let address = context.core().target(&permit.target).map(|entry| entry.address);
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
        // The grantor learns of the leaving within its next heartbeats.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits a few milliseconds that differ between requests.
pub(crate) async fn pause_before_retry(request: &str, attempt: u32) {
    let jitter = base::stable_hash(&[request, &attempt.to_string()]) % 50;
    tokio::time::sleep(Duration::from_millis(u64::from(attempt) * 10 + jitter)).await;
}

/// Logs a failed send.
pub(crate) fn log_failure(request: &str, target: &Name, step: &str, attempt: u32, cause: &str) {
    tracing::warn!(
        unit = "send", event = "failed", request, %target, step, attempt, cause
    );
}

fn cost_of(start: Instant) -> f64 {
    (start.elapsed().as_secs_f64() * 1_000.0).max(1.0)
}

async fn send(
    client: &Client,
    address: SocketAddr,
    call: &PlainCall,
) -> Result<PlainAnswer, SendError> {
    let sending = async {
        let url = format!("http://{address}{}", call.path);
        let mut builder = client.request(call.method.clone(), url).force_close();
        if let Some(content_type) = &call.content_type {
            builder = builder.header("content-type", content_type.as_str());
        }
        let response = builder.send_body(call.body.clone()).await;
        let response = response.map_err(|cause| {
            let text = cause.to_string();
            if may_have_sent(&cause) {
                SendError::MaybeSent(text)
            } else {
                SendError::NotSent(text)
            }
        })?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|cause| SendError::MaybeSent(cause.to_string()))?;
        let content_type = response.header("content-type").and_then(|value| value.to_str().ok());
        Ok(PlainAnswer {
            status: response.status().as_u16(),
            content_type: content_type.map(str::to_owned),
            body,
        })
    };
    tokio::time::timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), sending).await.unwrap_or_else(
        |_| Err(SendError::MaybeSent(format!("no answer in {ANSWER_TIMEOUT_MS} ms"))),
    )
}
