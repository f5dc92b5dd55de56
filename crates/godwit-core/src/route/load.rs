//! What is known of one server's load: the newest reading, and the own dispatches that it may not contain yet.

use crate::{Reading, UnixMs};

/// Ends of own dispatches that are kept for one server to correct a late reading.
const RECENT_ENDS: usize = 64;

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
    /// Own dispatches in progress when the newest reading was true.
    own_then: f64,
    /// Requests in the newest reading that are not of this host.
    others_count: f64,
    /// Tokens that they had to generate when the reading was true.
    others_tokens: f64,
    recent_ends: Vec<RecentEnd>,
}

/// Load of one server as estimated for one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadNow {
    /// Requests running or waiting.
    pub(crate) requests: f64,
    /// Those among them that other hosts are taken to have there.
    pub(crate) others: f64,
    /// Tokens that they still have to generate.
    pub(crate) tokens: f64,
}

impl LoadNow {
    /// No load.
    pub(crate) const IDLE: LoadNow = LoadNow { requests: 0.0, others: 0.0, tokens: 0.0 };
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
        for (started_at, tokens) in in_progress {
            if started_at < measured_at {
                own_count += 1.0;
                own_tokens += tokens as f64;
            }
        }
        self.recent_ends.retain(|end| end.ended_at >= measured_at);
        for end in &self.recent_ends {
            if end.started_at < measured_at {
                own_count += 1.0;
                own_tokens += end.tokens as f64;
            }
        }
        let reported = f64::from(reading.running) + f64::from(reading.waiting);
        self.own_then = own_count;
        self.others_count = (reported - own_count).max(0.0);
        self.others_tokens = (reading.pending_tokens as f64 - own_tokens).max(0.0);
        let restarted = held.is_some_and(|(started_at, _)| started_at != reading.started_at);
        self.reading = Some(reading);
        restarted
    }

    /// Counts the begin of an own dispatch.
    pub(crate) fn begin(&mut self, tokens: u64) {
        self.own_count += 1;
        self.own_tokens += tokens;
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

    /// The load at `now`, where `other_hosts` hosts are taken to add to it as this one does.
    pub(crate) fn at(&self, other_hosts: u32) -> LoadNow {
        let own = f64::from(self.own_count);
        let own_tokens = self.own_tokens as f64;
        let allowance = self.allowance(own, other_hosts);
        let others = self.others_count + allowance;
        LoadNow {
            requests: own + others,
            others,
            tokens: own_tokens + self.others_tokens + allowance * self.mean_tokens(own, own_tokens),
        }
    }

    /// Requests by which the other hosts have added to the load since the reading, as far as this host's own tell.
    fn allowance(&self, own: f64, other_hosts: u32) -> f64 {
        let growth = (own - self.own_then).max(0.0);
        growth * f64::from(other_hosts)
    }

    /// Whether one more own request keeps the server at `limit` when all hosts that have more work than slots follow
    /// this rule: each goes on using what it had, and takes its part of what was free or gives up its part of the excess.
    pub(crate) fn is_below_share(&self, limit: f64, other_hosts: u32, dither: f64) -> bool {
        let then = self.own_then + self.others_count;
        let share = if then > limit {
            self.own_then * limit / then
        } else {
            self.own_then + (limit - then) / f64::from(other_hosts + 1)
        };
        f64::from(self.own_count) < (share + dither).floor()
    }

    fn mean_tokens(&self, own: f64, own_tokens: f64) -> f64 {
        let requests = own + self.others_count;
        if requests > 0.0 { (own_tokens + self.others_tokens) / requests } else { 0.0 }
    }
}
