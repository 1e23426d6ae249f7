//! Admission control: max-min fair shares of client accounts over the fleet, the
//! retry budget, and overload detection of a router. Does no I/O.

mod lateness;
mod retries;
mod shares;
mod window;

pub use lateness::{LatenessSettings, ThreadLateness};
pub use retries::{RetryBudget, RetrySettings};
pub use shares::{AccountDemand, AccountShares, ShareSettings, ShareVerdict, water_level};
pub use window::RateWindow;
