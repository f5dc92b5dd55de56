//! Which layers each server should hold.
//!
//! The layers are cut into cells of equal length, so that ranges of different servers meet at common boundaries and
//! can stand in for each other. A server gets as many neighbouring cells as leave room in its memory for the KV cache
//! of [`REQUESTS_AT_ONCE`] usual requests. Servers are placed one by one, the one with most cells first, where cells
//! are weakest: within its failure domain, so that domains become complete, and over the whole site.

use std::collections::BTreeMap;

use crate::site::configuration::{KindTraits, ModelTraits};
use crate::site::server::{BackendServer, LayerRange, ServerState};

/// Usual requests for which each server keeps KV cache.
const REQUESTS_AT_ONCE: u64 = 80;

/// Strength of a cell below which it counts as empty; bounds the weight of a hole.
const STRENGTH_FLOOR: f64 = 0.05;

/// Factor on the time of a step at which a server counts half.
const HALF_STRENGTH_FACTOR: f64 = 40.0;

/// Layers that a server should take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Identity of the server.
    pub server_id: String,
    /// The layers.
    pub range: LayerRange,
}

/// KV cache that a server has room for beside `layers` layers, in tokens over these layers.
pub(crate) fn kv_capacity_tokens(model: &ModelTraits, kind: &KindTraits, layers: u32) -> f64 {
    if layers == 0 {
        return 0.0;
    }
    let free_bytes = (kind.memory_mb - f64::from(layers) * model.layer_mb).max(0.0) * 1e6;
    let token_layer_bytes = model.kv_token_bytes / f64::from(model.layers.max(1));
    free_bytes / (token_layer_bytes * f64::from(layers))
}

/// Layers that leave room for the KV cache of the usual requests, at least one where one fits at all.
fn balanced_layers(model: &ModelTraits, kind: &KindTraits) -> u32 {
    let usual_tokens = model.usual_prompt_tokens + model.usual_answer_tokens;
    let kv_mb_per_layer = (REQUESTS_AT_ONCE * usual_tokens) as f64 * model.kv_token_bytes
        / f64::from(model.layers.max(1))
        / 1e6;
    let balanced = (kind.memory_mb / (model.layer_mb + kv_mb_per_layer)) as u32;
    let at_most = (kind.memory_mb / model.layer_mb) as u32;
    balanced.max(1).min(at_most).min(model.layers)
}

/// The cells, and how many of them each kind takes.
struct Grid {
    cell_layers: u32,
    cells: usize,
    layers: u32,
}

impl Grid {
    fn new(model: &ModelTraits, servers: &[&BackendServer]) -> Option<Grid> {
        let kinds = servers.iter().filter_map(|server| model.kinds.get(&server.kind));
        let cell_layers =
            kinds.map(|kind| balanced_layers(model, kind)).filter(|layers| *layers > 0).min()?;
        let cells = model.layers.div_ceil(cell_layers) as usize;
        Some(Grid { cell_layers, cells, layers: model.layers })
    }

    fn window(&self, model: &ModelTraits, kind: &KindTraits) -> usize {
        let cells = (balanced_layers(model, kind) / self.cell_layers) as usize;
        cells.min(self.cells)
    }

    fn range(&self, first_cell: usize, cells: usize) -> LayerRange {
        let from = first_cell as u32 * self.cell_layers;
        let to = ((first_cell + cells) as u32 * self.cell_layers).min(self.layers);
        LayerRange { from, to }
    }

    fn holds(&self, range: LayerRange, cell: usize) -> bool {
        let cell_range = self.range(cell, 1);
        range.from <= cell_range.from && range.to >= cell_range.to
    }
}

/// Strength of the holders of each cell, by failure domain and over the site.
struct Coverage {
    by_domain: BTreeMap<String, Vec<f64>>,
    site: Vec<f64>,
}

impl Coverage {
    fn add(&mut self, grid: &Grid, domain: &str, range: LayerRange, strength: f64) {
        let cells = grid.cells;
        let in_domain =
            self.by_domain.entry(domain.to_string()).or_insert_with(|| vec![0.0; cells]);
        for cell in (0..cells).filter(|cell| grid.holds(range, *cell)) {
            in_domain[cell] += strength;
            self.site[cell] += strength;
        }
    }

    fn need(&self, domain: &str, cell: usize) -> f64 {
        let in_domain = self.by_domain.get(domain).map_or(0.0, |strengths| strengths[cell]);
        1.0 / (STRENGTH_FLOOR + in_domain) + 1.0 / (STRENGTH_FLOOR + self.site[cell])
    }

    fn neediest(&self, grid: &Grid, domain: &str, window: usize) -> usize {
        let mut best = (0, f64::MIN);
        for first in 0..=(grid.cells - window) {
            let need = (first..first + window).map(|cell| self.need(domain, cell)).sum();
            if need > best.1 {
                best = (first, need);
            }
        }
        best.0
    }
}

/// What a server of a kind lends to each cell that it holds. All kinds have KV cache for the same number of requests,
/// so that they count alike but for slow kinds, whose requests stay longer.
fn strength(kind: &KindTraits) -> f64 {
    1.0 / (1.0 + kind.step_factor / HALF_STRENGTH_FACTOR)
}

