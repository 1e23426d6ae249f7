//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};

/// The routers to query and the output format.
#[derive(Clone, Debug)]
pub(crate) struct FleetArgs {
    /// Peer addresses of the routers; empty to read log lines instead.
    pub(crate) routers: Vec<SocketAddr>,
    pub(crate) secret: String,
    pub(crate) json: bool,
}

/// The file to check.
#[derive(Clone, Debug)]
pub(crate) struct CheckArgs {
    pub(crate) file: PathBuf,
    /// The configuration in force.
    pub(crate) against: Option<PathBuf>,
    /// Whether warnings count for the exit code.
    pub(crate) strict: bool,
    pub(crate) json: bool,
}

/// The files to compare.
#[derive(Clone, Debug)]
pub(crate) struct DiffArgs {
    pub(crate) old: PathBuf,
    pub(crate) new: PathBuf,
    pub(crate) json: bool,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum CtlCommand {
    Check(CheckArgs),
    Diff(DiffArgs),
    Status(FleetArgs),
    Explain { fleet: FleetArgs, request: String },
    Timings(FleetArgs),
}

/// Parses the command line; exits the process if it is invalid.
pub(crate) fn parse_args() -> CtlCommand {
    let against = long("against")
        .help("configuration in force, to report the differences from it")
        .argument::<PathBuf>("FILE")
        .optional();
    let strict = long("strict").help("exit with 1 if there are warnings only").switch();
    let json = json_switch();
    let file = positional::<PathBuf>("FILE");
    let check = construct!(CheckArgs { against, strict, json, file })
        .map(CtlCommand::Check)
        .to_options()
        .descr("Checks a document or a configuration as the routers do, and for mistakes")
        .command("check");
    let json = json_switch();
    let old = positional::<PathBuf>("OLD");
    let new = positional::<PathBuf>("NEW");
    let diff = construct!(DiffArgs { json, old, new })
        .map(CtlCommand::Diff)
        .to_options()
        .descr("Lists in what two documents or configurations differ")
        .command("diff");
    let status = fleet_args()
        .map(CtlCommand::Status)
        .to_options()
        .descr("Shows revisions, members, targets, backlog and shares")
        .command("status");
    let fleet = optional_fleet_args();
    let request = positional::<String>("REQUEST");
    let explain = construct!(CtlCommand::Explain { fleet, request })
        .to_options()
        .descr("Shows how a request was routed; without --router from log lines on standard input")
        .command("explain");
    let timings = optional_fleet_args()
        .map(CtlCommand::Timings)
        .to_options()
        .descr("Shows how long requests took; without --router from log lines on standard input")
        .command("timings");
    construct!([check, diff, status, explain, timings])
        .to_options()
        .descr("Operators' client of poplarspring")
        .run()
}

fn fleet_args() -> impl Parser<FleetArgs> {
    let has_routers = |fleet: &FleetArgs| !fleet.routers.is_empty();
    optional_fleet_args().guard(has_routers, "at least one --router is required")
}

fn optional_fleet_args() -> impl Parser<FleetArgs> {
    let routers = long("router")
        .help("peer address of a router; may be given several times")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let secret = long("secret")
        .help("the fleet's shared secret")
        .env("POPLAR_SECRET")
        .argument::<String>("SECRET")
        .fallback(String::new());
    let json = json_switch();
    construct!(FleetArgs { routers, secret, json })
}

fn json_switch() -> impl Parser<bool> {
    long("json").help("print JSON").switch()
}
