//! Response streams of model engines, relayed token by token and resumed on
//! another engine if they break.
//!
//! A caller receives every token once and in order, followed by a `done` or an
//! `error` event. A truncated stream never ends as if it were complete.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use http::Method;
use hyper::body::Bytes;
use serde_json::Value;
use sse::{TokenError, TokenOrder, TokenPlace};
use tokio::sync::mpsc;

use crate::context::RouterContext;
use crate::held::HeldBytes;
use crate::lifecycle::{Dispatched, Queued, Received, Request};
use crate::permit::SlotPermit;
use crate::plain::{MAX_ATTEMPTS, acquire_target, log_failed_attempt, pause_before_retry};
use crate::refusal::{Refusal, RefusalCode};
use crate::sse::{EngineEvent, SseParser};
use crate::target_client::{TargetRequest, TargetResponse, send_to_target};

/// Time without data from an engine after which its stream counts as broken, in
/// milliseconds.
const ENGINE_SILENCE_MS: u64 = 15_000;
/// Number of tokens between updates of a request's cost so far.
const COST_UPDATE_TOKENS: u64 = 16;
/// Maximum size of a response, in bytes.
const MAX_STREAM_BYTES: usize = 16 << 20;

/// Number of chunks that wait for the caller. No more is read from the engine until it takes one.
const WAITING_CHUNKS: usize = 1;
/// Memory that a stream takes at least, in bytes.
const MIN_HELD_BYTES: usize = 32 << 10;
/// Largest number of chunks of a stream that exist at once: one is being passed to the caller,
/// one waits for it, one waits until there is room, and the next is being read and parsed.
const CHUNKS_AT_ONCE: usize = WAITING_CHUNKS + 3;

/// Receives the chunks of a response for the caller.
pub(crate) type ChunkReceiver = mpsc::Receiver<Bytes>;
type ChunkSender = mpsc::Sender<Bytes>;

/// An engine's response that has begun.
struct OpenStream {
    request: Request<Dispatched>,
    permit: SlotPermit,
    response: TargetResponse,
    /// Tokens of this run that its cost so far includes.
    recorded_tokens: u64,
}

/// How an engine's part of a response ended.
enum StreamEnd {
    Done,
    CallerLeft,
    Broken(BrokenRun),
    TooLarge,
    /// The response does not fit into the memory of the router.
    NotHeld(RefusalCode),
}

/// Why the run of an engine has ended although the stream goes on.
struct BrokenRun {
    cause: String,
    /// Whether the engine is at fault.
    is_fault: bool,
}

impl From<String> for BrokenRun {
    fn from(cause: String) -> Self {
        Self { cause, is_fault: true }
    }
}

impl From<TokenError> for BrokenRun {
    fn from(error: TokenError) -> Self {
        Self { cause: error.to_string(), is_fault: error.is_fault() }
    }
}

/// Position in the response, across all engines that contributed to it.
struct StreamProgress {
    order: TokenOrder,
    bytes: usize,
    held: StreamHold,
}

/// What a stream takes of the memory.
struct StreamHold {
    held: Arc<HeldBytes>,
    /// Part of `held` that is for chunks, in bytes.
    chunk_bytes: usize,
}

impl StreamHold {
    /// Holds what chunks of `bytes` take, unless it is held already.
    fn cover(&mut self, account: &Name, bytes: usize) -> Result<(), RefusalCode> {
        let needed = bytes * CHUNKS_AT_ONCE;
        if needed > self.chunk_bytes {
            self.held.hold_response(account, needed - self.chunk_bytes)?;
            self.chunk_bytes = needed;
        }
        Ok(())
    }
}

/// Starts a stream and returns the receiver of its chunks. Holds `guard` until
/// the stream ends.
///
/// # Errors
/// Returns a refusal if no engine began to respond. It says whether an engine
/// may have run the request.
pub(crate) async fn start_stream(
    context: &Arc<RouterContext>,
    request: Request<Received>,
    body: Value,
    held: Arc<HeldBytes>,
    guard: impl Send + 'static,
) -> Result<ChunkReceiver, Refusal> {
    let mut attempt = 1;
    held.grow(&request.account, MIN_HELD_BYTES).map_err(|code| request.refuse(code))?;
    let held = StreamHold { held, chunk_bytes: MIN_HELD_BYTES };
    let stream = open_stream(context, request.queue(), &body, 0, &mut attempt).await?;
    let (sender, receiver) = mpsc::channel(WAITING_CHUNKS);
    let context = Arc::clone(context);
    ntex::rt::spawn(async move {
        let _guard = guard;
        relay(&context, stream, &body, attempt, held, &sender).await;
    });
    Ok(receiver)
}

