//! One configuration: what a request's host and path select.

use std::collections::BTreeMap;

use base::Name;
use serde::{Deserialize, Serialize};

/// What may be repeated, as the route declares it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request.
    NonIdempotent,
    /// Answers with a series of events; runs at most once unless resumable.
    Stream { resumable: bool },
}

impl CallKind {
    /// Whether a request of this kind may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route and its part of the requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    pub service: Name,
    /// Relative to the sum of the route's weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteSpec {
    pub name: Name,
    pub host: Name,
    /// Begins and ends with a slash.
    pub path_prefix: Name,
    pub kind: CallKind,
    /// Longest time that a request may be kept without a final answer.
    pub timeout_ms: u64,
    /// Time to the answer, or to a stream's first event, that callers aim for.
    pub target_latency_ms: u64,
    /// Targets to which one request may be sent; at least 1.
    pub max_attempts: u32,
    /// Requests need no credential.
    pub public: bool,
    /// Requests describe the parts of their prompt.
    pub has_prompt: bool,
    /// At least one part, with a positive sum of weights.
    pub split: Vec<WeightedService>,
}

impl RouteSpec {
    /// The service for a request, by a number that is spread evenly.
    pub fn select_service(&self, request_hash: u64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut rest = request_hash.checked_rem(total)?;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if rest < weight {
                return Some(&part.service);
            }
            rest -= weight;
        }
        None
    }
}

/// What is published of a service's model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that running requests and kept prompt parts share.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    pub name: Name,
    /// Connections that one target accepts from all routers together.
    pub max_connections: u32,
    /// None for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// The routes of one host, the longest prefix first.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostRoutes(Vec<RouteSpec>);

/// One whole configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    pub version: u64,
    /// Tokens that the model engines of the fleet give in a second: each one
    /// read counts once, each one generated twice. 0 when not published.
    pub capacity_tokens_per_s: f64,
    pub limits: CallerLimits,
    hosts: BTreeMap<Name, HostRoutes>,
    services: BTreeMap<Name, ServiceSpec>,
    /// Client account of each credential.
    credentials: BTreeMap<Name, Name>,
}

/// Collects a [`RouteTable`].
#[derive(Clone, Debug)]
pub struct RouteTableBuilder(RouteTable);

impl RouteTableBuilder {
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self(RouteTable {
            version,
            capacity_tokens_per_s: 0.0,
            limits,
            hosts: BTreeMap::new(),
            services: BTreeMap::new(),
            credentials: BTreeMap::new(),
        })
    }

    /// Tokens per second, as [`RouteTable::capacity_tokens_per_s`].
    pub fn capacity(mut self, tokens_per_s: f64) -> Self {
        self.0.capacity_tokens_per_s = tokens_per_s;
        self
    }

    pub fn route(mut self, route: RouteSpec) -> Self {
        let HostRoutes(routes) = self.0.hosts.entry(Name::clone(&route.host)).or_default();
        let before = routes.partition_point(|r| r.path_prefix.len() >= route.path_prefix.len());
        routes.insert(before, route);
        self
    }

    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.0.services.insert(Name::clone(&service.name), service);
        self
    }

    /// A credential of a client account.
    pub fn credential(mut self, credential: Name, account: Name) -> Self {
        self.0.credentials.insert(credential, account);
        self
    }

    pub fn build(self) -> RouteTable {
        self.0
    }
}

impl RouteTable {
    /// The route of a request: of its host's routes the one with the longest
    /// prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let HostRoutes(routes) = self.hosts.get(name)?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The client account that holds a credential.
    pub fn account(&self, credential: &str) -> Option<&Name> {
        self.credentials.get(credential)
    }
}
