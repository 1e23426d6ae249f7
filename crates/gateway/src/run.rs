//! Start, drain and shutdown of the gateway.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use base::PrometheusSink;
use inbound::HEAD_TIMEOUT;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Request, Response};
use ntex::io::IoConfig;
use ntex::server::ServerBuilder;
use ntex::service::fn_service;
use ntex::time::Seconds;

use crate::accept::start_caller_server;
use crate::beats::start_heartbeats;
use crate::context::GatewayContext;
use crate::follow::follow_source;
use crate::heap::trim_heap;
use crate::life::{ProcessLife, StartEnd};
use crate::platform::{CallFormat, StateSource};
use crate::reload::start_reload;
use crate::resources::sample_resources;
use crate::response_body::RelayBody;
use crate::serve;
use crate::settings::GatewaySettings;
use crate::signals::{ProcessSignals, SignalWatch};
use crate::stop;

/// Time after which an idle connection of a caller is closed: longer than any
/// caller keeps one for reuse.
const CALLER_KEEP_ALIVE: Seconds = Seconds(75);

/// Runs a gateway until it receives a stop signal. `file` is the file that the
/// settings were read from.
///
/// # Errors
/// Returns an error if the settings are invalid, an address can't be bound or a
/// signal can't be received.
pub fn run<S: StateSource + 'static>(
    signals: ProcessSignals,
    settings: GatewaySettings,
    file: PathBuf,
    format: Arc<dyn CallFormat>,
    source: S,
) -> anyhow::Result<()> {
    settings.check()?;
    signals.timer.limit(stop::forced_exit_limit(&settings));
    let _guard = base::init_stdout_logs(&settings.log);
    let (metrics, metrics_sink) = base::prometheus_client("poplar");
    let context = GatewayContext::new(settings, format, metrics, SignalWatch::new(&signals.stop));
    tracing::info!(
        unit = "run",
        event = "started",
        origin = %context.origin,
        domain = %context.settings.failure_domain,
        callers = %context.settings.listen.callers,
        seeds = ?context.settings.seeds,
    );
    signals.inherited.log();
    let life = ProcessLife::new(context, signals.stop);
    let start = async move |context: &Arc<GatewayContext>| {
        start_heartbeats(context).await?;
        start_caller_server(context)?;
        let server = listen(context, &metrics_sink)?;
        start_reload(context, file, signals.reload)?;
        ntex::rt::spawn(follow_source(Arc::clone(context), source));
        ntex::rt::spawn(sample_resources(Arc::clone(context)));
        ntex::rt::spawn(trim_heap(Arc::clone(context)));
        Ok(server)
    };
    let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        match life.serve(start).await? {
            StartEnd::Serving(life) => life.wait_for_stop().await?.drain().await.exit().await,
            StartEnd::Closed(life) => life.exit().await,
        }
        Ok(())
    })
}

pub(crate) fn http_config() -> SharedCfg {
    SharedCfg::new("gateway").add(timeouts()).into()
}

/// Returns the configuration of callers' connections. What is written before one closes has the
/// deadline of its request.
pub(crate) fn caller_config() -> SharedCfg {
    let io_config = IoConfig::new().set_disconnect_timeout(inbound::DISCONNECT_TIMEOUT);
    SharedCfg::new("gateway").add(timeouts()).add(io_config).into()
}

fn timeouts() -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_headers_read_rate(HEAD_TIMEOUT, HEAD_TIMEOUT, 1_024)
        .set_keepalive(CALLER_KEEP_ALIVE)
}

pub(crate) type HandlerResult = Result<Response<RelayBody>, io::Error>;

fn listen(
    context: &Arc<GatewayContext>,
    metrics_sink: &PrometheusSink,
) -> anyhow::Result<ntex::server::Server> {
    let listen = context.settings.listen.clone();
    let mut builder = ntex::server::build().workers(1).disable_signals();
    builder = bind(builder, "ready", listen.ready, context, async |context, request| {
        serve::ready(&context, &request)
    })?;
    builder = bind(builder, "addresses", listen.addresses, context, async |context, request| {
        serve::addresses(&context, &request)
    })?;
    builder = bind(builder, "peers", listen.peers, context, serve::peer)?;
    if let Some(metrics) = listen.metrics {
        let metrics_sink = metrics_sink.clone();
        let render = move |_, _| std::future::ready(serve::metrics(metrics_sink.render()));
        builder = bind(builder, "metrics", metrics, context, render)?;
    }
    Ok(builder.run())
}

/// Binds an address whose requests are answered by `handler`.
fn bind<F>(
    builder: ServerBuilder,
    name: &'static str,
    address: SocketAddr,
    context: &Arc<GatewayContext>,
    handler: F,
) -> anyhow::Result<ServerBuilder>
where
    F: AsyncFn(Arc<GatewayContext>, Request) -> Response<RelayBody> + Clone + Send + 'static,
{
    let context = Arc::clone(context);
    let result = builder.bind(name, address, async move |_| {
        let (context, handler) = (Arc::clone(&context), handler.clone());
        HttpService::h1(fn_service(move |request: Request| {
            let (context, handler) = (Arc::clone(&context), handler.clone());
            async move { HandlerResult::Ok(handler(context, request).await) }
        }))
    });
    let builder = result.map_err(|cause| bind_error(name, address, &cause))?;
    Ok(builder.config(name, http_config()))
}

pub(crate) fn bind_error(name: &str, address: SocketAddr, cause: &io::Error) -> anyhow::Error {
    anyhow::anyhow!("step=bind name={name} peer={address}: {cause}")
}
