//! Keys of the document with their defaults.

use std::collections::BTreeMap;

use base::Name;
use serde::{Deserialize, Serialize};

/// The whole document of one team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    pub team: Name,
    pub services: BTreeMap<Name, ServiceSpec>,
    pub accounts: BTreeMap<Name, AccountSpec>,
}

/// How a service's targets speak.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens; cost is counted in tokens.
    Model,
    /// Plain calls; cost is counted in milliseconds of work.
    #[default]
    Plain,
}

/// One service and how its requests are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    pub kind: ServiceKind,
    /// Requests that one target works on at once, 1 to 1024.
    pub slots: u32,
    /// Requests of one client account that may wait at one router, 1 to 10000.
    pub queue: u32,
    /// Largest cost of one request, in tokens or milliseconds.
    pub max_cost: u32,
    /// Milliseconds that a request may wait for a slot, 1 to 600000.
    pub max_wait_ms: u64,
    /// Calls that must run at most once.
    pub once: Vec<CallSpec>,
    /// Whether the engines refuse an order with an old fencing number.
    pub fenced: bool,
    /// Serving replicas below which no order may take the service.
    pub floor: u32,
    /// Model versions and the replicas of each; empty leaves engines alone.
    pub versions: Vec<VersionSpec>,
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Plain,
            slots: 4,
            queue: 64,
            max_cost: 4_000,
            max_wait_ms: 60_000,
            once: Vec::new(),
            fenced: true,
            floor: 1,
            versions: Vec::new(),
        }
    }
}

impl ServiceSpec {
    /// Whether a call must run at most once.
    pub fn is_at_most_once(&self, method: &str, path: &str) -> bool {
        self.once.iter().any(|call| &*call.method == method && &*call.path == path)
    }
}

/// One non-idempotent call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// HTTP method in capitals.
    pub method: Name,
    /// Path below the service, with a leading slash.
    pub path: Name,
}

/// One version of a model and how many engines hold it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    pub model: Name,
    pub replicas: u32,
}

/// One client account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Share of the capacity relative to the other accounts, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// SHA-256 of the credential, 64 lower-case hexadecimal digits.
    pub credential_sha256: Name,
}

fn default_weight() -> u32 {
    1
}
