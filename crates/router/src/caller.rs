//! Endpoint for callers' requests. Authenticates the account, looks up the
//! service, and handles the request as a stream, a plain call or a call under
//! an idempotency key.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use cadence::prelude::*;
use doc::ServiceKind;
use hyper::body::Bytes;
use inbound::{BusyConnection, CallerConnections};
use ntex::http::body::Body;
use ntex::http::{StatusCode, Version};
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde_json::Value;
use wire::{KeyQuery, KeyResponse};

use crate::client::PeerClient;
use crate::context::RouterContext;
use crate::held::HeldBytes;
use crate::lifecycle::{Received, Request};
use crate::plain::{PlainCall, PlainResponse, run_plain};
use crate::refusal::{Ran, Refusal, RefusalCode};
use crate::stream::start_stream;
use crate::taken_body::{BodySource, OpenAnswer, TakenBody};
use once::{KeyDecision, KeyOutcome};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time within which a caller must send the whole request body, in
/// milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Time for reading the rest of a body that is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait for the outcome of a call that is already running under the
/// same key, here or at another router, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 60_000;
/// Memory that a request takes beside its body, in bytes: its head, and the part of its response
/// that is being passed on.
const REQUEST_HELD_BYTES: usize = 16 << 10;
/// Path prefix of calls to services.
const CALL_PREFIX: &str = "/v1/call/";

/// Guard that counts a request as open until the guard is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<RouterContext>);

impl OpenRequest {
    fn new(context: &Arc<RouterContext>) -> Self {
        context.core().open_requests += 1;
        Self(Arc::clone(context))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.core().open_requests -= 1;
    }
}

/// Returns the client account whose credential the request carries.
///
/// # Errors
/// Returns a refusal if there is no active document yet or no account has this
/// credential.
pub(crate) fn authenticate(
    context: &Arc<RouterContext>,
    request: &HttpRequest,
    id: &str,
) -> Result<Name, Refusal> {
    let header = request.headers().get("authorization");
    let credential = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let core = context.core();
    let active = core.active_document.as_ref();
    let active = active.ok_or_else(|| Refusal::not_run(RefusalCode::NoConfiguration, id))?;
    let account =
        credential.and_then(|credential| active.accepted.account_for_credential(credential));
    account.cloned().ok_or_else(|| Refusal::not_run(RefusalCode::BadCredential, id))
}

/// `/v1/call/{service}/{path}`: handles one request to a service.
pub(crate) async fn call(
    context: State<Arc<RouterContext>>,
    peers: State<PeerClient>,
    connections: State<Rc<CallerConnections>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = context.next_request_id();
    let busy = request.io().map(|io| BusyConnection::begin(&connections, io, &context.clock));
    let result = match busy {
        // The router has closed the connection, so that no response reaches the caller.
        Some(None) => Err(Refusal::not_run(RefusalCode::Draining, &id)),
        busy => handle_call(&context, &peers, &request, payload, busy.flatten(), &id).await,
    };
    let mut response = result.unwrap_or_else(|refusal| {
        let (code, ran) = (refusal.code, refusal.ran);
        tracing::info!(unit = "caller", event = "refused", request = id, ?code, ?ran);
        context.metrics.incr("refused").ok();
        refusal.into_response()
    });
    if let Ok(value) = ntex::http::header::HeaderValue::from_str(&id) {
        response
            .headers_mut()
            .insert(ntex::http::header::HeaderName::from_static("x-request-id"), value);
    }
    response
}

