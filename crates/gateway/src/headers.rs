//! Forwarding of request headers to a target and of response headers to a caller.

use std::time::Duration;

use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use http_body_util::Full;
use target::TargetEntry;

use crate::call::{AdmittedCall, ReceivedCall};
use crate::platform::ForwardedMetadata;
use crate::worker::Worker;

/// Content type of a stream of events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Builds the request that is sent to a target. `last_event_id` is set when a
/// stream is resumed and takes precedence over the caller's own.
///
/// # Errors
/// Returns a message if a header or the request URI is invalid.
pub(crate) fn build_request(
    worker: &Worker,
    call: &AdmittedCall,
    entry: &TargetEntry,
    last_event_id: Option<u64>,
) -> Result<Request<Full<hyper::body::Bytes>>, String> {
    let received = &call.routed.received;
    let mut headers = HeaderMap::with_capacity(received.headers.len() + 4);
    let options = connection_options(received);
    for (name, value) in &received.headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || options.iter().any(|option| option == name.as_str());
        if is_hop_by_hop || *name == CONTENT_LENGTH || *name == http::header::EXPECT {
            continue;
        }
        let value = HeaderValue::from_bytes(value.as_bytes());
        let value = value.map_err(|_| format!("header {name} has an invalid value"))?;
        headers.append(name.clone(), value);
    }
    let now = worker.context.now();
    let metadata = ForwardedMetadata {
        deadline_ms: call.routed.remaining_ms(now),
        account: call.routed.account.as_deref(),
        target: entry,
        last_event_id: last_event_id.or(received.metadata.last_event_id),
    };
    worker.context.format.write_call(&mut headers, &metadata);
    let mut request = Request::builder()
        .method(received.method.clone())
        .uri(received.path_and_query.as_str())
        .body(Full::new(call.body.bytes.clone()))
        .map_err(|cause| cause.to_string())?;
    if call.body.bytes.is_empty() && received.headers.contains_key(CONTENT_LENGTH) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    *request.headers_mut() = headers;
    Ok(request)
}

/// Returns the lowercase names of the headers that the caller's `Connection`
/// header lists as hop-by-hop.
fn connection_options(received: &ReceivedCall) -> Vec<String> {
    let values = received.headers.get_all(http::header::CONNECTION);
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Whether a response on a route for streams is a stream of events: its content type
/// is, or it has none.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else { return true };
    let media_type = value.to_str().unwrap_or_default().split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM_TYPE)
}

/// Returns the idle timeout that a target advertises in its `Keep-Alive` header.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Returns the headers of a target's response that are forwarded to the caller.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> ntex::http::HeaderMap {
    let mut forwarded = ntex::http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_BY_HOP_HEADERS.contains(name) && *name != CONTENT_LENGTH {
            forwarded.append(name.clone(), value.into());
        }
    }
    forwarded
}
