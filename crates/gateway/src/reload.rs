//! Takes over a changed settings file, told by a signal or found by looking.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::context::GatewayContext;
use crate::settings::GatewaySettings;

/// Time between two looks at the file: it may change without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Follows the settings file until the process stops.
///
/// # Errors
/// The signal is not available.
pub(crate) fn start_reload(context: &Arc<GatewayContext>, file: PathBuf) -> anyhow::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let context = Arc::clone(context);
    let mut current = context.settings.clone();
    ntex::rt::spawn(async move {
        while !context.stop.is_cancelled() {
            let is_signalled = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(LOOK_PERIOD) => false,
            };
            match read(&file) {
                Ok(next) => {
                    let has_changed = next != current;
                    if has_changed || is_signalled {
                        take_over(&context, &current, &next, is_signalled);
                    }
                    current = next;
                }
                Err(cause) => tracing::warn!(
                    unit = "reload",
                    event = "settings_refused",
                    cause = format!("{cause:#}"),
                    is_signalled,
                ),
            }
        }
    });
    Ok(())
}

fn read(file: &std::path::Path) -> anyhow::Result<GatewaySettings> {
    let settings: GatewaySettings = base::load_settings(file)?;
    settings.check()?;
    Ok(settings)
}

/// Seeds are taken over; whatever else changed holds from the next start on.
fn take_over(
    context: &GatewayContext,
    current: &GatewaySettings,
    next: &GatewaySettings,
    is_signalled: bool,
) {
    let seeds_changed = next.seeds != current.seeds;
    if seeds_changed {
        let seeds = context.beat_addresses(&next.seeds);
        context.members().set_seeds(&seeds, context.now());
    }
    let rest = GatewaySettings { seeds: current.seeds.clone(), ..next.clone() };
    let needs_restart = rest != *current;
    tracing::info!(unit = "reload", event = "reloaded", is_signalled, seeds_changed, needs_restart);
}
