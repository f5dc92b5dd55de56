//! What is known of one server's load: the newest reading, and the own dispatches that it may not contain yet.

use crate::{Reading, UnixMs};

/// Ends of own dispatches that are kept for one server to correct a late reading.
const RECENT_ENDS: usize = 64;

/// Half-life over which the own dispatch rate is averaged, in milliseconds.
const DISPATCH_RATE_HALF_LIFE_MS: f64 = 2_000.0;

/// Number of one dispatch of this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DispatchId(pub(crate) u64);

#[derive(Clone, Copy, Debug)]
struct RecentEnd {
    started_at: UnixMs,
    ended_at: UnixMs,
    tokens: u64,
}

/// Load of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    pub(crate) reading: Option<Reading>,
    /// Own dispatches in progress.
    pub(crate) own_count: u32,
    /// Tokens that they still have to generate, at most.
    pub(crate) own_tokens: u64,
    /// Own dispatches begun since the newest reading was true.
    pub(crate) own_begun_since: u32,
    /// Requests in the newest reading that are not of this host.
    others_count: f64,
    /// Tokens that they had to generate when the reading was true.
    others_tokens: f64,
    recent_ends: Vec<RecentEnd>,
    begun_per_ms: f64,
    begun_at: UnixMs,
}

/// Load of one server as estimated for one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadNow {
    /// Requests running or waiting.
    pub(crate) requests: f64,
    /// Tokens that they still have to generate.
    pub(crate) tokens: f64,
}

impl Load {
    /// Takes a reading unless a newer one is held; true when it is of another incarnation than the one before.
    ///
    /// `in_progress` yields start and remaining tokens of each own dispatch in progress at this server.
    pub(crate) fn observe(
        &mut self,
        reading: Reading,
        in_progress: impl Iterator<Item = (UnixMs, u64)>,
    ) -> bool {
        let held = self.reading.as_ref().map(|held| (held.started_at, held.measured_at));
        if held.is_some_and(|held| held > (reading.started_at, reading.measured_at)) {
            return false;
        }
        let measured_at = reading.measured_at;
        let mut own_count = 0.0;
        let mut own_tokens = 0.0;
        self.own_begun_since = 0;
        for (started_at, tokens) in in_progress {
            if started_at < measured_at {
                own_count += 1.0;
                own_tokens += tokens as f64;
            } else {
                self.own_begun_since += 1;
            }
        }
        self.recent_ends.retain(|end| end.ended_at >= measured_at);
        for end in &self.recent_ends {
            if end.started_at < measured_at {
                own_count += 1.0;
                own_tokens += end.tokens as f64;
            } else {
                self.own_begun_since += 1;
            }
        }
        let reported = f64::from(reading.running) + f64::from(reading.waiting);
        self.others_count = (reported - own_count).max(0.0);
        self.others_tokens = (reading.pending_tokens as f64 - own_tokens).max(0.0);
        let restarted = held.is_some_and(|(started_at, _)| started_at != reading.started_at);
        self.reading = Some(reading);
        restarted
    }

    /// Counts the begin of an own dispatch.
    pub(crate) fn begin(&mut self, tokens: u64, now: UnixMs) {
        self.own_count += 1;
        self.own_tokens += tokens;
        self.own_begun_since += 1;
        let fade = fade(now.since_ms(self.begun_at));
        let per_begin = std::f64::consts::LN_2 / DISPATCH_RATE_HALF_LIFE_MS;
        self.begun_per_ms = self.begun_per_ms * fade + per_begin;
        self.begun_at = now;
    }

    /// Counts tokens that an own dispatch has brought.
    pub(crate) fn progress(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    /// Counts the end of an own dispatch with the tokens that it had left.
    pub(crate) fn end(&mut self, started_at: UnixMs, tokens_left: u64, ended_at: UnixMs) {
        self.own_count = self.own_count.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(tokens_left);
        if self.recent_ends.len() == RECENT_ENDS {
            self.recent_ends.remove(0);
        }
        self.recent_ends.push(RecentEnd { started_at, ended_at, tokens: tokens_left });
    }

    /// The load at `now`, where `other_hosts` hosts are taken to dispatch as this one does.
    pub(crate) fn at(
        &self,
        now: UnixMs,
        other_hosts: u32,
        slots: f64,
        tokens_per_ms: f64,
    ) -> LoadNow {
        let own = f64::from(self.own_count);
        let own_tokens = self.own_tokens as f64;
        let Some(reading) = &self.reading else {
            return LoadNow { requests: own, tokens: own_tokens };
        };
        let age_ms = now.since_ms(reading.measured_at) as f64;
        let left = self.share_left(age_ms, slots, tokens_per_ms);
        let allowance = self.allowance(now, age_ms, other_hosts);
        let mean_tokens = self.mean_tokens(own, own_tokens);
        LoadNow {
            requests: own + self.others_count * left + allowance,
            tokens: own_tokens + self.others_tokens * left + allowance * mean_tokens,
        }
    }

    /// Share of the other hosts' requests of the reading that is still there after `age_ms`.
    fn share_left(&self, age_ms: f64, slots: f64, tokens_per_ms: f64) -> f64 {
        if self.others_count <= 0.0 {
            return 0.0;
        }
        if self.others_tokens <= 0.0 || tokens_per_ms <= 0.0 {
            return 1.0;
        }
        let running = self.others_count.min(slots);
        let drained = age_ms * tokens_per_ms * running;
        (1.0 - drained / self.others_tokens).max(0.0)
    }

    /// Requests that the other hosts have begun since the reading, as far as this host's own tell.
    fn allowance(&self, now: UnixMs, age_ms: f64, other_hosts: u32) -> f64 {
        let steady = self.begun_per_ms * fade(now.since_ms(self.begun_at)) * age_ms;
        let seen = f64::from(self.own_begun_since);
        f64::from(other_hosts) * (steady + seen) / 2.0
    }

    fn mean_tokens(&self, own: f64, own_tokens: f64) -> f64 {
        let requests = own + self.others_count;
        if requests > 0.0 { (own_tokens + self.others_tokens) / requests } else { 0.0 }
    }
}

fn fade(elapsed_ms: u64) -> f64 {
    (-(elapsed_ms as f64) / DISPATCH_RATE_HALF_LIFE_MS).exp2()
}
