//! Heartbeats between routers, which also propagate the configuration document.

use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name};
use fleet::{Digest, MemberSettings};
use wire::DocumentCopy;

use crate::client::PeerClient;
use crate::context::RouterContext;
use crate::core::RouterCore;

/// Maximum number of leaving instances in a heartbeat. If there are more, the
/// last ones by name are sent.
const MAX_LEAVING: usize = 64;

/// Sends heartbeats, and fetches newer documents from peers, until the process
/// stops.
pub(crate) async fn run_heartbeat(context: Arc<RouterContext>, peers: PeerClient) {
    let period = Duration::from_millis(MemberSettings::default().period);
    loop {
        let chosen = context.core().members.next_peers();
        for peer in chosen {
            ntex::rt::spawn(send_heartbeat(Arc::clone(&context), peers.clone(), peer));
        }
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = context.heartbeat_due.notified() => {}
            () = context.stop.cancelled() => return,
        }
        let source = context.core().fetch_from.take();
        if let Some(source) = source {
            ntex::rt::spawn(fetch_document(Arc::clone(&context), peers.clone(), source));
        }
    }
}

/// Builds the digest for `peer`. `peer_known_count` is the number of known routers
/// in the digest that the peer sent, if this one replies to it.
pub(crate) fn digest_for(
    core: &RouterCore,
    peer: &str,
    peer_known_count: Option<u32>,
    now: Millis,
) -> Digest {
    Digest {
        updates: core.members.updates_for(peer, peer_known_count, now),
        known: core.members.known_count(),
        revision: core.revision_gate.revision(),
        leaving: core.leaving.names().rev().take(MAX_LEAVING).cloned().collect(),
    }
}

/// Applies a peer's digest. If the peer has a newer document, schedules
/// fetching it.
pub(crate) fn apply_digest(context: &RouterContext, digest: &Digest, now: Millis) {
    let mut core = context.core();
    core.members.apply_updates(&digest.updates, now);
    core.merge_leaving(&digest.leaving);
    let Some(sender) = digest.updates.first() else { return };
    if digest.revision > core.revision_gate.revision() {
        core.fetch_from = Some(Name::clone(&sender.origin.instance));
        drop(core);
        context.heartbeat_due.notify_one();
    }
}

async fn send_heartbeat(context: Arc<RouterContext>, peers: PeerClient, peer: Name) {
    let digest = digest_for(&context.core(), &peer, None, context.now());
    let sent: Result<Digest, _> = peers.send(&peer, "digest", &digest).await;
    let now = context.now();
    match sent {
        Ok(reply) => apply_digest(&context, &reply, now),
        Err(cause) => {
            tracing::debug!(unit = "heartbeat", event = "failed", %cause);
            context.core().members.record_failure(&peer, now);
        }
    }
}

async fn fetch_document(context: Arc<RouterContext>, peers: PeerClient, source: Name) {
    let fetched: Result<Option<DocumentCopy>, _> = peers.send(&source, "document", &()).await;
    match fetched {
        Ok(Some(copy)) => {
            let now = context.now();
            let before = context.core().revision_gate.revision();
            context.core().offer_document(copy.revision, &copy.text, &source, now);
            if context.core().revision_gate.revision() > before {
                context.heartbeat_due.notify_one();
            }
        }
        Ok(None) => {}
        Err(cause) => tracing::info!(unit = "config", event = "fetch_failed", %cause),
    }
}
