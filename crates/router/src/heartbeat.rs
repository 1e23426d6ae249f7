//! Heartbeats between routers, and the spreading of the document with them.

use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name};
use fleet::{Digest, MemberSettings};
use wire::DocumentCopy;

use crate::client::PeerClient;
use crate::context::RouterContext;
use crate::core::RouterCore;

/// Leaving targets in a heartbeat at most.
const MAX_LEAVING: usize = 64;

/// Runs until the process stops.
pub(crate) async fn run_heartbeat(context: Arc<RouterContext>, peers: PeerClient) {
    let period = Duration::from_millis(MemberSettings::default().period);
    loop {
        let chosen = context.core().members.next_peers();
        for peer in chosen {
            ntex::rt::spawn(beat(Arc::clone(&context), peers.clone(), peer));
        }
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = context.spread.notified() => {}
            () = context.stop.cancelled() => return,
        }
        let source = context.core().fetch_from.take();
        if let Some(source) = source {
            ntex::rt::spawn(fetch_document(Arc::clone(&context), peers.clone(), source));
        }
    }
}

/// The digest for `peer`; `peer_knows` is what its own digest said.
pub(crate) fn digest_for(
    core: &RouterCore,
    peer: &str,
    peer_knows: Option<u32>,
    now: Millis,
) -> Digest {
    Digest {
        updates: core.members.updates_for(peer, peer_knows, now),
        known: core.members.known_count(),
        revision: core.gate.revision(),
        leaving: core.leaving.names().rev().take(MAX_LEAVING).cloned().collect(),
    }
}

/// Takes in a peer's digest; remembers the peer when its document is newer.
pub(crate) fn hear_digest(context: &RouterContext, digest: &Digest, now: Millis) {
    let mut core = context.core();
    core.members.apply_updates(&digest.updates, now);
    core.hear_leaving(&digest.leaving);
    let Some(sender) = digest.updates.first() else { return };
    if digest.revision > core.gate.revision() {
        core.fetch_from = Some(Name::clone(&sender.origin.instance));
        drop(core);
        context.spread.notify_one();
    }
}

async fn beat(context: Arc<RouterContext>, peers: PeerClient, peer: Name) {
    let digest = digest_for(&context.core(), &peer, None, context.now());
    let sent: Result<Digest, _> = peers.tell(&peer, "digest", &digest).await;
    let now = context.now();
    match sent {
        Ok(answer) => hear_digest(&context, &answer, now),
        Err(cause) => {
            tracing::debug!(unit = "heartbeat", event = "failed", %cause);
            context.core().members.record_failure(&peer, now);
        }
    }
}

async fn fetch_document(context: Arc<RouterContext>, peers: PeerClient, source: Name) {
    let fetched: Result<Option<DocumentCopy>, _> = peers.tell(&source, "document", &()).await;
    match fetched {
        Ok(Some(copy)) => {
            let now = context.now();
            let before = context.core().gate.revision();
            context.core().offer_document(copy.revision, &copy.text, &source, now);
            if context.core().gate.revision() > before {
                context.spread.notify_one();
            }
        }
        Ok(None) => {}
        Err(cause) => tracing::info!(unit = "config", event = "fetch_failed", %cause),
    }
}
