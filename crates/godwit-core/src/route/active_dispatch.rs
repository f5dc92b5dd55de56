//! Progress of a dispatch, and throughput samples taken while its tokens arrive.

use crate::UnixMs;

/// Minimum number of tokens in a throughput sample.
const MIN_SAMPLE_TOKENS: u64 = 16;

/// A dispatch of this host in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveDispatch {
    pub(super) started_at: UnixMs,
    pub(super) tokens_left: u64,
    sample_start: Option<SampleStart>,
}

#[derive(Clone, Copy, Debug)]
struct SampleStart {
    at: UnixMs,
    tokens_left: u64,
}

/// Newly received tokens, and the throughput sample that they complete, if any.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) tokens: u64,
    pub(super) sample: Option<ThroughputSample>,
}

/// Number of consecutive tokens, and the time in which they arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ThroughputSample {
    pub(super) tokens: u32,
    pub(super) took_ms: u64,
}

impl ActiveDispatch {
    /// Creates a dispatch that starts at `now`.
    pub(super) fn new(tokens_left: u64, now: UnixMs) -> ActiveDispatch {
        ActiveDispatch { started_at: now, tokens_left, sample_start: None }
    }

    /// Records received tokens. The first call only starts a sample, since the time before it is queueing and prefill.
    pub(super) fn record_progress(&mut self, tokens: u64, now: UnixMs) -> Progress {
        let tokens = tokens.min(self.tokens_left);
        self.tokens_left -= tokens;
        let end = SampleStart { at: now, tokens_left: self.tokens_left };
        let Some(start) = self.sample_start else {
            self.sample_start = Some(end);
            return Progress { tokens, sample: None };
        };
        let sample_tokens = start.tokens_left - self.tokens_left;
        if sample_tokens < MIN_SAMPLE_TOKENS {
            return Progress { tokens, sample: None };
        }
        self.sample_start = Some(end);
        let sample = ThroughputSample {
            tokens: u32::try_from(sample_tokens).unwrap_or(u32::MAX),
            took_ms: now.since_ms(start.at),
        };
        Progress { tokens, sample: Some(sample) }
    }
}
