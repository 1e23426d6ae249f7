//! Signals to the process.

use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::Millis;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Longest time in milliseconds for which a thread that has taken a signal may not yet have run
/// its handler.
const HANDLER_DELAY_MS: Millis = 100;

/// Signals that the process catches. To be installed first in `main`: until then they end the
/// process at once.
#[derive(Debug)]
pub struct ProcessSignals {
    pub(crate) stop: CaughtSignal,
    pub(crate) reload: CaughtSignal,
}

/// A signal that is caught, whether or not anything waits for it yet.
#[derive(Debug)]
pub(crate) struct CaughtSignal {
    /// Set by the handler.
    is_caught: Arc<AtomicBool>,
    /// Has a byte for signals that came after `is_caught` was registered. The handler sets the flag
    /// first, so whoever finds no flag finds the byte.
    receiver: UnixStream,
}

/// Receives a signal on the current thread.
#[derive(Debug)]
pub(crate) struct SignalReceiver {
    is_caught: Arc<AtomicBool>,
    receiver: tokio::net::UnixStream,
}

impl ProcessSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if a handler can't be installed.
    pub fn install() -> io::Result<Self> {
        base::install_handlers(&[SIGHUP, SIGTERM, SIGINT], || {
            let reload = CaughtSignal::install(&[SIGHUP])?;
            Ok(Self { stop: CaughtSignal::install(&[SIGTERM, SIGINT])?, reload })
        })
    }
}

impl CaughtSignal {
    fn install(numbers: &[i32]) -> io::Result<Self> {
        let is_caught = Arc::new(AtomicBool::new(false));
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        for number in numbers {
            signal_hook::flag::register(*number, Arc::clone(&is_caught))?;
            signal_hook::low_level::pipe::register(*number, sender.try_clone()?)?;
        }
        Ok(Self { is_caught, receiver })
    }

    pub(crate) fn is_caught(&self) -> bool {
        self.is_caught.load(Ordering::SeqCst)
    }

    /// Returns the watch of a signal that has not come before the time 0 of its clock.
    pub(crate) fn watch(&self) -> SignalWatch {
        SignalWatch { is_caught: Arc::clone(&self.is_caught), ..SignalWatch::default() }
    }

    /// Receives the signal on the current thread.
    ///
    /// # Errors
    /// Returns an error if the thread has no reactor, or no room in it.
    pub(crate) fn receive(self) -> io::Result<SignalReceiver> {
        let receiver = tokio::net::UnixStream::from_std(self.receiver)?;
        Ok(SignalReceiver { is_caught: self.is_caught, receiver })
    }
}

impl SignalReceiver {
    /// Waits until a signal has come since the handler was installed.
    ///
    /// # Errors
    /// Returns an error if the reactor is gone.
    pub(crate) async fn first(&self) -> io::Result<()> {
        while !self.is_caught.load(Ordering::SeqCst) {
            self.receiver.readable().await?;
            self.discard_bytes()?;
        }
        Ok(())
    }

    /// Waits until a signal has come since the last call, or since the handler was installed.
    ///
    /// # Errors
    /// Returns an error if the reactor is gone.
    pub(crate) async fn next(&self) -> io::Result<()> {
        self.first().await?;
        self.is_caught.store(false, Ordering::SeqCst);
        Ok(())
    }

    fn discard_bytes(&self) -> io::Result<()> {
        let mut buffer = [0; 64];
        match self.receiver.try_read(&mut buffer) {
            Err(cause) if cause.kind() != ErrorKind::WouldBlock => Err(cause),
            _ => Ok(()),
        }
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
    /// Checks whether the signal has arrived.
    pub(crate) fn check(&self, now: Millis) {
        if !self.is_caught.load(Ordering::SeqCst) {
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
