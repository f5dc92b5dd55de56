//! Index of the backend servers, and the candidate servers for each model and service.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::config::{BackendServer, Fleet, Link, ServerRole};

use crate::Target;
use crate::split::{LinkCost, Links};

/// Assumed latency between two failure domains without a link entry, in microseconds.
const DEFAULT_CROSS_DOMAIN_LATENCY_US: u64 = 1_000;

/// Size of one token's activation that a stage sends to the next one, in bytes.
const ACTIVATION_BYTES: u64 = 16 * 1024;

const US_PER_S: u64 = 1_000_000;

/// Index of a server in a [`FleetTable`].
pub(crate) type ServerIndex = u32;

/// Configuration of one server, with the link to it from this host's failure domain.
#[derive(Clone, Debug)]
pub(crate) struct ServerSpec {
    pub(crate) name: String,
    pub(crate) address: String,
    pub(crate) failure_domain: String,
    pub(crate) is_local: bool,
    pub(crate) is_engine: bool,
    pub(crate) holds_whole_model: bool,
    pub(crate) drained: bool,
    pub(crate) slots: u32,
    pub(crate) reserved_slots: u32,
    pub(crate) tokens_per_s: f64,
    pub(crate) prefill_tokens_per_s: f64,
    pub(crate) link_latency_ms: f64,
    pub(crate) link_bytes_per_ms: f64,
}

/// The servers that can run a target: those in this host's failure domain and those in other ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    pub(crate) local: Pool,
    pub(crate) remote: Pool,
}

impl Candidates {
    /// All servers, local ones first.
    pub(crate) fn all(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.local.servers.iter().chain(self.remote.servers.iter()).copied()
    }

    /// Whether the server is a candidate.
    pub(crate) fn contains(&self, server: ServerIndex) -> bool {
        self.local.contains(server) || self.remote.contains(server)
    }

    /// Number of candidates.
    pub(crate) fn len(&self) -> usize {
        self.local.servers.len() + self.remote.servers.len()
    }

    fn add(&mut self, index: ServerIndex, spec: &ServerSpec) {
        let pool = if spec.is_local { &mut self.local } else { &mut self.remote };
        pool.add(index, spec);
    }
}

/// Servers with the cumulative sum of their weights, for weighted random sampling.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    pub(crate) servers: Vec<ServerIndex>,
    pub(crate) weight_sums: Vec<f64>,
}

impl Pool {
    fn add(&mut self, index: ServerIndex, spec: &ServerSpec) {
        let previous_sum = self.weight_sums.last().copied().unwrap_or(0.0);
        let rate = if spec.tokens_per_s > 0.0 { spec.tokens_per_s } else { 1.0 };
        self.servers.push(index);
        self.weight_sums.push(previous_sum + f64::from(spec.slots.max(1)) * rate);
    }
}

/// The configured fleet as seen from one failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTable {
    pub(crate) servers: Vec<ServerSpec>,
    pub(crate) by_name: BTreeMap<String, ServerIndex>,
    models: BTreeMap<String, Candidates>,
    services: BTreeMap<String, Candidates>,
    splits: BTreeMap<String, SplitModel>,
    pub(crate) links: Links,
}

/// Layers `[layer_from, layer_to)` of a model that a server holds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct LayerRange {
    pub(crate) layer_from: u32,
    pub(crate) layer_to: u32,
}

/// A model whose layers are split across servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SplitModel {
    pub(crate) layers: u32,
    pub(crate) ranges: BTreeMap<LayerRange, Candidates>,
}

impl FleetTable {
    /// Builds the table for a host in `failure_domain`.
    pub(crate) fn build(fleet: &Fleet, failure_domain: &str) -> FleetTable {
        let mut table = FleetTable::default();
        let drained: BTreeSet<&str> = fleet.drained_servers.iter().map(String::as_str).collect();
        let links = links_by_ends(&fleet.links);
        for server in &fleet.servers {
            if table.by_name.contains_key(&server.name) {
                continue;
            }
            let spec = spec_of(server, failure_domain, &drained, &links, fleet.reserve_share);
            table.add(server, spec);
        }
        for model in &fleet.models {
            if let Some(split) = table.splits.get_mut(&model.name) {
                split.layers = model.layers;
            }
        }
        table.links = stage_links(&fleet.links);
        table
    }

    /// The split model of a target; `None` if a server holds the whole model.
    pub(crate) fn split(&self, target: &Target) -> Option<&SplitModel> {
        match target {
            Target::Model { model, .. } if !self.models.contains_key(model) => {
                self.splits.get(model)
            }
            Target::Model { .. } | Target::Service(_) => None,
        }
    }

    /// The candidates for a target; `None` if no server of the fleet can run it.
    ///
    /// An adapter's candidates are the servers that list `MODEL:ADAPTER`; if there are none, all servers that hold the
    /// model.
    pub(crate) fn candidates(&self, target: &Target) -> Option<&Candidates> {
        match target {
            Target::Service(service) => self.services.get(service),
            Target::Model { model, adapter: None } => self.models.get(model),
            Target::Model { model, adapter: Some(adapter) } => {
                self.models.get(&format!("{model}:{adapter}")).or_else(|| self.models.get(model))
            }
        }
    }

