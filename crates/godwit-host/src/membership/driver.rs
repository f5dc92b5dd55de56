//! The threads that drive a member, and the interface to the rest of the host.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use flume::{Receiver, Sender};
use godwit_core::cluster_state::{CapacitySummary, ModelCapacity, PollResult, ServerNotice};
use godwit_core::member::{Liveness, Member, MemberAction, MemberRecord, MemberSettings, Phase};
use godwit_core::replica::ReplicaDigest;
use godwit_core::{Hint, UnixMs};
use godwit_peer::PeerKey;
use godwit_schema::operator::{NeighbourState, NeighbourStatus};
use godwit_schema::platform::HostListReply;

use super::MembershipEvent;
use super::socket::MemberSocket;
use crate::clock::Clock;

/// Interval between two ticks of the member.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the queue of events for the rest of the host; events beyond it are dropped and counted.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Settings of the membership.
pub struct MembershipSettings {
    /// Name of this host.
    pub host: String,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Address that receives datagrams.
    pub bind: SocketAddr,
    /// Address that the other hosts use for datagrams and calls; port 0 is replaced by the bound port.
    pub advertised: SocketAddr,
    /// Key that all hosts share.
    pub key: PeerKey,
    /// Peer addresses of other hosts to join at the start.
    pub seeds: Vec<SocketAddr>,
    /// Clock of the member.
    pub clock: Arc<dyn Clock>,
}

struct Shared {
    member: Mutex<Member>,
    socket: MemberSocket,
    clock: Arc<dyn Clock>,
    events: Sender<MembershipEvent>,
    is_stopping: AtomicBool,
}

/// The membership of this host. Dropping it stops its threads without notifying the other hosts.
pub struct Membership {
    shared: Arc<Shared>,
    events: Receiver<MembershipEvent>,
    threads: Vec<JoinHandle<()>>,
}

impl Membership {
    /// Binds the socket and starts the threads.
    ///
    /// # Errors
    /// When the address cannot be bound, or a thread cannot be started.
    pub fn start(settings: MembershipSettings) -> io::Result<Membership> {
        let MembershipSettings { host, failure_domain, bind, mut advertised, key, seeds, clock } =
            settings;
        let incarnation = clock.now().0.max(1);
        let socket = MemberSocket::bind(bind, &key, &host, incarnation)?;
        if advertised.port() == 0 {
            advertised.set_port(socket.local_address()?.port());
        }
        let mut member = MemberSettings::new(&host, &failure_domain, advertised, incarnation);
        member.seeds = seeds;
        let (sender, events) = flume::bounded(EVENT_QUEUE_CAPACITY);
        let shared = Arc::new(Shared {
            member: Mutex::new(Member::new(member, clock.now())),
            socket,
            clock,
            events: sender,
            is_stopping: AtomicBool::new(false),
        });
        let mut membership = Membership { shared, events, threads: Vec::new() };
        membership.shared.record_live_hosts();
        membership.spawn("member-receive", Shared::receive_loop)?;
        membership.spawn("member-tick", Shared::tick_loop)?;
        Ok(membership)
    }

    fn spawn(&mut self, name: &str, body: impl FnOnce(&Shared) + Send + 'static) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let builder = thread::Builder::new().name(name.to_string());
        self.threads.push(builder.spawn(move || body(&shared))?);
        Ok(())
    }

    /// Events from the other hosts and from this host's own polls. All clones of the receiver share one queue.
    pub fn events(&self) -> Receiver<MembershipEvent> {
        self.events.clone()
    }

    /// Address that the other hosts use.
    pub fn address(&self) -> SocketAddr {
        self.shared.lock().own_record().address
    }

