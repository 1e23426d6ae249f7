//! Who is served when not everybody can be: max-min shares of client accounts
//! over the fleet, and the budget for repeats. Pure; no network.

mod lateness;
mod repeats;
mod shares;
mod window;

pub use lateness::{LatenessSettings, ThreadLateness};
pub use repeats::{RetryBudget, RetrySettings};
pub use shares::{AccountDemand, AccountShares, ShareSettings, ShareVerdict, water_level};
pub use window::RateWindow;
