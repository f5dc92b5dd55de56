//! The active configuration: routes, services, workspaces with their keys, and limits for callers.

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};

use crate::site::demand_amounts::urgency_of;
use crate::site::urgency_order::UrgencyOrder;

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
    /// Maximum number of servers to which one request is sent; 0 counts as 1.
    pub max_attempts: u32,
    /// Urgency of the requests; 0 is the first.
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

impl CallerLimits {
    /// Limits while none have been read.
    pub const DEFAULT: CallerLimits = CallerLimits {
        header_bytes: 16 << 10,
        body_bytes: 4 << 20,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys of the workspace.
    pub keys: Vec<String>,
    /// Urgency of the workspace's requests; goes before that of the route.
    pub priority: Option<u32>,
}

/// An entry of a configuration that cannot be read, with what can be read of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UnreadableEntry {
    /// A route.
    Route {
        /// Name of the route.
        name: Option<String>,
        /// Host name that its requests carry.
        host_name: Option<String>,
        /// Path prefix that its requests have.
        path_prefix: Option<String>,
    },
    /// A service.
    Service {
        /// Name of the service.
        name: Option<String>,
    },
    /// A workspace, or some of its keys.
    Workspace {
        /// Name of the workspace.
        name: Option<String>,
    },
    /// The limits on the requests of callers.
    Limits,
}

impl Display for UnreadableEntry {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        fn known(text: &Option<String>) -> &str {
            text.as_deref().unwrap_or("?")
        }
        match self {
            UnreadableEntry::Route { name, host_name, path_prefix } => {
                let (name, host_name) = (known(name), known(host_name));
                write!(formatter, "route:{name}@{host_name}:{}", known(path_prefix))
            }
            UnreadableEntry::Service { name } => write!(formatter, "service:{}", known(name)),
            UnreadableEntry::Workspace { name } => write!(formatter, "workspace:{}", known(name)),
            UnreadableEntry::Limits => formatter.write_str("limits"),
        }
    }
}

/// What the configuration has for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestMatch<'a> {
    /// The route of the request.
    pub route: &'a Route,
    /// Name of the service that handles the request.
    pub service: &'a str,
    /// The workspace of the request's key; none on a public route for a request without a known key.
    pub workspace: Option<&'a Workspace>,
}

/// Reason why the configuration has nothing for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mismatch<'a> {
    /// No route matches.
    UnknownPath,
    /// No workspace has the key.
    UnknownKey,
    /// Whether the request is allowed, or what handles it, depends on an entry that cannot be read.
    Unreadable(&'a UnreadableEntry),
}

/// Position of an entry for a path prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Placed {
    Route(usize),
    Unreadable(usize),
}

/// Positions of the entries that cannot be read, by what is known of them.
#[derive(Clone, Debug, Default, PartialEq)]
struct UnreadableIndex {
    /// Routes of which only the path prefix is known.
    route_by_prefix: BTreeMap<String, usize>,
    /// Routes of which only the host name is known.
    route_by_host: BTreeMap<String, usize>,
    /// A route of which neither is known.
    unplaced_route: Option<usize>,
    service_by_name: BTreeMap<String, usize>,
    nameless_service: Option<usize>,
    workspace: Option<usize>,
    limits: Option<usize>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    version: u64,
    routes: Vec<Route>,
    routes_by_host: BTreeMap<String, BTreeMap<String, Placed>>,
    services: BTreeMap<String, Service>,
    limits: CallerLimits,
    workspaces: Vec<Workspace>,
    workspace_by_key: BTreeMap<String, usize>,
    urgency_orders: BTreeMap<String, UrgencyOrder>,
    unreadable: Vec<UnreadableEntry>,
    unreadable_index: UnreadableIndex,
}

