//! The configuration in force: routes, services, workspaces with their keys, limits for callers.

use std::collections::BTreeMap;

/// What a request on a route is, which decides whether it may run again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// A call that may run more than once.
    IdempotentCall,
    /// A call that may run at most once.
    NonIdempotentCall,
    /// A stream of events.
    Stream {
        /// Whether another server may go on after the last event that the caller has.
        resumable: bool,
    },
}

impl Work {
    /// Whether a run that may have begun can be followed by another.
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

/// A service and its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// A route: which requests it takes and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that the caller must send.
    pub host_name: String,
    /// Prefix of the path, which begins and ends with a slash.
    pub path_prefix: String,
    /// What its requests are.
    pub work: Work,
    /// Longest time that a request may stay without a final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is in time, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause between two events of a stream that is in time, in milliseconds.
    pub target_gap_ms: Option<u64>,
    /// Most servers to which one request may be sent.
    pub max_attempts: u32,
    /// Rank of its requests; 0 goes first.
    pub priority: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Services that serve the route; never empty.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// The service for a request, chosen by weight with `draw`, any evenly spread number.
    pub fn service_for(&self, draw: u64) -> &str {
        let total: u64 = self.services.iter().map(|entry| u64::from(entry.weight)).sum();
        let mut rest = if total == 0 { 0 } else { draw % total };
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if rest < weight {
                return &entry.service;
            }
            rest -= weight;
        }
        self.services.last().map_or("", |entry| entry.service.as_str())
    }
}

/// Speed and memory of one kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct KindTraits {
    /// Factor on the time of a decoding step.
    pub step_factor: f64,
    /// Factor on the time of reading a prompt.
    pub read_factor: f64,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
}

/// The model that a service's servers run together, split by layers.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelTraits {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time to load all layers onto one server, in milliseconds.
    pub load_ms: u64,
    /// Loads that run at full speed at the same time.
    pub loads_at_once: u32,
    /// Fixed time of one step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Time that each writing request adds to a step, in milliseconds.
    pub step_per_request_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    pub step_per_kilotoken_ms: f64,
    /// Prompt tokens read per second over all layers.
    pub read_tokens_per_s: f64,
    /// Steps of one pass, which is the number of tokens in an event.
    pub steps_per_pass: u32,
    /// Mean tokens of a prompt.
    pub usual_prompt_tokens: u64,
    /// Mean tokens of an answer.
    pub usual_answer_tokens: u64,
    /// How old what a server reports of itself may be, in milliseconds.
    pub report_lag_ms: u64,
    /// What a stage passes to the next for each token, in bytes.
    pub activation_bytes: f64,
    /// Rate of the link between two failure domains, in megabits per second; 0 where there is no bound.
    pub link_mbps: f64,
    /// Kinds of accelerators, by name.
    pub kinds: BTreeMap<String, KindTraits>,
}

/// A service: a set of servers that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one server takes from all hosts together.
    pub max_connections: u32,
    /// The split model, for a service of model engines.
    pub model: Option<ModelTraits>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Size of the headers, in bytes.
    pub header_bytes: usize,
    /// Size of a body, in bytes.
    pub body_bytes: usize,
    /// Time to send the headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may stay without a request, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A customer with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests, which goes before the route's.
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
    /// Builds the lookups of a version.
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

    /// Number of the version; later ones are higher.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request: of those with its host name, the one with the longest prefix of its path.
    pub fn route(&self, host_name: &str, path: &str) -> Option<&Route> {
        let bare_host = host_name.split(':').next().unwrap_or(host_name).to_ascii_lowercase();
        let prefixes = self.routes_by_host.get(&bare_host)?;
        let path = path.split('?').next().unwrap_or(path);
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let index = slashes.filter_map(|prefix| prefixes.get(prefix)).next()?;
        self.routes.get(*index)
    }

    /// The workspace that holds a key.
    pub fn workspace_of_key(&self, key: &str) -> Option<&Workspace> {
        self.workspace_by_key.get(key).and_then(|index| self.workspaces.get(*index))
    }

    /// Whether requests need a key, but on public routes.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services by name.
    pub fn services(&self) -> &BTreeMap<String, Service> {
        &self.services
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
