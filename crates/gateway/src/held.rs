//! Bytes held for one request, counted against the memory of the process.

use std::sync::Arc;

use admit::{HoldKey, MemoryRefusal};
use base::Name;

use crate::context::GatewayContext;
use crate::refusal::{Refusal, RefusalCause};

/// Time after which a caller that is refused for memory may retry, in milliseconds:
/// about the time in which requests that hold bytes are sent to a target.
const MEMORY_RETRY_MS: u64 = 500;

/// Bytes that count against the memory of the process until they are dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    context: Arc<GatewayContext>,
    key: HoldKey,
}

impl HeldBytes {
    /// Holds `bytes` for a request of `account`.
    ///
    /// # Errors
    /// Refuses the request if the memory of the process does not allow it.
    pub(crate) fn new(
        context: &Arc<GatewayContext>,
        account: Option<&Name>,
        bytes: usize,
    ) -> Result<Self, Refusal> {
        let key = context.memory().hold(account, bytes).map_err(refusal)?;
        Ok(Self { context: Arc::clone(context), key })
    }

    /// Holds `bytes` more of the body.
    ///
    /// # Errors
    /// Refuses the request if the memory of the process does not allow it.
    pub(crate) fn grow(&self, bytes: usize) -> Result<(), Refusal> {
        self.context.memory().grow(self.key, bytes).map_err(refusal)
    }

    /// Holds `bytes` of the response to the request.
    ///
    /// # Errors
    /// Returns a refusal if the memory of the process does not allow it.
    pub(crate) fn hold_response(&self, bytes: usize) -> Result<(), Refusal> {
        self.context.memory().hold_response(self.key, bytes).map_err(refusal)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.context.memory().release(self.key);
    }
}

fn refusal(cause: MemoryRefusal) -> Refusal {
    let cause = match cause {
        MemoryRefusal::Full => RefusalCause::MemoryFull,
        MemoryRefusal::AccountLimit => RefusalCause::AccountMemory,
    };
    Refusal::retry_after(cause, MEMORY_RETRY_MS)
}
