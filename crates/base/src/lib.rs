//! Names, identities, clocks, settings files, logs and metrics that every
//! process of the system shares.

mod clock;
mod identity;
mod logs;
mod metrics;
mod rendezvous;
mod settings;
mod sockets;

pub use clock::{Millis, MonoClock};
pub use identity::{Name, Origin};
pub use logs::{dropped_log_lines, init_stderr_logs, init_stdout_logs};
pub use metrics::{PrometheusSink, metrics_client, prometheus_client};
pub use rendezvous::{hash_bytes, mix_hashes, rank_candidates, stable_hash};
pub use settings::{SettingsError, load_settings, parse_jsonc};
pub use sockets::unacknowledged_bytes;
