//! Route table of one configuration: selects a route by the host and path of a
//! request.

use std::collections::BTreeMap;

use base::Name;
use serde::{Deserialize, Serialize};

/// How often a request may run, as its route declares.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request.
    NonIdempotent,
    /// Responds with a stream of events; runs at most once unless resumable.
    Stream { resumable: bool },
}

impl CallKind {
    /// Whether a request of this kind may be retried after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream that may go on at another target.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route and its weight in the traffic split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    pub service: Name,
    /// Relative to the sum of the weights of the route.
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
    /// Maximum time in milliseconds until a request has its final response.
    pub timeout_ms: u64,
    /// Time in milliseconds within which callers want the response, or the first
    /// event of a stream.
    pub target_latency_ms: u64,
    /// Maximum number of times that one request is sent; at least 1.
    pub max_attempts: u32,
    /// Whether requests are accepted without a credential.
    pub public: bool,
    /// Whether requests describe the parts of their prompt.
    pub has_prompt: bool,
    /// At least one service; the sum of the weights is positive.
    pub split: Vec<WeightedService>,
}

impl RouteSpec {
    /// Selects the service for a request by its uniform hash, in proportion to the
    /// weights. Returns `None` if the sum of the weights is 0.
    pub fn select_service(&self, request_hash: u64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut remaining = request_hash.checked_rem(total)?;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if remaining < weight {
                return Some(&part.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Published properties of the model engines of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that one engine processes concurrently.
    pub slots: u32,
    /// Memory of one engine in tokens, shared by running requests and cached prompt
    /// parts.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// What targets of a service tolerate after their start.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdSpec {
    /// Milliseconds for which a target is cold after its start.
    pub start_ms: u64,
    /// Requests per second that a target tolerates while it is cold; over 0.
    pub per_second: f64,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    pub name: Name,
    /// Maximum connections that one target accepts from all routers together.
    pub max_connections: u32,
    /// `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// `None` if targets are never cold. Routers tell each other beside the configuration, as
    /// earlier ones do not know it.
    #[serde(skip)]
    pub cold: Option<ColdSpec>,
}

/// Size and time limits for requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// Routes of one host, sorted by descending length of the path prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostRoutes(pub(crate) Vec<RouteSpec>);

/// One complete configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    pub version: u64,
    /// Capacity of all model engines of the fleet in tokens per second, where a
    /// prompt token counts once and a generated token twice. 0 if not published.
    pub capacity_tokens_per_s: f64,
    pub limits: CallerLimits,
    pub(crate) hosts: BTreeMap<Name, HostRoutes>,
    services: BTreeMap<Name, ServiceSpec>,
    /// Client account of each credential.
    credentials: BTreeMap<Name, Name>,
}

/// Builds a [`RouteTable`].
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

    /// Sets [`RouteTable::capacity_tokens_per_s`].
    pub fn capacity(mut self, tokens_per_s: f64) -> Self {
        self.0.capacity_tokens_per_s = tokens_per_s;
        self
    }

    pub fn route(mut self, route: RouteSpec) -> Self {
        let HostRoutes(routes) = self.0.hosts.entry(Name::clone(&route.host)).or_default();
        let position =
            routes.partition_point(|other| other.path_prefix.len() >= route.path_prefix.len());
        routes.insert(position, route);
        self
    }

    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.0.services.insert(Name::clone(&service.name), service);
        self
    }

    /// Adds a credential of a client account.
    pub fn credential(mut self, credential: Name, account: Name) -> Self {
        self.0.credentials.insert(credential, account);
        self
    }

    pub fn build(self) -> RouteTable {
        self.0
    }
}

impl RouteTable {
    /// Returns the route of a request: among the routes of its host, the one with the
    /// longest prefix of its path. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let HostRoutes(routes) = self.hosts.get(name)?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the longest time in milliseconds that a response may take on a route whose streams
    /// may be resumed, 0 if there is none.
    pub fn longest_stream_ms(&self) -> u64 {
        let routes = self.hosts.values().flat_map(|HostRoutes(routes)| routes);
        let resumable = routes.filter(|route| route.kind.is_resumable());
        resumable.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns which services have targets that may be cold.
    pub fn cold_specs(&self) -> Vec<(Name, ColdSpec)> {
        let services = self.services.iter();
        services.filter_map(|(name, service)| Some((Name::clone(name), service.cold?))).collect()
    }

    /// Sets which services have targets that may be cold.
    pub fn set_cold_specs(&mut self, specs: Vec<(Name, ColdSpec)>) {
        for (name, spec) in specs {
            if let Some(service) = self.services.get_mut(&name) {
                service.cold = Some(spec);
            }
        }
    }

    /// Returns the client account that a credential belongs to.
    pub fn account(&self, credential: &str) -> Option<&Name> {
        self.credentials.get(credential)
    }
}
