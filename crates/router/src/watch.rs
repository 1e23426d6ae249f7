//! Reads and watches the configuration service.
//!
//! Two routers of each failure domain watch the service; the others learn of a
//! new document from heartbeats. Thus the number of calls to the service does
//! not grow with the fleet.

use std::sync::Arc;
use std::time::Duration;

use base::{Name, rank_candidates};
use fleet::PeerStatus;
use serde::Deserialize;

use crate::client::PlatformClient;
use crate::context::RouterContext;

/// Number of routers of each failure domain that watch the service.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Time for which the service may hold a watch request open, in milliseconds.
const WATCH_MS: u64 = 20_000;
/// Additional time to wait before the service counts as down, in milliseconds.
const WATCH_GRACE_MS: u64 = 5_000;
/// Timeout of a read that does not wait for changes, in milliseconds.
const READ_TIMEOUT_MS: u64 = 5_000;
/// Pause after a failure, and interval at which a router checks whether it
/// should watch, in milliseconds.
const PAUSE_MS: u64 = 1_000;

#[derive(Deserialize)]
struct PublishedDocument {
    revision: u64,
    document: String,
}

/// Watches the configuration service until the process stops.
pub(crate) async fn run_document_watch(context: Arc<RouterContext>, platform: PlatformClient) {
    let stop = context.stop.clone();
    tokio::select! {
        () = watch_document(&context, &platform) => {}
        () = stop.cancelled() => {}
    }
}

async fn watch_document(context: &Arc<RouterContext>, platform: &PlatformClient) {
    // A starting router reads the document once, even if it is not a watcher.
    let mut read_now = true;
    loop {
        let revision = context.core().revision_gate.revision();
        let is_needed = revision == 0 || is_watcher(context);
        if !is_needed {
            pause(context).await;
            continue;
        }
        let wait_ms = if read_now { 0 } else { WATCH_MS };
        let path = format!("/v1/document?after={revision}&wait_ms={wait_ms}");
        let timeout_ms = if read_now { READ_TIMEOUT_MS } else { WATCH_MS + WATCH_GRACE_MS };
        let address = context.settings.config_service;
        match platform.read::<PublishedDocument>(address, &path, timeout_ms).await {
            Ok(Some(published)) => {
                offer_document(context, &published);
                // The service would return a refused document again at once.
                let is_active = context.core().revision_gate.revision() == published.revision;
                if !is_active {
                    pause(context).await;
                }
                read_now = false;
            }
            // A read between watches detects a document that was rolled back,
            // or changed without a new revision number.
            Ok(None) => read_now = true,
            Err(cause) => {
                tracing::info!(
                    unit = "config",
                    event = "read_failed",
                    cause = format!("{cause:#}")
                );
                pause(context).await;
            }
        }
    }
}

fn offer_document(context: &Arc<RouterContext>, published: &PublishedDocument) {
    let now = context.now();
    let before = context.core().revision_gate.revision();
    let text = &published.document;
    context.core().offer_document(published.revision, text, "service", now);
    if context.core().revision_gate.revision() > before {
        context.heartbeat_due.notify_one();
    }
}

/// Returns whether this router is one of the watchers of its failure domain.
fn is_watcher(context: &Arc<RouterContext>) -> bool {
    let now = context.now();
    let settings = &context.settings;
    let views = context.core().members.views(now);
    let candidates = views
        .iter()
        .filter(|view| view.domain == settings.domain && view.status == PeerStatus::Alive);
    let mut names: Vec<Name> = candidates.map(|view| Name::clone(&view.name)).collect();
    names.push(Name::clone(&settings.instance));
    let order = rank_candidates("config-watch", &names);
    order.into_iter().take(WATCHERS_PER_DOMAIN).any(|name| *name == settings.instance)
}

async fn pause(context: &Arc<RouterContext>) {
    // The jitter keeps routers that failed at the same time from retrying at
    // the same time.
    let jitter = context.jitter_seed() % (PAUSE_MS / 2);
    tokio::time::sleep(Duration::from_millis(PAUSE_MS + jitter)).await;
}
