//! Headers on their way to a target and back.

use std::time::Duration;

use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use http_body_util::Full;
use target::TargetEntry;

use crate::call::{AdmittedCall, ReceivedCall};
use crate::port::ForwardedMetadata;
use crate::worker::Worker;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// The request as the target gets it.
pub(crate) fn write_request(
    worker: &Worker,
    call: &AdmittedCall,
    entry: &TargetEntry,
    last_event_id: Option<u64>,
) -> Result<Request<Full<hyper::body::Bytes>>, String> {
    let received = &call.routed.received;
    let mut headers = HeaderMap::with_capacity(received.headers.len() + 4);
    let named = named_by_connection(received);
    for (name, value) in &received.headers {
        let is_hop = HOP_HEADERS.contains(name) || named.iter().any(|other| other == name.as_str());
        if is_hop || *name == CONTENT_LENGTH || *name == http::header::EXPECT {
            continue;
        }
        let value = HeaderValue::from_bytes(value.as_bytes());
        let value = value.map_err(|_| format!("header {name} has an invalid value"))?;
        headers.append(name.clone(), value);
    }
    let now = worker.context.now();
    let head = ForwardedMetadata {
        deadline_ms: call.routed.left_ms(now),
        account: call.routed.account.as_deref(),
        target: entry,
        last_event_id: last_event_id.or(received.head.last_event_id),
    };
    worker.context.format.write_call(&mut headers, &head);
    let mut request = Request::builder()
        .method(received.method.clone())
        .uri(received.target_uri.as_str())
        .body(Full::new(call.body.clone()))
        .map_err(|cause| cause.to_string())?;
    if call.body.is_empty() && received.headers.contains_key(CONTENT_LENGTH) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    *request.headers_mut() = headers;
    Ok(request)
}

/// Headers that the caller's `Connection` header names.
fn named_by_connection(received: &ReceivedCall) -> Vec<String> {
    let values = received.headers.get_all(http::header::CONNECTION);
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Idle timeout that a target states in its answer.
pub(crate) fn stated_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// The headers of a target's answer that concern the caller.
pub(crate) fn pass_headers(headers: &HeaderMap) -> ntex::http::HeaderMap {
    let mut passed = ntex::http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_HEADERS.contains(name) && *name != CONTENT_LENGTH {
            passed.append(name.clone(), value.into());
        }
    }
    passed
}
