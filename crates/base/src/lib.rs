//! Names, identities, clocks, settings files, logs and metrics that every
//! process of the system shares.

mod clock;
mod identity;
mod logs;
mod metrics;
mod rendezvous;
mod settings;

pub use clock::{Millis, MonoClock};
pub use identity::{Name, Origin};
pub use logs::{init_logs, init_stdout_logs};
pub use metrics::{MetricsText, metrics_client, text_metrics};
pub use rendezvous::{mix_hashes, rank, stable_hash};
pub use settings::{SettingsError, load_settings, parse_jsonc};
