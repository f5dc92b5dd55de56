//! One own dispatch in progress, and the laps by which the pace of its tokens is judged.

use crate::UnixMs;

/// Tokens of one lap, at least.
const MIN_SAMPLE_TOKENS: u64 = 16;

/// A dispatch in progress.
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

/// Tokens that came, and a lap if they end one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) tokens: u64,
    pub(super) sample: Option<ThroughputSample>,
}

/// Tokens that came one after the other, and the time that they took.
#[derive(Clone, Copy, Debug)]
pub(super) struct ThroughputSample {
    pub(super) tokens: u32,
    pub(super) took_ms: u64,
}

impl ActiveDispatch {
    /// A dispatch that begins.
    pub(super) fn new(tokens_left: u64, now: UnixMs) -> ActiveDispatch {
        ActiveDispatch { started_at: now, tokens_left, sample_start: None }
    }

    /// Counts tokens. The first report only starts a lap: the time before it is prefill and wait.
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