async fn handle_call(
    context: &Arc<RouterContext>,
    peers: &PeerClient,
    http: &HttpRequest,
    payload: Payload,
    connection: Option<BusyConnection>,
    id: &str,
) -> Result<HttpResponse, Refusal> {
    // The body is read before anything can be refused: closing a connection
    // with unread bytes resets it, and the refusal could be lost.
    let mut reader = BodyReader { payload, read_bytes: 0 };
    let account = match authenticate(context, http, id) {
        Ok(account) => account,
        Err(refusal) => {
            reader.discard().await;
            return Err(refusal);
        }
    };
    let held = match HeldBytes::new(context, &account, REQUEST_HELD_BYTES) {
        Ok(held) => Arc::new(held),
        Err(code) => {
            reader.discard().await;
            return Err(Refusal::not_run(code, id));
        }
    };
    let body = match reader.read(&held, &account).await {
        Ok(body) => body,
        Err(code) => {
            reader.discard().await;
            return Err(Refusal::not_run(code, id));
        }
    };
    let part_timeout = Duration::from_secs(context.settings.unread_s);
    let not_found = || Refusal::not_run(RefusalCode::UnknownService, id);
    let rest = http.path().strip_prefix(CALL_PREFIX).ok_or_else(not_found)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = format!("/{path}");
    let (kind, at_most_once) = {
        let core = context.core();
        if core.draining {
            return Err(Refusal::not_run(RefusalCode::Draining, id));
        }
        let spec = core.service_spec(service).ok_or_else(not_found)?;
        (spec.kind, spec.is_at_most_once(http.method().as_str(), &path))
    };
    let guard = Arc::new(OpenRequest::new(context));
    let request = Request::new(id.to_owned(), account, service.into());
    context.metrics.incr("requests").ok();
    if kind == ServiceKind::Model {
        if path != "/generate" {
            return Err(request.refuse(RefusalCode::UnknownPath));
        }
        let parsed = serde_json::from_slice::<Value>(&body).ok().filter(Value::is_object);
        let body = parsed.ok_or_else(|| request.refuse(RefusalCode::BadRequest))?;
        let chunks =
            start_stream(context, request, body, Arc::clone(&held), Arc::clone(&guard)).await?;
        let source = BodySource::stream(chunks);
        let answer = OpenAnswer { _request: guard, _held: Some(held) };
        let body = TakenBody::new(source, answer, connection, part_timeout);
        return Ok(stream_response(body, http.version()));
    }
    let call = PlainCall {
        method: http.method().clone(),
        path: with_query(&path, http.query_string()),
        content_type: header_text(http, "content-type"),
        body,
        held,
        at_most_once,
    };
    let key = header_text(http, "idempotency-key").filter(|_| at_most_once);
    let response = match key {
        Some(key) => {
            handle_keyed(context, peers, request, call, key.into(), Arc::clone(&guard)).await?
        }
        None if at_most_once => {
            let running = run_detached(context, request, call, None, Arc::clone(&guard));
            running
                .await
                .map_err(|_| Refusal::outcome_unknown(RefusalCode::OutcomeUnknown, id))??
        }
        None => run_plain(context, request, &call).await?,
    };
    let (status, content_type) = (response.status, response.content_type);
    let source = BodySource::Buffered(response.body);
    let answer = OpenAnswer { _request: guard, _held: response.held };
    let body = TakenBody::new(source, answer, connection, part_timeout);
    Ok(plain_response(status, content_type, body))
}

fn stream_response(body: TakenBody, version: Version) -> HttpResponse {
    let mut builder = HttpResponse::Ok();
    builder.content_type("text/event-stream").header("cache-control", "no-store");
    if version < Version::HTTP_11 {
        // Such a caller does not know chunks. The last event tells whether the stream is whole.
        builder.no_chunking().force_close();
    }
    builder.body(Body::from_message(body))
}

/// Handles a call with an idempotency key, which must run at most once.
async fn handle_keyed(
    context: &Arc<RouterContext>,
    peers: &PeerClient,
    request: Request<Received>,
    call: PlainCall,
    key: Name,
    guard: Arc<OpenRequest>,
) -> Result<PlainResponse, Refusal> {
    let id = request.id.clone();
    let account = Name::clone(&request.account);
    let call_digest = hash_call(&request.service, &call);
    let decision = context.core().keys.begin(&key, &account, call_digest, context.now());
    let outcome = match decision {
        KeyDecision::Run => {
            let running = run_detached(context, request, call, Some(key), guard);
            return running
                .await
                .map_err(|_| Refusal::outcome_unknown(RefusalCode::OutcomeUnknown, &id))?;
        }
        KeyDecision::Join(receiver) => {
            let joined = tokio::time::timeout(Duration::from_millis(JOIN_TIMEOUT_MS), receiver);
            joined.await.ok().and_then(Result::ok).unwrap_or(KeyOutcome::Unknown)
        }
        KeyDecision::Ended(outcome) => outcome,
        KeyDecision::Foreign(origin) => {
            let query = KeyQuery { account, key };
            let result: Result<KeyResponse, _> =
                peers.send_with_timeout(&origin.instance, "key", &query, JOIN_TIMEOUT_MS).await;
            let response = result.unwrap_or(KeyResponse::Unknown);
            tracing::info!(
                unit = "keys",
                event = "asked",
                request = id,
                peer = %origin,
                answer = ?response
            );
            match response {
                KeyResponse::Done { status, body } => KeyOutcome::Answered { status, body },
                KeyResponse::Unknown => KeyOutcome::Unknown,
                KeyResponse::NotRun => KeyOutcome::NotRun,
                KeyResponse::Sealed => {
                    let refusal = Refusal::not_run(RefusalCode::KeySealed, &id);
                    return Err(refusal.with_hint("the key will never run; get a new one"));
                }
            }
        }
        KeyDecision::Sealed => {
            let refusal = Refusal::not_run(RefusalCode::KeySealed, &id);
            return Err(refusal.with_hint("the key will never run; get a new one"));
        }
        KeyDecision::Expired => return Err(Refusal::outcome_unknown(RefusalCode::KeyExpired, &id)),
        KeyDecision::NotIssued => {
            let refusal = Refusal::not_run(RefusalCode::KeyNotIssued, &id);
            return Err(refusal.with_hint("POST /v1/keys at this router issues a key"));
        }
        KeyDecision::Reused => return Err(Refusal::not_run(RefusalCode::KeyReused, &id)),
        KeyDecision::Full => return Err(Refusal::not_run(RefusalCode::KeyMemoryFull, &id)),
    };
    match outcome {
        KeyOutcome::Answered { status, body } => Ok(PlainResponse {
            status,
            content_type: Some("application/json".into()),
            body: Bytes::from(body),
            held: None,
        }),
        KeyOutcome::Unknown => Err(Refusal::outcome_unknown(RefusalCode::OutcomeUnknown, &id)),
        KeyOutcome::NotRun => Err(Refusal::not_run(RefusalCode::WaitExceeded, &id)),
    }
}

