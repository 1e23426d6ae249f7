//! Streams of model engines: passed on token by token, resumed on another
//! engine where they broke.
//!
//! A caller sees every token once and in order, then `done`, or an `error`
//! event; never a clean end of a truncated stream.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ntex::client::{Client, ClientResponse};
use ntex::util::Bytes;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::client::may_have_sent;
use crate::context::RouterContext;
use crate::lifecycle::{Dispatched, Queued, Received, Request};
use crate::permit::SlotPermit;
use crate::plain::{MAX_ATTEMPTS, acquire_target, log_failure, pause_before_retry};
use crate::refusal::{Refusal, RefusalCode};
use crate::sse::{EngineEvent, SseParser};

/// Silence of an engine after which its stream counts as broken, milliseconds.
const ENGINE_SILENCE_MS: u64 = 15_000;
/// Tokens between two counts of the cost so far.
const COUNT_EVERY: u64 = 16;
/// Largest answer, in bytes.
const MAX_STREAM_BYTES: usize = 16 << 20;

/// Chunks of the answer on their way to the caller.
pub(crate) type ChunkReceiver = mpsc::UnboundedReceiver<Bytes>;

/// An engine's answer that has begun.
struct OpenStream {
    request: Request<Dispatched>,
    permit: SlotPermit,
    response: ClientResponse,
}

/// Why a stream ended before its last token.
enum StreamEnd {
    Done,
    CallerLeft,
    Broken(String),
    TooLarge,
}

/// Position in the answer, over all engines that worked on it.
struct StreamProgress {
    next: u64,
    bytes: usize,
}

/// Starts a stream; the answer's chunks arrive at the receiver.
///
/// # Errors
/// No engine began to answer; the refusal says whether one may have run.
pub(crate) async fn start_stream(
    context: &Arc<RouterContext>,
    client: &Client,
    request: Request<Received>,
    body: Value,
    guard: impl Send + 'static,
) -> Result<ChunkReceiver, Refusal> {
    let mut attempt = 1;
    let open = open_stream(context, client, request.queue(), &body, 0, &mut attempt).await?;
    let (sender, receiver) = mpsc::unbounded_channel();
    let context = Arc::clone(context);
    let client = client.clone();
    ntex::rt::spawn(async move {
        let _guard = guard;
        relay(&context, &client, open, &body, attempt, &sender).await;
    });
    Ok(receiver)
}

/// Passes the answer on, over as many engines as it takes.
async fn relay(
    context: &Arc<RouterContext>,
    client: &Client,
    mut open: OpenStream,
    body: &Value,
    mut attempt: u32,
    sender: &mpsc::UnboundedSender<Bytes>,
) {
    let mut progress = StreamProgress { next: 0, bytes: 0 };
    loop {
        let base = progress.next;
        let end = read_stream(&mut open, &mut progress, sender).await;
        let cost = (progress.next - base) as f64;
        match end {
            StreamEnd::Done => {
                open.permit.settle(cost);
                let done = format!("event: done\ndata: {{\"tokens\":{}}}\n\n", progress.next);
                // A caller that left needs no end.
                let _ = sender.send(Bytes::from(done));
                return;
            }
            StreamEnd::CallerLeft => {
                let request = &open.request.id;
                tracing::info!(unit = "stream", event = "caller_left", request, cost);
                open.permit.settle(cost);
                return;
            }
            StreamEnd::TooLarge => {
                open.permit.settle(cost);
                send_error(sender, open.request.refuse_outcome_unknown(RefusalCode::TargetGarbage));
                return;
            }
            StreamEnd::Broken(cause) => {
                let target = &open.permit.target;
                log_failure(&open.request.id, target, "stream", attempt, &cause);
                open.permit.progress(cost);
                open.permit.fail();
                attempt += 1;
                let may_retry =
                    attempt <= MAX_ATTEMPTS && context.core().retries.take(context.now());
                if !may_retry {
                    send_error(
                        sender,
                        open.request.refuse_outcome_unknown(RefusalCode::StreamBroken),
                    );
                    return;
                }
                let queued = open.request.retry_idempotent();
                pause_before_retry(&queued.id, attempt).await;
                let id = queued.id.clone();
                let resumed =
                    open_stream(context, client, queued, body, progress.next, &mut attempt);
                let resumed = tokio::select! {
                    resumed = resumed => resumed,
                    () = sender.closed() => return,
                };
                match resumed {
                    Ok(resumed) => {
                        let at = progress.next;
                        let target = &resumed.permit.target;
                        tracing::info!(unit = "stream", event = "resumed", request = id, %target, at);
                        open = resumed;
                    }
                    Err(refusal) => {
                        send_error(sender, refusal);
                        return;
                    }
                }
            }
        }
    }
}

