//! Start, drain and end of the gateway.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::PrometheusSink;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request, Response};
use ntex::server::ServerBuilder;
use ntex::service::fn_service;
use ntex::time::Seconds;
use tokio::signal::unix::{SignalKind, signal};

use crate::beats::start_beats;
use crate::context::{GatewayContext, millis};
use crate::follow::run_follow;
use crate::port::{CallFormat, StateSource};
use crate::relay::RelayBody;
use crate::reload::start_reload;
use crate::settings::GatewaySettings;
use crate::worker::Worker;
use crate::{pipeline, serve};

/// Time that a caller may take for the head of its request.
const HEAD_TIMEOUT: Seconds = Seconds(5);
/// Time for which an idle caller's connection is kept: longer than any caller
/// reuses one.
const CALLER_KEEP_ALIVE: Seconds = Seconds(75);
/// Connections that wait to be accepted: a full queue costs callers seconds.
const BACKLOG: i32 = 1_024;
/// Time between two looks at the open requests of a drain.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time before the kill within which the process ends by itself, in
/// milliseconds.
const DRAIN_MARGIN_MS: u64 = 500;
/// Answers that callers may keep for this many leases.
const LEASES_KEPT: f64 = 3.0;
/// Time between two sweeps of kept connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Runs a gateway until it is told to stop; `file` is where its settings were
/// read from.
///
/// # Errors
/// An address is taken.
pub fn run<S: StateSource + 'static>(
    settings: GatewaySettings,
    file: PathBuf,
    format: Arc<dyn CallFormat>,
    source: S,
) -> anyhow::Result<()> {
    settings.check()?;
    let _guard = base::init_stdout_logs(&settings.log);
    let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
    system.block_on(serve_all(settings, file, format, source))
}

async fn serve_all<S: StateSource + 'static>(
    settings: GatewaySettings,
    file: PathBuf,
    format: Arc<dyn CallFormat>,
    source: S,
) -> anyhow::Result<()> {
    let (metrics, text) = base::prometheus_client("poplar");
    let context = GatewayContext::new(settings, format, metrics);
    tracing::info!(
        unit = "run",
        event = "started",
        origin = %context.origin,
        domain = %context.settings.failure_domain,
        callers = %context.settings.listen.callers,
        seeds = ?context.settings.seeds,
    );
    start_beats(&context).await?;
    let server = listen(&context, &text)?;
    start_reload(&context, file)?;
    ntex::rt::spawn(run_follow(Arc::clone(&context), source));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&context).await;
    context.stop.cancel();
    server.stop(false).await;
    tracing::info!(unit = "run", event = "stopped");
    Ok(())
}

/// Takes no new callers' connections by address answers and readiness, serves
/// what still comes, and ends when callers had time to go elsewhere.
async fn drain(context: &Arc<GatewayContext>) {
    let start = Instant::now();
    context.start_draining();
    tracing::info!(unit = "run", event = "drain", open = context.open_calls());
    let stop_ms = millis(context.settings.bounds.stop_s);
    let deadline = Duration::from_millis(stop_ms.saturating_sub(DRAIN_MARGIN_MS));
    let notice = Duration::from_secs_f64(serve::LEASE_S * LEASES_KEPT);
    while start.elapsed() < deadline {
        if start.elapsed() >= notice {
            context.close();
            if context.open_calls() == 0 {
                break;
            }
        }
        tokio::time::sleep(DRAIN_LOOK).await;
    }
    let took_ms = start.elapsed().as_millis() as u64;
    tracing::info!(unit = "run", event = "drained", took_ms, cut = context.open_calls());
}

fn http_config() -> SharedCfg {
    let config = HttpServiceConfig::new()
        .set_headers_read_rate(HEAD_TIMEOUT, HEAD_TIMEOUT, 1_024)
        .set_keepalive(CALLER_KEEP_ALIVE);
    SharedCfg::new("gateway").add(config).into()
}

type Answer = Result<Response<RelayBody>, io::Error>;

fn listen(
    context: &Arc<GatewayContext>,
    text: &PrometheusSink,
) -> anyhow::Result<ntex::server::Server> {
    let listen = context.settings.listen.clone();
    let builder = ntex::server::build().workers(1).backlog(BACKLOG).disable_signals();
    let shared = Arc::clone(context);
    let bound = builder.bind("callers", listen.callers, async move |_| {
        let worker = Worker::new(Arc::clone(&shared));
        ntex::rt::spawn(run_sweep(Rc::clone(&worker)));
        ntex::rt::spawn(watch_lateness(Rc::clone(&worker)));
        HttpService::h1(fn_service(move |request: Request| {
            let worker = Rc::clone(&worker);
            async move { Answer::Ok(pipeline::serve(worker, request).await) }
        }))
    });
    let mut builder = bound
        .map_err(|cause| bind_error("callers", listen.callers, &cause))?
        .config("callers", http_config());
    builder = bind(builder, "ready", listen.ready, context, async |context, request| {
        serve::ready(&context, &request)
    })?;
    builder = bind(builder, "addresses", listen.addresses, context, async |context, request| {
        serve::addresses(&context, &request)
    })?;
    builder = bind(builder, "peers", listen.peers, context, serve::peer)?;
    if let Some(metrics) = listen.metrics {
        let text = text.clone();
        let render = move |_, _| std::future::ready(serve::metrics(text.render()));
        builder = bind(builder, "metrics", metrics, context, render)?;
    }
    Ok(builder.run())
}

/// Answers requests at an address by a function of context and request.
fn bind<F>(
    builder: ServerBuilder,
    name: &'static str,
    address: SocketAddr,
    context: &Arc<GatewayContext>,
    answer: F,
) -> anyhow::Result<ServerBuilder>
where
    F: AsyncFn(Arc<GatewayContext>, Request) -> Response<RelayBody> + Clone + Send + 'static,
{
    let context = Arc::clone(context);
    let bound = builder.bind(name, address, async move |_| {
        let (context, answer) = (Arc::clone(&context), answer.clone());
        HttpService::h1(fn_service(move |request: Request| {
            let (context, answer) = (Arc::clone(&context), answer.clone());
            async move { Answer::Ok(answer(context, request).await) }
        }))
    });
    let builder = bound.map_err(|cause| bind_error(name, address, &cause))?;
    Ok(builder.config(name, http_config()))
}

fn bind_error(name: &str, address: SocketAddr, cause: &io::Error) -> anyhow::Error {
    anyhow::anyhow!("step=bind name={name} peer={address}: {cause}")
}

async fn run_sweep(worker: Rc<Worker>) {
    while !worker.context.stop.is_cancelled() {
        tokio::time::sleep(SWEEP_PERIOD).await;
        worker.sweep();
    }
}

/// Looks at the clock until the process stops.
async fn watch_lateness(worker: Rc<Worker>) {
    let context = &worker.context;
    let mut was_late = false;
    while !context.stop.is_cancelled() {
        let now = context.now();
        let pause_ms = worker.lateness.borrow_mut().tick(now);
        let late_ms = worker.lateness.borrow().too_late(now);
        if late_ms.is_some() != was_late {
            was_late = late_ms.is_some();
            let open = context.open_calls();
            tracing::warn!(unit = "lateness", event = "changed", is_late = was_late, late_ms, open);
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
