//! The active configuration: routes, services, workspaces with their keys, and limits for callers.

use std::collections::BTreeMap;

/// Type of the requests on a route, which determines whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// A call that may run more than once.
    IdempotentCall,
    /// A call that may run at most once.
    NonIdempotentCall,
    /// A stream of events.
    Stream {
        /// Whether another server may continue after the last event that the caller has received.
        resumable: bool,
    },
}

impl Work {
    /// Whether a request may run again after an attempt that may have run it.
    pub fn may_run_again(self) -> bool {
        match self {
            Work::IdempotentCall => true,
            Work::NonIdempotentCall => false,
            Work::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Work::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the other services of the route.
    pub weight: u32,
}

/// A route: the requests that it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that a request must carry.
    pub host_name: String,
    /// Path prefix that a request must have; begins and ends with a slash.
    pub path_prefix: String,
    /// Type of the requests.
    pub work: Work,
    /// Timeout of a request up to its final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the time to answer, in milliseconds.
    pub target_latency_ms: u64,
    /// Target for the gap between two events of a stream, in milliseconds.
    pub target_gap_ms: Option<u64>,
    /// Maximum number of servers to which one request is sent.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Services that handle the route; never empty.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Selects the service for a request by weight. `draw` is a uniformly distributed number.
    pub fn service_for(&self, draw: u64) -> &str {
        let total: u64 = self.services.iter().map(|entry| u64::from(entry.weight)).sum();
        let mut remaining = if total == 0 { 0 } else { draw % total };
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if remaining < weight {
                return &entry.service;
            }
            remaining -= weight;
        }
        self.services.last().map_or("", |entry| entry.service.as_str())
    }
}

/// Speed and memory of one kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorSpec {
    /// Factor on the time of a decoding step, relative to the times of the [`ModelSpec`].
    pub step_factor: f64,
    /// Factor on the time of reading a prompt (prefill).
    pub read_factor: f64,
    /// Memory for layers and KV cache, in megabytes.
    pub memory_mb: f64,
}

/// A model that is split by layers over the servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Size of the KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time to load all layers onto one server, in milliseconds.
    pub load_ms: u64,
    /// Maximum number of model loads that run concurrently at full speed.
    pub loads_at_once: u32,
    /// Fixed part of the time of a decoding step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub step_per_request_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    pub step_per_kilotoken_ms: f64,
    /// Prompt tokens read per second over all layers.
    pub read_tokens_per_s: f64,
    /// Decoding steps of one pass; equals the number of tokens in an event.
    pub steps_per_pass: u32,
    /// Mean number of tokens of a prompt.
    pub usual_prompt_tokens: u64,
    /// Mean number of tokens of an answer.
    pub usual_answer_tokens: u64,
    /// Maximum age of the content of a server's report, in milliseconds.
    pub report_lag_ms: u64,
    /// Size of the activations that a stage passes to the next one for each token, in bytes.
    pub activation_bytes: f64,
    /// Bandwidth of the link between two failure domains, in megabits per second; 0 for no limit.
    pub link_mbps: f64,
    /// Accelerators by name of their kind.
    pub kinds: BTreeMap<String, AcceleratorSpec>,
}

/// A service: a set of interchangeable servers, or of servers that run a split model together.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections to one server from all hosts together.
    pub max_connections: u32,
    /// The split model that the service runs; none for a plain service.
    pub model: Option<ModelSpec>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys of the workspace.
    pub keys: Vec<String>,
    /// Priority of the workspace's requests; overrides the priority of the route.
    pub priority: Option<u32>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    version: u64,
    routes: Vec<Route>,
    routes_by_host: BTreeMap<String, BTreeMap<String, usize>>,
    services: BTreeMap<String, Service>,
    limits: CallerLimits,
    workspaces: Vec<Workspace>,
    workspace_by_key: BTreeMap<String, usize>,
}

impl Configuration {
    /// Creates a configuration and its lookup tables.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<String, Service>,
        limits: CallerLimits,
        workspaces: Vec<Workspace>,
    ) -> Configuration {
        let mut routes_by_host: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = routes_by_host.entry(route.host_name.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        let keys = workspaces.iter().enumerate();
        let workspace_by_key = keys
            .flat_map(|(index, workspace)| {
                workspace.keys.iter().map(move |key| (key.clone(), index))
            })
            .collect();
        Configuration {
            version,
            routes,
            routes_by_host,
            services,
            limits,
            workspaces,
            workspace_by_key,
        }
    }

    /// Returns the version number; a newer configuration has a higher one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request: the one with the longest matching path prefix for the host name.
    pub fn route(&self, host_name: &str, path: &str) -> Option<&Route> {
        let bare_host = host_name.split(':').next().unwrap_or(host_name).to_ascii_lowercase();
        let prefixes = self.routes_by_host.get(&bare_host)?;
        let path = path.split('?').next().unwrap_or(path);
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let index = slashes.filter_map(|prefix| prefixes.get(prefix)).next()?;
        self.routes.get(*index)
    }

    /// Finds the workspace that a key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&Workspace> {
        self.workspace_by_key.get(key).and_then(|index| self.workspaces.get(*index))
    }

    /// Whether any workspace is configured. If so, requests on routes that are not public need a key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services by name.
    pub fn services(&self) -> &BTreeMap<String, Service> {
        &self.services
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
