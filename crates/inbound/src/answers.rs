//! Answers that were handed over to their connections: the HTTP dispatcher buffers their last
//! bytes until the socket takes them.

use std::fmt::Debug;
use std::rc::Rc;
use std::time::Duration;

use ntex::io::IoRef;

use crate::connections::CallerConnections;

/// Time between two checks of answers that are not written.
const SETTLE_PERIOD: Duration = Duration::from_millis(5);

/// What became of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// Its last byte was written to the socket.
    Written,
    /// Its connection ended before.
    Lost,
}

/// An answer whose last part was handed over to its connection.
pub trait HandedAnswer: Debug {
    fn end(self: Box<Self>, end: AnswerEnd);
}

/// Returns the bytes that the connection has not written to its socket.
pub fn unwritten_bytes(io: &IoRef) -> usize {
    io.with_write_dst_buf(|buffer| buffer.len())
}

/// Ends the answers of the thread once they are written, as long as the thread runs.
pub(crate) async fn settle_answers(connections: Rc<CallerConnections>) {
    loop {
        if connections.has_unwritten() {
            // Without backpressure, the connection writes in the same turn of the thread.
            let _ = tokio::time::timeout(SETTLE_PERIOD, connections.answer_handed_over()).await;
        } else {
            connections.answer_handed_over().await;
        }
        tokio::task::yield_now().await;
        connections.settle();
    }
}
