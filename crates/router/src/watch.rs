//! Reads and watches the configuration service.
//!
//! Two routers of each failure domain watch; the others hear of a new
//! document with the heartbeats. So the calls on the service do not grow with
//! the fleet.

use std::sync::Arc;
use std::time::Duration;

use base::{Name, rank_candidates};
use fleet::PeerStatus;
use serde::Deserialize;

use crate::client::PlatformClient;
use crate::context::RouterContext;

/// Routers of each failure domain that watch.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Time for which a watch waits at the service, in milliseconds.
const WATCH_MS: u64 = 20_000;
/// Time beyond that until the service counts as down, in milliseconds.
const WATCH_GRACE_MS: u64 = 5_000;
/// Time for a plain read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 5_000;
/// Pause after a failure, and between checks of the watchers' order, in
/// milliseconds.
const PAUSE_MS: u64 = 1_000;

#[derive(Deserialize)]
struct PublishedDocument {
    revision: u64,
    document: String,
}

/// Runs until the process stops.
pub(crate) async fn run_document_watch(context: Arc<RouterContext>, platform: PlatformClient) {
    let stop = context.stop.clone();
    tokio::select! {
        () = watch(&context, &platform) => {}
        () = stop.cancelled() => {}
    }
}

async fn watch(context: &Arc<RouterContext>, platform: &PlatformClient) {
    // A starting router reads once, whoever watches.
    let mut read_now = true;
    loop {
        let revision = context.core().gate.revision();
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
                offer(context, &published);
                // After a refusal the same answer would come back at once.
                let is_taken = context.core().gate.revision() == published.revision;
                if !is_taken {
                    pause(context).await;
                }
                read_now = false;
            }
            // A plain read in between shows a document that was rolled back or
            // changed under its number.
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

fn offer(context: &Arc<RouterContext>, published: &PublishedDocument) {
    let now = context.now();
    let before = context.core().gate.revision();
    let text = &published.document;
    context.core().offer_document(published.revision, text, "service", now);
    if context.core().gate.revision() > before {
        context.spread.notify_one();
    }
}

fn is_watcher(context: &Arc<RouterContext>) -> bool {
    let now = context.now();
    let settings = &context.settings;
    let views = context.core().members.views(now);
    let near = views
        .iter()
        .filter(|view| view.domain == settings.domain && view.status == PeerStatus::Alive);
    let mut names: Vec<Name> = near.map(|view| Name::clone(&view.name)).collect();
    names.push(Name::clone(&settings.instance));
    let order = rank_candidates("config-watch", &names);
    order.into_iter().take(WATCHERS_PER_DOMAIN).any(|name| *name == settings.instance)
}

async fn pause(context: &Arc<RouterContext>) {
    // The jitter keeps routers that failed together from coming back together.
    let jitter = context.next_jitter() % (PAUSE_MS / 2);
    tokio::time::sleep(Duration::from_millis(PAUSE_MS + jitter)).await;
}
