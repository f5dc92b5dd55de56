//! Path selection for a request: a sequence of servers whose layer ranges cover all layers of the model in order.
//!
//! The search is a shortest-path search over layer boundaries. The cost of a stage is the time that the request spends
//! there under the current load of the server, plus the delay that it causes to the requests in progress there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::rendezvous::uniform_number;
use crate::site::configuration::{AcceleratorSpec, ModelSpec};
use crate::site::layout::kv_capacity_tokens;
use crate::site::load::{Load, LoadTable};
use crate::site::room::{RoomTerms, ServerRoom};
use crate::site::server::{BackendServer, LayerRange, ServerState};

/// Increase of the cost of a stage per request in progress, for the delay that the new request causes to that request.
const CONTENTION_WEIGHT: f64 = 0.03;

/// Cost of crossing between failure domains over an idle link, as a share of the cost of an unloaded path. The links
/// between domains have the least bandwidth of a site.
const CROSSING_COST_SHARE: f64 = 1.0;

/// Time over which the traffic of a request is spread on the links that it crosses, in milliseconds; about the duration
/// of a request.
const CROSSING_WINDOW_MS: f64 = 2_000.0;

/// Share of a link's bandwidth that may be allocated to requests.
const MAX_LINK_UTILIZATION: f64 = 0.6;

/// Cost of a first server outside the failure domain of the host, as a share of the cost of an unloaded path.
const REMOTE_ENTRY_COST_SHARE: f64 = 0.1;

/// Share of a server's KV cache that may be allocated to requests. More than the whole, because requests are counted at
/// their final length and occupy less for most of their duration.
const MAX_KV_UTILIZATION: f64 = 1.15;

/// Width of the range of the random factor on the cost of each stage, which keeps hosts from all choosing the same
/// servers at the same time.
const JITTER_RANGE: f64 = 1.0;

/// Parameters of a path search for one request.
#[derive(Clone)]
pub struct PathRequest<'a> {
    /// Service that runs the model.
    pub service: &'a str,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Estimated number of tokens of the answer.
    pub answer_tokens: u64,
    /// Failure domain of the host.
    pub home_domain: &'a str,
    /// First stage of the path, for a request that already runs there.
    pub start: Option<&'a Hop>,
    /// Identities of servers that must not be on the path.
    pub excluded: &'a BTreeSet<String>,
    /// Returns the factor by which a server is slower than its kind of accelerator.
    pub slowdown: &'a dyn Fn(&str) -> f64,
    /// Returns whether two failure domains can reach each other.
    pub is_reachable: &'a dyn Fn(&str, &str) -> bool,
    /// Terms on which the host may use the room of servers.
    pub room: RoomTerms,
    /// Seed of the random factors on the stages; with none, the cheapest path is found.
    pub seed: Option<u64>,
}

/// A stage of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hop {
    /// Identity of the server.
    pub server_id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Layers that the server runs for the request.
    pub range: LayerRange,
}

/// A path that covers all layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Stages in the order of their layers.
    pub hops: Vec<Hop>,
    /// Predicted time to the first event under the known load, in milliseconds.
    pub first_event_ms: f64,
    /// Predicted time between two events, in milliseconds.
    pub event_gap_ms: f64,
    /// Keys of the links between failure domains that the request crosses; see [`link_key`].
    pub crossings: Vec<String>,
}

/// Returns the key under which a [`LoadTable`] holds the load of the link between two failure domains.
///
/// ```
/// use godwit_core::site::link_key;
/// assert_eq!(link_key("b", "a"), link_key("a", "b"));
/// ```
pub fn link_key(one: &str, other: &str) -> String {
    format!("{}|{}", one.min(other), one.max(other))
}

