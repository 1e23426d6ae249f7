//! Signals that stop the process.

use std::io;

use nix::sys::signal::Signal;
use process::{
    BlockedSignals, CaughtSignal, CaughtSignals, ExitTimer, InheritedSignals, SignalReceiver,
};

/// Signals that the process catches. To be installed first in `main`.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: CaughtSignal,
    interrupt: CaughtSignal,
    pub(crate) inherited: InheritedSignals,
    pub(crate) timer: ExitTimer,
}

/// Receives the signals on the current thread.
#[derive(Debug)]
pub(crate) struct StopReceiver {
    terminate: SignalReceiver,
    interrupt: SignalReceiver,
}

impl StopSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if a handler can't be installed.
    pub(crate) fn install() -> io::Result<Self> {
        let signals = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
        let blocked = BlockedSignals::block(&signals)?;
        // There is nothing to reload, and the default action of SIGHUP would cut what is open. A
        // starter that ignores it, such as `nohup`, wants the process to run on.
        let ignores_hangup = blocked.inherited().is_ignored(Signal::SIGHUP);
        let stops = if ignores_hangup { &signals[..2] } else { &signals };
        let CaughtSignals { groups: [terminate, interrupt], inherited, timer } =
            blocked.catch([&stops[..1], &stops[1..]], stops)?;
        Ok(Self { terminate, interrupt, inherited, timer })
    }

    /// Receives the signals on the current thread, also those that have come before.
    ///
    /// # Errors
    /// Returns an error if the thread has no reactor, or no room in it.
    pub(crate) fn receive(self) -> io::Result<StopReceiver> {
        let terminate = self.terminate.receive()?;
        Ok(StopReceiver { terminate, interrupt: self.interrupt.receive()? })
    }
}

impl StopReceiver {
    /// Waits until the process is told to drain.
    ///
    /// # Errors
    /// Returns an error if the reactor is gone.
    pub(crate) async fn first(&self) -> io::Result<()> {
        tokio::select! {
            received = self.terminate.next() => received,
            received = self.interrupt.next() => received,
        }
    }

    /// Waits until the process is told to end its drain.
    ///
    /// # Errors
    /// Returns an error if the reactor is gone.
    pub(crate) async fn second(&self) -> io::Result<()> {
        self.terminate.next().await
    }
}
