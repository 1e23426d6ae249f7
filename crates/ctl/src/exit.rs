//! Exit codes, as docs/OPERATING.md and docs/OPERATIONS.md list them.

use std::process::ExitCode;

/// The result of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CtlExit {
    /// Success: the document or configuration is accepted, or both are equal.
    Done = 0,
    /// The document is refused, a configuration has warnings only (with `--strict`),
    /// both differ, nothing was found, or only some of the queried routers responded.
    Negative = 1,
    /// The configuration has errors.
    Errors = 2,
    /// The command failed: a file can't be read, what to compare with is refused,
    /// or no router responded to `status` or `timings`. An invalid command line does
    /// not end with this code: its parser exits with the code of `Negative`.
    Unreachable = 3,
}

impl From<CtlExit> for ExitCode {
    fn from(exit: CtlExit) -> Self {
        ExitCode::from(exit as u8)
    }
}
