//! Shortest-path search over layer boundaries.
//!
//! A first pass goes backwards from the last boundary and computes the least cost to the end if a server may run
//! several stages. A second, best-first pass uses these costs as lower bounds and lets each server run only one stage,
//! since an engine refuses a position that it has already processed. A stage may end at any layer: a server that only
//! bridges a slow link runs a single layer.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

use crate::split::{Links, Plan, StageHolder};

/// Maximum number of paths expanded before the search falls back to a greedy plan, which may not be optimal.
const MAX_EXPANDED_PATHS: u32 = 5_000;

/// A stage of a path: index of its holder, and the layer after the last one of the stage.
type Step = (usize, u32);

/// Cost of a path. Among paths of equal time, the one with fewer stages is cheaper.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    us: u64,
    stages: u32,
}

impl Cost {
    const ZERO: Cost = Cost { us: 0, stages: 0 };

    fn plus(self, other: Cost) -> Cost {
        Cost {
            us: self.us.saturating_add(other.us),
            stages: self.stages.saturating_add(other.stages),
        }
    }

    fn plus_us(self, us: u64) -> Cost {
        self.plus(Cost { us, stages: 0 })
    }
}

/// A path of stages. Paths are ordered by the lower bound of their total cost, then by how many layers they cover, most
/// first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Path {
    bound: Cost,
    end: Reverse<u32>,
    steps: Vec<Step>,
    cost: Cost,
}

/// Search for the plan with the least time per token.
pub(crate) struct Search<'a> {
    layers: u32,
    holders: &'a [&'a StageHolder],
    /// Time to send one token's activation between two holders, in microseconds.
    link_us: Vec<Vec<u64>>,
    /// Least cost from a boundary to the last layer, by the holder whose stage ended at the boundary.
    cost_to_end: Vec<Vec<Option<Cost>>>,
}

impl<'a> Search<'a> {
    pub(crate) fn new(layers: u32, holders: &'a [&'a StageHolder], links: &'a Links) -> Search<'a> {
        let from = |from: &&StageHolder| holders.iter().map(|to| links.step_us(from, to)).collect();
        let link_us = holders.iter().map(from).collect();
        let mut search = Search { layers, holders, link_us, cost_to_end: Vec::new() };
        search.fill_costs_to_end();
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
            if expanded > MAX_EXPANDED_PATHS {
                return self.greedy_plan();
            }
            open.extend(self.extensions(Some(&path)));
        }
        None
    }

    fn fill_costs_to_end(&mut self) {
        let unknown = vec![None; self.holders.len()];
        self.cost_to_end = vec![unknown; self.layers as usize + 1];
        self.cost_to_end[self.layers as usize] = vec![Some(Cost::ZERO); self.holders.len()];
        for boundary in (1..self.layers).rev() {
            let starts = self.best_starts(boundary);
            let row =
                (0..self.holders.len()).map(|previous| self.cost_to_end_after(previous, &starts));
            self.cost_to_end[boundary as usize] = row.collect();
        }
    }

    /// Least cost to the end for each holder that can start a stage at a boundary, excluding the link to that holder.
    fn best_starts(&self, boundary: u32) -> Vec<(usize, Cost)> {
        let starts = self.holders_at(boundary);
        starts
            .filter_map(|index| {
                let ends = self.stage_ends(boundary, index);
                let costs = ends.filter_map(|end| {
                    let cost_to_end = self.cost_to_end[end as usize][index]?;
                    Some(cost_to_end.plus(self.stage_cost(boundary, (index, end))))
                });
                Some((index, costs.min()?))
            })
            .collect()
    }

    fn cost_to_end_after(&self, previous: usize, starts: &[(usize, Cost)]) -> Option<Cost> {
        starts.iter().map(|&(index, cost)| cost.plus_us(self.link_us(Some(previous), index))).min()
    }

    /// Holders that can start a stage at a boundary.
    fn holders_at(&self, from: u32) -> impl Iterator<Item = usize> + '_ {
        let holders = self.holders.iter().enumerate();
        holders
            .filter(move |(_, holder)| holder.layer_from <= from && from < holder.layer_to)
            .map(|(index, _)| index)
    }

    /// Boundaries at which a stage that starts at `from` may end.
    fn stage_ends(&self, from: u32, index: usize) -> impl Iterator<Item = u32> + use<> {
        from + 1..=self.holders[index].layer_to.min(self.layers)
    }

    fn stage_cost(&self, from: u32, (index, end): Step) -> Cost {
        Cost { us: self.holders[index].stage_us(from, end), stages: 1 }
    }

    fn link_us(&self, previous: Option<usize>, index: usize) -> u64 {
        previous.map_or(0, |previous| self.link_us[previous][index])
    }

    fn extensions(&self, path: Option<&Path>) -> impl Iterator<Item = Path> {
        let steps = path.map_or(&[][..], |path| &path.steps);
        let cost = path.map_or(Cost::ZERO, |path| path.cost);
        let (previous, from) = steps.last().map_or((None, 0), |&(index, end)| (Some(index), end));
        let next_holders =
            self.holders_at(from).filter(move |&index| !self.uses_server_of(steps, index));
        next_holders.flat_map(move |index| {
            let cost = cost.plus_us(self.link_us(previous, index));
            self.stage_ends(from, index).filter_map(move |end| {
                let cost = cost.plus(self.stage_cost(from, (index, end)));
                let bound = cost.plus(self.cost_to_end[end as usize][index]?);
                let steps = steps.iter().copied().chain([(index, end)]).collect();
                Some(Path { bound, end: Reverse(end), steps, cost })
            })
        })
    }

    fn uses_server_of(&self, steps: &[Step], index: usize) -> bool {
        let server = &self.holders[index].server;
        steps.iter().any(|&(used, _)| self.holders[used].server == *server)
    }

    /// Builds a plan in which each stage runs to the last layer of its holder. Finds a plan whenever one exists.
    fn greedy_plan(&self) -> Option<Plan> {
        let mut steps: Vec<Step> = Vec::new();
        let (mut cost, mut previous, mut from) = (Cost::ZERO, None, 0);
        while from < self.layers {
            let ends = self.holders_at(from).map(|index| (index, self.holders[index].layer_to));
            let (index, layer_to) = ends.max_by_key(|&(index, layer_to)| {
                (layer_to, Reverse(self.holders[index].layer_us))
            })?;
            let step = (index, layer_to.min(self.layers));
            cost = cost.plus_us(self.link_us(previous, index)).plus(self.stage_cost(from, step));
            steps.push(step);
            (previous, from) = (Some(index), step.1);
        }
        Some(self.to_plan(&Path { bound: cost, end: Reverse(from), steps, cost }))
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
        Plan { stages, token_us: path.cost.us }
    }
}
