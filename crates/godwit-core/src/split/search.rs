//! Shortest path over layer boundaries.
//!
//! A stage may end only at a boundary: an end of some holder's range. Costs grow linearly with the layers of a stage,
//! so that an optimal plan ends its stages there. A first pass from the last boundary backwards gives the least cost to
//! the end when servers may run several stages. A second, best-first pass uses it as lower bound and lets each server
//! run one stage only, since an engine refuses a position that it has done.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::engine::Stage;

use crate::split::{Links, Plan, StageHolder};

/// Paths expanded before the search settles for the best tiling made of whole remaining ranges.
const EXPANDED_PATHS_LIMIT: u32 = 20_000;

/// A stage of a path: index of its holder, and the layer after its last.
type Step = (usize, u32);

/// Paths ordered by lower bound of their cost, then by count of stages, then by holders' names.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Path {
    bound_us: u64,
    stages: usize,
    steps: Vec<Step>,
    cost_us: u64,
}

pub(crate) struct Search<'a> {
    layers: u32,
    holders: &'a [&'a StageHolder],
    links: &'a Links,
    boundaries: Vec<u32>,
    /// Least cost from a boundary, reached by a holder, to the last layer.
    rest_us: BTreeMap<(u32, usize), u64>,
}

impl<'a> Search<'a> {
    pub(crate) fn new(layers: u32, holders: &'a [&'a StageHolder], links: &'a Links) -> Search<'a> {
        let ends = holders.iter().flat_map(|holder| [holder.layer_from, holder.layer_to]);
        let inside: BTreeSet<u32> =
            ends.chain([layers]).filter(|boundary| (1..=layers).contains(boundary)).collect();
        let boundaries = inside.into_iter().collect();
        let mut search = Search { layers, holders, links, boundaries, rest_us: BTreeMap::new() };
        search.fill_rest();
        search
    }

    pub(crate) fn run(&self) -> Option<Plan> {
        let mut open: BTreeSet<Path> = self.extensions(None).collect();
        let mut expanded = 0;
        while let Some(path) = open.pop_first() {
            if path.steps.last().is_some_and(|&(_, end)| end == self.layers) {
                return Some(self.to_plan(&path));
            }
            expanded += 1;
            if expanded > EXPANDED_PATHS_LIMIT {
                return self.greedy();
            }
            open.extend(self.extensions(Some(&path)));
        }
        None
    }

    fn fill_rest(&mut self) {
        let boundaries = self.boundaries.clone();
        for &boundary in boundaries.iter().rev() {
            for index in 0..self.holders.len() {
                if let Some(rest_us) = self.rest_from(boundary, index) {
                    self.rest_us.insert((boundary, index), rest_us);
                }
            }
        }
    }

    fn rest_from(&self, boundary: u32, index: usize) -> Option<u64> {
        if boundary == self.layers {
            return Some(0);
        }
        self.next_steps(boundary)
            .filter_map(|(next, end)| {
                let rest_us = *self.rest_us.get(&(end, next))?;
                let step_us = self.step_us(Some(index), boundary, (next, end));
                Some(step_us.saturating_add(rest_us))
            })
            .min()
    }

    /// Stages that can begin at a boundary.
    fn next_steps(&self, from: u32) -> impl Iterator<Item = Step> + '_ {
        let starting = self
            .holders
            .iter()
            .enumerate()
            .filter(move |(_, holder)| holder.layer_from <= from && from < holder.layer_to);
        starting.flat_map(move |(index, holder)| {
            let ends = self.boundaries.iter().copied();
            ends.filter(move |&end| from < end && end <= holder.layer_to)
                .map(move |end| (index, end))
        })
    }

    fn step_us(&self, before: Option<usize>, from: u32, (index, end): Step) -> u64 {
        let holder = self.holders[index];
        let link_us = before.map_or(0, |before| self.links.step_us(self.holders[before], holder));
        link_us.saturating_add(holder.stage_us(from, end))
    }

    fn extensions(&self, path: Option<&Path>) -> impl Iterator<Item = Path> {
        let steps = path.map_or(&[][..], |path| &path.steps);
        let cost_us = path.map_or(0, |path| path.cost_us);
        let (before, from) = steps.last().map_or((None, 0), |&(index, end)| (Some(index), end));
        self.next_steps(from).filter_map(move |step| {
            let (index, end) = step;
            let server = &self.holders[index].server;
            if steps.iter().any(|&(used, _)| self.holders[used].server == *server) {
                return None;
            }
            let rest_us = *self.rest_us.get(&(end, index))?;
            let cost_us = cost_us.saturating_add(self.step_us(before, from, step));
            let steps: Vec<Step> = steps.iter().copied().chain([step]).collect();
            let bound_us = cost_us.saturating_add(rest_us);
            Some(Path { bound_us, stages: steps.len(), steps, cost_us })
        })
    }

    /// A tiling in which each stage runs as far as its holder goes; finds one whenever one exists.
    fn greedy(&self) -> Option<Plan> {
        let mut steps: Vec<Step> = Vec::new();
        let mut from = 0;
        while from < self.layers {
            let (index, end) = self.next_steps(from).max_by_key(|&(index, end)| {
                (end, std::cmp::Reverse(self.holders[index].layer_us))
            })?;
            steps.push((index, end));
            from = end;
        }
        let mut cost_us = 0u64;
        let (mut before, mut from) = (None, 0);
        for &step in &steps {
            cost_us = cost_us.saturating_add(self.step_us(before, from, step));
            (before, from) = (Some(step.0), step.1);
        }
        Some(self.to_plan(&Path { bound_us: cost_us, stages: steps.len(), steps, cost_us }))
    }

    fn to_plan(&self, path: &Path) -> Plan {
        let mut layer_from = 0;
        let mut stages = Vec::with_capacity(path.steps.len());
        for &(index, layer_to) in &path.steps {
            let holder = self.holders[index];
            stages.push(Stage {
                server: holder.server.clone(),
                address: holder.address.clone(),
                layer_from,
                layer_to,
            });
            layer_from = layer_to;
        }
        Plan { stages, token_us: path.cost_us }
    }
}
