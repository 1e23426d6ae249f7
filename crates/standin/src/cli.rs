//! Command line of the stand-ins.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use nix::sys::signal::Signal;
use process::{BlockedSignals, CaughtSignals};

use crate::{config, engine, pass, plain};

enum Command {
    Platform(SocketAddr),
    Engine(engine::EngineSettings),
    Plain(plain::PlainSettings),
    Pass(pass::ProxySettings),
}

/// Runs the stand-in that the command line selects until SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if a listening address is already in use.
pub fn run() -> anyhow::Result<()> {
    let stops = [Signal::SIGTERM, Signal::SIGINT];
    let CaughtSignals { groups: [stop], .. } =
        BlockedSignals::block(&stops)?.catch([&stops], &stops)?;
    let command = parser().run();
    let _guard = base::init_stderr_logs("warn");
    ntex::rt::System::new("standin", ntex::rt::DefaultRuntime).block_on(async move {
        let stop = stop.receive()?;
        tokio::select! {
            served = serve(command) => served,
            received = stop.first() => Ok(received?),
        }
    })
}

async fn serve(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Platform(listen) => config::serve(listen).await,
        Command::Engine(settings) => engine::serve(settings).await,
        Command::Plain(settings) => plain::serve(settings).await,
        Command::Pass(settings) => pass::serve(settings).await,
    }
}

fn parser() -> bpaf::OptionParser<Command> {
    let platform = listen().map(Command::Platform);
    let platform = platform.to_options().command("platform");
    let engine = engine_settings().map(Command::Engine).to_options().command("engine");
    let plain = plain_settings().map(Command::Plain).to_options().command("plain");
    let pass_listen = listen();
    let to = long("to").argument::<SocketAddr>("ADDRESS");
    let pass = construct!(pass_listen, to)
        .map(|(listen, target)| Command::Pass(pass::ProxySettings { listen, target }))
        .to_options()
        .command("pass");
    construct!([platform, engine, plain, pass]).to_options()
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen").argument("ADDRESS")
}

fn number_argument(name: &'static str, default: u64) -> impl Parser<u64> {
    long(name).argument::<u64>("N").fallback(default)
}

fn engine_settings() -> impl Parser<engine::EngineSettings> {
    let listen = listen();
    let count = number_argument("count", 1);
    let slots = number_argument("slots", 4);
    let token_ms = number_argument("token-ms", 10);
    let report_ms = number_argument("report-ms", 200);
    let load_ms = number_argument("load-ms", 300);
    let model = long("model").argument::<String>("MODEL").fallback(String::new());
    let ignore_fence = long("ignore-fence").switch();
    construct!(engine::EngineSettings {
        listen,
        count,
        slots,
        token_ms,
        report_ms,
        load_ms,
        model,
        ignore_fence
    })
}

fn plain_settings() -> impl Parser<plain::PlainSettings> {
    let listen = listen();
    let count = number_argument("count", 1);
    let slots = number_argument("slots", 8);
    let work_ms = number_argument("work-ms", 10);
    construct!(plain::PlainSettings { listen, count, slots, work_ms })
}
