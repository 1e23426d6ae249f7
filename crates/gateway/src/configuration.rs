//! Passes the configuration on from router to router, apart from the changes of targets: it may
//! be large, and those are urgent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use hyper::body::Bytes;
use outbound::{FetchClient, FetchTimeouts};
use tokio::sync::mpsc;

use crate::context::GatewayContext;
use crate::messages::{CHANGES_PATH, ChangesRequest, MAX_CHANGES_BYTES, decode_changes};
use crate::platform::SourceUpdate;
use crate::view::{UpdateOrigin, apply_update};

/// Time limits for fetching the configuration from a peer. A large one takes seconds on a small
/// machine, so that only a peer that sends nothing is given up early.
const FETCH_TIMEOUTS: FetchTimeouts = FetchTimeouts {
    head: Duration::from_millis(400),
    pause: Duration::from_millis(600),
    total: Duration::from_secs(10),
};

/// Peers that have a newer configuration than this router, to be asked for it.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationQueue(mpsc::Sender<SocketAddr>);

impl ConfigurationQueue {
    /// Records that the peer with the HTTP address `peer` has version `version`, and fetches it
    /// if it is newer than that of this router.
    pub(crate) fn record_version(
        &self,
        context: &GatewayContext,
        peer: SocketAddr,
        version: Option<u64>,
    ) {
        context.source().record_announced_version(version);
        if version > context.versions().version() {
            // If the channel is full, a fetch is already pending.
            let _ = self.0.try_send(peer);
        }
    }
}

/// Starts the task that fetches newer configurations, one at a time.
pub(crate) fn start_configuration_fetches(context: &Arc<GatewayContext>) -> ConfigurationQueue {
    let (sender, receiver) = mpsc::channel(1);
    ntex::rt::spawn(fetch_configurations(Arc::clone(context), receiver));
    ConfigurationQueue(sender)
}

async fn fetch_configurations(
    context: Arc<GatewayContext>,
    mut receiver: mpsc::Receiver<SocketAddr>,
) {
    while let Some(peer) = receiver.recv().await {
        if let Err(cause) = fetch_configuration(&context, peer).await {
            let cause = format!("{cause:#}");
            tracing::info!(unit = "configuration", event = "not_fetched", %peer, cause);
        }
    }
}

async fn fetch_configuration(context: &GatewayContext, peer: SocketAddr) -> anyhow::Result<()> {
    let version = context.versions().version();
    let request = rmp_serde::to_vec(&ChangesRequest::of_configuration(version))?;
    let mut client = FetchClient::new(peer, MAX_CHANGES_BYTES);
    let body = Bytes::from(request);
    let response = client.fetch(Method::POST, CHANGES_PATH, body, FETCH_TIMEOUTS).await?;
    let status = response.status();
    anyhow::ensure!(status.is_success(), "step=fetch_configuration peer={peer}: status {status}");
    let table = decode_changes(response.body())?.response.table;
    let update = SourceUpdate { table, ..SourceUpdate::default() };
    apply_update(context, update, UpdateOrigin::Peer);
    Ok(())
}
