//! Bodies of responses that are passed to the connection as fast as the caller takes them.

use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Bytes;
use inbound::BusyConnection;
use ntex::http::body::{BodySize, MessageBody};
use tokio::time::Instant;

use crate::held::HeldBytes;
use crate::stream::ChunkReceiver;

/// Largest part of a body that is passed to the connection at once, in bytes. The next one is
/// passed on when the caller has taken most of it.
const PART_BYTES: usize = 16 << 10;

/// Where the bytes of a body come from.
#[derive(Debug)]
pub(crate) enum BodySource {
    Buffered(Bytes),
    Stream {
        chunks: ChunkReceiver,
        /// Rest of the chunk that is being passed on.
        chunk: Bytes,
    },
}

/// Body of a response. Until its caller has taken it, its bytes count against the memory of the
/// process, and its connection is not idle.
#[derive(Debug)]
pub(crate) struct TakenBody {
    source: BodySource,
    connection: Option<BusyConnection>,
    /// Time that the caller has to take one part.
    part_timeout: Duration,
    _held: Option<Arc<HeldBytes>>,
}

impl TakenBody {
    pub(crate) fn new(
        source: BodySource,
        held: Option<Arc<HeldBytes>>,
        connection: Option<BusyConnection>,
        part_timeout: Duration,
    ) -> Self {
        Self { source, connection, part_timeout, _held: held }
    }
}

impl BodySource {
    pub(crate) fn stream(chunks: ChunkReceiver) -> Self {
        Self::Stream { chunks, chunk: Bytes::new() }
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        match self {
            Self::Buffered(bytes) => Poll::Ready(next_part(bytes)),
            Self::Stream { chunks, chunk } => {
                while chunk.is_empty() {
                    match chunks.poll_recv(cx) {
                        Poll::Ready(Some(next)) => *chunk = next,
                        Poll::Ready(None) => return Poll::Ready(None),
                        Poll::Pending => return Poll::Pending,
                    }
                }
                Poll::Ready(next_part(chunk))
            }
        }
    }
}

fn next_part(bytes: &mut Bytes) -> Option<Bytes> {
    let part = bytes.split_to(bytes.len().min(PART_BYTES));
    (!part.is_empty()).then_some(part)
}

impl MessageBody for TakenBody {
    fn size(&self) -> BodySize {
        match &self.source {
            BodySource::Buffered(bytes) => BodySize::Sized(bytes.len() as u64),
            BodySource::Stream { .. } => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        // The connection asks for the next part once the caller has taken most of the last one.
        let part = self.source.poll_part(cx);
        if let Some(connection) = &self.connection {
            match part {
                Poll::Ready(Some(_)) => {
                    connection.set_deadline(Instant::now() + self.part_timeout);
                }
                Poll::Ready(None) | Poll::Pending => connection.clear_deadline(),
            }
        }
        part.map(|part| part.map(|part| Ok(ntex::util::Bytes::copy_from_slice(&part))))
    }
}
