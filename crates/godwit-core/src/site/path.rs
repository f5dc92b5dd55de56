//! The path of one request: servers whose layers follow each other from the first to the last.
//!
//! A shortest path over layer boundaries. A stage costs the time that the request spends there, given all requests in
//! progress on that server, and what it adds to the time of those.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::site::configuration::{KindTraits, ModelTraits};
use crate::site::layout::kv_capacity_tokens;
use crate::site::load::{Load, LoadBook};
use crate::site::server::{BackendServer, LayerRange, ServerState};

/// Weight of each request in progress on the cost of a stage, for the delay that the new one causes to it.
const CROWDING_WEIGHT: f64 = 0.03;

/// Cost of a crossing between failure domains, as a share of an unloaded path; the links between them are the
/// narrowest part of a site.
const CROSSING_SHARE: f64 = 1.0;

/// Time for which a request counts on the links that it crosses, in milliseconds; about as long as one lasts.
const CROSSING_STAY_MS: f64 = 2_000.0;

/// Share of a link's rate that may be planned.
const LINK_PLANNED_SHARE: f64 = 0.6;

/// Cost of a first server outside the host's own failure domain, as a share of an unloaded path.
const FOREIGN_ENTRY_SHARE: f64 = 0.1;

/// Share of a server's KV cache that may be planned. Requests are planned at their full length, and hold less for most
/// of their time.
const KV_PLANNED_SHARE: f64 = 1.0;

/// Spread of the random factor on each stage, which keeps hosts from choosing the same servers in step.
const JITTER: f64 = 0.1;

/// What the search has to know of a request.
#[derive(Clone)]
pub struct PathRequest<'a> {
    /// Service that runs the model.
    pub service: &'a str,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer will have, as far as can be told.
    pub answer_tokens: u64,
    /// Failure domain of the host.
    pub home_domain: &'a str,
    /// Stage that the path must begin with, for a request that runs there already.
    pub start: Option<&'a Hop>,
    /// Servers that must not be on the path.
    pub avoided: &'a BTreeSet<String>,
    /// How many times slower than its kind a server runs.
    pub slowdown: &'a dyn Fn(&str) -> f64,
    /// Whether two failure domains reach each other.
    pub is_open: &'a dyn Fn(&str, &str) -> bool,
    /// Any number, for the random factor.
    pub seed: u64,
}

/// A stage of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hop {
    /// Identity of the server.
    pub server_id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Layers that the request runs there.
    pub range: LayerRange,
}

/// A path through all layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Its stages, by layer.
    pub hops: Vec<Hop>,
    /// Time to the first event if nothing else interferes, in milliseconds.
    pub first_event_ms: f64,
    /// Time between two events, in milliseconds.
    pub event_gap_ms: f64,
    /// Links between failure domains that the request crosses, as [`link_key`] names them.
    pub crossings: Vec<String>,
}

/// Name under which loads are kept for the link between two failure domains.
///
/// ```
/// use godwit_core::site::link_key;
/// assert_eq!(link_key("b", "a"), link_key("a", "b"));
/// ```
pub fn link_key(one: &str, other: &str) -> String {
    format!("{}|{}", one.min(other), one.max(other))
}

/// Share of a link's planned rate that is used with one more request.
fn link_use(
    model: &ModelTraits,
    loads: &LoadBook,
    request: &PathRequest<'_>,
    one: &str,
    other: &str,
) -> f64 {
    if model.link_mbps <= 0.0 {
        return 0.0;
    }
    let tokens = loads.total(&link_key(one, other)).kv_tokens + request.prompt_tokens;
    let busy_ms = tokens as f64 * model.activation_bytes * 8.0 / (model.link_mbps * 1e3);
    busy_ms / (CROSSING_STAY_MS * LINK_PLANNED_SHARE)
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PathError {
    /// Some layer is held by no usable server.
    #[error("no usable server holds some of the layers")]
    LayerMissing,
    /// All layers are held, but some only by servers whose KV cache is full.
    #[error("the KV cache of the servers is full")]
    NoRoom,
}

/// A usable server with what its stages cost.
struct Holder<'a> {
    server: &'a BackendServer,
    kind: &'a KindTraits,
    range: LayerRange,
    load: Load,
    domain: usize,
    domain_name: &'a str,
    slowdown: f64,
    factor: f64,
    has_room: bool,
}

