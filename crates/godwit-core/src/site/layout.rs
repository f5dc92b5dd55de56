//! Assignment of model layers to servers.
//!
//! The layers are divided into cells of equal length, so that the ranges of different servers share boundaries and can
//! replace each other. A server gets as many consecutive cells as leave room in its memory for the KV cache of a number of
//! requests of mean length: as many as leave each failure domain enough holders of each cell. Servers are assigned one by one in descending order of their number
//! of cells. Each gets the consecutive cells with the greatest shortage. The shortage of a cell rises as its strength
//! within the server's failure domain falls, so that domains become complete, and as its strength on the site falls.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::configuration::{AcceleratorSpec, ModelSpec};
use crate::site::server::{BackendServer, LayerRange, ServerState};

/// Numbers of requests of mean length for which the KV cache of each server may have room, the most wanted first. The last
/// one is used where the fleet is too small for the others.
const CONCURRENT_REQUESTS: [u64; 3] = [120, 100, 80];

/// Mean number of holders of a cell in each failure domain that a layout with more room must leave.
const MIN_HOLDERS_PER_DOMAIN: f64 = 2.5;

/// Offset added to the strength of a cell before the reciprocal is taken, so that the shortage of an empty cell is
/// finite.
const STRENGTH_OFFSET: f64 = 0.05;

/// Step factor of an accelerator at which a server has half the strength of one with a step factor near 0.
const HALF_STRENGTH_STEP_FACTOR: f64 = 40.0;

/// Layers that a server is to load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerAssignment {
    /// Identity of the server.
    pub server_id: String,
    /// Layers to load.
    pub range: LayerRange,
}

/// Returns the KV cache capacity of a server that holds `layers` layers, in tokens over these layers.
pub(crate) fn kv_capacity_tokens(model: &ModelSpec, kind: &AcceleratorSpec, layers: u32) -> f64 {
    if layers == 0 {
        return 0.0;
    }
    let free_bytes = (kind.memory_mb - f64::from(layers) * model.layer_mb).max(0.0) * 1e6;
    let token_layer_bytes = model.kv_token_bytes / f64::from(model.layers.max(1));
    free_bytes / (token_layer_bytes * f64::from(layers))
}

/// Returns the number of layers that leave room for the KV cache of `requests` requests of mean length; at least one if a
/// layer fits into the memory at all.
fn balanced_layers(model: &ModelSpec, kind: &AcceleratorSpec, requests: u64) -> u32 {
    let usual_tokens = model.usual_prompt_tokens + model.usual_answer_tokens;
    let kv_mb_per_layer = (requests * usual_tokens) as f64 * model.kv_token_bytes
        / f64::from(model.layers.max(1))
        / 1e6;
    let balanced = (kind.memory_mb / (model.layer_mb + kv_mb_per_layer)) as u32;
    let max_layers = (kind.memory_mb / model.layer_mb) as u32;
    balanced.max(1).min(max_layers).min(model.layers)
}

/// Division of the layers into cells.
struct Grid {
    cell_layers: u32,
    cells: usize,
    layers: u32,
    /// Number of requests of mean length for which each server has room.
    requests: u64,
}

impl Grid {
    /// Returns the grid of the layers that servers hold already, as far as they hold any; else the one with the most room
    /// that leaves enough holders of each cell.
    fn new(model: &ModelSpec, servers: &[&BackendServer]) -> Option<Grid> {
        let mut grids: Vec<Grid> = CONCURRENT_REQUESTS
            .iter()
            .filter_map(|requests| Grid::with_room(model, servers, *requests))
            .collect();
        let domains: BTreeSet<&str> =
            servers.iter().map(|server| server.failure_domain.as_str()).collect();
        let has_holders = |grid: &Grid| {
            let holders_per_domain = grid.mean_holders(model, servers) / domains.len() as f64;
            holders_per_domain >= MIN_HOLDERS_PER_DOMAIN
        };
        let wanted = grids.iter().position(has_holders).unwrap_or(grids.len().checked_sub(1)?);
        let held: Vec<LayerRange> = servers
            .iter()
            .filter_map(|server| server.layers.filter(|range| !range.is_empty()))
            .collect();
        let aligned: Vec<usize> = grids
            .iter()
            .map(|grid| held.iter().filter(|range| grid.is_aligned(**range)).count())
            .collect();
        let most = aligned.iter().max().copied()?;
        let chosen = if aligned[wanted] == most {
            wanted
        } else {
            aligned.iter().position(|count| *count == most)?
        };
        Some(grids.swap_remove(chosen))
    }

