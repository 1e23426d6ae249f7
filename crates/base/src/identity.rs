//! Who said something: an instance and one of its lives.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared immutable name of an instance, service, client account or target.
pub type Name = Arc<str>;

/// One life of one instance.
///
/// Every fact that travels between processes names its origin, so a restarted
/// process is never taken for the one that it replaced.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Origin {
    /// Name from the settings; survives a restart.
    pub instance: Name,
    /// Drawn at process start; differs between lives.
    pub incarnation: u64,
}

impl Origin {
    /// Origin of a process that starts now.
    pub fn generate(instance: Name) -> Self {
        let incarnation = getrandom::u64().unwrap_or_else(|_| {
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            since.map_or(1, |age| age.as_nanos() as u64)
        });
        // The upper bits are dropped so that the number survives JSON readers
        // which hold numbers as 64-bit floats.
        Self { instance, incarnation: incarnation >> 11 }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.instance, self.incarnation)
    }
}
