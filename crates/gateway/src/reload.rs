//! Reloads the settings file on SIGHUP or when a periodic check finds changes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use base::SettingsError;
use process::CaughtSignal;

use crate::context::GatewayContext;
use crate::settings::GatewaySettings;

/// Time between two checks of the file, as it may change without a signal.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Starts a task that watches the settings file until the process stops.
///
/// # Errors
/// Returns an error if the signal can't be received.
pub(crate) fn start_reload(
    context: &Arc<GatewayContext>,
    file: PathBuf,
    signal: CaughtSignal,
) -> anyhow::Result<()> {
    let signal = signal.receive()?;
    let context = Arc::clone(context);
    let mut current = context.settings.clone();
    ntex::rt::spawn(async move {
        while !context.shutdown.is_cancelled() {
            let is_signalled = tokio::select! {
                _ = signal.next() => true,
                () = tokio::time::sleep(POLL_PERIOD) => false,
            };
            match read_settings(&file) {
                Ok(next) => {
                    let has_changed = next != current;
                    if has_changed || is_signalled {
                        apply_settings(&context, &current, &next, is_signalled);
                    }
                    current = next;
                }
                Err(cause) => log_error(&cause, is_signalled),
            }
        }
    });
    Ok(())
}

/// Logs why settings are not applied: a file that can't be read says nothing about them.
fn log_error(error: &anyhow::Error, is_signalled: bool) {
    let cause = format!("{error:#}");
    if let Some(SettingsError::Read { .. }) = error.downcast_ref() {
        tracing::warn!(unit = "reload", event = "settings_not_read", cause, is_signalled);
        return;
    }
    tracing::warn!(unit = "reload", event = "settings_refused", cause, is_signalled);
}

fn read_settings(file: &std::path::Path) -> anyhow::Result<GatewaySettings> {
    let settings: GatewaySettings = base::load_settings(file)?;
    settings.check()?;
    Ok(settings)
}

/// Applies new seeds. All other changes take effect at the next start.
fn apply_settings(
    context: &GatewayContext,
    current: &GatewaySettings,
    next: &GatewaySettings,
    is_signalled: bool,
) {
    let seeds_changed = next.seeds != current.seeds;
    if seeds_changed {
        let seeds = context.heartbeat_addresses(&next.seeds);
        context.members().set_seeds(&seeds, context.now());
    }
    let with_current_seeds = GatewaySettings { seeds: current.seeds.clone(), ..next.clone() };
    let needs_restart = with_current_seeds != *current;
    tracing::info!(unit = "reload", event = "reloaded", is_signalled, seeds_changed, needs_restart);
}