    /// Whether a range begins and ends at boundaries of cells.
    fn is_aligned(&self, range: LayerRange) -> bool {
        let is_boundary =
            |layer: u32| layer.is_multiple_of(self.cell_layers) || layer >= self.layers;
        is_boundary(range.from) && is_boundary(range.to)
    }

    fn with_room(model: &ModelSpec, servers: &[&BackendServer], requests: u64) -> Option<Grid> {
        let kinds = servers.iter().filter_map(|server| model.kinds.get(&server.kind));
        let layers = kinds.map(|kind| balanced_layers(model, kind, requests));
        let cell_layers = layers.filter(|layers| *layers > 0).min()?;
        let cells = model.layers.div_ceil(cell_layers) as usize;
        Some(Grid { cell_layers, cells, layers: model.layers, requests })
    }

    /// Returns the mean number of servers that would hold each cell.
    fn mean_holders(&self, model: &ModelSpec, servers: &[&BackendServer]) -> f64 {
        let kinds = servers.iter().filter_map(|server| model.kinds.get(&server.kind));
        let held: usize = kinds.map(|kind| self.window(model, kind)).sum();
        held as f64 / self.cells.max(1) as f64
    }

    fn window(&self, model: &ModelSpec, kind: &AcceleratorSpec) -> usize {
        let cells = (balanced_layers(model, kind, self.requests) / self.cell_layers) as usize;
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

/// Total strength of the servers that hold each cell, by failure domain and over the site.
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

    fn shortage(&self, domain: &str, cell: usize) -> f64 {
        let in_domain = self.by_domain.get(domain).map_or(0.0, |strengths| strengths[cell]);
        1.0 / (STRENGTH_OFFSET + in_domain) + 1.0 / (STRENGTH_OFFSET + self.site[cell])
    }

    fn weakest_window(&self, grid: &Grid, domain: &str, window: usize) -> usize {
        let mut best = (0, f64::MIN);
        for first in 0..=(grid.cells - window) {
            let shortage = (first..first + window).map(|cell| self.shortage(domain, cell)).sum();
            if shortage > best.1 {
                best = (first, shortage);
            }
        }
        best.0
    }
}

/// Returns the strength that a server adds to each cell that it holds. All kinds of accelerator have KV cache for the
/// same number of requests, so their strengths differ only by speed: slower kinds have less, because their requests
/// take longer.
fn strength(kind: &AcceleratorSpec) -> f64 {
    1.0 / (1.0 + kind.step_factor / HALF_STRENGTH_STEP_FACTOR)
}

/// A server with the layers that it holds.
struct LayerHolder<'a> {
    server: &'a BackendServer,
    kind: &'a AcceleratorSpec,
    range: LayerRange,
}

