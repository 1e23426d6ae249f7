//! Identity of an instance and of the process that runs on it.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared immutable name of an instance, service, client account or target.
pub type Name = Arc<str>;

/// One incarnation of an instance.
///
/// All information exchanged between processes names its origin, so that a
/// restarted process is never mistaken for the one that it replaced.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Origin {
    /// Name from the settings; survives a restart.
    pub instance: Name,
    /// Random number generated at process start; differs after a restart.
    pub incarnation: u64,
}

impl Origin {
    /// Creates the origin of a process that starts now. Uses the system time if
    /// no random number is available.
    pub fn generate(instance: Name) -> Self {
        let incarnation = getrandom::u64().unwrap_or_else(|_| {
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            since.map_or(1, |age| age.as_nanos() as u64)
        });
        // Reduced to 53 bits, as JSON readers that store numbers as 64-bit
        // floats would round a larger one.
        Self { instance, incarnation: incarnation >> 11 }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.instance, self.incarnation)
    }
}
