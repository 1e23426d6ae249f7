//! Bodies of responses that are passed to the connection as fast as the caller takes them.

use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Bytes;
use inbound::{AnswerEnd, BusyConnection, HandedAnswer};
use ntex::http::body::{BodySize, MessageBody};
use tokio::time::Instant;

use crate::caller::OpenRequest;
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

/// What an answer keeps until its last byte is written.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    pub(crate) _request: Arc<OpenRequest>,
    pub(crate) _held: Option<Arc<HeldBytes>>,
}

impl HandedAnswer for OpenAnswer {
    fn end(self: Box<Self>, _end: AnswerEnd) {}
}

/// Body of a response. Until its caller has taken it, its bytes count against the memory of the
/// process, its connection is not idle, and its request is open.
#[derive(Debug)]
pub(crate) struct TakenBody {
    source: BodySource,
    connection: Option<BusyConnection>,
    /// Time that the caller has to take one part.
    part_timeout: Duration,
    answer: Option<OpenAnswer>,
}

impl TakenBody {
    pub(crate) fn new(
        source: BodySource,
        answer: OpenAnswer,
        connection: Option<BusyConnection>,
        part_timeout: Duration,
    ) -> Self {
        Self { source, connection, part_timeout, answer: Some(answer) }
    }

    /// Ends the answer, whose last part is being passed to the connection.
    fn hand_over(&mut self) {
        if let (Some(connection), Some(answer)) = (self.connection.take(), self.answer.take()) {
            connection.hand_over(Box::new(answer));
        }
    }
}

impl BodySource {
    pub(crate) fn stream(chunks: ChunkReceiver) -> Self {
        Self::Stream { chunks, chunk: Bytes::new() }
    }

    /// Whether nothing is left to be passed on.
    fn is_over(&self, part: &Poll<Option<Bytes>>) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Stream { .. } => matches!(part, Poll::Ready(None)),
        }
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
                // The end of a stream follows parts that the connection may not have written.
                Poll::Ready(_) => connection.set_deadline(Instant::now() + self.part_timeout),
                Poll::Pending => connection.clear_deadline(),
            }
        }
        if self.source.is_over(&part) {
            self.hand_over();
        }
        part.map(|part| part.map(|part| Ok(ntex::util::Bytes::copy_from_slice(&part))))
    }
}
