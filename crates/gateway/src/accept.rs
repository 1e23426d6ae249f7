//! Accepts callers' connections on another thread than the one that serves them, and
//! leaves them in the accept queue while that thread is late.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use ntex::SharedCfg;
use ntex::http::{HttpService, Request};
use ntex::rt::Arbiter;
use ntex::service::{Pipeline, ServiceFactory, fn_service};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::context::{GatewayContext, OpenConnection};
use crate::worker::Worker;
use crate::{pipeline, run};

/// Length of the accept queue. A full queue delays callers by seconds.
const LISTEN_BACKLOG: i32 = 128;
/// Largest number of connections that were accepted and not yet taken by the thread
/// that serves them.
const MAX_HANDED_OVER: usize = 16;
/// Pause before checking again whether connections may be accepted.
const RECHECK_PAUSE: Duration = Duration::from_millis(5);
/// Pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A connection that counts as open until it is dropped.
struct CallerConnection {
    stream: TcpStream,
    guard: OpenConnection,
}

/// Binds the address for callers and serves their connections until the process stops.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub(crate) fn start_caller_server(context: &Arc<GatewayContext>) -> anyhow::Result<()> {
    let address = context.settings.listen.callers;
    let listener = bind(address).map_err(|cause| run::bind_error("callers", address, &cause))?;
    let (sender, receiver) = mpsc::channel(MAX_HANDED_OVER);
    let worker_context = Arc::clone(context);
    Arbiter::with_name("callers".into()).handle().spawn(async move {
        ntex::rt::spawn(serve_connections(worker_context, receiver));
    });
    ntex::rt::spawn(accept_connections(Arc::clone(context), listener, sender));
    Ok(())
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = ntex::server::create_tcp_listener(address, LISTEN_BACKLOG)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn accept_connections(
    context: Arc<GatewayContext>,
    listener: TcpListener,
    sender: mpsc::Sender<CallerConnection>,
) {
    let mut accepted_at = context.now();
    while !context.shutdown.is_cancelled() {
        if !may_accept(&context, accepted_at) {
            tokio::time::sleep(RECHECK_PAUSE).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(cause) => {
                tracing::warn!(unit = "accept", event = "not_accepted", %cause);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        accepted_at = context.now();
        let guard = OpenConnection::new(&context);
        match stream.into_std() {
            // The receiver is dropped only when the process stops.
            Ok(stream) => drop(sender.send(CallerConnection { stream, guard }).await),
            Err(cause) => tracing::warn!(unit = "accept", event = "not_served", %cause),
        }
    }
}

fn may_accept(context: &GatewayContext, accepted_at: Millis) -> bool {
    let now = context.now();
    let pause_ms = now.saturating_sub(accepted_at);
    let late_ms = context.lateness().late_ms(now);
    let connections = context.open_connections();
    context.accept_policy().may_accept(connections, late_ms, pause_ms)
}

/// Serves connections on the current thread.
async fn serve_connections(
    context: Arc<GatewayContext>,
    mut receiver: mpsc::Receiver<CallerConnection>,
) {
    let worker = Worker::new(Arc::clone(&context));
    worker.start();
    let connections = Rc::clone(&worker.connections);
    let config: SharedCfg = run::http_config();
    let factory = HttpService::h1(fn_service(move |request: Request| {
        let worker = Rc::clone(&worker);
        async move { run::HandlerResult::Ok(pipeline::serve(worker, request).await) }
    }));
    let Ok(service) = factory.create(config.clone()).await else {
        tracing::error!(unit = "accept", event = "service_not_created");
        return;
    };
    let pipeline = Pipeline::new(service);
    while let Some(CallerConnection { stream, guard }) = receiver.recv().await {
        let io = match ntex::rt::from_tcp_stream(stream, config.clone()) {
            Ok(io) => io,
            Err(cause) => {
                tracing::debug!(unit = "accept", event = "not_served", %cause);
                continue;
            }
        };
        let (pipeline, connections) = (pipeline.clone(), Rc::clone(&connections));
        let io_ref = io.get_ref();
        connections.insert(io_ref.clone(), context.now());
        ntex::rt::spawn(async move {
            // The request's own line tells how it ended.
            if let Err(cause) = pipeline.call(io).await {
                tracing::trace!(unit = "accept", event = "connection_ended", %cause);
            }
            connections.remove(&io_ref);
            drop(guard);
        });
    }
}
