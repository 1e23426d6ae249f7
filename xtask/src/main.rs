//! Development tasks: `cargo xtask cost`, `demo`, `latency`, `measure`, `memory`,
//! `slopes` and `test`.

use std::process::Command;

use anyhow::Context;
use bench::MeasureOptions;
use bpaf::{Parser, construct, long, positional};

#[derive(Clone, Debug)]
enum Task {
    Cost,
    Demo { keep: bool },
    Latency,
    Measure(MeasureOptions),
    Memory,
    Slopes { seconds: u64 },
    Test,
}

fn main() -> anyhow::Result<()> {
    match parser().run() {
        Task::Cost => run_gateway_bench("cost"),
        Task::Demo { keep } => {
            run_cargo(&["build", "--quiet", "--workspace"])?;
            bench::run_demo(keep)
        }
        Task::Latency => run_optimized(bench::run_latency),
        Task::Measure(options) => run_optimized(|| bench::run_measure(options)),
        Task::Memory => run_gateway_bench("memory"),
        Task::Slopes { seconds } => run_optimized(|| bench::run_slopes(seconds)),
        Task::Test => run_tests(),
    }
}

fn parser() -> bpaf::OptionParser<Task> {
    let cost = bpaf::pure(Task::Cost)
        .to_options()
        .descr("Measures the gateway's processor time for each kind of request")
        .command("cost");
    let keep = long("keep").help("leave the fleet running").switch();
    let demo = construct!(Task::Demo { keep })
        .to_options()
        .descr("Starts a fleet with stand-ins and runs a request of each kind")
        .command("demo");
    let latency = bpaf::pure(Task::Latency)
        .to_options()
        .descr("Measures document publication, draining of a target and router overhead")
        .command("latency");
    let measure = measure_options()
        .map(Task::Measure)
        .to_options()
        .descr("Runs load scenarios on real processes and prints a JSON line for each run")
        .command("measure");
    let memory = bpaf::pure(Task::Memory)
        .to_options()
        .descr("Measures the gateway's memory for open connections and requests")
        .command("memory");
    let seconds = long("seconds").help("length of each run").argument("T").fallback(15);
    let slopes = construct!(Task::Slopes { seconds })
        .to_options()
        .descr("Measures how the control cost of a router grows")
        .command("slopes");
    let test = bpaf::pure(Task::Test)
        .to_options()
        .descr("Checks format and lints, and runs all tests")
        .command("test");
    construct!([cost, demo, latency, measure, memory, slopes, test])
        .to_options()
        .descr("Development tasks of poplarspring")
}

fn measure_options() -> impl Parser<MeasureOptions> {
    let routers = long("routers").help("number of routers in the fleet").argument("N").fallback(9);
    let seed = long("seed").help("random seed of the load").argument("S").fallback(1);
    let seconds = long("seconds").help("length of each run").argument("T").fallback(30);
    let scenarios =
        positional::<String>("SCENARIO").help("scenarios to run; all if none is given").many();
    construct!(MeasureOptions { routers, seed, seconds, scenarios })
}

/// Runs a task with optimized binaries. A debug build of xtask builds the
/// workspace in release mode and runs its own release build with the same
/// arguments.
fn run_optimized(task: impl FnOnce() -> anyhow::Result<()>) -> anyhow::Result<()> {
    if !cfg!(debug_assertions) {
        return task();
    }
    run_cargo(&["build", "--quiet", "--release", "--workspace"])?;
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut run_arguments = vec!["run", "--quiet", "--release", "--package", "xtask", "--"];
    run_arguments.extend(arguments.iter().map(String::as_str));
    run_cargo(&run_arguments)
}

/// Runs a benchmark of the gateway's release build.
fn run_gateway_bench(name: &str) -> anyhow::Result<()> {
    run_cargo(&["build", "--quiet", "--release", "--workspace"])?;
    run_cargo(&["bench", "--quiet", "--package", "poplar-platform", "--bench", name])
}

fn run_tests() -> anyhow::Result<()> {
    run_cargo(&["fmt", "--all", "--check"])?;
    run_cargo(&["clippy", "--quiet", "--workspace", "--all-targets", "--", "--deny", "warnings"])?;
    run_cargo(&["build", "--quiet", "--workspace"])?;
    run_cargo(&["test", "--quiet", "--workspace"])?;
    print_known_failures()
}

/// Prints the tests that are skipped for a known failure, with what was seen.
fn print_known_failures() -> anyhow::Result<()> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
    print!("{}", std::fs::read_to_string(file).context("step=read_known_failures")?);
    Ok(())
}

fn run_cargo(arguments: &[&str]) -> anyhow::Result<()> {
    let program = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let status = Command::new(program).args(arguments).status().context("step=start_cargo")?;
    anyhow::ensure!(status.success(), "step=cargo arguments={arguments:?}: {status}");
    Ok(())
}
