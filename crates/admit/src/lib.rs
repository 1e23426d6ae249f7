//! Admission control: max-min fair shares of client accounts over the fleet, the
//! retry budget, overload detection of a router and what it accepts. Does no I/O.

mod accept;
mod closing;
mod lateness;
mod memory;
mod resources;
mod retries;
mod shares;
mod stop;
mod window;

pub use accept::{AcceptPolicy, AcceptSettings};
pub use closing::{OpenCounts, StopCycle, StopStep};
pub use lateness::{LatenessSettings, ThreadLateness};
pub use memory::{HoldKey, MemoryBudget, MemoryRefusal, MemorySettings};
pub use resources::ResourceSettings;
pub use retries::{RetryBudget, RetrySettings};
pub use shares::{AccountDemand, AccountShares, ShareSettings, ShareVerdict, water_level};
pub use stop::{LINGER_MS, StopPlan, StopSettings};
pub use window::RateWindow;
