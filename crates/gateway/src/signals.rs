//! Signals to the process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::Millis;
use nix::sys::signal::Signal;
use process::{BlockedSignals, CaughtSignal, CaughtSignals, ExitTimer, InheritedSignals};

/// Longest time in milliseconds for which a thread that has taken a signal may not yet have run
/// its handler.
const HANDLER_DELAY_MS: Millis = 100;

/// Time between two checks of a thread that is on time, in milliseconds.
const CHECK_PERIOD_MS: Millis = 50;
/// Longest time in milliseconds by which a check that counts is older than the signal, while a thread
/// is on time: two checks follow each other after a whole number of periods.
pub(crate) const MAX_NOTICED_MS: Millis = 2 * (HANDLER_DELAY_MS + CHECK_PERIOD_MS);

/// Signals that the process catches. To be installed first in `main`.
#[derive(Debug)]
pub struct ProcessSignals {
    pub(crate) stop: CaughtSignal,
    pub(crate) reload: CaughtSignal,
    pub(crate) inherited: InheritedSignals,
    pub(crate) timer: ExitTimer,
}

impl ProcessSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if a handler can't be installed.
    pub fn install() -> io::Result<Self> {
        let (stops, reloads) = ([Signal::SIGTERM, Signal::SIGINT], [Signal::SIGHUP]);
        let blocked = BlockedSignals::block(&[&stops[..], &reloads].concat())?;
        let CaughtSignals { groups: [stop, reload], inherited, timer } =
            blocked.catch([&stops, &reloads], &stops)?;
        Ok(Self { stop, reload, inherited, timer })
    }
}

/// When the signal to stop had not been sent yet.
#[derive(Debug, Default)]
pub(crate) struct SignalWatch {
    is_caught: Arc<AtomicBool>,
    /// A check that found no signal. Another thread may have been about to run the handler then.
    checked_at: AtomicU64,
    /// An earlier one. Invariant: a check that came `HANDLER_DELAY_MS` or more after it found no
    /// signal either.
    unsignalled_at: AtomicU64,
    /// Whether a stop begins with a drain.
    is_serving: AtomicBool,
    is_logged: AtomicBool,
}

impl SignalWatch {
    /// Returns the watch of a signal that has not come before the time 0 of its clock.
    pub(crate) fn new(signal: &CaughtSignal) -> Self {
        Self { is_caught: signal.flag(), ..Self::default() }
    }

    pub(crate) fn is_caught(&self) -> bool {
        self.is_caught.load(Ordering::SeqCst)
    }

    /// Checks whether the signal has arrived. Several threads may do so.
    pub(crate) fn check(&self, now: Millis) {
        if !self.is_caught() {
            let checked_at = self.checked_at.load(Ordering::SeqCst);
            if now.saturating_sub(checked_at) >= HANDLER_DELAY_MS {
                self.unsignalled_at.store(checked_at, Ordering::SeqCst);
                self.checked_at.store(now, Ordering::SeqCst);
            }
        } else if !self.is_logged.swap(true, Ordering::SeqCst) {
            let state = if self.is_serving.load(Ordering::SeqCst) { "serving" } else { "starting" };
            let noticed_ms = now.saturating_sub(self.unsignalled_at());
            tracing::info!(unit = "run", event = "signalled", state, noticed_ms);
        }
    }

    pub(crate) fn record_serving(&self) {
        self.is_serving.store(true, Ordering::SeqCst);
    }

    /// Returns a time at which the signal had not been sent.
    pub(crate) fn unsignalled_at(&self) -> Millis {
        self.unsignalled_at.load(Ordering::SeqCst)
    }
}
