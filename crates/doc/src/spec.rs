//! Types of the document, with the defaults of its keys.

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

/// Kind of a service's targets; determines the unit of cost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens; cost is measured in tokens.
    Model,
    /// Plain calls; cost is measured in milliseconds of work.
    #[default]
    Plain,
}

/// One service and how its requests are handled.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    pub kind: ServiceKind,
    /// Number of requests that one target processes concurrently, 1 to 1024.
    pub slots: u32,
    /// Maximum number of requests of one client account that wait at one router,
    /// 1 to 10000.
    pub queue: u32,
    /// Maximum cost of one request in tokens or milliseconds, 1 to 10000000.
    pub max_cost: u32,
    /// Maximum time that a request waits for a slot, in milliseconds, 1 to
    /// 600000.
    pub max_wait_ms: u64,
    /// Calls that must run at most once.
    pub once: Vec<CallSpec>,
    /// Whether the engines refuse an order with an outdated fencing token.
    pub fenced: bool,
    /// Minimum number of serving replicas; no order may go below it.
    pub floor: u32,
    /// Model versions and the number of replicas of each; if empty, the engines
    /// get no orders.
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
    /// Returns whether a call must run at most once.
    pub fn is_at_most_once(&self, method: &str, path: &str) -> bool {
        self.once.iter().any(|call| &*call.method == method && &*call.path == path)
    }
}

/// One non-idempotent call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// HTTP method in upper case.
    pub method: Name,
    /// Path relative to the service, with a leading slash.
    pub path: Name,
}

/// One version of a model and the number of engines that hold it.
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
