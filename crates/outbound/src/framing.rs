//! How the end of a response body is marked.

use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, Response};
use hyper::body::{Body, Incoming};

/// How the end of a response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// The length is known from the head.
    Length,
    /// A last chunk follows.
    Chunked,
    /// The body ends with its connection. A peer that fails may close it early.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a response whose body has not been read yet.
    pub fn of(response: &Response<Incoming>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Self::Length;
        }
        if is_chunked(response.headers()) { Self::Chunked } else { Self::Connection }
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let values = headers.get_all(TRANSFER_ENCODING);
    let last = values.iter().next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
