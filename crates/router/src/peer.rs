//! Endpoints for the other routers and the operators' client.

use std::sync::Arc;

use base::Name;
use fleet::Digest;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use share::{DemandReport, GrantPush};
use wire::{DocumentCopy, KeyQuery, KeyResponse};

use crate::client::HTTP_OVERHEAD_BYTES;
use crate::context::RouterContext;
use crate::heartbeat::{apply_digest, digest_for};
use crate::status::collect_status;
use once::{KeyDecision, KeyOutcome};

/// Refuses requests without the fleet's secret, and those from peers to which a
/// test has cut the link.
fn authorize(context: &RouterContext, request: &HttpRequest) -> Result<(), HttpResponse> {
    let header = request.headers().get(wire::SECRET_HEADER);
    let secret = header.map_or(&b""[..], |value| value.as_bytes());
    if !wire::constant_time_eq(secret, context.settings.secret.as_bytes()) {
        tracing::warn!(unit = "peer", event = "stranger", peer = ?request.peer_addr());
        return Err(HttpResponse::Unauthorized().finish());
    }
    let from = request.headers().get("x-poplar-from").and_then(|value| value.to_str().ok());
    if from.is_some_and(|from| context.core().cut_peers.contains(from)) {
        return Err(HttpResponse::ServiceUnavailable().finish());
    }
    Ok(())
}

fn decode<T: DeserializeOwned>(
    context: &RouterContext,
    request: &HttpRequest,
    body: &Bytes,
) -> Result<T, HttpResponse> {
    authorize(context, request)?;
    context.count_control_message(body.len() + HTTP_OVERHEAD_BYTES);
    wire::decode(body).map_err(|cause| {
        tracing::warn!(unit = "peer", event = "undecodable", peer = ?request.peer_addr(), %cause);
        HttpResponse::BadRequest().finish()
    })
}

fn encode<T: Serialize>(context: &RouterContext, message: &T) -> HttpResponse {
    match wire::encode(message) {
        Ok(bytes) => {
            context.count_control_message(bytes.len());
            HttpResponse::Ok().body(bytes)
        }
        Err(cause) => {
            tracing::error!(unit = "peer", event = "unencodable", %cause);
            HttpResponse::build(StatusCode::INTERNAL_SERVER_ERROR).finish()
        }
    }
}

/// `POST /peer/v1/digest`: applies a heartbeat and replies with this router's
/// own digest.
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
    apply_digest(&context, &digest, now);
    let sender = digest.updates.first().map(|update| Name::clone(&update.origin.instance));
    let sender = sender.unwrap_or_default();
    let reply = digest_for(&context.core(), &sender, Some(digest.known), now);
    encode(&context, &reply)
}

/// `POST /peer/v1/report`: applies a router's demand and replies with its
/// grants.
pub(crate) async fn report(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let report: DemandReport = match decode(&context, &request, &body) {
        Ok(report) => report,
        Err(response) => return response,
    };
    let reply = context.core().receive_report(report, context.now());
    context.demand_changed.notify_one();
    match reply {
        Some(reply) => encode(&context, &reply),
        None => HttpResponse::NotFound().finish(),
    }
}

/// `POST /peer/v1/push`: applies grants for this router.
pub(crate) async fn push(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let push: GrantPush = match decode(&context, &request, &body) {
        Ok(push) => push,
        Err(response) => return response,
    };
    context.core().receive_push(push, context.now());
    context.demand_changed.notify_one();
    encode(&context, &())
}

/// `POST /peer/v1/document`: returns the active document, if there is one.
pub(crate) async fn document(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if let Err(response) = decode::<()>(&context, &request, &body) {
        return response;
    }
    let active = context.core().active_document.clone();
    let copy = active
        .map(|active| DocumentCopy { revision: active.revision, text: active.text.to_string() });
    encode(&context, &copy)
}

/// `POST /peer/v1/key`: returns the outcome of the call under a key that this
/// router issued. Seals a key that no call has used yet.
pub(crate) async fn key(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let query: KeyQuery = match decode(&context, &request, &body) {
        Ok(query) => query,
        Err(response) => return response,
    };
    let decision = context.core().keys.query_or_seal(&query.key, &query.account, context.now());
    let outcome = match decision {
        KeyDecision::Sealed => return encode(&context, &KeyResponse::Sealed),
        KeyDecision::Join(receiver) => receiver.await.unwrap_or(KeyOutcome::Unknown),
        KeyDecision::Ended(outcome) => outcome,
        _ => KeyOutcome::Unknown,
    };
    let response = match outcome {
        KeyOutcome::Answered { status, body } => KeyResponse::Done { status, body },
        KeyOutcome::Unknown => KeyResponse::Unknown,
        KeyOutcome::NotRun => KeyResponse::NotRun,
    };
    encode(&context, &response)
}

/// `GET /ops/v1/status`: returns the router's status as JSON.
pub(crate) async fn status(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
) -> HttpResponse {
    if let Err(response) = authorize(&context, &request) {
        return response;
    }
    HttpResponse::Ok().json(&collect_status(&context))
}

/// `GET /ops/v1/explain/{request}`: returns the routing decisions about a
/// request.
pub(crate) async fn explain(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    if let Err(response) = authorize(&context, &request) {
        return response;
    }
    HttpResponse::Ok().json(&context.core().decisions.of_request(&id))
}

#[derive(Deserialize)]
struct CutOrder {
    peers: Vec<Name>,
}

/// `POST /test/v1/cut`: cuts the links to the given peers and restores all
/// others, for tests. Refused unless `test_controls` is set.
pub(crate) async fn cut(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if !context.settings.test_controls {
        return HttpResponse::NotFound().finish();
    }
    if let Err(response) = authorize(&context, &request) {
        return response;
    }
    let Ok(order) = serde_json::from_slice::<CutOrder>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    context.core().cut_peers = order.peers.into_iter().collect();
    HttpResponse::NoContent().finish()
}
