//! Body of a response to a caller, and its abortion.

use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::Stream;
use ntex::http::body::{BodySize, MessageBody};
use ntex::io::IoRef;
use ntex::util::Bytes;
use tokio::time::Instant;

use crate::buffered::BufferedBody;
use crate::relay::RelayError;

/// Time between checks whether the connection of an aborted response is closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a caller that reads slowly to receive what was sent to it before its
/// connection is terminated.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, RelayError>>>>;

/// Largest part of a response that is passed to the connection at once, in bytes: less than the HTTP
/// dispatcher buffers before it asks for no more, so that a caller that takes nothing is noticed.
pub(crate) const PART_BYTES: usize = 8 << 10;

/// Body of a response to a caller.
pub(crate) enum RelayBody {
    Whole(Bytes),
    Buffered(Box<BufferedBody>),
    Stream { size: BodySize, chunks: ChunkStream },
}

impl MessageBody for RelayBody {
    fn size(&self) -> BodySize {
        match self {
            Self::Whole(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Buffered(body) => body.size(),
            Self::Stream { size, .. } => *size,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        match self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Buffered(body) => {
                let part = body.next_part();
                if body.is_empty()
                    && let Self::Buffered(body) = std::mem::replace(self, Self::Whole(Bytes::new()))
                {
                    body.end();
                }
                Poll::Ready(part.map(Ok))
            }
            Self::Stream { chunks, .. } => chunks
                .as_mut()
                .poll_next(cx)
                .map(|item| item.map(|chunk| chunk.map_err(|cause| Rc::new(cause) as Rc<_>))),
        }
    }
}

/// Closes a caller's connection inside a response. The future is dropped once the
/// connection is closed: the HTTP dispatcher checks that only when the response's body
/// wakes it, and may not be woken by the closing itself.
pub(crate) async fn close_connection(io: &IoRef) -> ! {
    io.close();
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    while Instant::now() < deadline {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
    io.terminate();
    loop {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}
