//! Callers' requests: who asks, for what, and the way to the right unit.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use cadence::prelude::*;
use doc::ServiceKind;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde_json::Value;
use wire::{KeyQuery, KeyResponse};

use crate::client::PeerClient;
use crate::context::RouterContext;
use crate::lifecycle::{Received, Request};
use crate::plain::{PlainAnswer, PlainCall, run_plain};
use crate::refusal::{Ran, Refusal, RefusalCode};
use crate::stream::start_stream;
use once::{KeyDecision, KeyOutcome};

/// Largest body of a caller's request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time for a caller's whole body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Time that a joined call may take, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 60_000;
/// Prefix of the callers' calls.
const CALL_PREFIX: &str = "/v1/call/";

/// Counts a request as open until it is dropped.
struct OpenRequest(Arc<RouterContext>);

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

/// The client account whose credential the request carries.
///
/// # Errors
/// There is no document yet, or no account has this credential.
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
    let force = core.force.as_ref();
    let force = force.ok_or_else(|| Refusal::not_run(RefusalCode::NoConfiguration, id))?;
    let account =
        credential.and_then(|credential| force.accepted.account_for_credential(credential));
    account.cloned().ok_or_else(|| Refusal::not_run(RefusalCode::BadCredential, id))
}

/// `/v1/call/{service}/{path}`: one request to a service.
pub(crate) async fn call(
    context: State<Arc<RouterContext>>,
    client: State<Client>,
    peers: State<PeerClient>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = context.next_request_id();
    let result = answer(&context, &client, &peers, &request, payload, &id).await;
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

async fn answer(
    context: &Arc<RouterContext>,
    client: &Client,
    peers: &PeerClient,
    http: &HttpRequest,
    payload: Payload,
    id: &str,
) -> Result<HttpResponse, Refusal> {
    // Closing a connection with unread bytes resets it, and a refusal could be
    // lost; so the body is read first.
    let body = read_body(payload, id).await?;
    let account = authenticate(context, http, id)?;
    let not_found = || Refusal::not_run(RefusalCode::UnknownService, id);
    let rest = http.path().strip_prefix(CALL_PREFIX).ok_or_else(not_found)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = format!("/{path}");
    let (kind, once) = {
        let core = context.core();
        if core.draining {
            return Err(Refusal::not_run(RefusalCode::Draining, id));
        }
        let spec = core.service(service).ok_or_else(not_found)?;
        (spec.kind, spec.is_at_most_once(http.method().as_str(), &path))
    };
    let open = OpenRequest::new(context);
    let request = Request::new(id.to_owned(), account, service.into());
    context.metrics.incr("requests").ok();
    if kind == ServiceKind::Model {
        if path != "/generate" {
            return Err(request.refuse(RefusalCode::UnknownPath));
        }
        return answer_stream(context, client, request, &body, open).await;
    }
    let call = PlainCall {
        method: http.method().clone(),
        path: with_query(&path, http.query_string()),
        content_type: header_text(http, "content-type"),
        body,
        once,
    };
    let key = header_text(http, "idempotency-key").filter(|_| once);
    let answer = match key {
        Some(key) => answer_keyed(context, client, peers, request, call, key.into(), open).await?,
        None if once => {
            let running = run_detached(context, client, request, call, None, open);
            running
                .await
                .map_err(|_| Refusal::outcome_unknown(RefusalCode::OutcomeUnknown, id))??
        }
        None => run_plain(context, client, request, &call).await?,
    };
    Ok(plain_response(answer))
}

async fn answer_stream(
    context: &Arc<RouterContext>,
    client: &Client,
    request: Request<Received>,
    body: &Bytes,
    open: OpenRequest,
) -> Result<HttpResponse, Refusal> {
    let parsed = serde_json::from_slice::<Value>(body).ok().filter(Value::is_object);
    let body = parsed.ok_or_else(|| request.refuse(RefusalCode::BadRequest))?;
    let chunks = start_stream(context, client, request, body, open).await?;
    let chunks = futures_util::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((Ok::<Bytes, std::io::Error>(chunk), chunks))
    });
    let response = HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(chunks));
    Ok(response)
}

