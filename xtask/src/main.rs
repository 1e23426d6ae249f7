//! Chores of the project: `cargo xtask demo`, `test` and `measure`.

use std::process::Command;

use anyhow::Context;
use bench::MeasureOptions;
use bpaf::{Parser, construct, long, positional};

#[derive(Clone, Debug)]
enum Chore {
    Demo { keep: bool },
    Latency,
    Measure(MeasureOptions),
    Slopes { seconds: u64 },
    Test,
}

fn main() -> anyhow::Result<()> {
    match parser().run() {
        Chore::Demo { keep } => {
            cargo(&["build", "--quiet", "--workspace"])?;
            bench::run_demo(keep)
        }
        Chore::Latency => optimized(bench::run_latency),
        Chore::Measure(options) => optimized(|| bench::run_measure(options)),
        Chore::Slopes { seconds } => optimized(|| bench::run_slopes(seconds)),
        Chore::Test => test(),
    }
}

fn parser() -> bpaf::OptionParser<Chore> {
    let keep = long("keep").help("leave the fleet running").switch();
    let demo = construct!(Chore::Demo { keep })
        .to_options()
        .descr("Starts a fleet with stand-ins and runs a request of each kind")
        .command("demo");
    let latency = bpaf::pure(Chore::Latency)
        .to_options()
        .descr("Times documents, leaving and what the router adds")
        .command("latency");
    let measure = measure_options()
        .map(Chore::Measure)
        .to_options()
        .descr("Drives real processes and prints a JSON line for each run")
        .command("measure");
    let seconds = long("seconds").help("length of each run").argument("T").fallback(15);
    let slopes = construct!(Chore::Slopes { seconds })
        .to_options()
        .descr("Measures how the control cost of a router grows")
        .command("slopes");
    let test =
        bpaf::pure(Chore::Test).to_options().descr("Format, linter and all tests").command("test");
    construct!([demo, latency, measure, slopes, test]).to_options().descr("Chores of poplarspring")
}

fn measure_options() -> impl Parser<MeasureOptions> {
    let routers = long("routers").help("routers of the fleet").argument("N").fallback(9);
    let seed = long("seed").help("seed of the load").argument("S").fallback(1);
    let seconds = long("seconds").help("length of each run").argument("T").fallback(30);
    let scenarios = positional::<String>("SCENARIO").help("all when none is named").many();
    construct!(MeasureOptions { routers, seed, seconds, scenarios })
}

/// Runs a chore with optimized binaries: this one calls its optimized twin.
fn optimized(chore: impl FnOnce() -> anyhow::Result<()>) -> anyhow::Result<()> {
    if !cfg!(debug_assertions) {
        return chore();
    }
    cargo(&["build", "--quiet", "--release", "--workspace"])?;
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut run = vec!["run", "--quiet", "--release", "--package", "xtask", "--"];
    run.extend(arguments.iter().map(String::as_str));
    cargo(&run)
}

fn test() -> anyhow::Result<()> {
    cargo(&["fmt", "--all", "--check"])?;
    cargo(&["clippy", "--quiet", "--workspace", "--all-targets", "--", "--deny", "warnings"])?;
    cargo(&["build", "--quiet", "--workspace"])?;
    cargo(&["test", "--quiet", "--workspace"])?;
    print_known_failures()
}

/// Tests that are passed over, with what was seen.
fn print_known_failures() -> anyhow::Result<()> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
    print!("{}", std::fs::read_to_string(file).context("step=read_known_failures")?);
    Ok(())
}

fn cargo(arguments: &[&str]) -> anyhow::Result<()> {
    let program = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let status = Command::new(program).args(arguments).status().context("step=start_cargo")?;
    anyhow::ensure!(status.success(), "step=cargo arguments={arguments:?}: {status}");
    Ok(())
}
