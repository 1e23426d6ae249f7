//! Configuration of a fleet and its stand-ins.

use anyhow::Context;
use serde_json::Value;

/// Failure domains of the example sites.
const ALLIANCE_DOMAINS: [&str; 3] = ["bell-bay", "george-town", "launceston-dc"];
const AGENCY_DOMAINS: [&str; 3] = ["dk-oest-a", "dk-oest-b", "dk-oest-c"];

/// Example site whose document, failure domains and sizes a fleet uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExampleSite {
    Alliance,
    Agency,
}

impl ExampleSite {
    /// Returns the example document.
    pub fn document(self) -> &'static str {
        match self {
            Self::Alliance => include_str!("../../../examples/tas-north.jsonc"),
            Self::Agency => include_str!("../../../examples/dk-oest.jsonc"),
        }
    }

    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Alliance => ALLIANCE_DOMAINS,
            Self::Agency => AGENCY_DOMAINS,
        }
    }

    pub fn region(self) -> &'static str {
        match self {
            Self::Alliance => "tas-north",
            Self::Agency => "dk-oest",
        }
    }

    pub fn model_service(self) -> &'static str {
        match self {
            Self::Alliance => "briefing-models",
            Self::Agency => "laeser-model",
        }
    }

    /// Returns the model of the example document.
    pub fn model(self) -> &'static str {
        match self {
            Self::Alliance => "briefing-2",
            Self::Agency => "laeser-7",
        }
    }

    pub fn plain_service(self) -> &'static str {
        match self {
            Self::Alliance => "crewlink-app",
            Self::Agency => "sagsregister",
        }
    }

    /// Returns a path of the plain service whose calls must run at most once, and
    /// one whose calls are idempotent.
    pub fn plain_paths(self) -> (&'static str, &'static str) {
        match self {
            Self::Alliance => ("/seats/confirm", "/manifests/check"),
            Self::Agency => ("/registrations", "/authors/status"),
        }
    }

    /// Returns the number of engines and of replicas of the plain service.
    pub fn replicas(self) -> (u16, u16) {
        match self {
            Self::Alliance => (12, 3),
            Self::Agency => (9, 3),
        }
    }
}

/// Sizes and settings of a fleet and its stand-ins.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub site: ExampleSite,
    pub routers: usize,
    /// Time between two tokens of a stream, in milliseconds.
    pub token_ms: u64,
    /// Duration of each call of the plain service, in milliseconds.
    pub work_ms: u64,
    /// Share mode of the routers: `granting`, `gossip` or `local`.
    pub share: &'static str,
    /// Log level of the routers.
    pub log: &'static str,
    /// Client accounts and their weights; none for those of the example document.
    pub accounts: Option<Vec<(String, u32)>>,
    /// Number of engines and of replicas of the plain service; none for those of
    /// the site.
    pub replicas: Option<(u16, u16)>,
    /// Number of additional targets in the instance list. They do not run and
    /// belong to a service that nobody calls.
    pub listed_targets: usize,
    /// Whether engines accept orders with an outdated fencing token too.
    pub ignore_fence: bool,
    /// Time that callers have to take a part of their response, in seconds.
    pub unread_s: u64,
    /// Limits of each router's resources, as in its settings file.
    pub resources: Value,
}

impl FleetPlan {
    pub fn new(site: ExampleSite, routers: usize) -> Self {
        Self {
            site,
            routers,
            token_ms: 10,
            work_ms: 10,
            share: "granting",
            log: "info",
            accounts: None,
            replicas: None,
            listed_targets: 0,
            ignore_fence: false,
            unread_s: 60,
            resources: Value::Object(serde_json::Map::new()),
        }
    }

    pub fn share(mut self, share: &'static str) -> Self {
        self.share = share;
        self
    }

    /// Replaces the client accounts of the example document by `count` accounts of
    /// weight 1.
    pub fn accounts(mut self, count: usize) -> Self {
        self.accounts = Some((0..count).map(|index| (format!("account-{index:04}"), 1)).collect());
        self
    }

    pub fn log(mut self, log: &'static str) -> Self {
        self.log = log;
        self
    }

    /// Returns the names and weights of the client accounts. Those of the example
    /// document are sorted by descending weight.
    pub fn account_weights(&self) -> anyhow::Result<Vec<(String, u32)>> {
        if let Some(accounts) = &self.accounts {
            return Ok(accounts.clone());
        }
        let document: Value = base::parse_jsonc("example", self.site.document())?;
        let accounts =
            document["accounts"].as_object().context("the example document has no accounts")?;
        let weight =
            |spec: &Value| u32::try_from(spec["weight"].as_u64().unwrap_or(1)).unwrap_or(1);
        let mut accounts: Vec<(String, u32)> =
            accounts.iter().map(|(name, spec)| (name.clone(), weight(spec))).collect();
        accounts.sort_by_key(|(_, weight)| std::cmp::Reverse(*weight));
        Ok(accounts)
    }
}
