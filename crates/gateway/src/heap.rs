//! Return of freed memory to the system.

use std::sync::Arc;
use std::time::Duration;

use crate::context::GatewayContext;

/// Time between two returns of freed memory.
const TRIM_PERIOD: Duration = Duration::from_secs(1);

/// Returns freed memory to the system until the process stops. The allocator by itself
/// returns only memory at the end of its heap, and a single allocation there keeps all of
/// it.
pub(crate) async fn trim_heap(context: Arc<GatewayContext>) {
    while !context.shutdown.is_cancelled() {
        tokio::time::sleep(TRIM_PERIOD).await;
        trim();
    }
}

#[cfg(target_env = "gnu")]
fn trim() {
    // SAFETY: malloc_trim may be called at any time and from any thread.
    unsafe { libc::malloc_trim(0) };
}

#[cfg(not(target_env = "gnu"))]
fn trim() {}
