//! The operators' client: checks and compares documents, and shows the state of
//! the routers. It is read-only and never changes an instance.

mod args;
mod configuration;
mod document;
mod exit;
mod fetch;
pub mod logs;
mod output;
mod show;
mod table;

use std::process::ExitCode;

pub use crate::configuration::ConfigReader;

use crate::args::{CtlCommand, parse_args};
use crate::exit::CtlExit;

/// Runs the command that the command line names and returns its exit code. `reader` reads
/// configurations in another format than the project's own document.
pub fn run(reader: &dyn ConfigReader) -> ExitCode {
    let outcome = match parse_args() {
        CtlCommand::Check(args) => document::check(reader, &args),
        CtlCommand::Diff(args) => document::diff(reader, &args),
        CtlCommand::Status(fleet) => show::status(&fleet),
        CtlCommand::Explain { request, fleet } if fleet.routers.is_empty() => {
            show::explain_logs(&request, fleet.json)
        }
        CtlCommand::Explain { request, fleet } => show::explain(&request, &fleet),
        CtlCommand::Timings(fleet) if fleet.routers.is_empty() => show::timings_logs(fleet.json),
        CtlCommand::Timings(fleet) => show::timings(&fleet),
    };
    match outcome {
        Ok(exit) => exit.into(),
        Err(cause) => {
            eprintln!("poplar: {cause:#}");
            CtlExit::Unreachable.into()
        }
    }
}