    /// The candidate sets that contain a server.
    pub(crate) fn containing(&self, index: ServerIndex) -> impl Iterator<Item = &Candidates> {
        let whole = self.models.values().chain(self.services.values());
        let all = whole.chain(self.splits.values().flat_map(|split| split.ranges.values()));
        all.filter(move |candidates| candidates.contains(index))
    }

    fn add(&mut self, server: &BackendServer, spec: ServerSpec) {
        let index = ServerIndex::try_from(self.servers.len()).unwrap_or(ServerIndex::MAX);
        if spec.is_engine && spec.holds_whole_model {
            for model in &server.models {
                self.models.entry(model.clone()).or_default().add(index, &spec);
            }
        }
        if let (true, Some(layer_from), Some(layer_to)) =
            (spec.is_engine, server.layer_from, server.layer_to)
        {
            for model in &server.models {
                let split = self.splits.entry(model.clone()).or_default();
                let range = LayerRange { layer_from, layer_to };
                split.ranges.entry(range).or_default().add(index, &spec);
            }
        }
        if let (false, Some(service)) = (spec.is_engine, &server.service) {
            self.services.entry(service.clone()).or_default().add(index, &spec);
        }
        self.by_name.insert(server.name.clone(), index);
        self.servers.push(spec);
    }
}

fn spec_of(
    server: &BackendServer,
    failure_domain: &str,
    drained: &BTreeSet<&str>,
    links: &BTreeMap<(&str, &str), &Link>,
    reserve_share: f64,
) -> ServerSpec {
    let is_local = server.failure_domain == failure_domain;
    let link = links
        .get(&(failure_domain, server.name.as_str()))
        .or_else(|| links.get(&(failure_domain, server.failure_domain.as_str())));
    let default_latency_us = if is_local { 0 } else { DEFAULT_CROSS_DOMAIN_LATENCY_US };
    let latency_us = link.map_or(default_latency_us, |link| link.latency_us);
    let bytes_per_s = link.map_or(u64::MAX, |link| link.bytes_per_s.max(1));
    let slots = server.slots.max(1);
    ServerSpec {
        name: server.name.clone(),
        address: server.address.clone(),
        failure_domain: server.failure_domain.clone(),
        is_local,
        is_engine: server.role == ServerRole::Engine,
        holds_whole_model: server.layer_from.is_none() && server.layer_to.is_none(),
        drained: drained.contains(server.name.as_str()),
        slots,
        reserved_slots: reserved_slots(&server.name, slots, reserve_share),
        tokens_per_s: positive(server.tokens_per_s),
        prefill_tokens_per_s: positive(server.prefill_tokens_per_s),
        link_latency_ms: latency_us as f64 / 1_000.0,
        link_bytes_per_ms: bytes_per_s as f64 / 1_000.0,
    }
}

fn stage_links(links: &[Link]) -> Links {
    let costs = links.iter().map(|link| {
        let transfer_us = (ACTIVATION_BYTES * US_PER_S).checked_div(link.bytes_per_s);
        LinkCost {
            a: link.a.clone(),
            b: link.b.clone(),
            step_us: link.latency_us.saturating_add(transfer_us.unwrap_or(u64::MAX)),
        }
    });
    Links {
        costs: costs.collect(),
        same_domain_us: 0,
        other_domain_us: DEFAULT_CROSS_DOMAIN_LATENCY_US,
    }
}

fn positive(value: f64) -> f64 {
    if value.is_finite() && value > 0.0 { value } else { 0.0 }
}

fn links_by_ends(links: &[Link]) -> BTreeMap<(&str, &str), &Link> {
    let mut by_ends = BTreeMap::new();
    for link in links {
        by_ends.insert((link.a.as_str(), link.b.as_str()), link);
        by_ends.insert((link.b.as_str(), link.a.as_str()), link);
    }
    by_ends
}

/// Number of slots of a server that are reserved for requests that may use the reserve; never all of them.
///
/// A fractional slot is rounded up on some servers and down on others, so that the share holds on average over the
/// fleet. A hash of the server's name decides which, so that all hosts agree.
pub(crate) fn reserved_slots(name: &str, slots: u32, reserve_share: f64) -> u32 {
    let share = if reserve_share.is_finite() { reserve_share.clamp(0.0, 1.0) } else { 0.0 };
    let exact = f64::from(slots) * share;
    let draw = u32::from_str_radix(&godwit_schema::prefix_hash(name)[..8], 16).unwrap_or(0);
    let rounds_up = f64::from(draw) / f64::from(u32::MAX) < exact.fract();
    (exact.floor() as u32 + u32::from(rounds_up)).min(slots.saturating_sub(1))
}
