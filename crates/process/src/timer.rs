//! The last bound of a stop.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::Builder;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::status::describe_threads;

/// Limit of a stop until [`ExitTimer::limit`] sets one: the process has not begun to serve.
const START_LIMIT: Duration = Duration::from_secs(5);
/// Time between two checks whether the limit is over.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Most of the time between two checks that counts. While a process is suspended, its limit waits.
const LONGEST_STEP: Duration = Duration::from_millis(200);
/// Time for the log line of a forced exit. Nothing waits for it longer, as a log may block.
const LOG_TIME: Duration = Duration::from_millis(50);
/// Exit code of a process that did not end its stop itself.
const FORCED_EXIT_CODE: i32 = 124;
const STACK_BYTES: usize = 128 << 10;

/// Ends the process a limited time after a signal to stop, whatever its other threads do or wait
/// for. A stop that works is over before.
#[derive(Debug)]
pub struct ExitTimer {
    /// In milliseconds of running time since the signal.
    limit_ms: Arc<AtomicU64>,
}

/// Time for which a process has run since its signal to stop.
#[derive(Debug, Default)]
struct StopClock {
    running: Duration,
}

impl ExitTimer {
    /// Starts the thread of the timer, which the first of `signals` sets off.
    ///
    /// # Errors
    /// Returns an error if a handler can't be installed or the thread can't be started.
    pub(crate) fn start(signals: &[Signal]) -> io::Result<Self> {
        let (receiver, sender) = UnixStream::pair()?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal as i32, sender.try_clone()?)?;
        }
        let limit_ms = Arc::new(AtomicU64::new(START_LIMIT.as_millis() as u64));
        let limit = Arc::clone(&limit_ms);
        let thread = Builder::new().name("exit-timer".to_owned()).stack_size(STACK_BYTES);
        thread.spawn(move || wait_and_exit(receiver, &limit))?;
        Ok(Self { limit_ms })
    }

    /// Sets the time after the signal at which the process ends.
    pub fn limit(&self, limit: Duration) {
        let limit_ms = limit.as_millis().try_into().unwrap_or(u64::MAX);
        self.limit_ms.store(limit_ms, Ordering::SeqCst);
    }
}

impl StopClock {
    fn advance(&mut self, elapsed: Duration) {
        self.running += elapsed.min(LONGEST_STEP);
    }

    fn is_over(&self, limit: Duration) -> bool {
        self.running >= limit
    }
}

fn wait_and_exit(mut receiver: UnixStream, limit_ms: &AtomicU64) {
    if let Err(cause) = receiver.read_exact(&mut [0]) {
        return tracing::error!(unit = "run", event = "exit_timer_ended", %cause);
    }
    let limit = || Duration::from_millis(limit_ms.load(Ordering::SeqCst));
    let mut clock = StopClock::default();
    while !clock.is_over(limit()) {
        let checked_at = Instant::now();
        std::thread::sleep(CHECK_PERIOD);
        clock.advance(checked_at.elapsed());
    }
    let running_ms = clock.running.as_millis() as u64;
    // The log may be what the process waits for.
    let logging = Builder::new().spawn(move || {
        let threads = describe_threads();
        tracing::error!(unit = "run", event = "exit_forced", running_ms, threads);
    });
    if logging.is_ok() {
        std::thread::sleep(LOG_TIME);
    }
    signal_hook::low_level::exit(FORCED_EXIT_CODE);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suspended_time_does_not_count() {
        let mut clock = StopClock::default();
        for elapsed in [CHECK_PERIOD, Duration::from_secs(60), CHECK_PERIOD] {
            clock.advance(elapsed);
        }
        assert_eq!(clock.running, 2 * CHECK_PERIOD + LONGEST_STEP);
        assert!(!clock.is_over(Duration::from_secs(1)));
        assert!(clock.is_over(2 * CHECK_PERIOD + LONGEST_STEP));
    }
}