impl Holder<'_> {
    fn share(&self, model: &ModelTraits, layers: u32) -> f64 {
        f64::from(layers) / f64::from(model.layers.max(1))
    }

    fn pass_ms(&self, model: &ModelTraits, layers: u32) -> f64 {
        let requests = f64::from(self.load.requests) + 1.0;
        let kilotokens = self.load.kv_tokens as f64 / 1e3;
        let step_ms = model.step_ms
            + model.step_per_request_ms * requests
            + model.step_per_kilotoken_ms * kilotokens;
        let steps = f64::from(model.steps_per_pass.max(1));
        steps * self.slowdown * self.kind.step_factor * step_ms * self.share(model, layers)
    }

    fn read_ms(&self, model: &ModelTraits, prompt_tokens: u64, layers: u32) -> f64 {
        let full_ms = prompt_tokens as f64 * 1e3 / model.read_tokens_per_s.max(1.0);
        full_ms * self.slowdown * self.kind.read_factor * self.share(model, layers)
    }

    fn cost_ms(&self, model: &ModelTraits, request: &PathRequest<'_>, layers: u32) -> f64 {
        let passes = request.answer_tokens as f64 / f64::from(model.steps_per_pass.max(1));
        let stage_ms = self.read_ms(model, request.prompt_tokens, layers)
            + passes.max(1.0) * self.pass_ms(model, layers);
        stage_ms * (1.0 + CROWDING_WEIGHT * f64::from(self.load.requests)) * self.factor
    }
}

/// Evenly spread factor around 1 for a server and a request.
fn jitter(server_id: &str, seed: u64) -> f64 {
    let mut hash = seed ^ 0x9e37_79b9_7f4a_7c15;
    for byte in server_id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    let unit = (hash % 1_000) as f64 / 1e3;
    1.0 + JITTER * (unit - 0.5)
}

/// One way to reach a boundary with the last server in a domain.
#[derive(Clone, Copy)]
struct Step {
    cost_ms: f64,
    holder: usize,
    from: (u32, usize),
}

fn holders<'a>(
    model: &'a ModelTraits,
    servers: impl Iterator<Item = &'a BackendServer>,
    loads: &LoadBook,
    request: &PathRequest<'_>,
) -> Vec<Holder<'a>> {
    let mut domains: Vec<&str> = Vec::new();
    let mut found = Vec::new();
    for server in servers {
        let is_usable = server.service == request.service
            && (request.is_open)(request.home_domain, &server.failure_domain)
            && server.state == ServerState::Ready
            && !request.avoided.contains(&server.id)
            && request.start.is_none_or(|start| start.server_id != server.id);
        let Some(range) = server.layers.filter(|range| is_usable && !range.is_empty()) else {
            continue;
        };
        let Some(kind) = model.kinds.get(&server.kind) else { continue };
        let domain = domains.iter().position(|name| *name == server.failure_domain);
        let domain = domain.unwrap_or_else(|| {
            domains.push(&server.failure_domain);
            domains.len() - 1
        });
        let load = loads.total(&server.id);
        let tokens = load.kv_tokens + request.prompt_tokens + request.answer_tokens;
        let room = KV_PLANNED_SHARE * kv_capacity_tokens(model, kind, range.len());
        let has_room = (tokens as f64) <= room && load.requests < server.slots;
        let factor = jitter(&server.id, request.seed);
        let slowdown = (request.slowdown)(&server.id);
        found.push(Holder {
            server,
            kind,
            range,
            load,
            domain,
            domain_name: &server.failure_domain,
            slowdown,
            factor,
            has_room,
        });
    }
    found
}

fn unloaded_path_ms(model: &ModelTraits, request: &PathRequest<'_>, holders: &[Holder<'_>]) -> f64 {
    let fastest = holders.iter().map(|holder| holder.kind.step_factor).fold(f64::MAX, f64::min);
    let steps = request.answer_tokens as f64;
    steps * model.step_ms * fastest
}

/// Boundaries reached, each with the cheapest step into it.
type Steps = BTreeMap<(u32, usize), Step>;

/// Cost of each link between domains that has room, by the numbers of the domains.
type LinkCosts = BTreeMap<(usize, usize), f64>;

