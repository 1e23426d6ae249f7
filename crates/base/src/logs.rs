//! Logs: one line of key=value pairs for each event.

use std::io::Write;
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of lines that wait to be written. Further lines are dropped,
/// so that a stalled reader of the output never blocks a request.
const MAX_WAITING_LINES: usize = 4_096;

/// Counts the dropped lines of the log that was started first.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the number of log lines that were dropped, as nobody read the output in time.
pub fn dropped_log_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Returns the filter for `level`, or for `info` if `level` is not valid.
fn filter(level: &str) -> EnvFilter {
    EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Starts logging on standard error. `level` is a level such as `info`, or a list of filter
/// directives. A log that is not read never blocks the caller; lines that wait are written when the
/// guard is dropped.
pub fn init_stderr_logs(level: &str) -> WorkerGuard {
    init_logs(level, std::io::stderr())
}

/// Like [`init_stderr_logs`], but on standard output.
pub fn init_stdout_logs(level: &str) -> WorkerGuard {
    init_logs(level, std::io::stdout())
}

fn init_logs(level: &str, output: impl Write + Send + 'static) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .finish(output);
    DROPPED_LINES.get_or_init(|| writer.error_counter());
    // A second call in one process keeps the first subscriber.
    let _ = tracing_subscriber::fmt()
        .with_env_filter(filter(level))
        .with_ansi(false)
        .with_writer(writer)
        .try_init();
    guard
}
