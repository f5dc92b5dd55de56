//! Stage selection for one request of a split model: plans its stages over servers that have a free slot.

use std::collections::BTreeSet;

use rand::Rng;

use super::choice::{Choice, RouteRequest};
use super::estimate::{Estimate, decode_ms, queue_ms};
use super::fleet::{Candidates, LayerRange, ServerIndex, SplitModel};
use super::router::{Ineligibility, Router};
use crate::split::{Plan, StageHolder, plan};
use crate::{Code, UnixMs};

/// Maximum number of servers per layer range that are passed to the planner.
const MAX_HOLDERS_PER_RANGE: usize = 3;

/// Maximum number of draws per server that is passed to the planner.
const MAX_DRAWS_PER_HOLDER: usize = 3;

/// Maximum random time added to each server's time per token, so that equal servers share the work, in microseconds.
const MAX_TIE_BREAK_US: u64 = 10;

const US_PER_MS: f64 = 1_000.0;

/// Selects the stages for one request.
#[derive(Clone, Copy)]
pub(crate) struct StageSelector<'a> {
    pub(crate) router: &'a Router,
    pub(crate) request: RouteRequest<'a>,
    pub(crate) split: &'a SplitModel,
    pub(crate) now: UnixMs,
}

impl StageSelector<'_> {
    /// Plans stages over servers that have a free slot; if the plan misses the deadline, waits or refuses.
    pub(crate) fn decide(&self, rng: &mut impl Rng) -> Choice {
        let startable = |server: &ServerIndex| self.can_start(*server);
        if let Some(plan) = self.plan(startable, rng)
            && self.finish_ms(&plan) <= self.time_left_ms()
            && let Some(first) = plan.stages.first()
        {
            let server = first.server.clone();
            return Choice::Start { server, estimate: self.estimate(&plan), stages: plan.stages };
        }
        self.wait_or_refuse(rng)
    }

    /// Decides as if no server had a free slot.
    pub(crate) fn wait_or_refuse(&self, rng: &mut impl Rng) -> Choice {
        let usable = |server: &ServerIndex| self.ineligibility(*server).is_none();
        let Some(plan) = self.plan(usable, rng) else {
            return Choice::Refuse { code: self.refusal_code() };
        };
        let shortest_finish_ms = self.finish_ms(&plan) - self.queue_ms(&plan);
        if shortest_finish_ms > self.time_left_ms() {
            return Choice::Refuse { code: Code::TooLate };
        }
        let deadline = self.request.admission.deadline;
        Choice::Wait { start_by: deadline.minus_ms(shortest_finish_ms.ceil() as u64) }
    }

    fn plan(&self, is_eligible: impl Fn(&ServerIndex) -> bool, rng: &mut impl Rng) -> Option<Plan> {
        let mut holders = Vec::new();
        for (range, candidates) in &self.split.ranges {
            for server in sample(candidates, &is_eligible, rng) {
                let tie_break_us = rng.random_range(0..=MAX_TIE_BREAK_US);
                holders.extend(self.holder(server, *range, tie_break_us));
            }
        }
        plan(self.split.layers, &holders, &self.router.table.links, &BTreeSet::new())
    }

    fn holder(
        &self,
        server: ServerIndex,
        range: LayerRange,
        tie_break_us: u64,
    ) -> Option<StageHolder> {
        let layers = range.layer_to.checked_sub(range.layer_from).filter(|layers| *layers > 0)?;
        let spec = &self.router.table.servers[server as usize];
        let speed = self.router.speed(server);
        let penalty_ms = self.router.views[server as usize].health.penalty_ms();
        let wait_ms = queue_ms(&speed, &self.router.load_estimate(server)) + penalty_ms;
        Some(StageHolder {
            server: spec.name.clone(),
            address: spec.address.clone(),
            failure_domain: spec.failure_domain.clone(),
            layer_from: range.layer_from,
            layer_to: range.layer_to,
            layer_us: (decode_ms(&speed, 1.0) * US_PER_MS / f64::from(layers)).ceil() as u64,
            // The wait for a slot occurs once per request; it is spread over the tokens to make plans comparable.
            overhead_us: (wait_ms / self.tokens() * US_PER_MS).ceil() as u64 + tie_break_us,
        })
    }

    fn can_start(&self, server: ServerIndex) -> bool {
        self.ineligibility(server).is_none()
            && self.router.has_slot(server, &self.request, self.now)
    }

    fn ineligibility(&self, server: ServerIndex) -> Option<Ineligibility> {
        self.router.ineligibility_for(server, &self.request, self.now)
    }

    /// Reason why there is no plan, derived from why servers are not eligible.
    fn refusal_code(&self) -> Code {
        let servers = self.split.ranges.values().flat_map(Candidates::all);
        let reasons: Vec<Ineligibility> =
            servers.filter_map(|server| self.ineligibility(server)).collect();
        if reasons.contains(&Ineligibility::Excluded) {
            Code::ServersRefused
        } else if reasons.contains(&Ineligibility::Unreachable) {
            Code::ShutOutByDomain
        } else {
            Code::NoServer
        }
    }

    fn estimate(&self, plan: &Plan) -> Estimate {
        let token_ms = plan.token_us as f64 / US_PER_MS;
        let queue_ms = self.queue_ms(plan);
        Estimate {
            queue_ms,
            first_token_ms: queue_ms + token_ms,
            token_ms,
            finish_ms: self.finish_ms(plan),
        }
    }

    /// Sum of the waits for a slot over all stages of a plan, in milliseconds.
    fn queue_ms(&self, plan: &Plan) -> f64 {
        let servers = plan.stages.iter().filter_map(|stage| self.router.index(&stage.server));
        servers
            .map(|server| queue_ms(&self.router.speed(server), &self.router.load_estimate(server)))
            .sum()
    }

    fn finish_ms(&self, plan: &Plan) -> f64 {
        plan.token_us as f64 / US_PER_MS * self.tokens()
    }

    fn tokens(&self) -> f64 {
        f64::from(self.request.admission.max_tokens.max(1))
    }

    fn time_left_ms(&self) -> f64 {
        self.request.admission.deadline.since_ms(self.now) as f64
    }
}

