//! Passes the configuration on from router to router, apart from the changes of targets: it may
//! be large, and those are urgent.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use changes::{
    CHANGES_PATH, ChangesRequest, ChangesResponse, ConfigurationReferral, MAX_CHANGES_BYTES,
    PeerChanges, ReceiverNotice, append_part, decode_changes, encode_changes,
};
use http::{Method, StatusCode};
use hyper::body::Bytes;
use mesh::{HolderVerdict, TransferKey, TransferVerdict};
use ntex::io::IoRef;
use outbound::{FetchClient, FetchTimeouts};
use rmp_serde::encode::Error as EncodeError;
use route::RouteTable;

use crate::context::GatewayContext;
use crate::platform::SourceUpdate;
use crate::view::{UpdateOrigin, apply_update};

/// Time limits for fetching the configuration from a peer. A large one takes seconds on a small
/// machine, so that only a peer that sends next to nothing is given up early.
const FETCH_TIMEOUTS: FetchTimeouts = FetchTimeouts {
    head: Duration::from_millis(400),
    part: Duration::from_millis(600),
    total: Duration::from_secs(10),
};

/// What a peer that asks for the configuration gets.
pub(crate) enum ConfigurationAnswer {
    /// The configuration, or a response without it if the peer has the same version.
    Response(ntex::util::Bytes),
    Referral(Vec<u8>),
}

/// Records that the peer with the HTTP address `peer` has a version of the configuration, which
/// is fetched if it is newer than that of this router.
pub(crate) fn record_version(context: &GatewayContext, peer: SocketAddr, version: Option<u64>) {
    context.source().announced.record(version);
    let own_version = context.versions().version();
    let Some(version) = version.filter(|version| Some(*version) > own_version) else { return };
    context.resumes().record_announced(version);
    context.holders().record(peer, version);
    context.holder_found.notify_one();
}

/// Fetches newer configurations from peers, one at a time, until the process stops.
pub(crate) async fn follow_configuration(context: Arc<GatewayContext>) {
    while !context.shutdown.is_cancelled() {
        let version = context.versions().version();
        let verdict = context.holders().decide(version, context.now());
        match verdict {
            HolderVerdict::Ask(peer) => ask(&context, peer, version).await,
            HolderVerdict::Wait(wait_ms) => wait(&context, wait_ms).await,
            HolderVerdict::Idle => context.holder_found.notified().await,
        }
    }
}

async fn wait(context: &GatewayContext, wait_ms: Millis) {
    let pause = Duration::from_millis(wait_ms.max(1));
    // Another holder may be free before.
    let _ = tokio::time::timeout(pause, context.holder_found.notified()).await;
}

async fn ask(context: &GatewayContext, peer: SocketAddr, version: Option<u64>) {
    match fetch(context, peer, version).await {
        Ok(FetchedConfiguration::Response(response)) => {
            // What the peer has is known now, whatever it announced; it may announce more.
            context.holders().remove(peer);
            let update = SourceUpdate { table: response.table, ..SourceUpdate::default() };
            apply_update(context, update, UpdateOrigin::Peer);
        }
        Ok(FetchedConfiguration::Referral(ConfigurationReferral { version, holders })) => {
            let count = holders.len();
            tracing::debug!(unit = "configuration", event = "referred", %peer, version, count);
            context.holders().record_referral(peer, &holders, version, context.now());
        }
        Err(cause) => {
            let cause = format!("{cause:#}");
            tracing::info!(unit = "configuration", event = "not_fetched", %peer, cause);
            context.holders().record_failure(peer, context.now());
        }
    }
}

enum FetchedConfiguration {
    Response(Box<ChangesResponse>),
    Referral(ConfigurationReferral),
}

async fn fetch(
    context: &GatewayContext,
    peer: SocketAddr,
    version: Option<u64>,
) -> anyhow::Result<FetchedConfiguration> {
    let mut request = rmp_serde::to_vec(&ChangesRequest::of_configuration(version))?;
    append_part(&mut request, &ReceiverNotice { address: context.settings.listen.peers });
    let mut client = FetchClient::new(peer, MAX_CHANGES_BYTES);
    let body = Bytes::from(request);
    let response = client.fetch(Method::POST, CHANGES_PATH, body, FETCH_TIMEOUTS).await?;
    let status = response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Ok(FetchedConfiguration::Referral(rmp_serde::from_slice(response.body())?));
    }
    anyhow::ensure!(status.is_success(), "step=fetch_configuration peer={peer}: status {status}");
    let response = decode_changes(response.body())?.response;
    Ok(FetchedConfiguration::Response(Box::new(response)))
}

/// Answers a peer that asks for the configuration. The transfer counts until the peer closes the
/// connection `io`.
///
/// # Errors
/// Returns an error if the answer can't be encoded.
pub(crate) fn answer_request(
    context: &Arc<GatewayContext>,
    request: ChangesRequest,
    receiver: Option<ReceiverNotice>,
    io: Option<&IoRef>,
) -> Result<ConfigurationAnswer, EncodeError> {
    let table = context.table().filter(|table| Some(table.version) > request.version);
    let Some(table) = table else {
        let bytes = rmp_serde::to_vec(&ChangesResponse::of_configuration(None))?;
        return Ok(ConfigurationAnswer::Response(bytes.into()));
    };
    let version = table.version;
    let bytes = encode(context, &table)?;
    // Routers of earlier versions do not know referrals.
    let (Some(ReceiverNotice { address }), Some(io)) = (receiver, io) else {
        return Ok(ConfigurationAnswer::Response(bytes));
    };
    let verdict = context.transfers().begin(version, bytes.len(), address, context.now());
    match verdict {
        TransferVerdict::Serve(key) => {
            ntex::rt::spawn(end_transfer(Arc::clone(context), io.clone(), key, version));
            Ok(ConfigurationAnswer::Response(bytes))
        }
        TransferVerdict::Refer(holders) => {
            let bytes = rmp_serde::to_vec(&ConfigurationReferral { version, holders })?;
            Ok(ConfigurationAnswer::Referral(bytes))
        }
    }
}

/// Encodes a configuration once for all peers.
fn encode(
    context: &GatewayContext,
    table: &Arc<RouteTable>,
) -> Result<ntex::util::Bytes, EncodeError> {
    let known = context.encoded_configuration().get(table);
    if let Some(bytes) = known {
        return Ok(bytes);
    }
    let bytes = ntex::util::Bytes::from(encode_changes(&PeerChanges::of_configuration(table))?);
    context.encoded_configuration().set(Arc::clone(table), bytes.clone());
    Ok(bytes)
}

async fn end_transfer(context: Arc<GatewayContext>, io: IoRef, key: TransferKey, version: u64) {
    let disconnect = io.on_disconnect();
    poll_fn(|cx| disconnect.poll_ready(cx)).await;
    context.transfers().end(key, version);
}
