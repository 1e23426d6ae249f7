//! State of the thread that serves callers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admit::ThreadLateness;
use base::{Millis, Name};
use outbound::{
    Connection, ConnectionPool, ExchangeError, PoolSettings, connect, max_idle_connections,
};
use target::TargetEntry;

use crate::context::GatewayContext;

/// Time to open a connection to a target: allows for a round trip between failure
/// domains and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Identifies one incarnation of a target at one address.
pub(crate) type ConnectionKey = (Name, u64, SocketAddr);

/// Connection pool and lateness of the thread, with the shared context.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) context: Arc<GatewayContext>,
    pool: RefCell<ConnectionPool<ConnectionKey>>,
    pub(crate) lateness: RefCell<ThreadLateness>,
}

/// Whether a request may use an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionReuse {
    Allowed,
    /// The target may close an idle connection while the request is in transit,
    /// which leaves unknown whether the request ran.
    Never,
}

impl Worker {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Rc<Self> {
        let pool = RefCell::new(ConnectionPool::new(PoolSettings::default()));
        Rc::new(Self { context, pool, lateness: RefCell::default() })
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
        connect(entry.address, CONNECT_TIMEOUT).await
    }

    /// Whether this thread was late at some time since `since`, so that a time-out says
    /// nothing about whom it waited for.
    pub(crate) fn was_late_since(&self, since: Millis) -> bool {
        self.lateness.borrow().was_overloaded_since(since, self.context.now())
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

    /// Closes idle connections that have expired or belong to unknown targets.
    pub(crate) fn sweep(&self) {
        let targets = self.context.targets();
        let known: Vec<ConnectionKey> = targets.known().map(connection_key).collect();
        drop(targets);
        self.pool.borrow_mut().sweep(|key| known.contains(key));
    }
}

fn connection_key(entry: &TargetEntry) -> ConnectionKey {
    (Name::clone(&entry.id), entry.incarnation, entry.address)
}
