//! Beats between routers, as datagrams, and fetching what a peer knows more.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use cadence::prelude::*;
use http::Method;
use hyper::body::Bytes;
use mesh::{Heartbeat, HeartbeatHeader, HeartbeatOutcome, PeerAddresses, SourceView};
use outbound::FetchClient;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::context::GatewayContext;
use crate::facts::{
    CHANGES_PATH, ChangesAnswer, ChangesQuestion, LoadFacts, MAX_BEAT_BYTES, MAX_CHANGES_BYTES,
};
use crate::port::SourceUpdate;
use crate::view::{UpdateOrigin, apply};

/// Time for one exchange with a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends and receives beats until the process stops.
///
/// # Errors
/// The address is taken.
pub(crate) async fn start_beats(context: &Arc<GatewayContext>) -> anyhow::Result<()> {
    let address = context.settings.listen.beats;
    let socket = UdpSocket::bind(address).await;
    let socket =
        socket.map_err(|cause| anyhow::anyhow!("step=bind_beats peer={address}: {cause}"))?;
    let socket = Arc::new(socket);
    let (behind, behind_of) = mpsc::channel(1);
    ntex::rt::spawn(run_sending(Arc::clone(context), Arc::clone(&socket)));
    ntex::rt::spawn(run_receiving(Arc::clone(context), socket, behind));
    ntex::rt::spawn(run_fetching(Arc::clone(context), behind_of));
    Ok(())
}

async fn run_sending(context: Arc<GatewayContext>, socket: Arc<UdpSocket>) {
    while !context.stop.is_cancelled() {
        let now = context.now();
        let beat = write_beat(&context);
        let receivers = context.members().receivers(now);
        for receiver in receivers {
            if let Err(cause) = socket.send_to(&beat, receiver).await {
                tracing::debug!(unit = "beats", event = "not_sent", peer = %receiver, %cause);
            }
        }
        for peer in context.members().newly_lost(now) {
            tracing::info!(unit = "beats", event = "peer_lost", %peer);
        }
        let routers = context.members().live(now).count() + 1;
        context.set_routers(routers);
        context.repeats().set_router_count(routers, now);
        let live_ms = context.members().liveness_timeout();
        context.shares().set_peer_max_age(live_ms);
        context.loads().expire_peers(live_ms, now);
        let period = Duration::from_millis(context.members().heartbeat_interval());
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = context.beat_now.notified() => {}
        }
    }
}

/// A beat that fits a datagram: the accounts and targets with most to say stay.
fn write_beat(context: &GatewayContext) -> Vec<u8> {
    let now = context.now();
    let mut accounts = context.shares().own_demands(now);
    accounts.sort_by(|a, b| b.1.cost_per_s.total_cmp(&a.1.cost_per_s));
    let mut targets = context.loads().own_loads();
    targets.sort_by_key(|(_, load)| std::cmp::Reverse(load.unread_tokens));
    let source = {
        let source = context.source();
        let read_age = source.read_at.map(|at| now.saturating_sub(at));
        SourceView { revision: source.revision, read_age }
    };
    let listen = &context.settings.listen;
    let mut members = context.members();
    let header = HeartbeatHeader {
        origin: context.origin.clone(),
        sequence: members.next_sequence(),
        domain: Name::clone(&context.settings.failure_domain),
        addresses: PeerAddresses {
            beats: listen.beats,
            peers: listen.peers,
            callers: listen.callers,
        },
        is_draining: context.is_draining(),
        source,
        known_peers: members.sample_live_peers(now),
    };
    drop(members);
    let mut beat = Heartbeat { header, payload: LoadFacts { accounts, targets } };
    loop {
        let bytes = rmp_serde::to_vec(&beat).unwrap_or_else(|cause| {
            tracing::error!(unit = "beats", event = "not_encoded", %cause);
            Vec::new()
        });
        let payload = &mut beat.payload;
        if bytes.len() <= MAX_BEAT_BYTES
            || (payload.accounts.is_empty() && payload.targets.is_empty())
        {
            return bytes;
        }
        context.metrics.incr("beats_shortened").ok();
        payload.accounts.truncate(payload.accounts.len() * 3 / 4);
        payload.targets.truncate(payload.targets.len() * 3 / 4);
    }
}

