//! Polls the published instance list.

use std::sync::Arc;
use std::time::Duration;

use fleet::InstanceList;

use crate::client::PlatformClient;
use crate::context::RouterContext;

/// Minimum interval between reads, in milliseconds.
const MIN_PERIOD_MS: u64 = 1_000;
/// Interval between reads for each router in the list, in milliseconds. It
/// limits the fleet to 100 reads a second.
const PERIOD_PER_ROUTER_MS: u64 = 10;
/// Timeout of a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Polls the instance list until the process stops.
pub(crate) async fn run_list_polling(context: Arc<RouterContext>, platform: PlatformClient) {
    loop {
        let address = context.settings.instance_list;
        let read = platform.read::<InstanceList>(address, "/v1/instances", READ_TIMEOUT_MS);
        match read.await {
            Ok(Some(list)) => context.core().apply_list(list),
            Ok(None) => {}
            Err(cause) => {
                tracing::info!(unit = "list", event = "read_failed", cause = format!("{cause:#}"));
            }
        }
        let routers = context.core().list.routers().count() as u64;
        let period_ms = MIN_PERIOD_MS.max(routers * PERIOD_PER_ROUTER_MS);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(period_ms)) => {}
            () = context.stop.cancelled() => return,
        }
    }
}
