//! Latency estimate for a request on a server.

use super::fleet::ServerSpec;
use super::load::LoadEstimate;
use crate::UnixMs;

/// Assumed number of prompt bytes per token.
pub(crate) const PROMPT_BYTES_PER_TOKEN: f64 = 4.0;

/// Assumed duration of a call to a plain service before any call was measured, in milliseconds.
pub(crate) const FIRST_SERVICE_CALL_MS: f64 = 20.0;

/// Estimated latency of a request on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Wait for a slot, in milliseconds.
    pub queue_ms: f64,
    /// Time until the first token arrives, in milliseconds.
    pub first_token_ms: f64,
    /// Time between two consecutive tokens, in milliseconds.
    pub token_ms: f64,
    /// Time until the answer is complete, in milliseconds.
    pub finish_ms: f64,
}

impl Estimate {
    /// Expected completion time of a request that starts at `now`.
    pub fn finish_at(&self, now: UnixMs) -> UnixMs {
        now.plus_ms(self.finish_ms.max(0.0).ceil() as u64)
    }
}

/// Size of a request, as the estimate needs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSize {
    pub(crate) prompt_bytes: f64,
    pub(crate) cached_bytes: f64,
    pub(crate) max_tokens: f64,
}

/// Current speed of a server, with its measured slowdown taken into account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSpeed {
    pub(crate) slots: f64,
    pub(crate) tokens_per_ms: f64,
    pub(crate) call_ms: f64,
}

impl ServerSpeed {
    /// Throughput of all slots together: tokens per second, or calls per second for a service.
    pub(crate) fn capacity_per_s(&self) -> f64 {
        let each_per_ms =
            if self.tokens_per_ms > 0.0 { self.tokens_per_ms } else { 1.0 / self.call_ms };
        self.slots * each_per_ms * 1_000.0
    }
}

/// Estimates the latency of a request on a server under `load`.
pub(crate) fn estimate(
    spec: &ServerSpec,
    speed: &ServerSpeed,
    load: &LoadEstimate,
    request_size: &RequestSize,
) -> Estimate {
    let queue_ms = queue_ms(speed, load);
    let link_ms = spec.link_latency_ms + request_size.prompt_bytes / spec.link_bytes_per_ms;
    let before_decode_ms = link_ms + queue_ms + prefill_ms(spec, request_size);
    let decode_ms = decode_ms(speed, request_size.max_tokens);
    let first_ms = if speed.tokens_per_ms > 0.0 { 1.0 / speed.tokens_per_ms } else { decode_ms };
    Estimate {
        queue_ms,
        first_token_ms: before_decode_ms + first_ms + spec.link_latency_ms,
        token_ms: first_ms,
        finish_ms: before_decode_ms + decode_ms.max(first_ms) + spec.link_latency_ms,
    }
}

/// Time for which a request of `tokens` tokens occupies a slot, in milliseconds.
pub(crate) fn decode_ms(speed: &ServerSpeed, tokens: f64) -> f64 {
    if speed.tokens_per_ms > 0.0 { tokens / speed.tokens_per_ms } else { speed.call_ms }
}

fn prefill_ms(spec: &ServerSpec, request_size: &RequestSize) -> f64 {
    if spec.prefill_tokens_per_s <= 0.0 {
        return 0.0;
    }
    let tokens =
        (request_size.prompt_bytes - request_size.cached_bytes).max(0.0) / PROMPT_BYTES_PER_TOKEN;
    tokens * 1_000.0 / spec.prefill_tokens_per_s
}

/// Expected wait for a slot: the time until the requests ahead of a new one have finished, in milliseconds.
///
/// The number of other hosts' requests is treated as Poisson-distributed, so that a server that is only just full
/// according to its last reading already adds some wait.
pub(crate) fn queue_ms(speed: &ServerSpeed, load: &LoadEstimate) -> f64 {
    if load.requests <= 0.0 {
        return 0.0;
    }
    let excess = load.requests + 1.0 - speed.slots;
    let requests_ahead = (excess + (excess * excess + load.other_hosts_requests).sqrt()) / 2.0;
    let mean_tokens = load.tokens / load.requests;
    requests_ahead * decode_ms(speed, mean_tokens) / speed.slots
}