type CallReceiver = tokio::sync::oneshot::Receiver<Result<PlainResponse, Refusal>>;

/// Runs a call in a separate task. The call continues if its caller
/// disconnects, so that a retry with the same key can learn its outcome.
fn run_detached(
    context: &Arc<RouterContext>,
    request: Request<Received>,
    call: PlainCall,
    key: Option<Name>,
    guard: Arc<OpenRequest>,
) -> CallReceiver {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let context = Arc::clone(context);
    ntex::rt::spawn(async move {
        let _guard = guard;
        let result = run_plain(&context, request, &call).await;
        if let Some(key) = key {
            let outcome = match &result {
                Ok(response) => {
                    KeyOutcome::Answered { status: response.status, body: response.body.to_vec() }
                }
                Err(refusal) if refusal.ran == Ran::No => KeyOutcome::NotRun,
                Err(_) => KeyOutcome::Unknown,
            };
            context.core().keys.end(&key, outcome);
        }
        // Sending fails only if the caller has disconnected.
        let _ = sender.send(result);
    });
    receiver
}

/// Hashes a call, to detect that a key is used again for a different one.
fn hash_call(service: &Name, call: &PlainCall) -> u64 {
    let body = String::from_utf8_lossy(&call.body);
    base::stable_hash(&[service, call.method.as_str(), &call.path, &body])
}

fn plain_response(status: u16, content_type: Option<String>, body: TakenBody) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    if let Some(content_type) = content_type {
        builder.content_type(content_type.as_str());
    }
    builder.body(Body::from_message(body))
}

fn with_query(path: &str, query: &str) -> String {
    if query.is_empty() { path.to_owned() } else { format!("{path}?{query}") }
}

fn header_text(http: &HttpRequest, name: &str) -> Option<String> {
    Some(http.headers().get(name)?.to_str().ok()?.to_owned())
}

/// Reads the body of a request.
struct BodyReader {
    payload: Payload,
    /// Bytes that were read, whether or not they were kept.
    read_bytes: usize,
}

impl BodyReader {
    /// Reads the whole body, which counts against the memory of the process.
    async fn read(&mut self, held: &HeldBytes, account: &Name) -> Result<Bytes, RefusalCode> {
        let reading = async {
            let mut body = Vec::new();
            while let Some(chunk) = self.payload.recv().await {
                let chunk = chunk.map_err(|_| RefusalCode::BadRequest)?;
                self.read_bytes += chunk.len();
                if self.read_bytes > MAX_BODY_BYTES {
                    return Err(RefusalCode::BodyTooLarge);
                }
                held.grow(account, chunk.len())?;
                body.extend_from_slice(&chunk);
            }
            Ok(body.into())
        };
        let read = tokio::time::timeout(Duration::from_millis(BODY_TIMEOUT_MS), reading).await;
        read.unwrap_or(Err(RefusalCode::BodyTooSlow))
    }

    /// Reads the rest of a body that is within its limit, without keeping it. One that takes
    /// longer is left unread.
    async fn discard(&mut self) {
        let reading = async {
            while let Some(Ok(chunk)) = self.payload.recv().await {
                self.read_bytes += chunk.len();
                if self.read_bytes > MAX_BODY_BYTES {
                    return;
                }
            }
        };
        // The refusal is sent in either case.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
    }
}