/// A server that holds layers.
struct Held<'a> {
    server: &'a BackendServer,
    kind: &'a KindTraits,
    range: LayerRange,
}

/// Servers of one failure domain that hold layers of which others there hold each as well, and could close a gap.
fn moves_in_domain(model: &ModelTraits, grid: &Grid, held: &mut Vec<Held<'_>>) -> Vec<Placement> {
    let mut placements = Vec::new();
    let holders = |held: &[Held<'_>], cell: usize| {
        held.iter().filter(|server| grid.holds(server.range, cell)).count()
    };
    while let Some(gap) = (0..grid.cells).find(|cell| holders(held, *cell) == 0) {
        let is_spare = |server: &Held<'_>| {
            let mut cells = (0..grid.cells).filter(|cell| grid.holds(server.range, *cell));
            cells.all(|cell| holders(held, cell) > 1)
        };
        let spares = held.iter().enumerate().filter(|(_, server)| is_spare(server));
        // The slowest spare loses least where it is.
        let slowest = spares
            .min_by(|(_, left), (_, right)| strength(left.kind).total_cmp(&strength(right.kind)));
        let Some((index, _)) = slowest else { break };
        let window = grid.window(model, held[index].kind).max(1);
        let range = grid.range(gap.min(grid.cells - window), window);
        held[index].range = range;
        placements.push(Placement { server_id: held[index].server.id.clone(), range });
    }
    placements
}

/// Moves that make failure domains whole which lack some layers though their servers could hold all. Servers whose
/// layers others of the domain hold as well are moved, the slowest first. [`plan_layout`] shows how a model is made.
pub fn plan_moves(model: &ModelTraits, servers: &[&BackendServer]) -> Vec<Placement> {
    let ready: Vec<&BackendServer> =
        servers.iter().copied().filter(|server| server.state == ServerState::Ready).collect();
    let Some(grid) = Grid::new(model, &ready) else { return Vec::new() };
    let mut domains: BTreeMap<&str, Vec<Held<'_>>> = BTreeMap::new();
    for server in ready {
        let kind = model.kinds.get(&server.kind);
        let range = server.layers.filter(|range| !range.is_empty());
        if let (Some(kind), Some(range)) = (kind, range) {
            let held = domains.entry(&server.failure_domain).or_default();
            held.push(Held { server, kind, range });
        }
    }
    domains.values_mut().flat_map(|held| moves_in_domain(model, &grid, held)).collect()
}

/// Where the empty servers should take layers, given what the others hold.
///
/// ```
/// use std::collections::BTreeMap;
/// use godwit_core::site::{KindTraits, ModelTraits, plan_layout};
/// let kind = KindTraits { step_factor: 1.0, read_factor: 1.0, memory_mb: 1_000.0 };
/// let model = ModelTraits {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4,
///     kinds: BTreeMap::from([("fast".to_string(), kind)]),
/// };
/// assert!(plan_layout(&model, &[]).is_empty());
/// ```
pub fn plan_layout(model: &ModelTraits, servers: &[&BackendServer]) -> Vec<Placement> {
    let ready: Vec<&BackendServer> =
        servers.iter().copied().filter(|server| server.state == ServerState::Ready).collect();
    let Some(grid) = Grid::new(model, &ready) else { return Vec::new() };
    let mut coverage = Coverage { by_domain: BTreeMap::new(), site: vec![0.0; grid.cells] };
    let mut empty = Vec::new();
    for server in ready {
        let Some(kind) = model.kinds.get(&server.kind) else { continue };
        match server.layers {
            Some(range) if !range.is_empty() => {
                coverage.add(&grid, &server.failure_domain, range, strength(kind));
            }
            _ => empty.push((grid.window(model, kind), server, kind)),
        }
    }
    empty.sort_by(|left, right| (right.0, &left.1.id).cmp(&(left.0, &right.1.id)));
    let mut placements = Vec::new();
    for (window, server, kind) in empty {
        if window == 0 {
            continue;
        }
        let first = coverage.neediest(&grid, &server.failure_domain, window);
        let range = grid.range(first, window);
        coverage.add(&grid, &server.failure_domain, range, strength(kind));
        placements.push(Placement { server_id: server.id.clone(), range });
    }
    placements
}

/// Layers that no ready server of a failure domain holds, by domain; every domain with a server is there.
///
/// ```
/// use std::collections::BTreeMap;
/// use godwit_core::site::missing_layers;
/// assert_eq!(missing_layers(80, &[]), BTreeMap::new());
/// ```
pub fn missing_layers(layers: u32, servers: &[&BackendServer]) -> BTreeMap<String, u32> {
    let mut held: BTreeMap<&str, Vec<LayerRange>> = BTreeMap::new();
    for server in servers {
        let ranges = held.entry(&server.failure_domain).or_default();
        ranges.extend(server.layers.filter(|_| server.state == ServerState::Ready));
    }
    let count = |ranges: Vec<LayerRange>| {
        let is_held =
            |layer: u32| ranges.iter().any(|range| (range.from..range.to).contains(&layer));
        (0..layers).filter(|layer| !is_held(*layer)).count() as u32
    };
    held.into_iter().map(|(domain, ranges)| (domain.to_string(), count(ranges))).collect()
}
