//! State of the thread that serves callers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name};
use cadence::prelude::*;
use inbound::{BusyConnection, CallerConnections, StalledAnswers};
use ntex::io::IoRef;
use outbound::{
    Connection, ConnectionPool, ExchangeError, PoolSettings, connect_buffered, max_idle_connections,
};
use target::TargetEntry;

use crate::call::RoutedCall;
use crate::context::GatewayContext;
use crate::stop;

/// Time to open a connection to a target: allows for a round trip between failure
/// domains and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two sweeps of the connection pool.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Identifies one incarnation of a target at one address.
pub(crate) type ConnectionKey = (Name, u64, SocketAddr);

/// Connection pool of the thread, with the shared context.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) context: Arc<GatewayContext>,
    pool: RefCell<ConnectionPool<ConnectionKey>>,
    pub(crate) connections: Rc<CallerConnections>,
    pub(crate) stalled: Rc<StalledAnswers>,
}

/// Whether a request may use an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionReuse {
    Allowed,
    /// The target may close an idle connection, or send a second response to an earlier request,
    /// while the request is in transit, which leaves unknown whether the request ran.
    Never,
}

impl ConnectionReuse {
    /// A request that may not run twice has to be lost if its response is, so it gets a connection
    /// of its own, and so does one without an id, whose response can't be told from another.
    pub(crate) fn of(call: &RoutedCall) -> Self {
        let has_id = call.received.metadata.id.is_some();
        if has_id && call.route.kind.is_retryable() { Self::Allowed } else { Self::Never }
    }
}

impl Worker {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Rc<Self> {
        let pool = RefCell::new(ConnectionPool::new(PoolSettings::default()));
        let stalled = StalledAnswers::new(context.settings.resources.max_stalled_answers());
        Rc::new(Self { context, pool, connections: Rc::default(), stalled })
    }

    /// Starts the periodic tasks of the thread, which run until the process stops.
    pub(crate) fn start(self: &Rc<Self>) {
        ntex::rt::spawn(sweep_connections(Rc::clone(self)));
        ntex::rt::spawn(watch_lateness(Rc::clone(self)));
        ntex::rt::spawn(end_at_exit(Rc::clone(self)));
    }

    /// Marks a caller's connection as busy until the guard is dropped; `None` if this
    /// router has closed it.
    pub(crate) fn begin_request(&self, io: &IoRef) -> Option<BusyConnection> {
        BusyConnection::begin(&self.connections, io, &self.context.clock)
    }

    /// Returns an idle or a new connection to a target.
    ///
    /// # Errors
    /// Returns an error for which [`ExchangeError::is_unsent`] holds if no connection can
    /// be opened.
    pub(crate) async fn connection(
        &self,
        entry: &TargetEntry,
        reuse: ConnectionReuse,
    ) -> Result<Connection, ExchangeError> {
        if reuse == ConnectionReuse::Allowed {
            let idle = self.pool.borrow_mut().take(&connection_key(entry));
            if let Some(idle) = idle {
                return Ok(idle);
            }
        }
        let receive_buffer = self.context.settings.resources.socket_buffer_bytes();
        connect_buffered(entry.address, CONNECT_TIMEOUT, receive_buffer).await
    }

    /// Whether this thread was late at some time since `since`, so that a time-out says
    /// nothing about whom it waited for.
    pub(crate) fn was_late_since(&self, since: Millis) -> bool {
        self.context.lateness().was_overloaded_since(since, self.context.now())
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub(crate) fn release(
        &self,
        entry: &TargetEntry,
        connection: Connection,
        advertised_timeout: Option<Duration>,
    ) {
        let max_idle = self.max_idle_connections(entry);
        self.pool.borrow_mut().put(connection_key(entry), connection, advertised_timeout, max_idle);
    }

    /// Returns how many idle connections may be kept to a target, given the
    /// connection limit of its service.
    fn max_idle_connections(&self, entry: &TargetEntry) -> usize {
        let table = self.context.table();
        let service = table.as_ref().and_then(|table| table.service(&entry.service));
        let Some(service) = service else { return 0 };
        let in_use = f64::from(entry.slots) * self.context.settings.choice.queue_share;
        max_idle_connections(service.max_connections, in_use as u32, self.context.router_count())
    }

    /// Closes callers' idle connections if there are close to as many as allowed.
    fn close_longest_idle(&self, connections: usize, late_ms: Millis, now: Millis) {
        let max_connections = self.context.settings.resources.max_caller_connections();
        let closed =
            self.connections.close_longest_idle(connections, max_connections, late_ms, now);
        if closed > 0 {
            self.context.metrics.count("idle_connections_closed", closed as i64).ok();
            tracing::info!(unit = "accept", event = "idle_closed", closed, connections);
        }
    }

    /// Terminates connections whose incomplete heads take too much of the memory.
    fn terminate_largest_heads(&self) {
        let room = self.context.memory().head_room();
        let terminated = self.connections.terminate_largest_heads(room);
        if terminated > 0 {
            self.context.metrics.count("heads_terminated", terminated as i64).ok();
            let limit = "resources.memory_mb";
            tracing::info!(unit = "accept", event = "heads_terminated", terminated, room, limit);
        }
    }

    /// Closes idle connections that have expired or belong to unknown targets.
    pub(crate) fn sweep(&self) {
        let targets = self.context.targets();
        let known: Vec<ConnectionKey> = targets.known().map(connection_key).collect();
        drop(targets);
        self.pool.borrow_mut().sweep(|key| known.contains(key));
    }
}

async fn sweep_connections(worker: Rc<Worker>) {
    while !worker.context.shutdown.is_cancelled() {
        tokio::time::sleep(SWEEP_PERIOD).await;
        worker.sweep();
        let terminated = worker.connections.terminate_overdue(tokio::time::Instant::now());
        if terminated > 0 {
            worker.context.metrics.count("unread_terminated", terminated as i64).ok();
            let limit = "route.timeout_ms";
            tracing::info!(unit = "accept", event = "unread_terminated", terminated, limit);
        }
    }
}

/// Ends what is open when the process exits, so that it is reported.
async fn end_at_exit(worker: Rc<Worker>) {
    worker.context.exiting.cancelled().await;
    worker.connections.terminate_unfinished();
}

/// Measures how late the thread runs until the process stops.
async fn watch_lateness(worker: Rc<Worker>) {
    let context = &worker.context;
    while !context.shutdown.is_cancelled() {
        let now = context.now();
        let (pause_ms, late_ms) = {
            let mut lateness = context.lateness();
            (lateness.tick(now), lateness.late_ms(now))
        };
        let connections = context.open_connections();
        stop::check_signal(context);
        if context.is_draining() {
            context.open.set_unwritten_connections(worker.connections.unwritten_connections());
        }
        worker.close_longest_idle(connections, late_ms, now);
        worker.terminate_largest_heads();
        let has_changed = context.accept_policy().record(connections, late_ms, now);
        if has_changed {
            tracing::warn!(
                unit = "accept",
                event = "saturation_changed",
                is_saturated = context.accept_policy().is_saturated(),
                late_ms,
                connections,
                open = context.open_calls(),
            );
            context.heartbeat_now.notify_one();
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn connection_key(entry: &TargetEntry) -> ConnectionKey {
    (Name::clone(&entry.id), entry.incarnation, entry.address)
}
