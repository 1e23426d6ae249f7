//! Counts what is open at a router that stops, on the thread that serves callers, so that no step of
//! a connection comes between.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use admit::{OpenCounts, StopCycle, StopStep};
use base::MonoClock;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::accept::ConnectionGate;
use crate::connections::CallerConnections;
use crate::queues::SocketQueues;

/// Time between two checks of a stop, and longest time in which the thread that serves callers has
/// to answer.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time between two checks while only the system holds something.
const QUEUED_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// What counts as open while it is not known.
const UNKNOWN_COUNTS: OpenCounts = OpenCounts { requests: 1, connections: 0, queued: 0 };

/// Takes what is open.
type CountReply = oneshot::Sender<OpenCounts>;

/// Asks the thread that serves callers what is open.
#[derive(Debug, Default)]
pub struct OpenCounter {
    questions: OnceLock<mpsc::UnboundedSender<CountReply>>,
    /// Cancelled when nobody may connect any more.
    closing: CancellationToken,
    /// Whether nobody can connect any more, and all who have are handed over.
    is_closed: AtomicBool,
    /// Whether the last count has what only the system holds.
    knows_queues: AtomicBool,
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

    /// Takes the next step of a stop of the router that listens on `listen`, after a pause if it is to
    /// wait. Returns it with what was open.
    pub async fn step(
        &self,
        cycle: &mut StopCycle,
        clock: &MonoClock,
        listen: SocketAddr,
    ) -> (StopStep, OpenCounts) {
        let needs_counts = cycle.needs_counts(clock.now());
        let open = if needs_counts { self.count_queued(listen).await } else { UNKNOWN_COUNTS };
        let step = cycle.step(clock.now(), open);
        match step {
            StopStep::Wait if open.queued > 0 => tokio::time::sleep(QUEUED_CHECK_PERIOD).await,
            StopStep::Wait => tokio::time::sleep(CHECK_PERIOD).await,
            StopStep::Close => self.closing.cancel(),
            StopStep::Exit => {}
        }
        (step, open)
    }

    /// Whether the last count has what only the system holds: it is not asked while anything else is
    /// open, and may not tell.
    pub fn knows_queues(&self) -> bool {
        self.knows_queues.load(Ordering::Relaxed)
    }

    pub(crate) fn closing(&self) -> CancellationToken {
        self.closing.clone()
    }

    pub(crate) fn record_closed(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Returns what is open on the thread that serves callers. One that does not answer in time, or
    /// has not begun to serve, counts as a request.
    async fn count(&self) -> OpenCounts {
        let (sender, receiver) = oneshot::channel();
        let asked = self.questions.get().is_some_and(|questions| questions.send(sender).is_ok());
        if !asked {
            return UNKNOWN_COUNTS;
        }
        let counted = tokio::time::timeout(CHECK_PERIOD, receiver).await;
        counted.ok().and_then(Result::ok).unwrap_or(UNKNOWN_COUNTS)
    }

    /// Like [`Self::count`], with what only the system holds of connections to `listen` if nothing
    /// else is open. What the system does not tell counts as nothing.
    async fn count_queued(&self, listen: SocketAddr) -> OpenCounts {
        self.knows_queues.store(false, Ordering::Relaxed);
        // Connections that wait to be accepted are handed over first.
        let is_closed = self.is_closed.load(Ordering::SeqCst) || !self.closing.is_cancelled();
        let counted = self.count().await;
        if !is_closed {
            return OpenCounts { connections: counted.connections.max(1), ..counted };
        }
        if !counted.is_empty() {
            return counted;
        }
        let read = SocketQueues::read(listen);
        self.knows_queues.store(read.is_ok(), Ordering::Relaxed);
        let queues = read.unwrap_or_else(|cause| {
            tracing::warn!(unit = "run", event = "queues_not_read", %cause);
            SocketQueues::default()
        });
        OpenCounts { queued: queues.count(), ..counted }
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
        let handed_over = gate.open_connections().saturating_sub(connections.served_connections());
        let connections = connections.unfinished_connections() + handed_over;
        // A stop that does not wait any more asks again.
        let _ = reply.send(OpenCounts { requests: gate.open_requests(), connections, queued: 0 });
    }
}
