//! Keeps the newest version of the configuration in force.

use std::sync::Arc;

use base::Name;

use crate::{ColdSpec, RouteTable};

/// Result of offering a configuration to a [`VersionGate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionVerdict {
    /// The configuration is now in force.
    Accepted { replaced: Option<u64> },
    /// The configuration in force has the same or a newer version.
    Stale { in_force: u64 },
}

/// Holds the newest configuration that this process has received.
#[derive(Debug, Default)]
pub struct VersionGate {
    /// Its version only increases while the process runs.
    in_force: Option<Arc<RouteTable>>,
}

impl VersionGate {
    /// Puts a configuration in force if it is newer than the current one.
    pub fn offer(&mut self, table: RouteTable) -> VersionVerdict {
        let replaced = self.version();
        if let Some(in_force) = replaced.filter(|version| *version >= table.version) {
            return VersionVerdict::Stale { in_force };
        }
        self.in_force = Some(Arc::new(table));
        VersionVerdict::Accepted { replaced }
    }

    /// Completes the configuration in force by what a router of an earlier version left out when
    /// it passed on that version. Returns whether that changed it.
    pub fn fill_in_cold(&mut self, version: Option<u64>, specs: Vec<(Name, ColdSpec)>) -> bool {
        let in_force = self.in_force.as_mut();
        let lacking = in_force.filter(|table| {
            Some(table.version) == version && !specs.is_empty() && table.cold_specs().is_empty()
        });
        let Some(table) = lacking else { return false };
        Arc::make_mut(table).set_cold_specs(specs);
        true
    }

    pub fn current(&self) -> Option<Arc<RouteTable>> {
        self.in_force.clone()
    }

    pub fn version(&self) -> Option<u64> {
        self.in_force.as_ref().map(|table| table.version)
    }
}