/// Relays the response to the caller, and resumes it on another engine after a
/// failure.
async fn relay(
    context: &Arc<RouterContext>,
    mut stream: OpenStream,
    body: &Value,
    mut attempt: u32,
    held: StreamHold,
    sender: &ChunkSender,
) {
    let mut progress = StreamProgress { order: TokenOrder::default(), bytes: 0, held };
    loop {
        let start = progress.order.next_token();
        let end = read_stream(&mut stream, &mut progress, sender).await;
        let cost = (progress.order.next_token() - start) as f64;
        match end {
            StreamEnd::Done => {
                stream.permit.settle(cost);
                let tokens = progress.order.next_token();
                let done = format!("event: done\ndata: {{\"tokens\":{tokens}}}\n\n");
                // Sending fails only if the caller has disconnected.
                let _ = sender.send(Bytes::from(done)).await;
                return;
            }
            StreamEnd::CallerLeft => {
                let request = &stream.request.id;
                tracing::info!(unit = "stream", event = "caller_left", request, cost);
                stream.permit.settle(cost);
                return;
            }
            StreamEnd::TooLarge => {
                stream.permit.settle(cost);
                let code = RefusalCode::TargetGarbage;
                return send_error(sender, stream.request.refuse_outcome_unknown(code)).await;
            }
            StreamEnd::NotHeld(code) => {
                stream.permit.settle(cost);
                return send_error(sender, stream.request.refuse_outcome_unknown(code)).await;
            }
            StreamEnd::Broken(run) => {
                let target = &stream.permit.target;
                log_failed_attempt(&stream.request.id, target, "stream", attempt, &run.cause);
                stream.permit.record_progress(cost);
                if run.is_fault {
                    stream.permit.fail();
                } else {
                    stream.permit.settle(cost);
                }
                attempt += 1;
                let may_retry =
                    attempt <= MAX_ATTEMPTS && context.core().retries.take(context.now());
                if !may_retry {
                    let code = RefusalCode::StreamBroken;
                    return send_error(sender, stream.request.refuse_outcome_unknown(code)).await;
                }
                let queued = stream.request.retry_idempotent();
                pause_before_retry(&queued.id, attempt).await;
                let id = queued.id.clone();
                let at = progress.order.resume_from();
                let resumed = open_stream(context, queued, body, at, &mut attempt);
                let resumed = tokio::select! {
                    resumed = resumed => resumed,
                    () = sender.closed() => return,
                };
                match resumed {
                    Ok(resumed) => {
                        let target = &resumed.permit.target;
                        tracing::info!(unit = "stream", event = "resumed", request = id, %target, at);
                        stream = resumed;
                    }
                    Err(refusal) => return send_error(sender, refusal).await,
                }
            }
        }
    }
}

