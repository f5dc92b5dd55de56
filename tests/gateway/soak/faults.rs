//! Draws planned operations and faults at random, applies them, and ends the faults again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use super::cluster::Cluster;
use super::invariants::FaultWindows;
use super::proxy::{Proxy, ProxyMode};
use crate::fleet::{LAPSE_DELAY, RESTART_DELAY};
use crate::links::LinkState;
use crate::store::AnswerFault;

/// Maximum time between SIGTERM and the exit of a host; `GracePeriodS` of its settings.
const STOP_GRACE: Duration = Duration::from_secs(8);

/// Range of the duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..1_500;

/// Ranges of the duration of a silence, and of the delay of late answers, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 50..2_000;
const LATE_MS: std::ops::Range<u64> = 100..2_400;

/// Kinds whose answers hang or are late.
const SILENT_KINDS: [&str; 3] = ["config", "servers", "godwit-hosts"];

/// Longest duration of a fault.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(FAULT_DURATION_MS.end);

/// An action that the schedule runs later.
enum PendingAction {
    RestoreProxy(Proxy),
    /// Restores the links of a host.
    RestoreLinks(usize),
    ResumeHost(usize),
    RestartHost(usize),
    /// Checks that a host has exited after SIGTERM.
    CheckHostExited(usize),
    RemoveServerEntry(String),
    ReplaceEndedServer(String),
}

/// The planned operations and faults of one seed.
pub(super) struct FaultSchedule {
    random: SmallRng,
    pending: Vec<(Instant, PendingAction)>,
    /// Hosts that are stopping, suspended or killed.
    unavailable_hosts: BTreeSet<usize>,
    pub(super) faults: FaultWindows,
    /// Times in which a host is disturbed itself or cut off from the store.
    pub(super) disturbed_hosts: Vec<(usize, Instant, Instant)>,
    /// Times in which the store lets watches of some hosts hang.
    pub(super) unstable_store: Vec<(Instant, Instant)>,
    /// Violations by host processes: an exit without a stop, a failed exit or one that took too long.
    pub(super) violations: Vec<String>,
}