/// A call that must run at most once, under a key.
async fn answer_keyed(
    context: &Arc<RouterContext>,
    client: &Client,
    peers: &PeerClient,
    request: Request<Received>,
    call: PlainCall,
    key: Name,
    open: OpenRequest,
) -> Result<PlainAnswer, Refusal> {
    let id = request.id.clone();
    let account = Name::clone(&request.account);
    let print = fingerprint(&request.service, &call);
    let start = context.core().keys.begin(&key, &account, print, context.now());
    let outcome = match start {
        KeyDecision::Run => {
            let running = run_detached(context, client, request, call, Some(key), open);
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
            let question = KeyQuery { account, key };
            let asked: Result<KeyResponse, _> =
                peers.ask(&origin.instance, "key", &question, JOIN_TIMEOUT_MS).await;
            let answer = asked.unwrap_or(KeyResponse::Unknown);
            tracing::info!(unit = "keys", event = "asked", request = id, peer = %origin, ?answer);
            match answer {
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
        KeyOutcome::Answered { status, body } => Ok(PlainAnswer {
            status,
            content_type: Some("application/json".into()),
            body: Bytes::from(body),
        }),
        KeyOutcome::Unknown => Err(Refusal::outcome_unknown(RefusalCode::OutcomeUnknown, &id)),
        KeyOutcome::NotRun => Err(Refusal::not_run(RefusalCode::WaitExceeded, &id)),
    }
}

type CallReceiver = tokio::sync::oneshot::Receiver<Result<PlainAnswer, Refusal>>;

/// Runs a call that goes on when its caller leaves, so that its outcome is
/// known to a repeat.
fn run_detached(
    context: &Arc<RouterContext>,
    client: &Client,
    request: Request<Received>,
    call: PlainCall,
    key: Option<Name>,
    open: OpenRequest,
) -> CallReceiver {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let context = Arc::clone(context);
    let client = client.clone();
    ntex::rt::spawn(async move {
        let _open = open;
        let result = run_plain(&context, &client, request, &call).await;
        if let Some(key) = key {
            let outcome = match &result {
                Ok(answer) => {
                    KeyOutcome::Answered { status: answer.status, body: answer.body.to_vec() }
                }
                Err(refusal) if refusal.ran == Ran::No => KeyOutcome::NotRun,
                Err(_) => KeyOutcome::Unknown,
            };
            context.core().keys.end(&key, outcome);
        }
        // A caller that left needs no answer.
        let _ = sender.send(result);
    });
    receiver
}

fn fingerprint(service: &Name, call: &PlainCall) -> u64 {
    let body = String::from_utf8_lossy(&call.body);
    base::stable_hash(&[service, call.method.as_str(), &call.path, &body])
}

fn plain_response(answer: PlainAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    if let Some(content_type) = answer.content_type {
        builder.content_type(content_type.as_str());
    }
    builder.body(answer.body)
}

fn with_query(path: &str, query: &str) -> String {
    if query.is_empty() { path.to_owned() } else { format!("{path}?{query}") }
}

fn header_text(http: &HttpRequest, name: &str) -> Option<String> {
    Some(http.headers().get(name)?.to_str().ok()?.to_owned())
}

async fn read_body(mut payload: Payload, id: &str) -> Result<Bytes, Refusal> {
    let reading = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|_| RefusalCode::BadRequest)?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                return Err(RefusalCode::BodyTooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout(Duration::from_millis(BODY_TIMEOUT_MS), reading).await;
    read.unwrap_or(Err(RefusalCode::BodyTooSlow)).map_err(|code| Refusal::not_run(code, id))
}
