//! What the other routers and the operators' client can ask.

use std::sync::Arc;

use base::Name;
use fleet::Digest;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use share::{Push, Report};
use wire::{DocumentCopy, KeyQuery, KeyResponse};

use crate::client::HTTP_OVERHEAD_BYTES;
use crate::context::RouterContext;
use crate::heartbeat::{digest_for, hear_digest};
use crate::status::status_of;
use once::{KeyDecision, KeyOutcome};

/// Refuses strangers; tests can cut single peers off.
fn admit(context: &RouterContext, request: &HttpRequest) -> Result<(), HttpResponse> {
    let header = request.headers().get(wire::SECRET_HEADER);
    let secret = header.map_or(&b""[..], |value| value.as_bytes());
    if !wire::constant_time_eq(secret, context.settings.secret.as_bytes()) {
        tracing::warn!(unit = "peer", event = "stranger", peer = ?request.peer_addr());
        return Err(HttpResponse::Unauthorized().finish());
    }
    let from = request.headers().get("x-poplar-from").and_then(|value| value.to_str().ok());
    if from.is_some_and(|from| context.core().cut.contains(from)) {
        return Err(HttpResponse::ServiceUnavailable().finish());
    }
    Ok(())
}

fn decode<T: DeserializeOwned>(
    context: &RouterContext,
    request: &HttpRequest,
    body: &Bytes,
) -> Result<T, HttpResponse> {
    admit(context, request)?;
    context.count_control(body.len() + HTTP_OVERHEAD_BYTES);
    wire::decode(body).map_err(|cause| {
        tracing::warn!(unit = "peer", event = "undecodable", peer = ?request.peer_addr(), %cause);
        HttpResponse::BadRequest().finish()
    })
}

fn encode<T: Serialize>(context: &RouterContext, message: &T) -> HttpResponse {
    match wire::encode(message) {
        Ok(bytes) => {
            context.count_control(bytes.len());
            HttpResponse::Ok().body(bytes)
        }
        Err(cause) => {
            tracing::error!(unit = "peer", event = "unencodable", %cause);
            HttpResponse::build(StatusCode::INTERNAL_SERVER_ERROR).finish()
        }
    }
}

/// `POST /peer/v1/digest`: a heartbeat.
pub(crate) async fn digest(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let digest: Digest = match decode(&context, &request, &body) {
        Ok(digest) => digest,
        Err(response) => return response,
    };
    let now = context.now();
    hear_digest(&context, &digest, now);
    let sender = digest.updates.first().map(|beat| Name::clone(&beat.origin.instance));
    let sender = sender.unwrap_or_default();
    let answer = digest_for(&context.core(), &sender, Some(digest.known), now);
    encode(&context, &answer)
}

/// `POST /peer/v1/report`: a router's demand, answered with its grants.
pub(crate) async fn report(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let report: Report = match decode(&context, &request, &body) {
        Ok(report) => report,
        Err(response) => return response,
    };
    let answer = context.core().receive_report(report, context.now());
    context.demand_changed.notify_one();
    match answer {
        Some(answer) => encode(&context, &answer),
        None => HttpResponse::NotFound().finish(),
    }
}

/// `POST /peer/v1/push`: grants for this router.
pub(crate) async fn push(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let push: Push = match decode(&context, &request, &body) {
        Ok(push) => push,
        Err(response) => return response,
    };
    context.core().receive_push(push, context.now());
    context.demand_changed.notify_one();
    encode(&context, &())
}

/// `POST /peer/v1/document`: the document in force.
pub(crate) async fn document(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if let Err(response) = decode::<()>(&context, &request, &body) {
        return response;
    }
    let force = context.core().force.clone();
    let copy =
        force.map(|force| DocumentCopy { revision: force.revision, text: force.text.to_string() });
    encode(&context, &copy)
}

/// `POST /peer/v1/key`: what became of a key that this router issued.
pub(crate) async fn key(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let question: KeyQuery = match decode(&context, &request, &body) {
        Ok(question) => question,
        Err(response) => return response,
    };
    let start = context.core().keys.query_or_seal(&question.key, &question.account, context.now());
    let outcome = match start {
        KeyDecision::Sealed => return encode(&context, &KeyResponse::Sealed),
        KeyDecision::Join(receiver) => receiver.await.unwrap_or(KeyOutcome::Unknown),
        KeyDecision::Ended(outcome) => outcome,
        _ => KeyOutcome::Unknown,
    };
    let answer = match outcome {
        KeyOutcome::Answered { status, body } => KeyResponse::Done { status, body },
        KeyOutcome::Unknown => KeyResponse::Unknown,
        KeyOutcome::NotRun => KeyResponse::NotRun,
    };
    encode(&context, &answer)
}

/// `GET /ops/v1/status`: what this router knows, as JSON.
pub(crate) async fn status(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
) -> HttpResponse {
    if let Err(response) = admit(&context, &request) {
        return response;
    }
    HttpResponse::Ok().json(&status_of(&context))
}

/// `GET /ops/v1/explain/{request}`: the routing decisions about a request.
pub(crate) async fn explain(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    if let Err(response) = admit(&context, &request) {
        return response;
    }
    HttpResponse::Ok().json(&context.core().decisions.of_request(&id))
}

#[derive(Deserialize)]
struct CutOrder {
    peers: Vec<Name>,
}

/// `POST /test/v1/cut`: cuts the links to some peers, for tests; refused
/// unless the settings allow it.
pub(crate) async fn cut(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if !context.settings.test_controls {
        return HttpResponse::NotFound().finish();
    }
    if let Err(response) = admit(&context, &request) {
        return response;
    }
    let Ok(order) = serde_json::from_slice::<CutOrder>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    context.core().cut = order.peers.into_iter().collect();
    HttpResponse::NoContent().finish()
}
