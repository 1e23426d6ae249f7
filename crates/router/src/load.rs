//! Polls the load reports of targets whose services this router grants.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use serde::Deserialize;

use crate::client::TargetClient;
use crate::context::RouterContext;

/// Interval between reads of one target, in milliseconds.
const PERIOD_MS: u64 = 2_000;
/// Interval between reads of one target while some listed routers are
/// unreachable and may still use the targets, in milliseconds.
const PARTITION_PERIOD_MS: u64 = 500;
/// Timeout of a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

#[derive(Deserialize)]
struct LoadReport {
    active: u32,
    waiting: u32,
    /// False while an engine loads a model. Plain services omit the field.
    #[serde(default = "always_ready")]
    ready: bool,
}

fn always_ready() -> bool {
    true
}

/// Polls the load of targets until the process stops.
pub(crate) async fn run_load_polling(context: Arc<RouterContext>, client: TargetClient) {
    loop {
        for (service, target, address) in own_targets(&context) {
            let read = read_load(Arc::clone(&context), client, service, target, address);
            ntex::rt::spawn(read);
        }
        let all_reachable = {
            let core = context.core();
            core.members.reachable(context.now()).len() == core.members.listed_count()
        };
        let period_ms = if all_reachable { PERIOD_MS } else { PARTITION_PERIOD_MS };
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(period_ms)) => {}
            () = context.stop.cancelled() => return,
        }
    }
}

/// Returns service, name and address of each target whose service this router
/// grants.
fn own_targets(context: &RouterContext) -> Vec<(Name, Name, SocketAddr)> {
    let now = context.now();
    let core = context.core();
    let own = core
        .services
        .keys()
        .filter(|service| core.grantor_of(service, now) == context.settings.instance);
    let targets = own.flat_map(|service| {
        let live = core.list.targets(service).filter(|entry| !core.leaving.contains(&entry.id));
        live.map(|entry| (Name::clone(service), Name::clone(&entry.id), entry.address))
    });
    targets.collect()
}

async fn read_load(
    context: Arc<RouterContext>,
    client: TargetClient,
    service: Name,
    target: Name,
    address: SocketAddr,
) {
    let read = client.read::<LoadReport>(address, "/v1/load", READ_TIMEOUT_MS).await;
    let now = context.now();
    let mut core = context.core();
    let Some(state) = core.services.get_mut(&service) else { return };
    match read {
        Ok(Some(report)) => {
            let load = report.active + report.waiting;
            state.allocator.record_load(&target, load, report.ready, now);
        }
        Ok(None) => {}
        Err(cause) => {
            let cause = format!("{cause:#}");
            tracing::info!(unit = "load", event = "read_failed", %service, %target, cause);
            state.allocator.record_failure(&target, now);
        }
    }
}
