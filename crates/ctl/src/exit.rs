//! Exit codes, as docs/OPERATING.md lists them.

use std::process::ExitCode;

/// The result of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CtlExit {
    /// Success: the document is accepted, or the documents are equal.
    Done = 0,
    /// The document is refused, the documents differ, nothing was found, or only
    /// some of the queried routers responded.
    Negative = 1,
    /// The command failed: a file can't be read, a document to compare is refused,
    /// or no router responded to `status` or `timings`. An invalid command line does
    /// not end with this code: its parser exits with the code of `Negative`.
    Unreachable = 3,
}

impl From<CtlExit> for ExitCode {
    fn from(exit: CtlExit) -> Self {
        ExitCode::from(exit as u8)
    }
}
