//! Reads the bodies of requests.

use std::future::poll_fn;
use std::task::Poll;

use ntex::http::error::PayloadError;
use ntex::http::{Payload, Request};
use ntex::io::IoRef;
use ntex::util::Bytes;

/// Largest part of a body that is buffered while it yields no chunk, in bytes. It must
/// exceed what a connection reads at once, and any line with the size of a chunk.
const MAX_UNPARSED_BYTES: usize = 64 << 10;

/// Reads the body of a request in chunks.
pub(crate) struct BodyReader {
    payload: Payload,
    io: Option<IoRef>,
}

impl BodyReader {
    /// Takes the body of `request`.
    pub(crate) fn new(request: &mut Request) -> Self {
        Self { io: request.io().cloned(), payload: request.take_payload() }
    }

    /// Returns the next chunk, or `None` at the end of the body.
    ///
    /// # Errors
    /// Returns an error if the body is invalid or breaks off, or if the line with the
    /// size of a chunk does not end: the HTTP dispatcher would buffer it without limit.
    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, PayloadError>> {
        // The dispatcher polls the handler of a request whenever it has read bytes, and
        // parses them only afterwards.
        poll_fn(|cx| {
            let chunk = self.payload.poll_recv(cx);
            if chunk.is_pending() && self.unparsed_bytes() > MAX_UNPARSED_BYTES {
                return Poll::Ready(Some(Err(PayloadError::Overflow)));
            }
            chunk
        })
        .await
    }

    fn unparsed_bytes(&self) -> usize {
        self.io.as_ref().map_or(0, |io| io.with_read_buf(|buffer| buffer.len()))
    }
}
