//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};

/// Which routers to ask and how to print.
#[derive(Clone, Debug)]
pub(crate) struct FleetArgs {
    /// Peer addresses.
    pub(crate) routers: Vec<SocketAddr>,
    pub(crate) secret: String,
    pub(crate) json: bool,
}

/// What to do.
#[derive(Clone, Debug)]
pub(crate) enum CtlCommand {
    Check { file: PathBuf },
    Diff { old: PathBuf, new: PathBuf },
    Status(FleetArgs),
    Explain { fleet: FleetArgs, request: String },
    Timings(FleetArgs),
}

/// Parses the command line; ends the process when it is wrong.
pub(crate) fn parse_args() -> CtlCommand {
    let file = positional::<PathBuf>("FILE");
    let check = construct!(CtlCommand::Check { file })
        .to_options()
        .descr("Checks a document as the routers do")
        .command("check");
    let old = positional::<PathBuf>("OLD");
    let new = positional::<PathBuf>("NEW");
    let diff = construct!(CtlCommand::Diff { old, new })
        .to_options()
        .descr("Lists the keys in which two documents differ")
        .command("diff");
    let status = fleet_args()
        .map(CtlCommand::Status)
        .to_options()
        .descr("Revisions, members, targets, backlog and shares")
        .command("status");
    let fleet = optional_fleet_args();
    let request = positional::<String>("REQUEST");
    let explain = construct!(CtlCommand::Explain { fleet, request })
        .to_options()
        .descr("Why a request went where it went; reads log lines without --router")
        .command("explain");
    let timings = optional_fleet_args()
        .map(CtlCommand::Timings)
        .to_options()
        .descr("Where the time of requests went; reads log lines without --router")
        .command("timings");
    construct!([check, diff, status, explain, timings])
        .to_options()
        .descr("Operators' client of poplarspring")
        .run()
}

fn fleet_args() -> impl Parser<FleetArgs> {
    let is_named = |fleet: &FleetArgs| !fleet.routers.is_empty();
    optional_fleet_args().guard(is_named, "at least one --router is required")
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
    let json = long("json").help("print JSON").switch();
    construct!(FleetArgs { routers, secret, json })
}