fn link_costs(
    model: &ModelTraits,
    loads: &LoadBook,
    request: &PathRequest<'_>,
    all: &[Holder<'_>],
    base_ms: f64,
) -> LinkCosts {
    let domains: BTreeMap<usize, &str> =
        all.iter().map(|holder| (holder.domain, holder.domain_name)).collect();
    let mut costs = LinkCosts::new();
    for (one, one_name) in &domains {
        for (other, other_name) in domains.range(one + 1..) {
            let used = link_use(model, loads, request, one_name, other_name);
            if used < 1.0 && (request.is_open)(one_name, other_name) {
                costs.insert((*one, *other), CROSSING_SHARE * base_ms / (1.0 - used));
            }
        }
    }
    costs
}

/// Domain of the start, before any server.
const NO_DOMAIN: usize = usize::MAX;

fn search(
    model: &ModelTraits,
    request: &PathRequest<'_>,
    usable: &[&Holder<'_>],
    links: &LinkCosts,
    base_ms: f64,
) -> Steps {
    let mut boundaries: BTreeSet<u32> = BTreeSet::from([0, model.layers]);
    for holder in usable {
        boundaries.extend([holder.range.from, holder.range.to.min(model.layers)]);
    }
    let mut steps: Steps = BTreeMap::new();
    let first = request.start.map_or(0, |start| start.range.to);
    boundaries.insert(first);
    for at in boundaries.range(first..) {
        let reached: Vec<((u32, usize), f64)> = if *at == first {
            vec![((first, NO_DOMAIN), 0.0)]
        } else {
            let here = steps.range((*at, 0)..=(*at, usize::MAX));
            here.map(|(state, step)| (*state, step.cost_ms)).collect()
        };
        for (state, cost_ms) in reached {
            for (index, holder) in usable.iter().enumerate() {
                if holder.range.from > *at || holder.range.to <= *at {
                    continue;
                }
                let is_foreign =
                    state.1 == NO_DOMAIN && holder.server.failure_domain != request.home_domain;
                let is_crossing = state.1 != NO_DOMAIN && state.1 != holder.domain;
                let crossing_cost_ms = if is_crossing {
                    links.get(&(state.1.min(holder.domain), state.1.max(holder.domain)))
                } else {
                    Some(&0.0)
                };
                let Some(crossing_cost_ms) = crossing_cost_ms else { continue };
                let mut entry_ms = cost_ms;
                entry_ms += if is_foreign { FOREIGN_ENTRY_SHARE * base_ms } else { 0.0 };
                entry_ms += crossing_cost_ms;
                // Each server is used up to its last layer, so that none can be entered twice.
                let to = holder.range.to.min(model.layers);
                let cost_ms = entry_ms + holder.cost_ms(model, request, to - at);
                let step = Step { cost_ms, holder: index, from: state };
                let known = steps.entry((to, holder.domain)).or_insert(step);
                if step.cost_ms < known.cost_ms {
                    *known = step;
                }
            }
        }
    }
    steps
}

fn trace(
    model: &ModelTraits,
    request: &PathRequest<'_>,
    usable: &[&Holder<'_>],
    steps: &Steps,
) -> Option<Path> {
    let ends = steps.range((model.layers, 0)..=(model.layers, usize::MAX));
    let (mut state, _) = ends.min_by(|left, right| left.1.cost_ms.total_cmp(&right.1.cost_ms))?;
    let mut path =
        Path { hops: Vec::new(), first_event_ms: 0.0, event_gap_ms: 0.0, crossings: Vec::new() };
    while let Some(step) = steps.get(state) {
        let holder = usable[step.holder];
        let range = LayerRange { from: step.from.0, to: state.0 };
        path.event_gap_ms += holder.pass_ms(model, range.len());
        path.first_event_ms += holder.read_ms(model, request.prompt_tokens, range.len());
        let before = steps.get(&step.from).map(|before| usable[before.holder].domain_name);
        if let Some(before) = before.filter(|before| *before != holder.domain_name) {
            path.crossings.push(link_key(before, holder.domain_name));
        }
        let server = holder.server;
        path.hops.push(Hop { server_id: server.id.clone(), address: server.address, range });
        state = &step.from;
    }
    path.first_event_ms += path.event_gap_ms;
    path.hops.extend(request.start.cloned());
    path.hops.reverse();
    Some(path)
}

/// The cheapest path for a request over the servers that hold layers and have room.
///
/// # Errors
/// [`PathError::LayerMissing`] when some layer has no usable holder, [`PathError::NoRoom`] when it has only full ones.
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
/// use godwit_core::site::{LoadBook, ModelTraits, PathError, PathRequest, find_path};
/// let model = ModelTraits {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4, kinds: BTreeMap::new(),
/// };
/// let avoided = BTreeSet::new();
/// let request = PathRequest {
///     service: "chat", prompt_tokens: 700, answer_tokens: 200, home_domain: "a", start: None, avoided: &avoided,
///     slowdown: &|_| 1.0, is_open: &|_, _| true,
///     seed: 1,
/// };
/// let found = find_path(&model, std::iter::empty(), &LoadBook::new(1_000), &request);
/// assert_eq!(found, Err(PathError::LayerMissing));
/// ```
pub fn find_path<'a>(
    model: &'a ModelTraits,
    servers: impl Iterator<Item = &'a BackendServer>,
    loads: &LoadBook,
    request: &PathRequest<'_>,
) -> Result<Path, PathError> {
    let all = holders(model, servers, loads, request);
    let base_ms = unloaded_path_ms(model, request, &all);
    let usable: Vec<&Holder<'_>> = all.iter().filter(|holder| holder.has_room).collect();
    let links = link_costs(model, loads, request, &all, base_ms);
    let steps = search(model, request, &usable, &links, base_ms);
    if let Some(path) = trace(model, request, &usable, &steps) {
        return Ok(path);
    }
    let everyone: Vec<&Holder<'_>> = all.iter().collect();
    let steps = search(model, request, &everyone, &links, base_ms);
    let is_covered = trace(model, request, &everyone, &steps).is_some();
    Err(if is_covered { PathError::NoRoom } else { PathError::LayerMissing })
}
