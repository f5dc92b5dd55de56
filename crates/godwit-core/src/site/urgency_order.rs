//! Order of the requests for a service: by the urgency of their workspaces or, without one, of their routes, and among equal
//! ones by that of the routes.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::configuration::{Route, Workspace};
use crate::site::demand_amounts::{URGENCIES, urgency_of};

/// Urgency of a request by its workspace or, without one, by its route, and that of its route.
type Pair = (u8, u8);

fn pair(route: &Route, own: Option<u32>) -> Pair {
    (urgency_of(own.unwrap_or(route.priority)), urgency_of(route.priority))
}

/// Urgencies of the requests for one service, by pair.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UrgencyOrder {
    urgencies: BTreeMap<Pair, u8>,
}

impl UrgencyOrder {
    /// Returns the order of each service.
    pub(crate) fn by_service(
        routes: &[Route],
        workspaces: &[Workspace],
    ) -> BTreeMap<String, UrgencyOrder> {
        let mut owns: BTreeSet<Option<u32>> =
            workspaces.iter().map(|workspace| workspace.priority).collect();
        // Requests of public routes may have no workspace.
        owns.insert(None);
        let mut pairs: BTreeMap<&str, BTreeSet<Pair>> = BTreeMap::new();
        for route in routes {
            for entry in &route.services {
                let of_service = pairs.entry(&entry.service).or_default();
                of_service.extend(owns.iter().map(|own| pair(route, *own)));
            }
        }
        let orders = pairs.into_iter().map(|(service, pairs)| {
            (service.to_string(), UrgencyOrder { urgencies: numbered(&pairs) })
        });
        orders.collect()
    }

    /// Whether requests differ in urgency.
    pub(crate) fn is_ordered(&self) -> bool {
        self.urgencies.len() > 1
    }

    /// Returns the urgency of a request; 0 goes first.
    pub(crate) fn urgency(&self, route: &Route, workspace: Option<&Workspace>) -> u8 {
        let pair = pair(route, workspace.and_then(|workspace| workspace.priority));
        self.urgencies.get(&pair).copied().unwrap_or(pair.0)
    }
}

/// Returns the urgency of each pair. What comes first in a pair stays as it is where it tells all pairs apart. Otherwise
/// pairs are numbered in their order; where they are too many, those with the same first part share the same number of
/// urgencies, so that they never go beside others.
fn numbered(pairs: &BTreeSet<Pair>) -> BTreeMap<Pair, u8> {
    let mut by_first: BTreeMap<u8, Vec<Pair>> = BTreeMap::new();
    pairs.iter().for_each(|pair| by_first.entry(pair.0).or_default().push(*pair));
    if by_first.len() == pairs.len() {
        return pairs.iter().map(|pair| (*pair, pair.0)).collect();
    }
    if pairs.len() <= URGENCIES {
        return (0..).zip(pairs).map(|(number, pair)| (*pair, number)).collect();
    }
    let per_first = URGENCIES / by_first.len();
    let groups = by_first.values().enumerate().flat_map(|(group, members)| {
        members.iter().enumerate().map(move |(position, pair)| {
            let within = position * per_first.min(members.len()) / members.len();
            (*pair, (group * per_first + within) as u8)
        })
    });
    groups.collect()
}
