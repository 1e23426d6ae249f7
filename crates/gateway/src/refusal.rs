//! Responses with which the gateway itself refuses a request.

use ntex::http::{Response, ResponseHead, StatusCode};
use ntex::util::Bytes;
use target::FullCounts;

use crate::response_body::RelayBody;

/// Why the gateway refuses a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RefusalCause {
    /// No configuration is known yet.
    NoConfiguration,
    /// The router is shutting down.
    Draining,
    /// The thread that serves callers lags behind.
    RouterLate,
    /// The router lacks descriptors, buffers, memory or local ports to send the request.
    RouterExhausted,
    NoRoute,
    BadCredential,
    BadRequest,
    /// The request line and headers are larger than configured.
    HeadTooLarge,
    BodyTooLarge,
    BodyTooSlow,
    /// The router has closed the connection of the request.
    ConnectionClosed,
    /// The router holds as many bytes as its memory allows.
    MemoryFull,
    /// A part of the prompt is in quarantine, as targets crashed under it.
    HarmfulPart,
    /// The request is in quarantine, as targets crashed under it.
    HarmfulRequest,
    /// The client account holds its part of the router's memory.
    AccountMemory,
    /// The client account is over its share and the targets are busy.
    OverShare,
    /// No target can take the request in time.
    TargetsFull,
    /// The targets that could take the request name request rates that are used up.
    RateLimited,
    /// All targets that could take the request turned others away and want none for a time.
    TurnedAway,
    /// Nobody knows which software version of the targets began the stream that is taken up.
    StreamUnknown,
    /// No target has the software version that began the stream.
    VersionGone,
    /// No target is published or can be reached.
    NoTarget,
    /// A target did not run the request, and no further retry is allowed.
    NotRun,
    /// The request timed out without having run.
    TimeoutUnsent,
    /// The request timed out and may have run.
    Timeout,
    /// The router exits; the request may have run and has no response yet.
    Stopped,
    /// The request may have run and its response is lost.
    AnswerLost,
}

/// A response that refuses a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) cause: RefusalCause,
    /// Time after which a retry is likely to succeed, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
    /// Numbers of full targets, if all of the service are full.
    pub(crate) full_counts: Option<FullCounts>,
}

impl Refusal {
    pub(crate) fn new(cause: RefusalCause) -> Self {
        Self { cause, retry_after_ms: None, full_counts: None }
    }

    pub(crate) fn retry_after(cause: RefusalCause, ms: u64) -> Self {
        Self { retry_after_ms: Some(ms), ..Self::new(cause) }
    }

    pub(crate) fn targets_full(counts: FullCounts, ms: u64) -> Self {
        let refusal = Self::retry_after(RefusalCause::TargetsFull, ms);
        Self { full_counts: Some(counts), ..refusal }
    }

    /// Whether the request was refused for the memory of the process.
    pub(crate) fn is_for_memory(&self) -> bool {
        matches!(self.cause, RefusalCause::MemoryFull | RefusalCause::AccountMemory)
    }

    /// Returns the status code. 408, 429 and 503 guarantee that the request did
    /// not run.
    pub(crate) fn status(&self) -> StatusCode {
        use RefusalCause as Cause;
        match self.cause {
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::BadCredential => StatusCode::UNAUTHORIZED,
            Cause::BadRequest => StatusCode::BAD_REQUEST,
            Cause::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Cause::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Cause::OverShare => StatusCode::TOO_MANY_REQUESTS,
            Cause::NoConfiguration
            | Cause::Draining
            | Cause::RouterLate
            | Cause::ConnectionClosed
            | Cause::HarmfulPart
            | Cause::HarmfulRequest
            | Cause::MemoryFull
            | Cause::AccountMemory
            | Cause::RouterExhausted
            | Cause::RateLimited
            | Cause::TargetsFull
            | Cause::TurnedAway
            | Cause::StreamUnknown
            | Cause::VersionGone
            | Cause::NoTarget
            | Cause::NotRun
            | Cause::TimeoutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Cause::Stopped | Cause::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Cause::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    pub(crate) fn into_response(
        self,
        id: Option<(http::HeaderName, &str)>,
        close_connection: bool,
    ) -> Response<RelayBody> {
        let body = format!("{{\"error\":\"{:?}\"}}", self.cause);
        let body = RelayBody::Whole(Bytes::from(body));
        let mut response = Response::with_body(self.status(), body);
        let head = response.head_mut();
        set_header(head, http::header::CONTENT_TYPE, "application/json");
        if let Some(ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", ms as f64 / 1_000.0);
            set_header(head, http::header::RETRY_AFTER, &seconds);
        }
        if let Some((name, id)) = id {
            set_header(head, name, id);
        }
        if close_connection {
            head.set_connection_type(ntex::http::ConnectionType::Close);
        }
        response
    }
}

fn set_header(head: &mut ResponseHead, name: http::HeaderName, value: &str) {
    // Ids come from a request header, so they are valid header values.
    if let Ok(value) = ntex::http::header::HeaderValue::from_str(value) {
        head.headers.insert(name, value);
    }
}
