//! Installation of signal handlers.

use std::io;

use nix::sys::signal::{SigSet, SigmaskHow, Signal};

/// Runs `install` with signals blocked on this thread, so that one that comes meanwhile waits until
/// the handlers are complete, and is not lost between the installation of a handler and the
/// registration of what that handler runs. To be called while the process has no
/// other thread, as that would take the signal.
///
/// # Errors
/// Returns the error of `install`, or one if `signals` can't be blocked.
pub fn install_handlers<T>(
    signals: &[i32],
    install: impl FnOnce() -> io::Result<T>,
) -> io::Result<T> {
    let signals = signals.iter().map(|number| Signal::try_from(*number));
    let blocked: SigSet = signals.collect::<Result<_, _>>()?;
    let before = blocked.thread_swap_mask(SigmaskHow::SIG_BLOCK)?;
    let installed = install();
    before.thread_set_mask()?;
    installed
}
