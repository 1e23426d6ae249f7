//! Reads the configuration source, or leaves that to a peer.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use mesh::{ReaderPolicy, ReaderSettings, ReaderVerdict};

use crate::context::GatewayContext;
use crate::port::{SourceError, StateSource};
use crate::view::{UpdateOrigin, apply};

/// Longest wait of one read for changes: short enough that a read without
/// changes shows within the freshness bound that the source still answers.
const READ_WAIT: Duration = Duration::from_millis(900);
/// Time between two looks whether this router has to read.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Pause after changes, so that those that come together cost one read.
const GATHER_PAUSE: Duration = Duration::from_millis(100);
/// Bounds of the pause after a failed read.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// Follows the source until the process stops.
pub(crate) async fn run_follow(context: Arc<GatewayContext>, mut source: impl StateSource) {
    let settings = &context.settings;
    let me = Name::clone(&settings.instance);
    let domain = Name::clone(&settings.failure_domain);
    let mut policy = ReaderPolicy::new(me, domain, ReaderSettings::default());
    let mut verdict = ReaderVerdict::Follow;
    let mut needs_listing = true;
    let mut failures = 0u32;
    while !context.stop.is_cancelled() {
        let next = decide(&context, &mut policy);
        if next != verdict {
            tracing::info!(unit = "follow", event = "reader_changed", verdict = ?next);
            verdict = next;
        }
        if verdict == ReaderVerdict::Follow {
            context.source().read_at = None;
            context.targets().source_read_by_peer();
            failures = 0;
            tokio::time::sleep(LOOK_PERIOD).await;
            continue;
        }
        let after = context.source().revision;
        let (result, origin) = if needs_listing || after == 0 {
            (source.read_all().await, UpdateOrigin::Listing)
        } else {
            (source.read_changes(after, READ_WAIT).await, UpdateOrigin::Changes)
        };
        match result {
            Ok(update) => {
                needs_listing = false;
                let now = context.now();
                let is_back = context.targets().source_reached(now);
                if is_back || failures > 0 {
                    tracing::info!(unit = "follow", event = "source_regained", failures);
                }
                failures = 0;
                context.source().read_at = Some(now);
                if apply(&context, update, origin) {
                    context.beat_now.notify_one();
                    tokio::time::sleep(GATHER_PAUSE).await;
                }
            }
            Err(cause) => {
                needs_listing |= matches!(cause, SourceError::Compacted { .. });
                failures += 1;
                if !matches!(cause, SourceError::Compacted { .. }) {
                    context.targets().source_lost();
                }
                if failures == 1 {
                    tracing::warn!(unit = "follow", event = "source_lost", %cause, after);
                }
                let pause = RETRY_PAUSE.0 * failures.min(8);
                tokio::time::sleep(pause.min(RETRY_PAUSE.1)).await;
            }
        }
    }
}

fn decide(context: &GatewayContext, policy: &mut ReaderPolicy) -> ReaderVerdict {
    let now = context.now();
    let peers: Vec<_> = context.members().live(now).collect();
    let my_age = context.source().read_at.map(|at| now.saturating_sub(at));
    policy.decide(&peers, my_age, context.is_draining(), now)
}
