//! Serves callers' connections within the limits of the process.

use std::rc::Rc;
use std::sync::Arc;

use base::Millis;
use inbound::{ConnectionGate, MAX_HANDED_OVER, OpenCounter};
use ntex::http::{HttpService, Request};
use ntex::rt::Arbiter;
use ntex::service::fn_service;
use tokio::sync::mpsc;

use crate::context::GatewayContext;
use crate::open::OpenConnection;
use crate::worker::Worker;
use crate::{pipeline, run};

impl ConnectionGate for GatewayContext {
    type Guard = OpenConnection;

    fn now(&self) -> Millis {
        GatewayContext::now(self)
    }

    fn is_stopped(&self) -> bool {
        self.shutdown.is_cancelled()
    }

    fn may_accept(&self, pause_ms: Millis) -> bool {
        let late_ms = self.lateness().late_ms(GatewayContext::now(self));
        let connections = self.open_connections();
        self.accept_policy().may_accept(connections, late_ms, pause_ms)
    }

    fn open(self: &Arc<Self>) -> OpenConnection {
        OpenConnection::new(self)
    }

    fn open_connections(&self) -> usize {
        GatewayContext::open_connections(self)
    }

    fn open_requests(&self) -> usize {
        self.open.unrefused_calls()
    }

    fn open_counter(&self) -> &OpenCounter {
        &self.open.counter
    }
}

/// Binds the address for callers and serves their connections until the process stops.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub(crate) fn start_caller_server(context: &Arc<GatewayContext>) -> anyhow::Result<()> {
    let address = context.settings.listen.callers;
    let listener = inbound::listen(address, context.settings.resources.socket_buffer_bytes());
    let listener = listener.map_err(|cause| run::bind_error("callers", address, &cause))?;
    let (sender, receiver) = mpsc::channel(MAX_HANDED_OVER);
    let worker_context = Arc::clone(context);
    Arbiter::with_name("callers".into()).handle().spawn(async move {
        let worker = Worker::new(Arc::clone(&worker_context));
        worker.start();
        let connections = Rc::clone(&worker.connections);
        let factory = HttpService::h1(fn_service(move |request: Request| {
            let worker = Rc::clone(&worker);
            async move { run::HandlerResult::Ok(pipeline::serve(worker, request).await) }
        }));
        let config = run::caller_config();
        ntex::rt::spawn(inbound::serve(worker_context, receiver, factory, config, connections));
    });
    ntex::rt::spawn(inbound::accept(Arc::clone(context), listener, sender));
    Ok(())
}