/// Returns the utilization of a link including the new request, relative to the bandwidth that may be allocated.
fn link_utilization(
    model: &ModelSpec,
    loads: &LoadTable,
    request: &PathRequest<'_>,
    one: &str,
    other: &str,
) -> f64 {
    if model.link_mbps <= 0.0 {
        return 0.0;
    }
    let tokens = loads.total(&link_key(one, other)).kv_tokens.saturating_add(request.prompt_tokens);
    let busy_ms = tokens as f64 * model.activation_bytes * 8.0 / (model.link_mbps * 1e3);
    busy_ms / (CROSSING_WINDOW_MS * MAX_LINK_UTILIZATION)
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PathError {
    /// No usable server holds some of the layers.
    #[error("no usable server holds some of the layers")]
    LayerMissing,
    /// Every layer has a usable server, but no path uses only servers with a free slot and enough free KV cache.
    #[error("the KV cache of the servers is full")]
    NoRoom,
}

/// A usable server with the inputs of its cost.
struct Candidate<'a> {
    server: &'a BackendServer,
    kind: &'a AcceleratorSpec,
    range: LayerRange,
    load: Load,
    domain: usize,
    domain_name: &'a str,
    slowdown: f64,
    jitter_factor: f64,
    has_room: bool,
}

impl Candidate<'_> {
    fn layer_share(&self, model: &ModelSpec, layers: u32) -> f64 {
        f64::from(layers) / f64::from(model.layers.max(1))
    }

    fn pass_ms(&self, model: &ModelSpec, layers: u32) -> f64 {
        let requests = f64::from(self.load.requests) + 1.0;
        let kilotokens = self.load.kv_tokens as f64 / 1e3;
        let step_ms = model.step_ms
            + model.step_per_request_ms * requests
            + model.step_per_kilotoken_ms * kilotokens;
        let steps = f64::from(model.steps_per_pass.max(1));
        steps * self.slowdown * self.kind.step_factor * step_ms * self.layer_share(model, layers)
    }

    fn read_ms(&self, model: &ModelSpec, prompt_tokens: u64, layers: u32) -> f64 {
        let all_layers_ms = prompt_tokens as f64 * 1e3 / model.read_tokens_per_s.max(1.0);
        all_layers_ms * self.slowdown * self.kind.read_factor * self.layer_share(model, layers)
    }

    fn cost_ms(&self, model: &ModelSpec, request: &PathRequest<'_>, layers: u32) -> f64 {
        let passes = request.answer_tokens as f64 / f64::from(model.steps_per_pass.max(1));
        let stage_ms = self.read_ms(model, request.prompt_tokens, layers)
            + passes.max(1.0) * self.pass_ms(model, layers);
        stage_ms * (1.0 + CONTENTION_WEIGHT * f64::from(self.load.requests)) * self.jitter_factor
    }
}

/// Returns a uniformly distributed factor around 1 for a server and a request.
fn jitter(server_id: &str, seed: u64) -> f64 {
    1.0 + JITTER_RANGE * (uniform_number(seed, server_id) - 0.5)
}

/// A path from the first boundary to a later one, given by its last stage. Field `from` is the boundary and the failure
/// domain before that stage.
#[derive(Clone, Copy)]
struct PartialPath {
    cost_ms: f64,
    candidate: usize,
    from: (u32, usize),
}

fn collect_candidates<'a>(
    model: &'a ModelSpec,
    servers: impl Iterator<Item = &'a BackendServer>,
    loads: &LoadTable,
    request: &PathRequest<'_>,
) -> Vec<Candidate<'a>> {
    let mut domains: Vec<&str> = Vec::new();
    let mut candidates = Vec::new();
    for server in servers {
        let is_usable = server.service == request.service
            && (request.is_reachable)(request.home_domain, &server.failure_domain)
            && server.state == ServerState::Ready
            && !request.excluded.contains(&server.id)
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
        let tokens = request.prompt_tokens.saturating_add(request.answer_tokens);
        let room = ServerRoom {
            kv_tokens: MAX_KV_UTILIZATION * kv_capacity_tokens(model, kind, range.len()),
            slots: (range.from == 0).then_some(server.slots),
        };
        let own = loads.own().get(&server.id).copied().unwrap_or_default();
        let is_home = server.failure_domain == request.home_domain;
        let has_room = room.fits(tokens, own, load, &request.room, is_home);
        let jitter_factor = request.seed.map_or(1.0, |seed| jitter(&server.id, seed));
        let slowdown = (request.slowdown)(&server.id);
        candidates.push(Candidate {
            server,
            kind,
            range,
            load,
            domain,
            domain_name: &server.failure_domain,
            slowdown,
            jitter_factor,
            has_room,
        });
    }
    candidates
}

