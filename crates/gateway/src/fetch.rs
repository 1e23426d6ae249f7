//! Fetches the changes that peers have and this router lacks.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use changes::{
    CHANGES_PATH, ChangesRequest, MAX_CHANGES_BYTES, NO_RECORDS, PeerChanges, decode_changes,
};
use http::Method;
use hyper::body::Bytes;
use mesh::FetchQuota;
use outbound::FetchClient;
use tokio::sync::mpsc;

use crate::cold::fill_in_cold;
use crate::configuration::record_version;
use crate::context::GatewayContext;
use crate::platform::SourceUpdate;
use crate::view::{apply_peer_domains, apply_peer_update, record_left_targets};

/// Time limit for fetching changes from a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// A fetch of the changes after a revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerFetch {
    pub(crate) peer: SocketAddr,
    pub(crate) after: u64,
    pub(crate) purpose: FetchPurpose,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FetchPurpose {
    /// The peer is ahead.
    Changes,
    /// This router has started.
    Start,
    /// The source was restored.
    Domains,
}

/// Returns the number of peers still to be asked for a purpose, if that is limited.
fn quota(context: &GatewayContext, purpose: FetchPurpose) -> Option<MutexGuard<'_, FetchQuota>> {
    match purpose {
        FetchPurpose::Changes => None,
        FetchPurpose::Start => Some(context.start_fetches()),
        FetchPurpose::Domains => Some(context.domain_fetches()),
    }
}

/// Queues a fetch, unless one is pending already. If a peer is to be asked all the same, that is
/// tried again.
pub(crate) fn queue_fetch(
    context: &GatewayContext,
    fetch: PeerFetch,
    fetch_sender: &mpsc::Sender<PeerFetch>,
) {
    let is_queued = fetch_sender.try_send(fetch).is_ok();
    let Some(mut quota) = quota(context, fetch.purpose) else { return };
    if is_queued {
        quota.begin();
    } else {
        quota.postpone(context.now());
    }
}

/// Fetches changes from peers with a newer revision, one at a time.
pub(crate) async fn fetch_from_peers(
    context: Arc<GatewayContext>,
    mut fetch_receiver: mpsc::Receiver<PeerFetch>,
) {
    while let Some(fetch) = fetch_receiver.recv().await {
        if let Err(cause) = fetch_changes(&context, fetch).await {
            let peer = fetch.peer;
            tracing::info!(unit = "beats", event = "changes_not_fetched", %peer, cause = format!("{cause:#}"));
            if let Some(mut quota) = quota(&context, fetch.purpose) {
                quota.record_failure(context.now());
            }
        }
    }
}

async fn fetch_changes(context: &GatewayContext, fetch: PeerFetch) -> anyhow::Result<()> {
    let PeerFetch { peer, after, .. } = fetch;
    let request = rmp_serde::to_vec(&ChangesRequest::of_targets(after))?;
    let mut client = FetchClient::new(peer, MAX_CHANGES_BYTES);
    let body = Bytes::from(request);
    let response = client.fetch(Method::POST, CHANGES_PATH, body, PEER_TIMEOUT).await?;
    let status = response.status();
    anyhow::ensure!(status.is_success(), "step=fetch_changes peer={peer}: status {status}");
    let changes = decode_changes(response.body())?;
    let PeerChanges { response, notice, configuration, versions, domains, cold, moves, removals } =
        changes;
    // Recorded before the revision, from which this router may read the source next.
    record_version(context, peer, configuration.version);
    let now = context.now();
    if let Some(age) = response.source_recovery_age {
        context.targets().record_peer_recovery(age, now);
    }
    // Applied before the targets and the revision, so that no target is used in spite of one.
    if let Some(listing) = domains {
        apply_peer_domains(context, listing);
    }
    // A response without records is not complete up to its revision.
    let revision = if after == NO_RECORDS { 0 } else { response.revision };
    let update = SourceUpdate {
        revision,
        table: response.table,
        records: response.records,
        ..SourceUpdate::default()
    };
    fill_in_cold(context, cold.version, cold.services);
    apply_peer_update(context, update, removals);
    {
        let mut resumes = context.resumes();
        resumes.merge_versions(versions, now);
        resumes.merge_moves(moves, now);
    }
    record_left_targets(context, notice.left);
    Ok(())
}