/// Acquires a slot, sends the request and waits for the response headers, with
/// retries.
async fn open_stream(
    context: &Arc<RouterContext>,
    mut queued: Request<Queued>,
    body: &Value,
    resume_from: u64,
    attempt: &mut u32,
) -> Result<OpenStream, Refusal> {
    let mut body = body.clone();
    body["resume_from"] = resume_from.into();
    let body = hyper::body::Bytes::from(body.to_string());
    loop {
        let (mut permit, address) = acquire_target(context, &queued, *attempt).await?;
        permit.mark_dispatched();
        let dispatched = queued.dispatch();
        let target_request = TargetRequest {
            method: Method::POST,
            path: "/v1/generate",
            content_type: Some("application/json"),
            body: body.clone(),
            receive_buffer: context.settings.resources.socket_buffer_bytes(),
        };
        let sending = send_to_target(address, target_request);
        let timeout = Duration::from_millis(ENGINE_SILENCE_MS);
        let (cause, is_unsent) = match tokio::time::timeout(timeout, sending).await {
            Ok(Ok(response)) if response.status().is_success() => {
                return Ok(OpenStream {
                    request: dispatched,
                    permit,
                    response,
                    recorded_tokens: 0,
                });
            }
            Ok(Ok(response)) if response.status().is_client_error() => {
                permit.settle(1.0);
                return Err(dispatched.refuse_outcome_unknown(RefusalCode::BadRequest));
            }
            Ok(Ok(response)) => (format!("status {}", response.status().as_u16()), false),
            Ok(Err(cause)) => (cause.to_string(), cause.is_unsent()),
            Err(_) => (format!("no answer in {ENGINE_SILENCE_MS} ms"), false),
        };
        log_failed_attempt(&dispatched.id, &permit.target, "open", *attempt, &cause);
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

/// Relays one engine's part of the response, without the tokens that the caller
/// already has.
async fn read_stream(
    stream: &mut OpenStream,
    progress: &mut StreamProgress,
    sender: &ChunkSender,
) -> StreamEnd {
    let mut parser = SseParser::default();
    let start = progress.order.next_token();
    progress.order.begin_run();
    loop {
        let mut chunk = Vec::new();
        let end = read_tokens(&mut parser, progress, &mut chunk);
        let tokens = progress.order.next_token() - start;
        if tokens >= stream.recorded_tokens + COST_UPDATE_TOKENS {
            stream.recorded_tokens = tokens;
            stream.permit.record_progress(tokens as f64);
        }
        if !chunk.is_empty() {
            let account = &stream.request.account;
            if let Err(code) = progress.held.cover(account, chunk.len().max(parser.waiting())) {
                return StreamEnd::NotHeld(code);
            }
            // Nothing is read from the engine until the caller has taken the chunk before.
            if sender.send(chunk.into()).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
        if let Some(end) = end {
            return end;
        }
        let timeout = Duration::from_millis(ENGINE_SILENCE_MS);
        let chunk = tokio::select! {
            chunk = tokio::time::timeout(timeout, stream.response.next_bytes()) => chunk,
            () = sender.closed() => return StreamEnd::CallerLeft,
        };
        match chunk {
            Ok(Ok(Some(bytes))) => parser.push(&bytes),
            Ok(Err(cause)) => return StreamEnd::Broken(cause.into()),
            Ok(Ok(None)) => {
                let cause = "stream ended before its last event".to_owned();
                return StreamEnd::Broken(cause.into());
            }
            Err(_) => {
                let cause = format!("silent for {ENGINE_SILENCE_MS} ms");
                return StreamEnd::Broken(cause.into());
            }
        }
    }
}

/// Appends the tokens that have arrived and that the caller does not have to `chunk`. Returns why
/// the engine's part of the response has ended, if it has.
fn read_tokens(
    parser: &mut SseParser,
    progress: &mut StreamProgress,
    chunk: &mut Vec<u8>,
) -> Option<StreamEnd> {
    loop {
        match parser.next_event() {
            Ok(None) => return None,
            Ok(Some(EngineEvent::Done)) => {
                let end = progress.order.check_end();
                return Some(
                    end.map_or_else(|cause| StreamEnd::Broken(cause.into()), |()| StreamEnd::Done),
                );
            }
            Ok(Some(EngineEvent::Token { index, data })) => {
                match progress.order.place(index, &data) {
                    Ok(TokenPlace::Next) => {}
                    Ok(TokenPlace::Known) => continue,
                    Err(cause) => return Some(StreamEnd::Broken(cause.into())),
                }
                let event = format!("data: {data}\n\n");
                progress.bytes += event.len();
                if progress.bytes > MAX_STREAM_BYTES {
                    return Some(StreamEnd::TooLarge);
                }
                chunk.extend_from_slice(event.as_bytes());
            }
            Err(cause) => return Some(StreamEnd::Broken(cause.to_string().into())),
        }
    }
}

async fn send_error(sender: &ChunkSender, refusal: Refusal) {
    let data = serde_json::to_string(&refusal).unwrap_or_default();
    // Sending fails only if the caller has disconnected.
    let _ = sender.send(Bytes::from(format!("event: error\ndata: {data}\n\n"))).await;
}
