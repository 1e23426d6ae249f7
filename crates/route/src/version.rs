//! Which version of the configuration is in force.

use std::sync::Arc;

use crate::RouteTable;

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionVerdict {
    /// It is in force now.
    Accepted { replaced: Option<u64> },
    /// The one in force is as new or newer.
    Stale { in_force: u64 },
}

/// Holds the newest configuration that this process ever saw.
#[derive(Debug, Default)]
pub struct VersionGate {
    /// Its version only rises within the life of the process.
    in_force: Option<Arc<RouteTable>>,
}

impl VersionGate {
    /// Takes a configuration that is newer than the one in force.
    pub fn offer(&mut self, table: RouteTable) -> VersionVerdict {
        let replaced = self.version();
        if let Some(in_force) = replaced.filter(|version| *version >= table.version) {
            return VersionVerdict::Stale { in_force };
        }
        self.in_force = Some(Arc::new(table));
        VersionVerdict::Accepted { replaced }
    }

    pub fn current(&self) -> Option<Arc<RouteTable>> {
        self.in_force.clone()
    }

    pub fn version(&self) -> Option<u64> {
        self.in_force.as_ref().map(|table| table.version)
    }
}
