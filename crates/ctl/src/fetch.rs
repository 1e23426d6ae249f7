//! Fetches JSON from routers.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::Client;
use serde_json::Value;

use crate::args::FleetArgs;

/// Timeout of the request to one router, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Fetches `path` from every router, one after the other. The result of a router
/// that does not respond is an error.
pub(crate) fn fetch_all(fleet: &FleetArgs, path: &str) -> Vec<(SocketAddr, anyhow::Result<Value>)> {
    let system = ntex::rt::System::new("poplar", ntex::rt::DefaultRuntime);
    system.block_on({
        let (fleet, path) = (fleet.clone(), path.to_owned());
        async move {
            let mut responses = Vec::new();
            for router in &fleet.routers {
                responses.push((*router, fetch(*router, &path, &fleet.secret).await));
            }
            responses
        }
    })
}

async fn fetch(router: SocketAddr, path: &str, secret: &str) -> anyhow::Result<Value> {
    let request = async {
        let client = Client::builder()
            .build(SharedCfg::default())
            .await
            .map_err(|cause| anyhow::anyhow!("step=start_client: {cause}"))?;
        let response = client
            .get(format!("http://{router}{path}"))
            .header("x-poplar-secret", secret)
            .send()
            .await
            .map_err(|cause| anyhow::anyhow!("step=send peer={router}: {cause}"))?;
        let status = response.status();
        anyhow::ensure!(status.is_success(), "peer={router}: response status {}", status.as_u16());
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|cause| anyhow::anyhow!("step=read peer={router}: {cause}"))?;
        Ok(serde_json::from_slice(&body)?)
    };
    tokio::time::timeout(Duration::from_millis(TIMEOUT_MS), request)
        .await
        .map_err(|_| anyhow::anyhow!("peer={router}: no response within {TIMEOUT_MS} ms"))?
}