impl FaultSchedule {
    pub(super) fn new(random: SmallRng) -> FaultSchedule {
        let faults = FaultWindows::default();
        FaultSchedule {
            random,
            pending: Vec::new(),
            unavailable_hosts: BTreeSet::new(),
            faults,
            disturbed_hosts: Vec::new(),
            unstable_store: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Draws the duration of a fault of one host that starts now, and records it.
    fn record_host_fault(&mut self, host: usize) -> Duration {
        let duration = self.record_fault();
        self.record_disturbed_host(host, duration);
        duration
    }

    fn record_disturbed_host(&mut self, host: usize, duration: Duration) {
        let now = Instant::now();
        self.disturbed_hosts.push((host, now, now + duration));
    }

    /// Draws the duration of a fault that starts now, and records its time window.
    fn record_fault(&mut self) -> Duration {
        let duration = Duration::from_millis(self.random.random_range(FAULT_DURATION_MS));
        let now = Instant::now();
        self.faults.0.push((now, now + duration));
        duration
    }

    fn schedule(&mut self, after: Duration, action: PendingAction) {
        self.pending.push((Instant::now() + after, action));
    }

    /// Sets the mode of proxies for the duration of one fault.
    fn disturb_proxies(&mut self, proxies: Vec<Proxy>, mode: ProxyMode) {
        let duration = self.record_fault();
        for proxy in proxies {
            proxy.set(mode);
            self.schedule(duration, PendingAction::RestoreProxy(proxy));
        }
    }

    /// Returns a random host that is running and not stopping or suspended; none if only one such host is left.
    fn random_running_host(&mut self, cluster: &Cluster) -> Option<usize> {
        let is_available = |index: &usize| {
            !self.unavailable_hosts.contains(index) && cluster.hosts[*index].host.is_some()
        };
        let available: Vec<usize> = (0..cluster.hosts.len()).filter(is_available).collect();
        let index = self.random.random_range(0..cluster.hosts.len());
        (available.len() > 1).then(|| available[index % available.len()])
    }

    fn random_mode(&mut self) -> ProxyMode {
        match self.random.random_range(0..5) {
            0 => ProxyMode::Delay(Duration::from_millis(self.random.random_range(10..150))),
            1 => ProxyMode::HoldAll,
            2 => ProxyMode::HoldRequests,
            3 => ProxyMode::HoldResponses,
            _ => ProxyMode::Reset,
        }
    }

    /// Applies a random operation that operators plan; no request may be lost by it.
    pub(super) fn apply_planned_operation(&mut self, cluster: &mut Cluster) {
        match self.random.random_range(0..5) {
            0 => cluster.change_configuration(),
            1 => (0..4).for_each(|_| cluster.change_configuration()),
            2 => {
                let index = self.random.random_range(0..cluster.servers.len());
                let id = cluster.replace_server(&mut self.random, index);
                self.schedule(Duration::from_millis(1_500), PendingAction::RemoveServerEntry(id));
            }
            3 => {
                let index = self.random.random_range(0..cluster.hosts.len());
                cluster.signal_host(index, Signal::HUP);
            }
            _ => {
                let Some(index) = self.random_running_host(cluster) else { return };
                cluster.signal_host(index, Signal::TERM);
                self.record_disturbed_host(index, STOP_GRACE);
                self.unavailable_hosts.insert(index);
                self.schedule(STOP_GRACE, PendingAction::CheckHostExited(index));
            }
        }
    }

    /// Cuts the links of some hosts to all servers, but not of all hosts.
    pub(super) fn cut_links(&mut self, cluster: &Cluster) {
        let state = match self.random.random_range(0..4) {
            0 => LinkState::Hanging,
            1 => LinkState::Refusing,
            2 => LinkState::HangingNew,
            _ => LinkState::RefusingNew,
        };
        let spared = self.random.random_range(0..cluster.hosts.len());
        let count = self.random.random_range(1..cluster.hosts.len());
        let duration = self.record_fault();
        let others = (0..cluster.hosts.len()).filter(|index| *index != spared);
        for index in others.take(count) {
            cluster.set_links(index, state);
            self.record_disturbed_host(index, duration);
            self.schedule(duration, PendingAction::RestoreLinks(index));
        }
    }

    /// Lets the store, or the network before it, go silent for some hosts while their connections stay open. Requests of
    /// callers must not notice.
    pub(super) fn silence_some(&mut self, cluster: &Cluster) {
        let count = self.random.random_range(1..=cluster.hosts.len());
        let first = self.random.random_range(0..cluster.hosts.len());
        let hosts = (first..first + count).map(|index| index % cluster.hosts.len());
        self.silence(cluster, &hosts.collect::<Vec<usize>>());
    }

    /// Does the same for all hosts.
    pub(super) fn silence_all(&mut self, cluster: &Cluster) {
        let hosts: Vec<usize> = (0..cluster.hosts.len()).collect();
        self.silence(cluster, &hosts);
    }

    fn silence(&mut self, cluster: &Cluster, hosts: &[usize]) {
        let all_hosts: Vec<usize> = (0..cluster.hosts.len()).collect();
        let kind = SILENT_KINDS[self.random.random_range(0..SILENT_KINDS.len())];
        let duration = Duration::from_millis(self.random.random_range(SILENCE_MS));
        let fault = match self.random.random_range(0..6) {
            0 | 1 => {
                let loses_new = self.random.random_bool(0.5);
                let silence = if loses_new { duration } else { Duration::ZERO };
                for index in hosts {
                    cluster.hosts[*index].store_proxy.lose_connections(silence);
                    self.record_disturbed_host(*index, silence);
                }
                return;
            }
            2 | 3 => AnswerFault::HangWatches(kind),
            4 => AnswerFault::Lose,
            _ => AnswerFault::Delay(kind, Duration::from_millis(self.random.random_range(LATE_MS))),
        };
        // Losses and delays of answers disturb the store for all.
        let (disturbed, lasts_for) = match fault {
            AnswerFault::HangWatches(_) => (hosts.to_vec(), duration),
            AnswerFault::Lose | AnswerFault::MalformServerLists(_) => (all_hosts, duration),
            AnswerFault::Delay(_, late_by) => (all_hosts, duration + late_by),
        };
        let now = Instant::now();
        self.unstable_store.push((now, now + duration));
        for index in disturbed {
            self.record_disturbed_host(index, lasts_for);
        }
        let addresses: Vec<SocketAddr> =
            hosts.iter().map(|index| cluster.hosts[*index].store_address).collect();
        cluster.store.disturb(&addresses, &fault, duration);
    }

    /// Injects a random unplanned fault.
    pub(super) fn inject_fault(&mut self, cluster: &mut Cluster) {
        let mode = self.random_mode();
        match self.random.random_range(0..8) {
            0 | 1 => {
                let index = self.random.random_range(0..cluster.servers.len());
                self.disturb_proxies(vec![cluster.servers[index].proxy.clone()], mode);
            }
            2 => {
                let index = self.random.random_range(0..cluster.hosts.len());
                self.disturb_proxies(vec![cluster.hosts[index].store_proxy.clone()], mode);
                self.record_disturbed_host(index, MAX_FAULT_DURATION);
            }
            3 => {
                let proxies = cluster.hosts.iter().map(|host| host.store_proxy.clone()).collect();
                self.disturb_proxies(proxies, mode);
                (0..cluster.hosts.len())
                    .for_each(|index| self.record_disturbed_host(index, MAX_FAULT_DURATION));
            }
            4 => {
                let count = self.random.random_range(1..=cluster.servers.len() / 2);
                let first = self.random.random_range(0..cluster.servers.len());
                let indexes: Vec<usize> =
                    (first..first + count).map(|index| index % cluster.servers.len()).collect();
                cluster.end_servers(&indexes);
            }
            5 | 6 => {
                let Some(index) = self.random_running_host(cluster) else { return };
                let duration = self.record_host_fault(index);
                cluster.signal_host(index, Signal::STOP);
                self.unavailable_hosts.insert(index);
                self.schedule(duration, PendingAction::ResumeHost(index));
            }
            _ => {
                let Some(index) = self.random_running_host(cluster) else { return };
                let duration = self.record_host_fault(index);
                cluster.hosts[index].host = None;
                self.unavailable_hosts.insert(index);
                self.schedule(duration, PendingAction::RestartHost(index));
            }
        }
    }

    /// Runs the actions that are due, and restarts hosts that have exited.
    pub(super) fn advance(&mut self, cluster: &mut Cluster) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = later;
        for (_, action) in due {
            self.run_action(cluster, action);
        }
        for index in 0..cluster.hosts.len() {
            self.restart_exited_host(cluster, index);
        }
        for (id, ended_at) in cluster.take_ended() {
            self.faults.0.push((ended_at, now + RESTART_DELAY));
            self.schedule(RESTART_DELAY, PendingAction::ReplaceEndedServer(id.clone()));
            self.schedule(LAPSE_DELAY, PendingAction::RemoveServerEntry(id));
        }
    }

    /// Waits until all pending actions have run, which ends all faults.
    pub(super) fn finish_pending(&mut self, cluster: &mut Cluster) {
        while !self.pending.is_empty() {
            self.advance(cluster);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn run_action(&mut self, cluster: &mut Cluster, action: PendingAction) {
        match action {
            PendingAction::RestoreProxy(proxy) => proxy.set(ProxyMode::Forward),
            PendingAction::RestoreLinks(index) => cluster.set_links(index, LinkState::Sound),
            PendingAction::RemoveServerEntry(id) => cluster.remove_server_entry(&id),
            PendingAction::ReplaceEndedServer(id) => {
                cluster.replace_ended(&mut self.random, &id);
            }
            PendingAction::ResumeHost(index) => {
                cluster.signal_host(index, Signal::CONT);
                self.unavailable_hosts.remove(&index);
            }
            PendingAction::RestartHost(index) => {
                cluster.start_host(index);
                self.unavailable_hosts.remove(&index);
            }
            PendingAction::CheckHostExited(index) => {
                let is_running =
                    cluster.hosts[index].host.is_some() && self.unavailable_hosts.contains(&index);
                if is_running {
                    self.violations
                        .push(format!("host {index} did not exit within its grace period"));
                }
            }
        }
    }

    /// Restarts a host that has exited; an exit without a stop, or with a failure, is a violation.
    fn restart_exited_host(&mut self, cluster: &mut Cluster, index: usize) {
        let Some(host) = &mut cluster.hosts[index].host else { return };
        let Some(status) = host.exit_status() else { return };
        let was_stopped = self.unavailable_hosts.contains(&index);
        if !was_stopped || !status.success() {
            self.violations
                .push(format!("host {index} exited without a stop or with a failure: {status}"));
        }
        self.unavailable_hosts.remove(&index);
        let is_stop = |(host, from, until): &&mut (usize, Instant, Instant)| {
            *host == index && *until == *from + STOP_GRACE
        };
        if let Some((_, _, until)) = self.disturbed_hosts.iter_mut().rev().find(is_stop) {
            *until = Instant::now();
        }
        self.pending.retain(|(_, action)| {
            !matches!(action, PendingAction::CheckHostExited(checked) if *checked == index)
        });
        cluster.start_host(index);
    }
}