/// Total tokens per second of the servers of a split model, ignoring links: the rate of one slot, multiplied by the
/// number of slots of the layer that has the fewest.
pub(crate) fn capacity_per_s(router: &Router, split: &SplitModel, now: UnixMs) -> f64 {
    let ranges: Vec<(LayerRange, RangeCapacity)> = split
        .ranges
        .iter()
        .map(|(range, candidates)| (*range, range_capacity(router, *range, candidates, now)))
        .collect();
    let mut token_ms = 0.0;
    let mut fewest_slots = f64::INFINITY;
    for layer in 0..split.layers {
        let over =
            ranges.iter().filter(|(range, _)| (range.layer_from..range.layer_to).contains(&layer));
        let slots: f64 = over.clone().map(|(_, capacity)| capacity.slots).sum();
        let slot_ms: f64 = over.map(|(_, capacity)| capacity.slot_layer_ms).sum();
        if slots <= 0.0 {
            return 0.0;
        }
        fewest_slots = fewest_slots.min(slots);
        token_ms += slot_ms / slots;
    }
    if token_ms > 0.0 { fewest_slots * 1_000.0 / token_ms } else { 0.0 }
}

/// Capacity of the usable servers that hold one layer range.
#[derive(Clone, Copy, Debug, Default)]
struct RangeCapacity {
    slots: f64,
    /// Time of one token in one layer, in milliseconds, summed over the slots.
    slot_layer_ms: f64,
}

fn range_capacity(
    router: &Router,
    range: LayerRange,
    candidates: &Candidates,
    now: UnixMs,
) -> RangeCapacity {
    let layers = f64::from(range.layer_to.saturating_sub(range.layer_from).max(1));
    let mut capacity = RangeCapacity::default();
    for server in candidates.all().filter(|server| router.ineligibility(*server, now).is_none()) {
        let speed = router.speed(server);
        capacity.slots += speed.slots;
        capacity.slot_layer_ms += speed.slots * decode_ms(&speed, 1.0) / layers;
    }
    capacity
}

/// Picks a few eligible servers of a layer range: all servers if there are few, otherwise weighted random draws. If the
/// draws find none, checks all servers.
fn sample(
    candidates: &Candidates,
    is_eligible: &impl Fn(&ServerIndex) -> bool,
    rng: &mut impl Rng,
) -> Vec<ServerIndex> {
    let mut servers = Vec::new();
    if candidates.len() > MAX_HOLDERS_PER_RANGE {
        for _ in 0..MAX_HOLDERS_PER_RANGE * MAX_DRAWS_PER_HOLDER {
            let pool = if servers.len() + 1 < MAX_HOLDERS_PER_RANGE {
                &candidates.local
            } else {
                &candidates.remote
            };
            let drawn = pool.draw(rng).filter(|server| !servers.contains(server));
            servers.extend(drawn.filter(is_eligible));
            if servers.len() == MAX_HOLDERS_PER_RANGE {
                return servers;
            }
        }
    }
    if servers.is_empty() {
        servers.extend(candidates.all().filter(is_eligible).take(MAX_HOLDERS_PER_RANGE));
    }
    servers
}
