//! Keeps what was encoded from the configuration in force.

use std::sync::Arc;

use crate::RouteTable;

/// The last configuration that was encoded, as `T`. A table that was completed later under the same
/// version is another one.
#[derive(Debug)]
pub struct EncodedTable<T> {
    /// The table is kept, so that no other one gets its address, and none is completed in place.
    last: Option<(Arc<RouteTable>, T)>,
}

impl<T> Default for EncodedTable<T> {
    fn default() -> Self {
        Self { last: None }
    }
}

impl<T: Clone> EncodedTable<T> {
    /// Returns what `table` was encoded as, if it is known.
    pub fn get(&self, table: &Arc<RouteTable>) -> Option<T> {
        let (_, encoded) = self.last.as_ref().filter(|(known, _)| Arc::ptr_eq(known, table))?;
        Some(encoded.clone())
    }

    pub fn set(&mut self, table: Arc<RouteTable>, encoded: T) {
        self.last = Some((table, encoded));
    }
}