/// Plans moves within one failure domain: servers whose cells all have another holder in the domain are moved to cells
/// without a holder.
fn moves_in_domain(
    model: &ModelSpec,
    grid: &Grid,
    holders: &mut Vec<LayerHolder<'_>>,
) -> Vec<LayerAssignment> {
    let mut assignments = Vec::new();
    let count_holders = |holders: &[LayerHolder<'_>], cell: usize| {
        holders.iter().filter(|server| grid.holds(server.range, cell)).count()
    };
    while let Some(gap) = (0..grid.cells).find(|cell| count_holders(holders, *cell) == 0) {
        let is_spare = |server: &LayerHolder<'_>| {
            let mut cells = (0..grid.cells).filter(|cell| grid.holds(server.range, *cell));
            cells.all(|cell| count_holders(holders, cell) > 1)
        };
        let spares = holders.iter().enumerate().filter(|(_, server)| is_spare(server));
        // Moving the slowest spare server costs the least strength at its current cells.
        let slowest = spares
            .min_by(|(_, left), (_, right)| strength(left.kind).total_cmp(&strength(right.kind)));
        let Some((index, _)) = slowest else { break };
        let window = grid.window(model, holders[index].kind).max(1);
        let range = grid.range(gap.min(grid.cells - window), window);
        holders[index].range = range;
        assignments.push(LayerAssignment { server_id: holders[index].server.id.clone(), range });
    }
    assignments
}

/// Plans moves that complete the failure domains in which no server holds some of the layers. Only servers whose layers
/// are all held by other servers of the domain as well are moved, the slowest first. See [`plan_layout`] for an example
/// of a model.
pub fn plan_moves(model: &ModelSpec, servers: &[&BackendServer]) -> Vec<LayerAssignment> {
    let ready: Vec<&BackendServer> =
        servers.iter().copied().filter(|server| server.state == ServerState::Ready).collect();
    let Some(grid) = Grid::new(model, &ready) else { return Vec::new() };
    let mut domains: BTreeMap<&str, Vec<LayerHolder<'_>>> = BTreeMap::new();
    for server in ready {
        let kind = model.kinds.get(&server.kind);
        let range = server.layers.filter(|range| !range.is_empty());
        if let (Some(kind), Some(range)) = (kind, range) {
            let holders = domains.entry(&server.failure_domain).or_default();
            holders.push(LayerHolder { server, kind, range });
        }
    }
    domains.values_mut().flat_map(|holders| moves_in_domain(model, &grid, holders)).collect()
}

/// Assigns layers to the servers that hold none, given the layers that the others hold.
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
/// use godwit_core::site::{AcceleratorSpec, ModelSpec, plan_layout};
/// let kind = AcceleratorSpec { step_factor: 1.0, read_factor: 1.0, memory_mb: 1_000.0 };
/// let model = ModelSpec {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4,
///     kinds: BTreeMap::from([("fast".to_string(), kind)]),
/// };
/// assert!(plan_layout(&model, &[]).is_empty());
/// ```
pub fn plan_layout(model: &ModelSpec, servers: &[&BackendServer]) -> Vec<LayerAssignment> {
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
    let mut assignments = Vec::new();
    for (window, server, kind) in empty {
        if window == 0 {
            continue;
        }
        let first = coverage.weakest_window(&grid, &server.failure_domain, window);
        let range = grid.range(first, window);
        coverage.add(&grid, &server.failure_domain, range, strength(kind));
        assignments.push(LayerAssignment { server_id: server.id.clone(), range });
    }
    assignments
}

/// Counts the layers that no ready server of a failure domain holds. Every domain with a server has an entry.
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
/// use godwit_core::site::missing_layers;
/// assert_eq!(missing_layers(80, &[]), BTreeMap::new());
/// ```
pub fn missing_layers(layers: u32, servers: &[&BackendServer]) -> BTreeMap<String, u32> {
    let mut ranges_by_domain: BTreeMap<&str, Vec<LayerRange>> = BTreeMap::new();
    for server in servers {
        let ranges = ranges_by_domain.entry(&server.failure_domain).or_default();
        ranges.extend(server.layers.filter(|_| server.state == ServerState::Ready));
    }
    let count = |ranges: Vec<LayerRange>| {
        let is_held =
            |layer: u32| ranges.iter().any(|range| (range.from..range.to).contains(&layer));
        (0..layers).filter(|layer| !is_held(*layer)).count() as u32
    };
    ranges_by_domain
        .into_iter()
        .map(|(domain, ranges)| (domain.to_string(), count(ranges)))
        .collect()
}