fn unloaded_path_ms(
    model: &ModelSpec,
    request: &PathRequest<'_>,
    candidates: &[Candidate<'_>],
) -> f64 {
    let fastest =
        candidates.iter().map(|candidate| candidate.kind.step_factor).fold(f64::MAX, f64::min);
    let steps = request.answer_tokens as f64;
    steps * model.step_ms * fastest
}

/// Cheapest path to each layer boundary that was reached, by the boundary and the domain index of the path's last
/// server.
type CheapestPaths = BTreeMap<(u32, usize), PartialPath>;

/// Costs of the links that are reachable and have spare bandwidth, by the indexes of the two failure domains.
type LinkCosts = BTreeMap<(usize, usize), f64>;

fn link_costs(
    model: &ModelSpec,
    loads: &LoadTable,
    request: &PathRequest<'_>,
    all: &[Candidate<'_>],
    base_ms: f64,
) -> LinkCosts {
    let domains: BTreeMap<usize, &str> =
        all.iter().map(|candidate| (candidate.domain, candidate.domain_name)).collect();
    let mut costs = LinkCosts::new();
    for (one, one_name) in &domains {
        for (other, other_name) in domains.range(one + 1..) {
            let utilization = link_utilization(model, loads, request, one_name, other_name);
            if utilization < 1.0 && (request.is_reachable)(one_name, other_name) {
                costs.insert((*one, *other), CROSSING_COST_SHARE * base_ms / (1.0 - utilization));
            }
        }
    }
    costs
}

/// Domain index of the start of a path, which has no server before it.
const NO_DOMAIN: usize = usize::MAX;

fn cheapest_paths(
    model: &ModelSpec,
    request: &PathRequest<'_>,
    usable: &[&Candidate<'_>],
    links: &LinkCosts,
    base_ms: f64,
) -> CheapestPaths {
    let mut boundaries: BTreeSet<u32> = BTreeSet::from([0, model.layers]);
    for candidate in usable {
        boundaries.extend([candidate.range.from, candidate.range.to.min(model.layers)]);
    }
    let mut paths: CheapestPaths = BTreeMap::new();
    let first = request.start.map_or(0, |start| start.range.to);
    boundaries.insert(first);
    for at in boundaries.range(first..) {
        let reached: Vec<((u32, usize), f64)> = if *at == first {
            vec![((first, NO_DOMAIN), 0.0)]
        } else {
            let here = paths.range((*at, 0)..=(*at, usize::MAX));
            here.map(|(node, partial)| (*node, partial.cost_ms)).collect()
        };
        for (node, cost_ms) in reached {
            for (index, candidate) in usable.iter().enumerate() {
                if candidate.range.from > *at || candidate.range.to <= *at {
                    continue;
                }
                let is_remote =
                    node.1 == NO_DOMAIN && candidate.server.failure_domain != request.home_domain;
                let is_crossing = node.1 != NO_DOMAIN && node.1 != candidate.domain;
                let crossing_cost_ms = if is_crossing {
                    links.get(&(node.1.min(candidate.domain), node.1.max(candidate.domain)))
                } else {
                    Some(&0.0)
                };
                let Some(crossing_cost_ms) = crossing_cost_ms else { continue };
                let mut entry_ms = cost_ms;
                entry_ms += if is_remote { REMOTE_ENTRY_COST_SHARE * base_ms } else { 0.0 };
                entry_ms += crossing_cost_ms;
                // A stage always extends to the last layer of its server, so that no server occurs twice on a path.
                let to = candidate.range.to.min(model.layers);
                let cost_ms = entry_ms + candidate.cost_ms(model, request, to - at);
                let partial = PartialPath { cost_ms, candidate: index, from: node };
                let cheapest = paths.entry((to, candidate.domain)).or_insert(partial);
                if partial.cost_ms < cheapest.cost_ms {
                    *cheapest = partial;
                }
            }
        }
    }
    paths
}

fn reconstruct_path(
    model: &ModelSpec,
    request: &PathRequest<'_>,
    usable: &[&Candidate<'_>],
    paths: &CheapestPaths,
) -> Option<Path> {
    let ends = paths.range((model.layers, 0)..=(model.layers, usize::MAX));
    let (mut node, _) = ends.min_by(|left, right| left.1.cost_ms.total_cmp(&right.1.cost_ms))?;
    let mut path =
        Path { hops: Vec::new(), first_event_ms: 0.0, event_gap_ms: 0.0, crossings: Vec::new() };
    while let Some(partial) = paths.get(node) {
        let candidate = usable[partial.candidate];
        let range = LayerRange { from: partial.from.0, to: node.0 };
        path.event_gap_ms += candidate.pass_ms(model, range.len());
        path.first_event_ms += candidate.read_ms(model, request.prompt_tokens, range.len());
        let previous =
            paths.get(&partial.from).map(|previous| usable[previous.candidate].domain_name);
        if let Some(previous) = previous.filter(|previous| *previous != candidate.domain_name) {
            path.crossings.push(link_key(previous, candidate.domain_name));
        }
        let server = candidate.server;
        path.hops.push(Hop { server_id: server.id.clone(), address: server.address, range });
        node = &partial.from;
    }
    path.first_event_ms += path.event_gap_ms;
    path.hops.extend(request.start.cloned());
    path.hops.reverse();
    Some(path)
}

/// Finds the cheapest path for a request over the servers that hold layers and have capacity.
///
/// # Errors
/// [`PathError::LayerMissing`] if no path exists even with servers that are full, [`PathError::NoRoom`] if a path
/// exists only with such servers.
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
/// use godwit_core::site::{LoadTable, ModelSpec, PathError, PathRequest, RoomTerms, find_path};
/// let model = ModelSpec {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4, kinds: BTreeMap::new(),
/// };
/// let excluded = BTreeSet::new();
/// let request = PathRequest {
///     service: "chat", prompt_tokens: 700, answer_tokens: 200, home_domain: "a", start: None, excluded: &excluded,
///     slowdown: &|_| 1.0, is_reachable: &|_, _| true,
///     room: RoomTerms::WHOLE, seed: None,
/// };
/// let found = find_path(&model, std::iter::empty(), &LoadTable::new(1_000), &request);
/// assert_eq!(found, Err(PathError::LayerMissing));
/// ```
pub fn find_path<'a>(
    model: &'a ModelSpec,
    servers: impl Iterator<Item = &'a BackendServer>,
    loads: &LoadTable,
    request: &PathRequest<'_>,
) -> Result<Path, PathError> {
    let all = collect_candidates(model, servers, loads, request);
    let base_ms = unloaded_path_ms(model, request, &all);
    let usable: Vec<&Candidate<'_>> = all.iter().filter(|candidate| candidate.has_room).collect();
    let links = link_costs(model, loads, request, &all, base_ms);
    let paths = cheapest_paths(model, request, &usable, &links, base_ms);
    if let Some(path) = reconstruct_path(model, request, &usable, &paths) {
        return Ok(path);
    }
    let with_full: Vec<&Candidate<'_>> = all.iter().collect();
    let paths = cheapest_paths(model, request, &with_full, &links, base_ms);
    let is_covered = reconstruct_path(model, request, &with_full, &paths).is_some();
    Err(if is_covered { PathError::NoRoom } else { PathError::LayerMissing })
}