async fn run_receiving(
    context: Arc<GatewayContext>,
    socket: Arc<UdpSocket>,
    behind: mpsc::Sender<SocketAddr>,
) {
    let mut buffer = vec![0; 64 << 10];
    while !context.stop.is_cancelled() {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(cause) => {
                // A peer's closed port is reported here; the socket goes on.
                tracing::debug!(unit = "beats", event = "receive_failed", %cause);
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        match rmp_serde::from_slice::<Heartbeat<LoadFacts>>(&buffer[..length]) {
            Ok(beat) => {
                let peer = beat.header.addresses.beats;
                if hear(&context, beat, &behind) == HeartbeatOutcome::Joined {
                    // A router that starts learns at once who is there.
                    if let Err(cause) = socket.send_to(&write_beat(&context), peer).await {
                        tracing::debug!(unit = "beats", event = "not_sent", %peer, %cause);
                    }
                }
            }
            Err(cause) => {
                tracing::debug!(unit = "beats", event = "not_understood", peer = %sender, %cause);
            }
        }
    }
}

fn hear(
    context: &GatewayContext,
    beat: Heartbeat<LoadFacts>,
    behind: &mpsc::Sender<SocketAddr>,
) -> HeartbeatOutcome {
    let now = context.now();
    let Heartbeat { header, payload } = beat;
    let peer = Name::clone(&header.origin.instance);
    let addresses = header.addresses;
    let revision = header.source.revision;
    let is_draining = header.is_draining;
    let heard = context.members().record_heartbeat(header, now);
    match heard {
        HeartbeatOutcome::Ignored => return heard,
        HeartbeatOutcome::Joined | HeartbeatOutcome::Restarted => {
            tracing::info!(unit = "beats", event = "peer_found", %peer, ?heard, is_draining);
        }
        HeartbeatOutcome::Newer { changed: true } if is_draining => {
            tracing::info!(unit = "beats", event = "peer_draining", %peer);
        }
        HeartbeatOutcome::Newer { .. } => {}
    }
    let rates: BTreeMap<_, _> = payload.accounts.into_iter().collect();
    context.shares().update_peer(Name::clone(&peer), rates, now);
    context.loads().update_peer(&peer, &payload.targets, now);
    if revision > context.source().revision {
        // A full channel means that a fetch is due already.
        let _ = behind.try_send(addresses.peers);
    }
    heard
}

/// Fetches changes from peers that know more, one at a time.
async fn run_fetching(context: Arc<GatewayContext>, mut behind_of: mpsc::Receiver<SocketAddr>) {
    while let Some(peer) = behind_of.recv().await {
        if let Err(cause) = fetch_changes(&context, peer).await {
            tracing::info!(unit = "beats", event = "changes_not_fetched", %peer, cause = format!("{cause:#}"));
        }
    }
}

async fn fetch_changes(context: &GatewayContext, peer: SocketAddr) -> anyhow::Result<()> {
    let after = context.source().revision;
    let version = context.versions().version();
    let question = rmp_serde::to_vec(&ChangesQuestion { after, version })?;
    let mut client = FetchClient::new(peer, MAX_CHANGES_BYTES);
    let body = Bytes::from(question);
    let (status, body) = client.fetch(Method::POST, CHANGES_PATH, body, PEER_TIMEOUT).await?;
    anyhow::ensure!(status.is_success(), "step=fetch_changes peer={peer}: status {status}");
    let answer: ChangesAnswer = rmp_serde::from_slice(&body)?;
    let now = context.now();
    if let Some(age) = answer.source_back_age {
        context.targets().record_peer_recovery(age, now);
    }
    let update = SourceUpdate {
        revision: answer.revision,
        table: answer.table,
        records: answer.records,
        unreadable: Vec::new(),
    };
    apply(context, update, UpdateOrigin::Peer);
    Ok(())
}