/// Gets a slot and the head of an engine's answer.
async fn open_stream(
    context: &Arc<RouterContext>,
    client: &Client,
    mut queued: Request<Queued>,
    body: &Value,
    resume_from: u64,
    attempt: &mut u32,
) -> Result<OpenStream, Refusal> {
    let mut body = body.clone();
    body["resume_from"] = resume_from.into();
    let body = Bytes::from(body.to_string());
    loop {
        let (mut permit, address) = acquire_target(context, &queued, *attempt).await?;
        permit.mark_dispatched();
        let dispatched = queued.dispatch();
        let sending = client
            .post(format!("http://{address}/v1/generate"))
            .force_close()
            .header("content-type", "application/json")
            .send_body(body.clone());
        let timeout = Duration::from_millis(ENGINE_SILENCE_MS);
        let (cause, is_unsent) = match tokio::time::timeout(timeout, sending).await {
            Ok(Ok(response)) if response.status().is_success() => {
                return Ok(OpenStream { request: dispatched, permit, response });
            }
            Ok(Ok(response)) if response.status().is_client_error() => {
                permit.settle(1.0);
                return Err(dispatched.refuse_outcome_unknown(RefusalCode::BadRequest));
            }
            Ok(Ok(response)) => (format!("status {}", response.status().as_u16()), false),
            Ok(Err(cause)) => (cause.to_string(), !may_have_sent(&cause)),
            Err(_) => (format!("no answer in {ENGINE_SILENCE_MS} ms"), false),
        };
        log_failure(&dispatched.id, &permit.target, "open", *attempt, &cause);
        permit.fail();
        *attempt += 1;
        let may_retry = *attempt <= MAX_ATTEMPTS && context.core().retries.take(context.now());
        if !may_retry && is_unsent {
            return Err(dispatched.requeue_unsent().refuse(RefusalCode::TargetUnreachable));
        }
        if !may_retry {
            return Err(dispatched.refuse_outcome_unknown(RefusalCode::TargetSilent));
        }
        queued =
            if is_unsent { dispatched.requeue_unsent() } else { dispatched.retry_idempotent() };
        pause_before_retry(&queued.id, *attempt).await;
    }
}

/// Reads one engine's part of the answer.
async fn read_stream(
    open: &mut OpenStream,
    progress: &mut StreamProgress,
    sender: &mpsc::UnboundedSender<Bytes>,
) -> StreamEnd {
    let mut parser = SseParser::default();
    let start = progress.next;
    loop {
        loop {
            match parser.next_event() {
                Ok(None) => break,
                Ok(Some(EngineEvent::Done)) => return StreamEnd::Done,
                Ok(Some(EngineEvent::Token { index, .. })) if index < progress.next => {}
                Ok(Some(EngineEvent::Token { index, .. })) if index > progress.next => {
                    return StreamEnd::Broken(format!(
                        "token {index} came before {}",
                        progress.next
                    ));
                }
                Ok(Some(EngineEvent::Token { data, .. })) => {
                    let chunk = Bytes::from(format!("data: {data}\n\n"));
                    progress.next += 1;
                    progress.bytes += chunk.len();
                    if progress.bytes > MAX_STREAM_BYTES {
                        return StreamEnd::TooLarge;
                    }
                    if sender.send(chunk).is_err() {
                        return StreamEnd::CallerLeft;
                    }
                    let own = progress.next - start;
                    if own.is_multiple_of(COUNT_EVERY) {
                        open.permit.progress(own as f64);
                    }
                }
                Err(cause) => return StreamEnd::Broken(cause.to_string()),
            }
        }
        let timeout = Duration::from_millis(ENGINE_SILENCE_MS);
        let chunk = tokio::select! {
            chunk = tokio::time::timeout(timeout, open.response.next()) => chunk,
            () = sender.closed() => return StreamEnd::CallerLeft,
        };
        match chunk {
            Ok(Some(Ok(bytes))) => parser.push(&bytes),
            Ok(Some(Err(cause))) => return StreamEnd::Broken(cause.to_string()),
            Ok(None) => return StreamEnd::Broken("stream ended before its last event".into()),
            Err(_) => return StreamEnd::Broken(format!("silent for {ENGINE_SILENCE_MS} ms")),
        }
    }
}

fn send_error(sender: &mpsc::UnboundedSender<Bytes>, refusal: Refusal) {
    let data = serde_json::to_string(&refusal).unwrap_or_default();
    // A caller that left needs no error.
    let _ = sender.send(Bytes::from(format!("event: error\ndata: {data}\n\n")));
}
