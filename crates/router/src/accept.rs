//! Serves callers' connections within the limits of the process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use base::Millis;
use cadence::prelude::*;
use inbound::{
    AcceptedConnection, CallerConnections, ConnectionGate, MAX_HANDED_OVER, OpenCounter,
};
use ntex::http::HttpService;
use ntex::rt::Arbiter;
use ntex::web::{self, App};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::client::PeerClient;
use crate::context::{OpenConnection, RouterContext};
use crate::run::http_config;
use crate::{address, caller};

/// Time between two searches for callers that take nothing.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

impl ConnectionGate for RouterContext {
    type Guard = OpenConnection;

    fn now(&self) -> Millis {
        RouterContext::now(self)
    }

    fn is_stopped(&self) -> bool {
        self.stop.is_cancelled()
    }

    fn may_accept(&self, pause_ms: Millis) -> bool {
        let late_ms = self.lateness().late_ms(RouterContext::now(self));
        let connections = self.open_connections();
        self.accept_policy().may_accept(connections, late_ms, pause_ms)
    }

    fn open(self: &Arc<Self>) -> OpenConnection {
        OpenConnection::new(self)
    }

    fn open_connections(&self) -> usize {
        RouterContext::open_connections(self)
    }

    fn open_requests(&self) -> usize {
        self.core().open_requests
    }

    fn open_counter(&self) -> &OpenCounter {
        &self.open_counter
    }
}

/// Binds the address for callers and serves their connections until the process stops.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub(crate) fn start_caller_server(context: &Arc<RouterContext>) -> anyhow::Result<()> {
    let address: SocketAddr = context.settings.listen;
    let listener = inbound::listen(address, context.settings.resources.socket_buffer_bytes());
    let listener = listener.with_context(|| format!("step=bind peer={address}"))?;
    let (sender, receiver) = mpsc::channel(MAX_HANDED_OVER);
    let worker_context = Arc::clone(context);
    Arbiter::with_name("callers".into()).handle().spawn(async move {
        ntex::rt::spawn(serve_callers(worker_context, receiver));
    });
    ntex::rt::spawn(inbound::accept(Arc::clone(context), listener, sender));
    Ok(())
}

/// Serves callers' connections on the current thread.
async fn serve_callers(
    context: Arc<RouterContext>,
    receiver: mpsc::Receiver<AcceptedConnection<OpenConnection>>,
) {
    let Ok(peers) = PeerClient::start(&context).await else {
        // Without its HTTP client the router cannot serve any request.
        std::process::abort();
    };
    let connections = Rc::<CallerConnections>::default();
    ntex::rt::spawn(watch_lateness(Arc::clone(&context), Rc::clone(&connections)));
    ntex::rt::spawn(sweep_connections(Arc::clone(&context), Rc::clone(&connections)));
    let app =
        App::new().state(Arc::clone(&context)).state(peers).state(Rc::clone(&connections)).service(
            (
                web::resource("/v1/address").route(web::get().to(address::get_address)),
                web::resource("/v1/keys").route(web::post().to(address::post_key)),
                web::resource("/v1/call/{service}/{path}*").to(caller::call),
            ),
        );
    let config = http_config(&context.settings);
    inbound::serve(context, receiver, HttpService::h1(app), config, connections).await;
}

/// Measures how late the thread runs, and closes idle connections if there are close to as many
/// as allowed, until the process stops.
async fn watch_lateness(context: Arc<RouterContext>, connections: Rc<CallerConnections>) {
    let max_connections = context.settings.resources.max_caller_connections();
    while !context.stop.is_cancelled() {
        let now = context.now();
        let (pause_ms, late_ms) = {
            let mut lateness = context.lateness();
            (lateness.tick(now), lateness.late_ms(now))
        };
        let open = context.open_connections();
        let closed = connections.close_longest_idle(open, max_connections, late_ms, now);
        let limit = "resources";
        if closed > 0 {
            context.metrics.count("idle_connections_closed", closed as i64).ok();
            tracing::info!(unit = "accept", event = "idle_closed", closed, open, limit);
        }
        let room = context.memory().head_room();
        let terminated = connections.terminate_largest_heads(room);
        if terminated > 0 {
            context.metrics.count("heads_terminated", terminated as i64).ok();
            let limit = "resources.memory_mb";
            tracing::info!(unit = "accept", event = "heads_terminated", terminated, room, limit);
        }
        if context.accept_policy().record(open, late_ms, now) {
            let is_saturated = context.accept_policy().is_saturated();
            context.metrics.incr("saturation_changed").ok();
            tracing::warn!(
                unit = "accept",
                event = "saturation_changed",
                is_saturated,
                late_ms,
                open,
                limit,
            );
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Terminates the connections of callers that take nothing, until the process stops.
async fn sweep_connections(context: Arc<RouterContext>, connections: Rc<CallerConnections>) {
    while !context.stop.is_cancelled() {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let terminated = connections.terminate_overdue(Instant::now());
        if terminated > 0 {
            context.metrics.count("unread_terminated", terminated as i64).ok();
            let limit = "unread_s";
            tracing::info!(unit = "accept", event = "unread_terminated", terminated, limit);
        }
    }
}