    /// Incarnation of this host: its start time, as announced to the other hosts.
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().own_record().incarnation
    }

    /// Names of the serving hosts of this host's failure domain, sorted; includes this host unless it is leaving.
    pub fn live_hosts(&self) -> Vec<String> {
        self.shared.lock().live_hosts().into_iter().map(str::to_string).collect()
    }

    /// Names and peer addresses of the hosts of a failure domain, sorted by name; for this host's domain, its serving
    /// hosts.
    pub fn hosts_of_domain(&self, failure_domain: &str) -> Vec<(String, SocketAddr)> {
        let member = self.shared.lock();
        let hosts = member.hosts_of_domain(failure_domain);
        hosts.into_iter().map(|(host, address)| (host.to_string(), address)).collect()
    }

    /// States of the other hosts of this host's failure domain as this host sees them, sorted by name.
    pub fn neighbours(&self) -> Vec<NeighbourStatus> {
        let member = self.shared.lock();
        let failure_domain = member.failure_domain();
        let statuses = member.neighbours();
        statuses
            .map(|(record, heard_at)| neighbour_status(record, heard_at, failure_domain))
            .collect()
    }

    /// Names of the other failure domains whose summaries are up to date.
    pub fn reachable_domains(&self) -> Vec<String> {
        let member = self.shared.lock();
        let domains = member.reachable_domains(self.shared.clock.now());
        domains.into_iter().map(str::to_string).collect()
    }

    /// Newest capacity and configuration of another failure domain.
    pub fn domain_capacity(&self, failure_domain: &str) -> Option<CapacitySummary> {
        self.shared.lock().domain_capacity(failure_domain).cloned()
    }

    /// Whether this host is one of the delegates of its failure domain.
    pub fn is_delegate(&self) -> bool {
        self.shared.lock().is_delegate()
    }

    /// Sets the configuration digest that is announced to the other hosts.
    pub fn set_configuration_digest(&self, digest: ReplicaDigest) {
        self.shared.lock().set_configuration(digest);
    }

    /// Sets the spare capacity of this host's failure domain, which a delegate sends to the other domains.
    pub fn set_spare_capacity(&self, spare: &[ModelCapacity]) {
        self.shared.lock().set_spare_capacity(spare);
    }

    /// Sets the platform's host list, which is used only as a source of addresses to try.
    pub fn set_host_list(&self, list: &HostListReply) {
        self.shared.lock().set_host_list(list);
    }

    /// Publishes a hint to the other hosts.
    pub fn publish_hint(&self, hint: &Hint) {
        self.shared.run_step(|member, now| member.publish_hint(hint, now));
    }

    /// Publishes a notice about a backend server to the other hosts.
    pub fn publish_notice(&self, notice: &ServerNotice) {
        let result = PollResult::Notice(notice.clone());
        self.record_poll_result(&result);
    }

    /// Passes the result of one of this host's own polls to the rest of this host and to the other hosts.
    pub fn record_poll_result(&self, result: &PollResult) {
        self.shared.run_step(|member, now| member.record_poll_result(result, now));
    }

    /// Announces to the other hosts at once that this host is shutting down. The host takes part in the protocol until
    /// the membership is dropped.
    pub fn leave(&self) {
        self.shared.run_step(|member, now| {
            member.leave();
            member.tick(now)
        });
        self.shared.record_live_hosts();
    }
}

impl Membership {
    /// Stops the threads without notifying the other hosts, even while other references to this value remain.
    pub fn halt(&self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
    }
}

impl Drop for Membership {
    fn drop(&mut self) {
        self.halt();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_step(&self, step: impl FnOnce(&mut Member, UnixMs) -> Vec<MemberAction>) {
        let now = self.clock.now();
        let actions = step(&mut self.lock(), now);
        for action in actions {
            match action {
                MemberAction::Send { to, gossip } => self.socket.send(to, &gossip, now),
                MemberAction::Emit(event) => self.emit(event.into()),
            }
        }
    }

    fn emit(&self, event: MembershipEvent) {
        match &event {
            MembershipEvent::Superseded { incarnation } => {
                tracing::warn!(incarnation, "another process has the name of this host");
            }
            MembershipEvent::HostsChanged => self.record_live_hosts(),
            _ => {}
        }
        if self.events.try_send(event).is_err() {
            metrics::counter!("godwit_membership_dropped_events_total").increment(1);
        }
    }

    fn record_live_hosts(&self) {
        let live = self.lock().live_hosts().len();
        metrics::gauge!("godwit_membership_live_hosts").set(live as f64);
        tracing::info!(live, "live hosts of the failure domain changed");
    }

    fn receive_loop(&self) {
        while !self.is_stopping.load(Ordering::SeqCst) {
            if let Some(gossip) = self.socket.receive(|| self.clock.now()) {
                self.run_step(|member, now| member.receive(&gossip, now));
            }
        }
    }

    fn tick_loop(&self) {
        while !self.is_stopping.load(Ordering::SeqCst) {
            self.run_step(Member::tick);
            thread::sleep(TICK_INTERVAL);
        }
    }
}

fn neighbour_status(
    record: &MemberRecord,
    heard_at: UnixMs,
    failure_domain: &str,
) -> NeighbourStatus {
    let state = match (record.liveness, record.phase) {
        (Liveness::Dead, _) => NeighbourState::Dead,
        (_, Phase::Leaving) => NeighbourState::Leaving,
        (Liveness::Suspect, Phase::Serving) => NeighbourState::Suspect,
        (Liveness::Alive, Phase::Serving) => NeighbourState::Live,
    };
    NeighbourStatus {
        host: record.host.clone(),
        failure_domain: failure_domain.to_string(),
        state,
        incarnation: record.incarnation,
        configuration_revision: record.configuration.highest_version,
        heard_at_unix_ms: heard_at.0,
    }
}