impl Configuration {
    /// Creates a configuration all of whose entries can be read, and its lookup tables. Of routes with the same host name
    /// and path prefix the last one counts, of workspaces with the same key too.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: BTreeMap<String, Service>,
        limits: CallerLimits,
        workspaces: Vec<Workspace>,
    ) -> Configuration {
        routes.iter_mut().for_each(|route| route.max_attempts = route.max_attempts.max(1));
        let mut routes_by_host: BTreeMap<String, BTreeMap<String, Placed>> = BTreeMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = routes_by_host.entry(bare_host(&route.host_name)).or_default();
            prefixes.insert(route.path_prefix.clone(), Placed::Route(index));
        }
        let keys = workspaces.iter().enumerate();
        let workspace_by_key = keys
            .flat_map(|(index, workspace)| {
                workspace.keys.iter().map(move |key| (key.clone(), index))
            })
            .collect();
        let urgency_orders = UrgencyOrder::by_service(&routes, &workspaces);
        Configuration {
            version,
            routes,
            routes_by_host,
            services,
            limits,
            workspaces,
            workspace_by_key,
            urgency_orders,
            unreadable: Vec::new(),
            unreadable_index: UnreadableIndex::default(),
        }
    }

    /// Sets the entries that cannot be read. One of them counts for more than an entry for the same requests, or of the
    /// same service, that can be read.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use godwit_core::site::{CallerLimits, Configuration, Mismatch, UnreadableEntry};
    /// let entry = UnreadableEntry::Route {
    ///     name: None,
    ///     host_name: Some("shop.example".to_string()),
    ///     path_prefix: Some("/new/".to_string()),
    /// };
    /// let configuration =
    ///     Configuration::new(3, Vec::new(), BTreeMap::new(), CallerLimits::DEFAULT, Vec::new())
    ///         .with_unreadable(vec![entry.clone()]);
    /// let matched = configuration.match_request("shop.example", "/new/1", None, 0);
    /// assert_eq!(matched, Err(Mismatch::Unreadable(&entry)));
    /// let matched = configuration.match_request("shop.example", "/other/1", None, 0);
    /// assert_eq!(matched, Err(Mismatch::UnknownPath));
    /// ```
    pub fn with_unreadable(mut self, entries: Vec<UnreadableEntry>) -> Configuration {
        for (position, entry) in entries.iter().enumerate() {
            self.place_unreadable(position, entry);
        }
        self.unreadable = entries;
        self
    }

    fn place_unreadable(&mut self, position: usize, entry: &UnreadableEntry) {
        let index = &mut self.unreadable_index;
        match entry {
            UnreadableEntry::Route { host_name, path_prefix, .. } => {
                match (host_name.as_deref().map(bare_host), path_prefix.clone()) {
                    (Some(host_name), Some(path_prefix)) => {
                        let prefixes = self.routes_by_host.entry(host_name).or_default();
                        prefixes.insert(path_prefix, Placed::Unreadable(position));
                    }
                    (Some(host_name), None) => {
                        index.route_by_host.insert(host_name, position);
                    }
                    (None, Some(path_prefix)) => {
                        index.route_by_prefix.insert(path_prefix, position);
                    }
                    (None, None) => index.unplaced_route = Some(position),
                }
            }
            UnreadableEntry::Service { name: Some(name) } => {
                self.services.remove(name);
                index.service_by_name.insert(name.clone(), position);
            }
            UnreadableEntry::Service { name: None } => index.nameless_service = Some(position),
            UnreadableEntry::Workspace { .. } => index.workspace = Some(position),
            UnreadableEntry::Limits => index.limits = Some(position),
        }
    }

    /// Replaces limits that cannot be read by those of the version before.
    pub fn following(mut self, previous: Option<&Configuration>) -> Configuration {
        if let (Some(previous), Some(_)) = (previous, self.unreadable_index.limits) {
            self.limits = previous.limits;
        }
        self
    }

    /// Returns the version number; a newer configuration has a higher one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entries that cannot be read.
    pub fn unreadable(&self) -> &[UnreadableEntry] {
        &self.unreadable
    }

    /// Finds the route, the service and the workspace of a request. `key` is the key that the request carries, `draw` a
    /// uniformly distributed number.
    ///
    /// # Errors
    /// When the configuration does not allow the request, or an entry that cannot be read may decide on it.
    pub fn match_request(
        &self,
        host_name: &str,
        path: &str,
        key: Option<&str>,
        draw: u64,
    ) -> Result<RequestMatch<'_>, Mismatch<'_>> {
        let route = self.matching_route(host_name, path)?;
        let workspace = self.workspace_for(route, key).map_err(|mismatch| match mismatch {
            // The request may be that of a public route whose prefix is lost.
            Mismatch::UnknownKey => self.unplaced_route(&bare_host(host_name)).unwrap_or(mismatch),
            other => other,
        })?;
        let service = route.service_for(draw);
        self.check_service(service)?;
        Ok(RequestMatch { route, service, workspace })
    }

    /// Finds the route of a request: the one with the longest matching path prefix for the host name. None if no route
    /// matches, or an entry that cannot be read may match.
    pub fn route(&self, host_name: &str, path: &str) -> Option<&Route> {
        self.matching_route(host_name, path).ok()
    }

    fn matching_route(&self, host_name: &str, path: &str) -> Result<&Route, Mismatch<'_>> {
        let host_name = bare_host(host_name);
        let path = path.split('?').next().unwrap_or(path);
        let prefixes = self.routes_by_host.get(&host_name);
        let index = &self.unreadable_index;
        let placed = path.rmatch_indices('/').find_map(|(at, _)| {
            let prefix = &path[..=at];
            let of_host = prefixes.and_then(|prefixes| prefixes.get(prefix)).copied();
            let of_any_host = || index.route_by_prefix.get(prefix).copied().map(Placed::Unreadable);
            of_host.or_else(of_any_host)
        });
        match placed {
            Some(Placed::Route(position)) => Ok(&self.routes[position]),
            Some(Placed::Unreadable(position)) => Err(self.unreadable_at(position)),
            None => Err(self.unplaced_route(&host_name).unwrap_or(Mismatch::UnknownPath)),
        }
    }

    /// Returns the mismatch with a route that may be of a host and whose prefix is not known.
    fn unplaced_route(&self, bare_host: &str) -> Option<Mismatch<'_>> {
        let index = &self.unreadable_index;
        let position = index.route_by_host.get(bare_host).copied().or(index.unplaced_route);
        position.map(|position| self.unreadable_at(position))
    }

    fn unreadable_at(&self, position: usize) -> Mismatch<'_> {
        Mismatch::Unreadable(&self.unreadable[position])
    }

    fn workspace_for(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Workspace>, Mismatch<'_>> {
        let workspace = key.and_then(|key| self.workspace_of_key(key));
        if workspace.is_some() || !self.has_workspaces() || (route.is_public && key.is_none()) {
            return Ok(workspace);
        }
        match self.unreadable_index.workspace {
            Some(position) => Err(self.unreadable_at(position)),
            None if route.is_public => Ok(None),
            None => Err(Mismatch::UnknownKey),
        }
    }

    /// Checks that no entry that cannot be read may define a service.
    fn check_service(&self, service: &str) -> Result<(), Mismatch<'_>> {
        let index = &self.unreadable_index;
        let position = index.service_by_name.get(service).copied().or(index.nameless_service);
        match position.filter(|_| !self.services.contains_key(service)) {
            Some(position) => Err(self.unreadable_at(position)),
            None => Ok(()),
        }
    }

    /// Finds the workspace that a key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&Workspace> {
        self.workspace_by_key.get(key).and_then(|index| self.workspaces.get(*index))
    }

    /// Whether any workspace is configured. If so, requests on routes that are not public need a key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty() || self.unreadable_index.workspace.is_some()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services by name.
    pub fn services(&self) -> &BTreeMap<String, Service> {
        &self.services
    }

    /// Whether the requests for a service differ in urgency, by their routes or their workspaces, so that the more urgent
    /// ones come first.
    pub fn is_ordered(&self, service: &str) -> bool {
        self.urgency_orders.get(service).is_some_and(UrgencyOrder::is_ordered)
    }

    /// Returns the urgency of a request for a service, from 0, the first, to 9: that of its workspace or, without one, of its
    /// route. Where workspaces of the same urgency use routes that differ, urgencies are numbered anew, by the workspace
    /// and then by the route.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use godwit_core::site::{CallerLimits, Configuration, Route, WeightedService, Work, Workspace};
    /// let route = |priority| Route {
    ///     name: "r".to_string(), host_name: "shop.example".to_string(), path_prefix: "/".to_string(),
    ///     work: Work::IdempotentCall, timeout_ms: 1_000, target_latency_ms: 100, target_gap_ms: None,
    ///     max_attempts: 2, priority, is_public: false,
    ///     services: vec![WeightedService { service: "chat".to_string(), weight: 1 }],
    /// };
    /// let (counter, batch) = (route(0), route(2));
    /// let shop = Workspace { name: "shop".to_string(), keys: Vec::new(), priority: Some(1) };
    /// let routes = vec![counter.clone(), batch.clone()];
    /// let all = Configuration::new(
    ///     1, routes, BTreeMap::new(), CallerLimits::DEFAULT, vec![shop.clone()],
    /// );
    /// assert!(all.urgency("chat", &counter, Some(&shop)) < all.urgency("chat", &batch, Some(&shop)));
    /// ```
    pub fn urgency(&self, service: &str, route: &Route, workspace: Option<&Workspace>) -> u8 {
        let order = self.urgency_orders.get(service);
        order.map_or_else(|| urgency_of(route.priority), |order| order.urgency(route, workspace))
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

/// Returns a host name in lower case and without its port.
pub(crate) fn bare_host(host_name: &str) -> String {
    host_name.split(':').next().unwrap_or(host_name).to_ascii_lowercase()
}
