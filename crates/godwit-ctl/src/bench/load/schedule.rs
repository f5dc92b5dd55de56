//! Random request schedule from a seed: Poisson arrivals at a given token rate.

use godwit_standin::expected_tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::mix::{Class, MixName, WORKSPACE_SHARES};
use crate::site::Names;

/// Length of the prompt prefix that all requests of a workspace share.
const SHARED_PREFIX_BYTES: usize = 256;

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct PlannedRequest {
    /// Number of the request in the run.
    pub(super) number: usize,
    /// Time at which to send the request, in microseconds from the start of the run.
    pub(super) at_us: u64,
    pub(super) class: Class,
    /// Index of the workspace.
    pub(super) workspace: usize,
    pub(super) prompt: String,
    /// Tokens of the expected response; empty for a plain service.
    pub(super) answer: Vec<String>,
}

/// Settings of a schedule.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduleSettings {
    pub(super) mix: MixName,
    pub(super) seed: u64,
    pub(super) workspaces: usize,
    /// Tokens per second in the expected responses of all requests together.
    pub(super) tokens_per_s: f64,
    pub(super) duration_ms: u64,
    pub(super) max_requests: usize,
}

/// Returns all requests of a run in the order of their arrival.
///
/// The total of requested tokens matches the offered rate over the duration, unless `max_requests` limits it. The gaps
/// between requests are exponentially distributed and scaled so that the last request is sent at the end of the
/// duration: a Poisson process conditioned on the number of requests. If `max_requests` limits the total, the end is
/// proportionally earlier, so that the rate is kept.
pub(super) fn schedule(settings: &ScheduleSettings) -> Vec<PlannedRequest> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let duration_us = settings.duration_ms as f64 * 1_000.0;
    let offered_tokens = settings.tokens_per_s * settings.duration_ms as f64 / 1_000.0;
    let mut planned = Vec::new();
    let mut arrivals = Vec::new();
    let (mut tokens, mut arrival) = (0.0, 0.0);
    while tokens < offered_tokens && planned.len() < settings.max_requests {
        let request = request(&mut rng, settings, planned.len());
        tokens += request.answer.len() as f64;
        let uniform: f64 = rng.random();
        arrival -= (1.0 - uniform).ln();
        planned.push(request);
        arrivals.push(arrival);
    }
    let scheduled_share = (tokens / offered_tokens).min(1.0);
    for (request, at) in planned.iter_mut().zip(arrivals) {
        request.at_us = (at / arrival * duration_us * scheduled_share) as u64;
    }
    planned
}

fn request(rng: &mut SmallRng, settings: &ScheduleSettings, number: usize) -> PlannedRequest {
    let shares = settings.mix.shares();
    let class = shares[pick_weighted(rng, &shares.map(|share| share.percent))].class;
    let workspace =
        pick_weighted(rng, &WORKSPACE_SHARES[..settings.workspaces.min(WORKSPACE_SHARES.len())]);
    let prompt = prompt(rng, class, workspace);
    let answer = expected_tokens(Names::MODEL, &prompt, class.max_tokens());
    PlannedRequest { number, at_us: 0, class, workspace, prompt, answer }
}

/// Picks a random index with a probability proportional to its weight.
fn pick_weighted(rng: &mut SmallRng, weights: &[u32]) -> usize {
    let mut drawn = rng.random_range(0..weights.iter().sum::<u32>());
    for (index, weight) in weights.iter().enumerate() {
        if drawn < *weight {
            return index;
        }
        drawn -= weight;
    }
    0
}

fn prompt(rng: &mut SmallRng, class: Class, workspace: usize) -> String {
    let mut prompt = format!("Workspace {workspace} answers its customers briefly and kindly. ");
    while prompt.len() < SHARED_PREFIX_BYTES {
        prompt.push_str("Be exact. ");
    }
    prompt.truncate(SHARED_PREFIX_BYTES);
    let end = prompt.len() + rng.random_range(class.unshared_prompt_bytes());
    while prompt.len() < end {
        prompt.push_str(&format!("{:08x} ", rng.random::<u32>()));
    }
    prompt
}
