//! Printing to standard output.

use std::io::Write;

/// Prints a line. Exits the process with code 0 if the reader has closed the
/// pipe, as in `poplar status | head`.
pub(crate) fn print_line(line: &str) {
    if writeln!(std::io::stdout(), "{line}").is_err() {
        std::process::exit(0);
    }
}
