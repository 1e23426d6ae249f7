//! Accepts callers' connections on another thread than the one that serves them, and
//! leaves them in the accept queue while that thread is late.

use std::fmt::Display;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use ntex::SharedCfg;
use ntex::io::Io;
use ntex::service::{Pipeline, ServiceFactory};
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::answers::settle_answers;
use crate::connections::CallerConnections;
use crate::counting::{OpenCounter, answer_questions};

/// Length of the accept queue. A full queue delays callers by seconds.
const LISTEN_BACKLOG: i32 = 128;
/// Largest number of connections that were accepted and not yet taken by the thread
/// that serves them.
pub const MAX_HANDED_OVER: usize = 16;
/// Pause before checking again whether connections may be accepted.
const RECHECK_PAUSE: Duration = Duration::from_millis(5);
/// Pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Decides whether connections are accepted, and counts those that are open.
pub trait ConnectionGate: Send + Sync + 'static {
    /// A connection counts as open until this is dropped.
    type Guard: Send + 'static;

    fn now(&self) -> Millis;

    /// Whether the process shuts down.
    fn is_stopped(&self) -> bool;

    /// Whether a connection may be accepted, `pause_ms` milliseconds after the last one.
    fn may_accept(&self, pause_ms: Millis) -> bool;

    fn open(self: &Arc<Self>) -> Self::Guard;

    /// Returns the number of connections that count as open.
    fn open_connections(&self) -> usize;

    /// Returns the number of open requests that were accepted or are not decided on. Those that are
    /// refused count by their connections, until their answers are written.
    fn open_requests(&self) -> usize;

    /// Returns what a stop asks what is open.
    fn open_counter(&self) -> &OpenCounter;
}

/// A connection that counts as open until it is dropped.
#[derive(Debug)]
pub struct AcceptedConnection<T> {
    stream: TcpStream,
    guard: T,
}

/// Listens on `address`. The system buffers about `send_buffer` bytes, doubled by Linux, of what
/// is sent on each accepted connection.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub fn listen(address: SocketAddr, send_buffer: usize) -> io::Result<TcpListener> {
    let listener = ntex::server::create_tcp_listener(address, LISTEN_BACKLOG)?;
    // Accepted connections inherit the size, which then no longer grows by itself.
    SockRef::from(&listener).set_send_buffer_size(send_buffer)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts connections until the process stops.
pub async fn accept<G: ConnectionGate>(
    gate: Arc<G>,
    listener: TcpListener,
    sender: mpsc::Sender<AcceptedConnection<G::Guard>>,
) {
    let closing = gate.open_counter().closing();
    let mut accepted_at = gate.now();
    while !gate.is_stopped() && !closing.is_cancelled() {
        if !gate.may_accept(gate.now().saturating_sub(accepted_at)) {
            tokio::time::sleep(RECHECK_PAUSE).await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(cause) => {
                tracing::warn!(unit = "accept", event = "not_accepted", %cause);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        accepted_at = gate.now();
        hand_over(&gate, stream.into_std(), &sender).await;
    }
    // Who has connected is answered; who connects from now on is refused by the system.
    match listener.into_std() {
        Ok(listener) => {
            while let Ok((stream, _)) = listener.accept() {
                hand_over(&gate, stream.set_nonblocking(true).map(|()| stream), &sender).await;
            }
        }
        Err(cause) => tracing::warn!(unit = "accept", event = "not_accepted", %cause),
    }
    gate.open_counter().record_closed();
}

async fn hand_over<G: ConnectionGate>(
    gate: &Arc<G>,
    stream: io::Result<TcpStream>,
    sender: &mpsc::Sender<AcceptedConnection<G::Guard>>,
) {
    let guard = gate.open();
    match stream {
        // The receiver is dropped only when the process stops.
        Ok(stream) => drop(sender.send(AcceptedConnection { stream, guard }).await),
        Err(cause) => tracing::warn!(unit = "accept", event = "not_served", %cause),
    }
}

/// Serves connections on the current thread with the service of `factory`.
pub async fn serve<G, F>(
    gate: Arc<G>,
    mut receiver: mpsc::Receiver<AcceptedConnection<G::Guard>>,
    factory: F,
    config: SharedCfg,
    connections: Rc<CallerConnections>,
) where
    G: ConnectionGate,
    F: ServiceFactory<Io, SharedCfg>,
    F::Error: Display,
    F::Service: 'static,
{
    let Ok(service) = factory.create(config.clone()).await else {
        tracing::error!(unit = "accept", event = "service_not_created");
        return;
    };
    let pipeline = Pipeline::new(service);
    ntex::rt::spawn(settle_answers(Rc::clone(&connections)));
    let questions = gate.open_counter().questions();
    ntex::rt::spawn(answer_questions(Arc::clone(&gate), Rc::clone(&connections), questions));
    while let Some(AcceptedConnection { stream, guard }) = receiver.recv().await {
        let descriptor = stream.as_raw_fd();
        let io = match ntex::rt::from_tcp_stream(stream, config.clone()) {
            Ok(io) => io,
            Err(cause) => {
                tracing::debug!(unit = "accept", event = "not_served", %cause);
                continue;
            }
        };
        let (pipeline, connections) = (pipeline.clone(), Rc::clone(&connections));
        let io_ref = io.get_ref();
        connections.insert(io_ref.clone(), Some(descriptor), gate.now());
        ntex::rt::spawn(async move {
            // The request's own line tells how it ended.
            let result = pipeline.call(io).await;
            if let Err(cause) = &result {
                tracing::trace!(unit = "accept", event = "connection_ended", %cause);
            }
            connections.remove(&io_ref, result.is_err());
            drop(guard);
        });
    }
}
