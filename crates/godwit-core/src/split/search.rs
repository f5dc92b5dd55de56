//! Shortest path over layer boundaries.
//!
//! A first pass from the last boundary backwards gives the least cost to the end when servers may run several stages. A
//! second, best-first pass uses it as lower bound and lets each server run one stage only, since an engine refuses a
//! position that it has done. Any layer may end a stage: a server that only bridges a slow link runs a single layer.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

use crate::split::{Links, Plan, StageHolder};

/// Paths expanded before the search settles for a tiling that is not the best.
const EXPANDED_PATHS_LIMIT: u32 = 5_000;

/// A stage of a path: index of its holder, and the layer after its last.
type Step = (usize, u32);

/// Cost of a path; at the same time fewer stages are better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    us: u64,
    stages: u32,
}

impl Cost {
    const NONE: Cost = Cost { us: 0, stages: 0 };

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

/// Paths ordered by the lower bound of their cost; the one furthest on goes first among equals.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Path {
    bound: Cost,
    end: Reverse<u32>,
    steps: Vec<Step>,
    cost: Cost,
}

pub(crate) struct Search<'a> {
    layers: u32,
    holders: &'a [&'a StageHolder],
    /// Time of a step over the link between two holders.
    link_us: Vec<Vec<u64>>,
    /// Least cost from a boundary to the last layer, by the holder whose stage ended at the boundary.
    rest: Vec<Vec<Option<Cost>>>,
}

impl<'a> Search<'a> {
    pub(crate) fn new(layers: u32, holders: &'a [&'a StageHolder], links: &'a Links) -> Search<'a> {
        let from = |from: &&StageHolder| holders.iter().map(|to| links.step_us(from, to)).collect();
        let link_us = holders.iter().map(from).collect();
        let mut search = Search { layers, holders, link_us, rest: Vec::new() };
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
                return self.furthest();
            }
            open.extend(self.extensions(Some(&path)));
        }
        None
    }

    fn fill_rest(&mut self) {
        let unknown = vec![None; self.holders.len()];
        self.rest = vec![unknown; self.layers as usize + 1];
        self.rest[self.layers as usize] = vec![Some(Cost::NONE); self.holders.len()];
        for boundary in (1..self.layers).rev() {
            let starts = self.best_starts(boundary);
            let row = (0..self.holders.len()).map(|before| self.rest_from(before, &starts));
            self.rest[boundary as usize] = row.collect();
        }
    }

    /// Least cost to the end for each holder that can begin a stage at a boundary, without the link to it.
    fn best_starts(&self, boundary: u32) -> Vec<(usize, Cost)> {
        let starts = self.starts(boundary);
        starts
            .filter_map(|index| {
                let ends = self.ends(boundary, index);
                let costs = ends.filter_map(|end| {
                    let rest = self.rest[end as usize][index]?;
                    Some(rest.plus(self.stage(boundary, (index, end))))
                });
                Some((index, costs.min()?))
            })
            .collect()
    }

    fn rest_from(&self, before: usize, starts: &[(usize, Cost)]) -> Option<Cost> {
        starts.iter().map(|&(index, cost)| cost.plus_us(self.link_us(Some(before), index))).min()
    }

    /// Holders that can begin a stage at a boundary.
    fn starts(&self, from: u32) -> impl Iterator<Item = usize> + '_ {
        let holders = self.holders.iter().enumerate();
        holders
            .filter(move |(_, holder)| holder.layer_from <= from && from < holder.layer_to)
            .map(|(index, _)| index)
    }

    /// Boundaries at which a stage that began at `from` may end.
    fn ends(&self, from: u32, index: usize) -> impl Iterator<Item = u32> + use<> {
        from + 1..=self.holders[index].layer_to.min(self.layers)
    }

    fn stage(&self, from: u32, (index, end): Step) -> Cost {
        Cost { us: self.holders[index].stage_us(from, end), stages: 1 }
    }

    fn link_us(&self, before: Option<usize>, index: usize) -> u64 {
        before.map_or(0, |before| self.link_us[before][index])
    }

    fn extensions(&self, path: Option<&Path>) -> impl Iterator<Item = Path> {
        let steps = path.map_or(&[][..], |path| &path.steps);
        let cost = path.map_or(Cost::NONE, |path| path.cost);
        let (before, from) = steps.last().map_or((None, 0), |&(index, end)| (Some(index), end));
        let unused = self.starts(from).filter(move |&index| !self.is_used(steps, index));
        unused.flat_map(move |index| {
            let cost = cost.plus_us(self.link_us(before, index));
            self.ends(from, index).filter_map(move |end| {
                let cost = cost.plus(self.stage(from, (index, end)));
                let bound = cost.plus(self.rest[end as usize][index]?);
                let steps = steps.iter().copied().chain([(index, end)]).collect();
                Some(Path { bound, end: Reverse(end), steps, cost })
            })
        })
    }

    fn is_used(&self, steps: &[Step], index: usize) -> bool {
        let server = &self.holders[index].server;
        steps.iter().any(|&(used, _)| self.holders[used].server == *server)
    }

    /// A tiling in which each stage runs as far as its holder goes; finds one whenever one exists.
    fn furthest(&self) -> Option<Plan> {
        let mut steps: Vec<Step> = Vec::new();
        let (mut cost, mut before, mut from) = (Cost::NONE, None, 0);
        while from < self.layers {
            let ends = self.starts(from).map(|index| (index, self.holders[index].layer_to));
            let (index, layer_to) = ends.max_by_key(|&(index, layer_to)| {
                (layer_to, Reverse(self.holders[index].layer_us))
            })?;
            let step = (index, layer_to.min(self.layers));
            cost = cost.plus_us(self.link_us(before, index)).plus(self.stage(from, step));
            steps.push(step);
            (before, from) = (Some(index), step.1);
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
