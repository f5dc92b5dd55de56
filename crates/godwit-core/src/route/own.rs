//! One own dispatch in progress, and the laps by which the pace of its tokens is judged.

use crate::UnixMs;

/// Tokens of one lap, at least.
const LAP_TOKENS: u64 = 16;

/// A dispatch in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnDispatch {
    pub(super) started_at: UnixMs,
    pub(super) tokens_left: u64,
    lap_from: Option<LapStart>,
}

#[derive(Clone, Copy, Debug)]
struct LapStart {
    at: UnixMs,
    tokens_left: u64,
}

/// Tokens that came, and a lap if they end one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) tokens: u64,
    pub(super) lap: Option<Lap>,
}

/// Tokens that came one after the other, and the time that they took.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lap {
    pub(super) tokens: u32,
    pub(super) took_ms: u64,
}

impl OwnDispatch {
    /// A dispatch that begins.
    pub(super) fn new(tokens_left: u64, now: UnixMs) -> OwnDispatch {
        OwnDispatch { started_at: now, tokens_left, lap_from: None }
    }

    /// Counts tokens. The first report only starts a lap: the time before it is prefill and wait.
    pub(super) fn progress(&mut self, tokens: u64, now: UnixMs) -> Progress {
        let tokens = tokens.min(self.tokens_left);
        self.tokens_left -= tokens;
        let here = LapStart { at: now, tokens_left: self.tokens_left };
        let Some(from) = self.lap_from else {
            self.lap_from = Some(here);
            return Progress { tokens, lap: None };
        };
        let lap_tokens = from.tokens_left - self.tokens_left;
        if lap_tokens < LAP_TOKENS {
            return Progress { tokens, lap: None };
        }
        self.lap_from = Some(here);
        let lap = Lap {
            tokens: u32::try_from(lap_tokens).unwrap_or(u32::MAX),
            took_ms: now.since_ms(from.at),
        };
        Progress { tokens, lap: Some(lap) }
    }
}
