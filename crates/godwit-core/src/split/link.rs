//! Cost of sending activations from one stage to the next.

use crate::split::StageHolder;

/// Cost of a link, equal in both directions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkCost {
    /// Server or failure domain at one end.
    pub a: String,
    /// Server or failure domain at the other end.
    pub b: String,
    /// Time to send one token's activation over the link, in microseconds.
    pub step_us: u64,
}

impl LinkCost {
    fn connects(&self, from: &str, to: &str) -> bool {
        (self.a == from && self.b == to) || (self.a == to && self.b == from)
    }
}

/// Costs of all links. An entry for two servers takes precedence over one for their failure domains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Links {
    /// Links that have an explicit cost.
    pub costs: Vec<LinkCost>,
    /// Time to send one token's activation between two servers of the same failure domain, in microseconds.
    pub same_domain_us: u64,
    /// Time to send one token's activation between failure domains without an entry, in microseconds.
    pub other_domain_us: u64,
}

impl Links {
    /// Time to send one token's activation from one stage to the next, in microseconds.
    pub fn step_us(&self, from: &StageHolder, to: &StageHolder) -> u64 {
        if let Some(step_us) = self.listed_step_us(&from.server, &to.server) {
            return step_us;
        }
        if let Some(step_us) = self.listed_step_us(&from.failure_domain, &to.failure_domain) {
            return step_us;
        }
        if from.failure_domain == to.failure_domain {
            return self.same_domain_us;
        }
        self.other_domain_us
    }

    fn listed_step_us(&self, from: &str, to: &str) -> Option<u64> {
        self.costs.iter().find(|cost| cost.connects(from, to)).map(|cost| cost.step_us)
    }
}
