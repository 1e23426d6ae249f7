//! Reads the configuration source, unless a peer does so for this router.

use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name};
use mesh::{FetchQuota, ReaderPolicy, ReaderSettings, ReaderVerdict};

use crate::beats::{ALL_FETCHES, send_source_notice};
use crate::context::GatewayContext;
use crate::platform::{SourceError, StateSource};
use crate::stop;
use crate::view::{UpdateOrigin, apply_update};

/// Longest time that a read waits for changes: short enough that a read without
/// changes confirms within the freshness limit that the source still responds.
const READ_WAIT: Duration = Duration::from_millis(900);
/// Time between two checks whether this router has to read.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Pause after changes, so that changes in quick succession take one read.
const BATCH_PAUSE: Duration = Duration::from_millis(100);
/// First and longest pause after a failed read.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// Follows the source until the process stops, reading it whenever this router is
/// chosen as a reader.
pub(crate) async fn follow_source(context: Arc<GatewayContext>, mut source: impl StateSource) {
    ntex::rt::spawn(watch_control_lateness(Arc::clone(&context)));
    let settings = &context.settings;
    let instance = Name::clone(&settings.instance);
    let domain = Name::clone(&settings.failure_domain);
    let own_ip = settings.listen.peers.ip();
    let is_seed = settings.seeds.iter().any(|seed| seed.ip() == own_ip);
    let policy = ReaderPolicy::new(instance, domain, ReaderSettings::default());
    let mut policy = policy.with_seed_role(is_seed);
    let mut verdict = ReaderVerdict::Follow;
    let mut needs_listing = true;
    let mut failures = 0u32;
    let mut own_lacks = 0u32;
    while !context.shutdown.is_cancelled() {
        let (next, peer_read_age) = decide_verdict(&context, &mut policy);
        if next != verdict {
            tracing::info!(unit = "follow", event = "reader_changed", verdict = ?next);
            verdict = next;
        }
        if verdict == ReaderVerdict::Follow {
            context.source().read_at = None;
            if let Some(age) = peer_read_age {
                context.targets().record_source_read_by_peer(age, context.now());
            }
            failures = 0;
            tokio::time::sleep(CHECK_PERIOD).await;
            continue;
        }
        let version = context.versions().version();
        let (after, announced) = {
            let source = context.source();
            (source.revision, source.announced)
        };
        // Peers of earlier versions pass on changes of targets alone.
        let lacks_domains = context.targets().domains_revision() < after;
        let must_list = needs_listing || lacks_domains || announced.must_list(version);
        let started_at = context.now();
        let (result, origin) = if must_list || after == 0 {
            (source.read_all().await, UpdateOrigin::Listing)
        } else {
            (source.read_changes(after, READ_WAIT).await, UpdateOrigin::Changes)
        };
        match result {
            Ok(update) => {
                needs_listing = false;
                let now = context.now();
                if origin == UpdateOrigin::Listing {
                    context.source().announced.record_listing(announced.newest());
                }
                context.targets().record_source_reached(now);
                if failures > 0 {
                    tracing::info!(unit = "follow", event = "source_regained", failures);
                }
                failures = 0;
                own_lacks = 0;
                let has_advanced = apply_update(&context, update, origin);
                context.source().record_read(now);
                if has_advanced {
                    context.heartbeat_now.notify_one();
                    tokio::time::sleep(BATCH_PAUSE).await;
                } else {
                    send_source_notice(&context);
                }
            }
            // A second time-out in a row counts, so that a source that is lost while this
            // thread is often late is noticed before its entries have expired.
            Err(cause)
                if cause.is_own_lack(own_lacks == 0 && was_late_since(&context, started_at)) =>
            {
                own_lacks += 1;
                if own_lacks == 1 {
                    tracing::warn!(unit = "follow", event = "source_not_read", %cause, after);
                }
                tokio::time::sleep(retry_pause(own_lacks)).await;
            }
            Err(cause) => {
                let must_list =
                    matches!(cause, SourceError::Compacted { .. } | SourceError::Restored { .. });
                needs_listing |= must_list;
                failures += 1;
                let now = context.now();
                match cause {
                    SourceError::Compacted { .. } => {}
                    SourceError::Restored { .. } => {
                        context.targets().record_source_restored(now);
                        // Peers may know of evacuations that the source has lost.
                        *context.domain_fetches() = FetchQuota::of_heard(ALL_FETCHES);
                    }
                    _ => context.targets().record_source_lost(now),
                }
                if failures == 1 {
                    tracing::warn!(unit = "follow", event = "source_lost", %cause, after);
                }
                let pause = retry_pause(failures);
                // The first one that reads again tells the others.
                let shared_ms = context.members().shared_retry_ms(now);
                tokio::time::sleep(pause.max(Duration::from_millis(shared_ms))).await;
            }
        }
    }
}

fn retry_pause(failures: u32) -> Duration {
    RETRY_PAUSE.1.min(RETRY_PAUSE.0 * failures.min(8))
}

fn was_late_since(context: &GatewayContext, since: Millis) -> bool {
    context.control_lateness().was_overloaded_since(since, context.now())
}

/// Measures how late the thread of this task runs, and checks for the signal to stop, until the
/// process stops.
async fn watch_control_lateness(context: Arc<GatewayContext>) {
    while !context.shutdown.is_cancelled() {
        let now = context.now();
        stop::check_signal(&context);
        let pause_ms = context.control_lateness().tick(now);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Returns the verdict, and the age in milliseconds of the last response of the source to
/// a peer.
fn decide_verdict(
    context: &GatewayContext,
    policy: &mut ReaderPolicy,
) -> (ReaderVerdict, Option<Millis>) {
    let now = context.now();
    let members = context.members();
    let peers: Vec<_> = members.live(now).collect();
    policy.set_heartbeat_interval(members.heartbeat_interval());
    drop(members);
    let read_age = context.source().read_at.map(|at| now.saturating_sub(at));
    let peer_read_ages =
        peers.iter().filter_map(|view| Some(view.source.read_age?.saturating_add(view.age)));
    let peer_read_age = peer_read_ages.min();
    (policy.decide(&peers, read_age, context.is_draining(), now), peer_read_age)
}
