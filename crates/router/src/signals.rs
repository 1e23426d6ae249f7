//! Signals that stop the process.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that stop the process, caught since they were subscribed to.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Catches the signals from now on. Those that come before they are awaited are kept.
    ///
    /// # Errors
    /// Returns an error if a handler can't be installed.
    pub(crate) fn subscribe() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits until the process is told to drain.
    pub(crate) async fn first(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits until the process is told to end its drain.
    pub(crate) async fn second(&mut self) {
        self.terminate.recv().await;
    }
}
