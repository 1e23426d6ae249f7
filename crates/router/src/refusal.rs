//! Error responses to callers: JSON with a stable code and whether the request
//! ran.

use ntex::http::StatusCode;
use ntex::http::header::HeaderValue;
use ntex::web::HttpResponse;
use serde::Serialize;

/// Whether a refused request ran at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ran {
    /// The request did not run and will not run.
    No,
    /// The request may have run.
    Unknown,
}

/// Stable error codes, part of the API for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RefusalCode {
    BadCredential,
    BadRequest,
    UnknownService,
    UnknownPath,
    BodyTooLarge,
    BodyTooSlow,
    QueueFull,
    WaitExceeded,
    NoConfiguration,
    Draining,
    TargetUnreachable,
    /// The request may have been sent, but no usable response arrived.
    TargetSilent,
    /// The target's response is larger than the router accepts.
    TargetGarbage,
    StreamBroken,
    KeyNotIssued,
    KeyReused,
    /// The key was sealed: no call under it has run or will run.
    KeySealed,
    KeyExpired,
    KeyMemoryFull,
    OutcomeUnknown,
    /// All accounts together hold too much of the router's memory.
    MemoryFull,
    /// The account holds too much of the router's memory.
    AccountMemory,
    /// The response does not fit into the router's memory; the request has run.
    ResponseNotHeld,
}

impl RefusalCode {
    fn status(self) -> StatusCode {
        match self {
            Self::BadCredential => StatusCode::UNAUTHORIZED,
            Self::BadRequest | Self::KeyNotIssued => StatusCode::BAD_REQUEST,
            Self::UnknownService | Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeySealed | Self::KeyExpired => StatusCode::CONFLICT,
            Self::TargetSilent | Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::TargetUnreachable
            | Self::TargetGarbage
            | Self::StreamBroken
            | Self::ResponseNotHeld => StatusCode::BAD_GATEWAY,
            Self::WaitExceeded
            | Self::NoConfiguration
            | Self::Draining
            | Self::KeyMemoryFull
            | Self::MemoryFull
            | Self::AccountMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the time after which the caller should retry, in milliseconds,
    /// or `None` if a retry is not advised.
    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::QueueFull | Self::WaitExceeded => Some(2_000),
            Self::NoConfiguration | Self::TargetUnreachable | Self::KeyMemoryFull => Some(1_000),
            Self::Draining => Some(0),
            Self::StreamBroken
            | Self::TargetGarbage
            | Self::MemoryFull
            | Self::AccountMemory
            | Self::ResponseNotHeld => Some(500),
            _ => None,
        }
    }
}

/// An error response to one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Refusal {
    pub(crate) code: RefusalCode,
    pub(crate) ran: Ran,
    pub(crate) request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hint: Option<String>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub(crate) fn not_run(code: RefusalCode, request: &str) -> Self {
        Self::new(code, Ran::No, request)
    }

    /// Creates a refusal of a request that may have run.
    pub(crate) fn outcome_unknown(code: RefusalCode, request: &str) -> Self {
        Self::new(code, Ran::Unknown, request)
    }

    fn new(code: RefusalCode, ran: Ran, request: &str) -> Self {
        let retry_after_ms = code.retry_after_ms();
        Self { code, ran, request: request.to_owned(), retry_after_ms, hint: None }
    }

    /// Adds advice for the caller.
    pub(crate) fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Builds the HTTP response, with a `retry-after` header where a retry is
    /// advised.
    pub(crate) fn into_response(self) -> HttpResponse {
        let mut builder = HttpResponse::build(self.code.status());
        if let Some(retry_ms) = self.retry_after_ms {
            let seconds = retry_ms.div_ceil(1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                builder.header("retry-after", value);
            }
        }
        builder.json(&self)
    }
}
