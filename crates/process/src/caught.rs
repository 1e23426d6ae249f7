//! Signals that are caught from the start of a process.

use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nix::sys::signal::{SigSet, SigmaskHow, Signal};

use crate::inherited::InheritedSignals;
use crate::timer::ExitTimer;

/// Signals that are caught together, whether or not anything waits for them yet.
#[derive(Debug)]
pub struct CaughtSignal {
    /// Set by the handler.
    is_caught: Arc<AtomicBool>,
    /// Has a byte for signals that came after `is_caught` was registered. The handler sets the flag
    /// first, so whoever finds no flag finds the byte.
    receiver: UnixStream,
}

/// Receives signals on the current thread.
#[derive(Debug)]
pub struct SignalReceiver {
    is_caught: Arc<AtomicBool>,
    receiver: tokio::net::UnixStream,
}

/// Signals that wait until they are caught, so that none is lost while its handlers are installed.
/// While a signal is blocked, the system keeps it even if it is ignored.
#[derive(Debug)]
pub struct BlockedSignals {
    blocked: SigSet,
    inherited: InheritedSignals,
}

/// What a process catches, from the start of its `main` on.
#[derive(Debug)]
pub struct CaughtSignals<const N: usize> {
    pub groups: [CaughtSignal; N],
    pub inherited: InheritedSignals,
    /// Ends the process if it does not stop by itself.
    pub timer: ExitTimer,
}

impl BlockedSignals {
    /// Blocks `signals`. To be called first in `main`, while the process has no other thread: until
    /// then they have the action that the starter of the process left.
    ///
    /// # Errors
    /// Returns an error if they can't be blocked.
    pub fn block(signals: &[Signal]) -> io::Result<Self> {
        let blocked: SigSet = signals.iter().copied().collect();
        let before = blocked.thread_swap_mask(SigmaskHow::SIG_BLOCK)?;
        Ok(Self { blocked, inherited: InheritedSignals::read(signals, &before) })
    }

    pub fn inherited(&self) -> &InheritedSignals {
        &self.inherited
    }

    /// Catches each group of signals, also those that the starter of the process blocked or ignored.
    /// Those of `stops` stop the process.
    ///
    /// # Errors
    /// Returns an error if a handler can't be installed, or a thread can't be started.
    pub fn catch<const N: usize>(
        self,
        groups: [&[Signal]; N],
        stops: &[Signal],
    ) -> io::Result<CaughtSignals<N>> {
        let caught: io::Result<Vec<_>> = groups.into_iter().map(CaughtSignal::install).collect();
        let groups = caught?.try_into().map_err(|_| io::Error::other("a group has no handler"))?;
        let timer = ExitTimer::start(stops)?;
        // Threads that start later inherit this mask, not the one of the starter.
        self.blocked.thread_unblock()?;
        Ok(CaughtSignals { groups, inherited: self.inherited, timer })
    }
}

impl CaughtSignal {
    fn install(signals: &[Signal]) -> io::Result<Self> {
        let is_caught = Arc::new(AtomicBool::new(false));
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::flag::register(*signal as i32, Arc::clone(&is_caught))?;
            signal_hook::low_level::pipe::register(*signal as i32, sender.try_clone()?)?;
        }
        Ok(Self { is_caught, receiver })
    }

    /// Returns the flag that a handler sets.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_caught)
    }

    pub fn is_caught(&self) -> bool {
        self.is_caught.load(Ordering::SeqCst)
    }

    /// Receives the signals on the current thread.
    ///
    /// # Errors
    /// Returns an error if the thread has no reactor, or no room in it.
    pub fn receive(self) -> io::Result<SignalReceiver> {
        let receiver = tokio::net::UnixStream::from_std(self.receiver)?;
        Ok(SignalReceiver { is_caught: self.is_caught, receiver })
    }
}

impl SignalReceiver {
    /// Waits until a signal has come since the handler was installed.
    ///
    /// # Errors
    /// Returns an error if the reactor is gone.
    pub async fn first(&self) -> io::Result<()> {
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
    pub async fn next(&self) -> io::Result<()> {
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
