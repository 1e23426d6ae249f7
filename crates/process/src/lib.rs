//! Signals of a process: how they are caught, and what it inherits from its starter.

mod caught;
mod inherited;
mod status;

pub use caught::{CaughtSignal, SignalReceiver, catch_signals};
pub use inherited::InheritedSignals;
pub use status::SignalStatus;
