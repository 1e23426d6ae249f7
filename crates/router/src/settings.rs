//! Settings of the router daemon.

use std::net::SocketAddr;

use admit::ResourceSettings;
use base::Name;
use serde::{Deserialize, Serialize};

/// How the slots of a service are divided among routers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShareMode {
    /// One router of the fleet, the grantor, grants all slots of a service.
    #[default]
    Granting,
    /// Each router has a fixed part of the slots. Exists for comparison in
    /// benchmarks.
    Local,
    /// Like `Local`, but each router orders requests by totals of the whole
    /// fleet, which routers exchange every second. Exists for comparison in
    /// benchmarks.
    Gossip,
}

/// Settings of the router daemon, as read from the settings file.
/// docs/SETTINGS.md describes each key.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    pub instance: Name,
    pub domain: Name,
    #[serde(default)]
    pub region: Name,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which other routers and the operators' client connect.
    pub peer_listen: SocketAddr,
    /// Address of the configuration service.
    pub config_service: SocketAddr,
    /// Address of the service that publishes the instance list.
    pub instance_list: SocketAddr,
    /// Secret shared by all routers of the fleet; at least 16 bytes.
    pub secret: String,
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    #[serde(default = "default_log")]
    pub log: String,
    /// Maximum duration of a drain, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    #[serde(default)]
    pub resources: ResourceSettings,
    /// Time in which a caller must take 16 KiB of a response that waits for it, in seconds.
    #[serde(default = "default_unread_s")]
    pub unread_s: u64,
    #[serde(default)]
    pub share: ShareMode,
    /// Lets tests cut the links to other routers.
    #[serde(default)]
    pub test_controls: bool,
}

fn default_log() -> String {
    "info".into()
}

fn default_drain_ms() -> u64 {
    60_000
}

fn default_unread_s() -> u64 {
    60
}

/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

impl RouterSettings {
    /// Checks the constraints that the field types do not express.
    ///
    /// # Errors
    /// Returns an error that names the key and its constraint if a value
    /// violates one.
    pub fn check(&self) -> anyhow::Result<()> {
        let bytes = self.secret.len();
        anyhow::ensure!(
            bytes >= MIN_SECRET_BYTES,
            "secret has {bytes} bytes, at least {MIN_SECRET_BYTES} are required"
        );
        anyhow::ensure!(!self.instance.is_empty(), "instance is empty, a name is required");
        self.resources.check()?;
        anyhow::ensure!(self.unread_s > 0, "unread_s is 0, must be positive");
        anyhow::ensure!(self.listen != self.peer_listen, "listen and peer_listen are the same");
        Ok(())
    }
}
