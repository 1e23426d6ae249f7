//! Signals of a process: how they are caught, and what it inherits from its starter.

mod caught;
mod inherited;
mod status;
mod timer;

pub use caught::{BlockedSignals, CaughtSignal, CaughtSignals, SignalReceiver};
pub use inherited::InheritedSignals;
pub use status::{SignalMask, SignalStatus};
pub use timer::ExitTimer;
