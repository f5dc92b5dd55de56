//! Stage planning: which server runs which layers.

use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

use crate::split::Links;
use crate::split::search::Search;

/// A server that holds the layers `[layer_from, layer_to)` of a model. A stage may run any contiguous part of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageHolder {
    /// Name of the server.
    pub server: String,
    /// `IP:PORT` of the server.
    pub address: String,
    /// Failure domain of the server.
    pub failure_domain: String,
    /// First layer that the server holds.
    pub layer_from: u32,
    /// Layer after the last one that the server holds.
    pub layer_to: u32,
    /// Time of one token in one layer, in microseconds.
    pub layer_us: u64,
    /// Time per token that the server needs besides the time of its layers, in microseconds.
    pub overhead_us: u64,
}

impl StageHolder {
    /// Time of one token in the layers `[layer_from, layer_to)`, in microseconds.
    pub(crate) fn stage_us(&self, layer_from: u32, layer_to: u32) -> u64 {
        let layers = u64::from(layer_to.saturating_sub(layer_from));
        self.overhead_us.saturating_add(self.layer_us.saturating_mul(layers))
    }
}

/// Stages that together run every layer once, in order. No server runs two of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The stages, in order. Their ranges cover `[0, layers)` without gaps or overlaps.
    pub stages: Vec<Stage>,
    /// Time of one token through all stages and links, in microseconds.
    pub token_us: u64,
}

/// Finds the plan with the least time per token, or a greedy plan if the search would take too long. Returns `None` if
/// the servers that are not excluded do not cover all layers.
///
/// The plan does not depend on the order of `holders`.
///
/// ```
/// use std::collections::BTreeSet;
/// use godwit_core::split::{Links, StageHolder, plan};
/// let holder = |server: &str, layer_from, layer_to| StageHolder {
///     server: server.to_string(),
///     address: "127.0.0.1:1".to_string(),
///     failure_domain: "hall-a".to_string(),
///     layer_from,
///     layer_to,
///     layer_us: 10,
///     overhead_us: 0,
/// };
/// let holders = [holder("s1", 0, 5), holder("s2", 3, 8), holder("s3", 4, 8)];
/// let excluded = BTreeSet::from(["s2".to_string()]);
/// let plan = plan(8, &holders, &Links::default(), &excluded).unwrap();
/// let ranges: Vec<_> = plan.stages.iter().map(|s| (s.layer_from, s.layer_to)).collect();
/// assert_eq!(ranges, [(0, 5), (5, 8)]);
/// ```
pub fn plan(
    layers: u32,
    holders: &[StageHolder],
    links: &Links,
    excluded: &BTreeSet<String>,
) -> Option<Plan> {
    let mut usable: Vec<&StageHolder> = holders
        .iter()
        .filter(|holder| holder.layer_from < holder.layer_to.min(layers))
        .filter(|holder| !excluded.contains(&holder.server))
        .collect();
    usable.sort_by_key(|holder| (&holder.server, holder.layer_from, holder.layer_to));
    Search::new(layers, &usable, links).run()
}
