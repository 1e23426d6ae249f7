//! Request handlers of the listen addresses other than `callers`: readiness,
//! address queries, peers and metrics.

use std::sync::Arc;
use std::time::Duration;

use changes::{CHANGES_PATH, ColdNotice, PeerChanges, decode_changes_request, encode_changes};
use http::{Method, StatusCode};
use mesh::MemberView;
use ntex::http::{Request, Response};
use ntex::util::{Bytes, BytesMut};

use crate::body::BodyReader;
use crate::configuration::{ConfigurationAnswer, answer_request};
use crate::context::GatewayContext;
use crate::response_body::RelayBody;
use crate::view::{changes_notice, changes_since, configuration_notice, domain_listing};

/// Lease of an address response, in seconds. Callers may use the response three
/// times as long, and a draining router waits for that time.
pub(crate) const ADDRESS_LEASE_S: f64 = 1.0;
/// Largest number of addresses in one response; callers accept no more.
const MAX_ADDRESSES: usize = 64;
/// Content type of messages between routers.
const PEER_MESSAGE_TYPE: &str = "application/msgpack";
/// Largest request body of a peer, in bytes.
const MAX_PEER_REQUEST_BYTES: usize = 4 << 10;
/// Time that a peer may take to send a complete body. It waits less long for its answer.
const PEER_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a readiness check. The router is ready if it has a configuration, is not
/// draining and takes more callers.
pub(crate) fn ready(context: &GatewayContext, request: &Request) -> Response<RelayBody> {
    if request.path() != context.format.ready_path() {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let is_ready = !context.is_draining()
        && context.table().is_some()
        && !context.accept_policy().sends_callers_away();
    empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Handles a query for the addresses that a caller should use.
pub(crate) fn addresses(context: &GatewayContext, request: &Request) -> Response<RelayBody> {
    if request.path() != context.format.address_path() {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let address_query = context.format.read_address_query(query);
    let settings = &context.settings;
    let own_address = (&*settings.failure_domain, settings.listen.callers);
    let own_address = (!context.is_draining() && context.table().is_some()).then_some(own_address);
    let domain = address_query.domain.as_deref().unwrap_or(&settings.failure_domain);
    let now = context.now();
    let policy = context.accept_policy().clone();
    let is_avoided = |view: &MemberView| policy.avoids(&view.origin.instance);
    let find = |own_address| {
        context.members().caller_addresses(domain, own_address, MAX_ADDRESSES, is_avoided, now)
    };
    let mut addresses = find(own_address.filter(|_| !policy.sends_callers_away()));
    if addresses.is_empty() {
        addresses = find(own_address);
    }
    let peer = request.peer_addr();
    tracing::debug!(unit = "serve", event = "addresses", ?peer, domain, ?addresses);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lease_s = ADDRESS_LEASE_S.min(settings.bounds.longest_lease_s);
    full_response("application/json", context.format.write_address_response(&addresses, lease_s))
}

/// Handles a peer's request for changes.
pub(crate) async fn peer(
    context: Arc<GatewayContext>,
    mut request: Request,
) -> Response<RelayBody> {
    if request.path() != CHANGES_PATH || request.method() != Method::POST {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let reading = read_limited_body(BodyReader::new(&mut request));
    let Ok(Some(body)) = tokio::time::timeout(PEER_BODY_TIMEOUT, reading).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let Ok((changes_request, receiver)) = decode_changes_request(&body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    if changes_request.is_for_configuration() {
        let answer = answer_request(&context, changes_request, receiver, request.io());
        return answer.map_or_else(|cause| not_encoded(&cause), configuration_response);
    }
    let (response, removals) = changes_since(&context, changes_request);
    // Read after the revision of the response, so that none of it is older.
    let versions = context.resumes().version_notice(context.now());
    let moves = context.resumes().move_notice(context.now());
    let changes = PeerChanges {
        response,
        notice: changes_notice(&context),
        configuration: configuration_notice(&context),
        versions,
        domains: Some(domain_listing(&context)),
        cold: ColdNotice::of(context.table().as_deref()),
        moves,
        removals: Some(removals),
    };
    match encode_changes(&changes) {
        Ok(bytes) => full_response(PEER_MESSAGE_TYPE, bytes),
        Err(cause) => not_encoded(&cause),
    }
}

fn configuration_response(answer: ConfigurationAnswer) -> Response<RelayBody> {
    match answer {
        ConfigurationAnswer::Response(bytes) => full_response(PEER_MESSAGE_TYPE, bytes),
        ConfigurationAnswer::Referral(bytes) => {
            let mut response = full_response(PEER_MESSAGE_TYPE, bytes);
            response.head_mut().status = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }
}

fn not_encoded(cause: &rmp_serde::encode::Error) -> Response<RelayBody> {
    tracing::error!(unit = "serve", event = "changes_not_encoded", %cause);
    empty_response(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns counters and histograms as text.
pub(crate) fn metrics(text: String) -> Response<RelayBody> {
    full_response("text/plain; version=0.0.4", text.into_bytes())
}

async fn read_limited_body(mut reader: BodyReader) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = reader.next_chunk().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_PEER_REQUEST_BYTES {
            return None;
        }
    }
    Some(body.freeze())
}

fn empty_response(status: StatusCode) -> Response<RelayBody> {
    Response::with_body(status, RelayBody::Whole(Bytes::new()))
}

fn full_response(content_type: &'static str, body: impl Into<Bytes>) -> Response<RelayBody> {
    let mut response = Response::with_body(StatusCode::OK, RelayBody::Whole(body.into()));
    let value = ntex::http::header::HeaderValue::from_static(content_type);
    response.head_mut().headers.insert(http::header::CONTENT_TYPE, value);
    response
}
