//! What belongs to the thread that serves callers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admit::ThreadLateness;
use base::Name;
use outbound::{
    Connection, ConnectionPool, ExchangeError, PoolSettings, connect, max_idle_connections,
};
use target::TargetEntry;

use crate::context::GatewayContext;

/// Time for a new connection to a target: a round trip between failure domains
/// and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// One incarnation of a target at one address.
pub(crate) type ConnectionKey = (Name, u64, SocketAddr);

/// Kept connections beside the shared context.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) context: Arc<GatewayContext>,
    pool: RefCell<ConnectionPool<ConnectionKey>>,
    pub(crate) lateness: RefCell<ThreadLateness>,
}

/// Whether a request may go on a kept connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    Allowed,
    /// The peer may be closing a kept connection while the request is on its
    /// way, and then nobody knows whether it ran.
    Never,
}

impl Worker {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Rc<Self> {
        let pool = RefCell::new(ConnectionPool::new(PoolSettings::default()));
        Rc::new(Self { context, pool, lateness: RefCell::default() })
    }

    /// A kept or new connection to a target.
    ///
    /// # Errors
    /// [`ExchangeError::NotSent`].
    pub(crate) async fn connection(
        &self,
        entry: &TargetEntry,
        reuse: Reuse,
    ) -> Result<Connection, ExchangeError> {
        if reuse == Reuse::Allowed {
            let kept = self.pool.borrow_mut().take(&key_of(entry));
            if let Some(kept) = kept {
                return Ok(kept);
            }
        }
        connect(entry.address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(
        &self,
        entry: &TargetEntry,
        connection: Connection,
        stated: Option<Duration>,
    ) {
        let most = self.max_idle_connections(entry);
        self.pool.borrow_mut().put(key_of(entry), connection, stated, most);
    }

    /// Connections that may be kept for a target, by its service's cap.
    fn max_idle_connections(&self, entry: &TargetEntry) -> usize {
        let table = self.context.table();
        let service = table.as_ref().and_then(|table| table.service(&entry.service));
        let Some(service) = service else { return 0 };
        let in_use = f64::from(entry.slots) * self.context.settings.choice.queue_share;
        max_idle_connections(service.max_connections, in_use as u32, self.context.routers())
    }

    /// Closes kept connections that are too old.
    pub(crate) fn sweep(&self) {
        let targets = self.context.targets();
        let known: Vec<ConnectionKey> = targets.known().map(key_of).collect();
        drop(targets);
        self.pool.borrow_mut().sweep(|key| known.contains(key));
    }
}

fn key_of(entry: &TargetEntry) -> ConnectionKey {
    (Name::clone(&entry.id), entry.incarnation, entry.address)
}
