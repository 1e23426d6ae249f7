//! Bytes held for one request, counted against the memory of the process.

use std::sync::Arc;

use admit::{HoldKey, MemoryRefusal};
use base::Name;
use cadence::prelude::*;

use crate::context::RouterContext;
use crate::refusal::RefusalCode;

/// Bytes that count against the memory of the process until they are dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    context: Arc<RouterContext>,
    key: HoldKey,
}

impl HeldBytes {
    /// Holds `bytes` for a request of `account`.
    ///
    /// # Errors
    /// Returns why the memory of the process does not allow it.
    pub(crate) fn new(
        context: &Arc<RouterContext>,
        account: &Name,
        bytes: usize,
    ) -> Result<Self, RefusalCode> {
        let held = context.memory().hold(Some(account), bytes);
        let key = held.map_err(|cause| refuse(context, account, "request", cause))?;
        Ok(Self { context: Arc::clone(context), key })
    }

    /// Holds `bytes` more for the request, which has not run.
    ///
    /// # Errors
    /// Returns why the memory of the process does not allow it.
    pub(crate) fn grow(&self, account: &Name, bytes: usize) -> Result<(), RefusalCode> {
        let grown = self.context.memory().grow(self.key, bytes);
        grown.map_err(|cause| refuse(&self.context, account, "request", cause))
    }

    /// Holds `bytes` of the response to the request, which has run.
    ///
    /// # Errors
    /// Returns an error if the memory of the process does not allow it.
    pub(crate) fn hold_response(&self, account: &Name, bytes: usize) -> Result<(), RefusalCode> {
        let grown = self.context.memory().hold_response(self.key, bytes);
        grown.map_err(|cause| {
            refuse(&self.context, account, "response", cause);
            RefusalCode::ResponseNotHeld
        })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.context.memory().release(self.key);
    }
}

/// Counts and logs that the limit `resources.memory_mb` was reached.
fn refuse(
    context: &RouterContext,
    account: &Name,
    part: &str,
    cause: MemoryRefusal,
) -> RefusalCode {
    context.metrics.incr("memory_refused").ok();
    let limit = "resources.memory_mb";
    tracing::info!(unit = "memory", event = "not_held", %account, part, ?cause, limit);
    match cause {
        MemoryRefusal::Full => RefusalCode::MemoryFull,
        MemoryRefusal::AccountLimit => RefusalCode::AccountMemory,
    }
}
