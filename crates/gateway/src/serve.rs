//! What the other addresses answer: readiness, addresses, peers, metrics.

use std::sync::Arc;

use http::{Method, StatusCode};
use ntex::http::{Payload, Request, Response};
use ntex::util::{Bytes, BytesMut};

use crate::context::GatewayContext;
use crate::facts::{CHANGES_PATH, ChangesQuestion};
use crate::relay::RelayBody;
use crate::view::changes_for;

/// Time for which an address answer holds, in seconds: callers may keep it
/// three times as long, and a draining router waits for that.
pub(crate) const LEASE_S: f64 = 1.0;
/// Addresses in one answer at most; callers take no more.
const MAX_ADDRESSES: usize = 64;
/// Largest question of a peer, in bytes.
const MAX_QUESTION_BYTES: usize = 4 << 10;

/// Readiness: a configuration is known and the router does not drain.
pub(crate) fn ready(context: &GatewayContext, request: &Request) -> Response<RelayBody> {
    if request.path() != context.format.ready_path() {
        return empty(StatusCode::NOT_FOUND);
    }
    let is_ready = !context.is_draining() && context.table().is_some();
    empty(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Which addresses a caller should use.
pub(crate) fn addresses(context: &GatewayContext, request: &Request) -> Response<RelayBody> {
    if request.path() != context.format.address_path() {
        return empty(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let question = context.format.read_address_query(query);
    let settings = &context.settings;
    let takes_calls = !context.is_draining() && context.table().is_some();
    let mine = takes_calls.then_some((&*settings.failure_domain, settings.listen.callers));
    let domain = question.domain.as_deref().unwrap_or(&settings.failure_domain);
    let now = context.now();
    let addresses = context.members().caller_addresses(domain, mine, MAX_ADDRESSES, now);
    let peer = request.peer_addr();
    tracing::debug!(unit = "serve", event = "addresses", ?peer, domain, ?addresses);
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lease_s = LEASE_S.min(settings.bounds.longest_lease_s);
    whole("application/json", context.format.write_address_response(&addresses, lease_s))
}

/// Exchanges with peers.
pub(crate) async fn peer(
    context: Arc<GatewayContext>,
    mut request: Request,
) -> Response<RelayBody> {
    if request.path() != CHANGES_PATH || request.method() != Method::POST {
        return empty(StatusCode::NOT_FOUND);
    }
    let Some(body) = read_small(request.take_payload()).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let Ok(question) = rmp_serde::from_slice::<ChangesQuestion>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    match rmp_serde::to_vec(&changes_for(&context, question)) {
        Ok(answer) => whole("application/msgpack", answer),
        Err(cause) => {
            tracing::error!(unit = "serve", event = "changes_not_encoded", %cause);
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Counters and histograms as text.
pub(crate) fn metrics(text: String) -> Response<RelayBody> {
    whole("text/plain; version=0.0.4", text.into_bytes())
}

async fn read_small(mut payload: Payload) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_QUESTION_BYTES {
            return None;
        }
    }
    Some(body.freeze())
}

fn empty(status: StatusCode) -> Response<RelayBody> {
    Response::with_body(status, RelayBody::Whole(Bytes::new()))
}

fn whole(content_type: &'static str, body: Vec<u8>) -> Response<RelayBody> {
    let mut response = Response::with_body(StatusCode::OK, RelayBody::Whole(Bytes::from(body)));
    let value = ntex::http::header::HeaderValue::from_static(content_type);
    response.head_mut().headers.insert(http::header::CONTENT_TYPE, value);
    response
}
