//! Load of a server: its newest reading, corrected by this host's own dispatches that the reading may not include.

use crate::{Reading, UnixMs};

/// Maximum number of ended dispatches kept per server, to correct a reading that arrives after they ended.
const MAX_ENDED_DISPATCHES: usize = 64;

/// Identifier of a dispatch, unique on this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DispatchId(pub(crate) u64);

#[derive(Clone, Copy, Debug)]
struct EndedDispatch {
    started_at: UnixMs,
    ended_at: UnixMs,
    tokens: u64,
}

/// Known load of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLoad {
    pub(crate) reading: Option<Reading>,
    /// Dispatches of this host in progress.
    pub(crate) own_dispatches: u32,
    /// Upper bound of the tokens that the dispatches of this host in progress still have to generate.
    pub(crate) own_tokens: u64,
    /// Dispatches of this host that were in progress when the newest reading was measured.
    own_dispatches_at_reading: f64,
    /// Requests of other hosts in the newest reading.
    other_hosts_requests: f64,
    /// Tokens that other hosts' requests still had to generate in the newest reading.
    other_hosts_tokens: f64,
    ended_dispatches: Vec<EndedDispatch>,
}

/// Estimated current load of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Running and waiting requests of all hosts.
    pub(crate) requests: f64,
    /// Estimated part of `requests` that other hosts sent.
    pub(crate) other_hosts_requests: f64,
    /// Tokens that all requests still have to generate.
    pub(crate) tokens: f64,
}

impl LoadEstimate {
    /// No load.
    pub(crate) const IDLE: LoadEstimate =
        LoadEstimate { requests: 0.0, other_hosts_requests: 0.0, tokens: 0.0 };
}

impl ServerLoad {
    /// Stores a reading unless a newer one is known; returns true if the server was restarted since the previous one.
    ///
    /// `in_progress` yields the start time and remaining tokens of each of this host's dispatches on this server.
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

    /// Records the start of a dispatch of this host.
    pub(crate) fn dispatch_started(&mut self, tokens: u64) {
        self.own_dispatches += 1;
        self.own_tokens += tokens;
    }

    /// Records received tokens of a dispatch of this host.
    pub(crate) fn dispatch_progressed(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    /// Records the end of a dispatch of this host that had `tokens_left` tokens still to generate.
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

    /// Estimates the current load, assuming that each of `other_hosts` hosts has added as much since the reading as
    /// this host.
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

    /// Requests that the other hosts are assumed to have added since the reading, extrapolated from this host's own.
    fn growth_of_other_hosts(&self, own: f64, other_hosts: u32) -> f64 {
        let growth = (own - self.own_dispatches_at_reading).max(0.0);
        growth * f64::from(other_hosts)
    }

    /// Whether this host is below its fair share of `limit` requests on the server.
    ///
    /// The server stays at its limit if all hosts with a backlog follow this rule: each keeps the share that it had at
    /// the reading, and claims its part of the free slots or releases its part of the excess.
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
