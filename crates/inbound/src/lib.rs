//! Callers' connections, for `poplar-router` and `poplar-gateway`: they are accepted while the
//! limits of [`admit`](../admit/index.html) allow it, the longest idle ones are closed before
//! there are too many, and those whose callers take nothing are terminated, the ones that stalled first
//! as soon as there are too many. An answer is over when it has been written. A stop asks what is
//! open.

mod accept;
mod answers;
mod connections;
mod counting;
mod queues;
mod stalls;

pub use accept::{AcceptedConnection, ConnectionGate, MAX_HANDED_OVER, accept, listen, serve};
pub use answers::{AnswerEnd, HandedAnswer, unwritten_bytes};
pub use connections::{BusyConnection, CallerConnections, DISCONNECT_TIMEOUT, HEAD_TIMEOUT};
pub use counting::{CountQuestions, OpenCounter};
pub use queues::{QueuedSocket, SocketQueues};
pub use stalls::{StallGuard, StalledAnswers};
