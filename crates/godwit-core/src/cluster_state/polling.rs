//! Schedule of load polls: which servers this host polls, and when.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::cluster_state::{Notice, ServerNotice};
use crate::{Reading, UnixMs, rendezvous};

/// Interval between two polls of a server.
pub const POLL_INTERVAL_MS: u64 = 500;
/// Number of consecutive failed polls after which a server counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Interval at which the notice of a silent server is repeated, for hosts that missed it.
const SILENT_NOTICE_INTERVAL_MS: u64 = 2_000;

/// Backend server that may be polled.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PollTarget {
    /// Name of the server.
    pub server: String,
    /// Address at which the server answers `GET /v1/load`.
    pub address: SocketAddr,
    /// Whether the server publishes cache events. A plain service does not, and would handle a request for them as an
    /// ordinary call.
    pub has_cache_events: bool,
}

/// Result of a poll, to be sent to the other hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// The server reported its load.
    Reading(Reading),
    /// The server became silent or answers again.
    Notice(ServerNotice),
}

/// Poll schedule of one host for its share of the servers of its failure domain.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::cluster_state::{PollSchedule, PollTarget};
/// let address = "127.0.0.1:1".parse().unwrap();
/// let server = PollTarget { server: "a".into(), address, has_cache_events: false };
/// let mut schedule = PollSchedule::new("entry-1");
/// schedule.set_targets(vec![server.clone()]);
/// schedule.set_hosts(&["entry-1"], UnixMs(0));
/// assert_eq!(schedule.take_due(UnixMs(500)), [server]);
/// assert!(schedule.take_due(UnixMs(600)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct PollSchedule {
    own_host: String,
    targets: Vec<PollTarget>,
    hosts: Vec<String>,
    is_share_stale: bool,
    polls: BTreeMap<String, PollState>,
}

#[derive(Clone, Debug)]
struct PollState {
    target: PollTarget,
    due_at: UnixMs,
    failures: u32,
    next_notice_at: UnixMs,
}

impl PollSchedule {
    /// Creates a schedule without servers.
    pub fn new(own_host: &str) -> PollSchedule {
        PollSchedule {
            own_host: own_host.to_string(),
            targets: Vec::new(),
            hosts: Vec::new(),
            is_share_stale: true,
            polls: BTreeMap::new(),
        }
    }

    /// Sets the servers of the failure domain; takes effect with the next `set_hosts`.
    pub fn set_targets(&mut self, targets: Vec<PollTarget>) {
        self.is_share_stale |= self.targets != targets;
        self.targets = targets;
    }

    /// Sets the hosts that share the polls, including this one, and recomputes this host's share if anything changed.
    pub fn set_hosts(&mut self, hosts: &[&str], now: UnixMs) {
        if !self.is_share_stale && self.hosts == hosts {
            return;
        }
        self.is_share_stale = false;
        self.hosts = hosts.iter().map(|host| host.to_string()).collect();
        self.assign_share(now);
    }

    fn assign_share(&mut self, now: UnixMs) {
        let hosts: Vec<&str> = self.hosts.iter().map(String::as_str).collect();
        let owner = |target: &PollTarget| rendezvous::owner(&target.server, hosts.iter().copied());
        let own = Some(self.own_host.as_str());
        let share = self.targets.iter().filter(|target| owner(target) == own);
        let mut polls = BTreeMap::new();
        for target in share {
            let kept = self.polls.remove(&target.server).filter(|poll| poll.target == *target);
            let poll = kept.unwrap_or_else(|| PollState::new(target, now));
            polls.insert(target.server.clone(), poll);
        }
        self.polls = polls;
    }

    /// Servers of this host's share.
    pub fn share(&self) -> impl Iterator<Item = &PollTarget> {
        self.polls.values().map(|poll| &poll.target)
    }

    /// Returns the servers to poll now and schedules their next polls.
    pub fn take_due(&mut self, now: UnixMs) -> Vec<PollTarget> {
        let due = self.polls.values_mut().filter(|poll| poll.due_at.is_past(now));
        due.map(|poll| {
            poll.due_at = now.plus_ms(POLL_INTERVAL_MS);
            poll.target.clone()
        })
        .collect()
    }

    /// Records the outcome of a poll: a reading, or `None` when it failed.
    pub fn record(
        &mut self,
        server: &str,
        reading: Option<Reading>,
        now: UnixMs,
    ) -> Vec<PollResult> {
        let Some(poll) = self.polls.get_mut(server) else { return Vec::new() };
        match reading {
            Some(reading) => poll.record_answer(reading, now),
            None => poll.record_failure(now).into_iter().collect(),
        }
    }
}

impl PollState {
    /// Creates the state of a server whose first poll is spread over the poll interval by a hash of its name.
    fn new(target: &PollTarget, now: UnixMs) -> PollState {
        let delay_ms = rendezvous::weight(&target.server, "") % POLL_INTERVAL_MS;
        PollState {
            target: target.clone(),
            due_at: now.plus_ms(delay_ms),
            failures: 0,
            next_notice_at: UnixMs(0),
        }
    }

    fn record_answer(&mut self, reading: Reading, now: UnixMs) -> Vec<PollResult> {
        let was_silent = self.failures >= SILENT_AFTER_FAILURES;
        self.failures = 0;
        let mut results = vec![PollResult::Reading(reading)];
        if was_silent {
            results.push(self.notice(Notice::Answering, now));
        }
        results
    }

    fn record_failure(&mut self, now: UnixMs) -> Option<PollResult> {
        self.failures = self.failures.saturating_add(1);
        let is_due = self.failures == SILENT_AFTER_FAILURES || self.next_notice_at.is_past(now);
        if self.failures < SILENT_AFTER_FAILURES || !is_due {
            return None;
        }
        self.next_notice_at = now.plus_ms(SILENT_NOTICE_INTERVAL_MS);
        Some(self.notice(Notice::Silent, now))
    }

    fn notice(&self, notice: Notice, now: UnixMs) -> PollResult {
        let server = self.target.server.clone();
        PollResult::Notice(ServerNotice { server, notice, noticed_at: now })
    }
}
