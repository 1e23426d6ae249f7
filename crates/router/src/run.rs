//! Command line, startup, drain and shutdown of the daemon.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use admit::{LINGER_MS, OpenCounts, StopCycle, StopPlan, StopSettings, StopStep};
use base::Millis;
use bpaf::{Parser, construct, long};
use inbound::HEAD_TIMEOUT;
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::io::IoConfig;
use ntex::time::Seconds;
use ntex::web::{self, App};

use crate::accept::start_caller_server;
use crate::client::{PeerClient, PlatformClient, TargetClient};
use crate::context::RouterContext;
use crate::granting::{run_gossip, run_granting};
use crate::heartbeat::run_heartbeat;
use crate::list::run_list_polling;
use crate::load::run_load_polling;
use crate::peer;
use crate::placing::run_placement;
use crate::settings::{RouterSettings, ShareMode};
use crate::signals::StopSignals;
use crate::watch::run_document_watch;

/// Minimum duration of a drain, in milliseconds. The router answers requests
/// with refusals meanwhile, so that peers and callers learn of the drain.
const DRAIN_NOTICE_MS: Millis = 1_000;

/// Time after `drain_ms` at which the process ends, whatever it does.
const EXIT_TIME: Duration = Duration::from_secs(1);

struct RouterArgs {
    settings: PathBuf,
    print_config: bool,
}

/// Runs the daemon until it receives SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the settings are invalid or an address is in use.
pub fn run() -> anyhow::Result<()> {
    let signals = StopSignals::install()?;
    let args = parse_args();
    let settings: RouterSettings = base::load_settings(&args.settings)?;
    settings.check()?;
    if args.print_config {
        let redacted = RouterSettings { secret: "(hidden)".into(), ..settings };
        println!("{}", serde_json::to_string_pretty(&redacted)?);
        return Ok(());
    }
    signals.timer.limit(Duration::from_millis(settings.drain_ms) + EXIT_TIME);
    let _guard = base::init_stderr_logs(&settings.log);
    signals.inherited.log();
    let system = ntex::rt::System::new("router", ntex::rt::DefaultRuntime);
    system.block_on(serve(settings, signals))
}

fn parse_args() -> RouterArgs {
    let settings =
        long("settings").help("settings file, JSON with comments").argument::<PathBuf>("FILE");
    let print_config = long("print-config").help("print the settings with defaults").switch();
    let args = construct!(RouterArgs { settings, print_config });
    args.to_options().descr("Router daemon of poplarspring").run()
}

async fn serve(settings: RouterSettings, signals: StopSignals) -> anyhow::Result<()> {
    let signals = signals.receive()?;
    let metrics = base::metrics_client("poplar.router", settings.metrics)?;
    let context = RouterContext::new(settings, metrics);
    context.mark_control_thread();
    let peers = PeerClient::start(&context).await?;
    let platform = PlatformClient::default();
    start_caller_server(&context)?;
    let peer_server = serve_peers(&context)?;
    tracing::info!(
        unit = "run",
        event = "started",
        origin = %context.origin,
        listen = %context.settings.listen,
        peer_listen = %context.settings.peer_listen,
    );
    ntex::rt::spawn(run_list_polling(Arc::clone(&context), platform.clone()));
    ntex::rt::spawn(run_document_watch(Arc::clone(&context), platform));
    ntex::rt::spawn(run_heartbeat(Arc::clone(&context), peers.clone()));
    if context.settings.share == ShareMode::Gossip {
        ntex::rt::spawn(run_gossip(Arc::clone(&context), peers.clone()));
    }
    ntex::rt::spawn(run_granting(Arc::clone(&context), peers));
    ntex::rt::spawn(run_load_polling(Arc::clone(&context), TargetClient));
    ntex::rt::spawn(run_placement(Arc::clone(&context), TargetClient));
    signals.first().await?;
    tokio::select! {
        () = drain(&context) => {}
        received = signals.second() => {
            log_unfinished_requests(&context, "second signal", None);
            received?;
        }
    }
    context.stop.cancel();
    peer_server.stop(false).await;
    Ok(())
}

/// Refuses new requests and waits until nothing is open, until `drain_ms` is over.
async fn drain(context: &Arc<RouterContext>) {
    let started_at = context.now();
    let plan = StopPlan::new(
        started_at,
        &StopSettings {
            notice_ms: DRAIN_NOTICE_MS,
            kill_ms: context.settings.drain_ms,
            exit_margin_ms: 0,
            answer_margin_ms: 0,
            give_up_ms: context.settings.drain_ms,
            signal_delay_ms: 0,
            linger_ms: LINGER_MS,
        },
    );
    {
        let mut core = context.core();
        core.draining = true;
        core.members.start_draining();
        let open = core.open_requests;
        tracing::info!(unit = "run", event = "drain", open);
    }
    context.heartbeat_due.notify_one();
    let mut cycle = StopCycle::new(plan);
    let listen = context.settings.listen;
    // All requests are refused since the drain began, so there is nothing to close.
    let open = loop {
        let (step, open) = context.open_counter.step(&mut cycle, &context.clock, listen).await;
        if step == StopStep::Exit {
            break open;
        }
    };
    if plan.exit_in_ms(context.now()) == 0 {
        return log_unfinished_requests(context, "deadline", Some(open));
    }
    let took_ms = context.now().saturating_sub(started_at);
    tracing::info!(unit = "run", event = "drained", took_ms);
}

/// Logs how many requests are still open when a drain ends early, and what else was, if it was
/// counted.
fn log_unfinished_requests(context: &RouterContext, cause: &str, open: Option<OpenCounts>) {
    let cut = context.core().open_requests;
    let (connections, queued) = (open.map(|open| open.connections), open.map(|open| open.queued));
    tracing::warn!(unit = "run", event = "drain_ended", cause, cut, connections, queued);
}

pub(crate) fn http_config(settings: &RouterSettings) -> SharedCfg {
    let config = HttpServiceConfig::new()
        .set_headers_read_rate(HEAD_TIMEOUT, HEAD_TIMEOUT, 1_024)
        .set_keepalive(Seconds(30));
    // A connection that closes after its answer waits as long for its caller as any other.
    let unread = Seconds(settings.unread_s.try_into().unwrap_or(u16::MAX));
    let io_config = IoConfig::new().set_disconnect_timeout(unread);
    SharedCfg::new("router").add(config).add(io_config).into()
}

fn serve_peers(context: &Arc<RouterContext>) -> anyhow::Result<ntex::server::Server> {
    let listen = context.settings.peer_listen;
    let config = http_config(&context.settings);
    let context = Arc::clone(context);
    let server = web::server(async move || {
        context.mark_control_thread();
        App::new()
            .state(Arc::clone(&context))
            .state(web::types::PayloadConfig::new(wire::MAX_MESSAGE_BYTES))
            .service((
                web::resource("/peer/v1/digest").route(web::post().to(peer::digest)),
                web::resource("/peer/v1/report").route(web::post().to(peer::report)),
                web::resource("/peer/v1/push").route(web::post().to(peer::push)),
                web::resource("/peer/v1/document").route(web::post().to(peer::document)),
                web::resource("/peer/v1/key").route(web::post().to(peer::key)),
                web::resource("/ops/v1/status").route(web::get().to(peer::status)),
                web::resource("/ops/v1/explain/{request}").route(web::get().to(peer::explain)),
                web::resource("/test/v1/cut").route(web::post().to(peer::cut)),
            ))
    });
    Ok(server.workers(1).disable_signals().config(config).bind(listen)?.run())
}
