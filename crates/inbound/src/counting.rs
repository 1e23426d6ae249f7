//! Counts what is open at a router that stops, on the thread that serves callers, so that no step of
//! a connection comes between.

use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use admit::OpenCounts;
use tokio::sync::{mpsc, oneshot};

use crate::accept::ConnectionGate;
use crate::connections::CallerConnections;

/// Takes what is open.
type CountReply = oneshot::Sender<OpenCounts>;

/// Asks the thread that serves callers what is open.
#[derive(Debug, Default)]
pub struct OpenCounter {
    questions: OnceLock<mpsc::UnboundedSender<CountReply>>,
}

/// What the thread that serves callers is asked.
#[derive(Debug)]
pub struct CountQuestions(mpsc::UnboundedReceiver<CountReply>);

impl OpenCounter {
    /// Returns the questions to the thread that serves callers; to be called by that thread, once.
    pub fn questions(&self) -> CountQuestions {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.questions.get_or_init(|| sender);
        CountQuestions(receiver)
    }

    /// Returns what is open. A thread that does not answer within `timeout`, or has not begun to
    /// serve, counts as a request.
    pub async fn count(&self, timeout: Duration) -> OpenCounts {
        let unknown = OpenCounts { requests: 1, connections: 0 };
        let (sender, receiver) = oneshot::channel();
        let asked = self.questions.get().is_some_and(|questions| questions.send(sender).is_ok());
        if !asked {
            return unknown;
        }
        let counted = tokio::time::timeout(timeout, receiver).await;
        counted.ok().and_then(Result::ok).unwrap_or(unknown)
    }
}

/// Answers the questions on the thread that serves `connections`, as long as it runs.
pub(crate) async fn answer_questions<G: ConnectionGate>(
    gate: Arc<G>,
    connections: Rc<CallerConnections>,
    mut questions: CountQuestions,
) {
    while let Some(reply) = questions.0.recv().await {
        // Requests that were read in this turn of the thread begin.
        tokio::task::yield_now().await;
        let connections = connections.unfinished_connections();
        // A stop that does not wait any more asks again.
        let _ = reply.send(OpenCounts { requests: gate.open_requests(), connections });
    }
}
