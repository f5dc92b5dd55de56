//! What is known of one server's load: the newest reading, and the own dispatches that it may not contain yet.

use crate::{Reading, UnixMs};

/// Ends of own dispatches that are kept for one server to correct a late reading.
const MAX_ENDED_DISPATCHES: usize = 64;

/// Number of one dispatch of this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DispatchId(pub(crate) u64);

#[derive(Clone, Copy, Debug)]
struct EndedDispatch {
    started_at: UnixMs,
    ended_at: UnixMs,
    tokens: u64,
}

/// Load of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLoad {
    pub(crate) reading: Option<Reading>,
    /// Own dispatches in progress.
    pub(crate) own_dispatches: u32,
    /// Tokens that they still have to generate, at most.
    pub(crate) own_tokens: u64,
    /// Own dispatches in progress when the newest reading was true.
    own_dispatches_at_reading: f64,
    /// Requests in the newest reading that are not of this host.
    other_hosts_requests: f64,
    /// Tokens that they had to generate when the reading was true.
    other_hosts_tokens: f64,
    ended_dispatches: Vec<EndedDispatch>,
}

/// Load of one server as estimated for one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Requests running or waiting.
    pub(crate) requests: f64,
    /// Those among them that other hosts are taken to have there.
    pub(crate) other_hosts_requests: f64,
    /// Tokens that they still have to generate.
    pub(crate) tokens: f64,
}

impl LoadEstimate {
    /// No load.
    pub(crate) const IDLE: LoadEstimate =
        LoadEstimate { requests: 0.0, other_hosts_requests: 0.0, tokens: 0.0 };
}

impl ServerLoad {
    /// Takes a reading unless a newer one is held; true when it is of another incarnation than the one before.
    ///
    /// `in_progress` yields start and remaining tokens of each own dispatch in progress at this server.
    pub(crate) fn observe(
        &mut self,
        reading: Reading,
        in_progress: impl Iterator<Item = (UnixMs, u64)>,
    ) -> bool {
        let previous =
            self.reading.as_ref().map(|previous| (previous.started_at, previous.measured_at));
        if previous.is_some_and(|previous| previous > (reading.started_at, reading.measured_at)) {
            return false;
        }
        let measured_at = reading.measured_at;
        let mut own_dispatches = 0.0;
        let mut own_tokens = 0.0;
        for (started_at, tokens) in in_progress {
            if started_at < measured_at {
                own_dispatches += 1.0;
                own_tokens += tokens as f64;
            }
        }
        self.ended_dispatches.retain(|end| end.ended_at >= measured_at);
        for end in &self.ended_dispatches {
            if end.started_at < measured_at {
                own_dispatches += 1.0;
                own_tokens += end.tokens as f64;
            }
        }
        let reported = f64::from(reading.running) + f64::from(reading.waiting);
        self.own_dispatches_at_reading = own_dispatches;
        self.other_hosts_requests = (reported - own_dispatches).max(0.0);
        self.other_hosts_tokens = (reading.pending_tokens as f64 - own_tokens).max(0.0);
        let restarted = previous.is_some_and(|(started_at, _)| started_at != reading.started_at);
        self.reading = Some(reading);
        restarted
    }

    /// Counts the begin of an own dispatch.
    pub(crate) fn dispatch_started(&mut self, tokens: u64) {
        self.own_dispatches += 1;
        self.own_tokens += tokens;
    }

    /// Counts tokens that an own dispatch has brought.
    pub(crate) fn dispatch_progressed(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    /// Counts the end of an own dispatch with the tokens that it had left.
    pub(crate) fn dispatch_ended(
        &mut self,
        started_at: UnixMs,
        tokens_left: u64,
        ended_at: UnixMs,
    ) {
        self.own_dispatches = self.own_dispatches.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(tokens_left);
        if self.ended_dispatches.len() == MAX_ENDED_DISPATCHES {
            self.ended_dispatches.remove(0);
        }
        self.ended_dispatches.push(EndedDispatch { started_at, ended_at, tokens: tokens_left });
    }

    /// The load at `now`, where `other_hosts` hosts are taken to add to it as this one does.
    pub(crate) fn estimate(&self, other_hosts: u32) -> LoadEstimate {
        let own = f64::from(self.own_dispatches);
        let own_tokens = self.own_tokens as f64;
        let growth_of_other_hosts = self.growth_of_other_hosts(own, other_hosts);
        let other_hosts_requests = self.other_hosts_requests + growth_of_other_hosts;
        LoadEstimate {
            requests: own + other_hosts_requests,
            other_hosts_requests,
            tokens: own_tokens
                + self.other_hosts_tokens
                + growth_of_other_hosts * self.mean_tokens(own, own_tokens),
        }
    }

    /// Requests by which the other hosts have added to the load since the reading, as far as this host's own tell.
    fn growth_of_other_hosts(&self, own: f64, other_hosts: u32) -> f64 {
        let growth = (own - self.own_dispatches_at_reading).max(0.0);
        growth * f64::from(other_hosts)
    }

    /// Whether one more own request keeps the server at `limit` when all hosts that have more work than slots follow
    /// this rule: each goes on using what it had, and takes its part of what was free or gives up its part of the excess.
    pub(crate) fn is_below_fair_share(&self, limit: f64, other_hosts: u32, dither: f64) -> bool {
        let at_reading = self.own_dispatches_at_reading + self.other_hosts_requests;
        let share = if at_reading > limit {
            self.own_dispatches_at_reading * limit / at_reading
        } else {
            self.own_dispatches_at_reading + (limit - at_reading) / f64::from(other_hosts + 1)
        };
        f64::from(self.own_dispatches) < (share + dither).floor()
    }

    fn mean_tokens(&self, own: f64, own_tokens: f64) -> f64 {
        let requests = own + self.other_hosts_requests;
        if requests > 0.0 { (own_tokens + self.other_hosts_tokens) / requests } else { 0.0 }
    }
}
