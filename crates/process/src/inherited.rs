//! What a process inherits from its starter.

use std::io;
use std::os::unix::process::parent_id;

use nix::sys::signal::{SigSet, Signal};

use crate::status::{SignalMask, SignalStatus};

/// Process id of the first process of a system or container. Signals that it has no handler for are
/// dropped.
const INIT_PROCESS: u32 = 1;

/// State of the signals that a process catches, as its starter left it.
#[derive(Debug)]
pub struct InheritedSignals {
    /// Would not be delivered if the process kept its mask.
    blocked: SignalMask,
    /// None if the system does not report it.
    status: io::Result<SignalStatus>,
    signals: Vec<Signal>,
}

impl InheritedSignals {
    /// Reads the state of `signals`. To be called while they are blocked on this thread, whose mask
    /// was `blocked`, and before they have handlers.
    pub(crate) fn read(signals: &[Signal], blocked: &SigSet) -> Self {
        let signals = signals.to_vec();
        let status = SignalStatus::of_this_process();
        let blocked = signals.iter().copied().filter(|signal| blocked.contains(*signal)).collect();
        Self { blocked, status, signals }
    }

    /// Whether the starter had set `signal` to be dropped. One that was sent before the process
    /// caught it is lost then.
    pub fn is_ignored(&self, signal: Signal) -> bool {
        self.status.as_ref().is_ok_and(|status| status.ignored.contains(signal))
    }

    /// Logs the state.
    pub fn log(&self) {
        let (process, parent) = (std::process::id(), parent_id());
        let blocked = self.blocked;
        let status = match &self.status {
            Ok(status) => status,
            Err(cause) => {
                let event = "inherited_not_read";
                return tracing::warn!(unit = "run", event, %blocked, process, parent, %cause);
            }
        };
        let of_status = |mask: SignalMask| -> SignalMask {
            self.signals.iter().copied().filter(|signal| mask.contains(*signal)).collect()
        };
        let (ignored, pending) = (of_status(status.ignored), of_status(status.pending));
        // Until they were caught, signals were dropped.
        let drops_early = ignored != SignalMask::default() || process == INIT_PROCESS;
        tracing::info!(
            unit = "run",
            event = "inherited",
            %blocked,
            %ignored,
            %pending,
            drops_early,
            process,
            parent,
        );
    }
}
