//! The threads of a member, and what the rest of the host asks of it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use flume::{Receiver, Sender};
use godwit_core::cluster_state::{CapacitySummary, ModelCapacity, PollResult, ServerNotice};
use godwit_core::config::ConfigDigest;
use godwit_core::member::{Liveness, Member, MemberAction, MemberRecord, MemberSettings, Phase};
use godwit_core::{Hint, UnixMs};
use godwit_peer::PeerKey;
use godwit_schema::operator::{NeighbourState, NeighbourStatus};
use godwit_schema::platform::HostListReply;

use super::MembershipEvent;
use super::socket::MemberSocket;
use crate::clock::Clock;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Events that wait for the rest of the host; further ones are dropped and counted.
const EVENT_QUEUE: usize = 4_096;

/// What membership is started with.
pub struct MembershipSettings {
    /// Name of this host.
    pub host: String,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Address to receive datagrams at.
    pub bind: SocketAddr,
    /// Address that the other hosts use for datagrams and calls; port 0 stands for the port bound.
    pub advertised: SocketAddr,
    /// The key that all hosts share.
    pub key: PeerKey,
    /// Peer addresses of other hosts, known from the start.
    pub seeds: Vec<SocketAddr>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

struct Shared {
    member: Mutex<Member>,
    socket: MemberSocket,
    clock: Arc<dyn Clock>,
    events: Sender<MembershipEvent>,
    is_stopping: AtomicBool,
}

/// The membership of this host; dropping it stops its threads without a word to the other hosts.
pub struct Membership {
    shared: Arc<Shared>,
    events: Receiver<MembershipEvent>,
    threads: Vec<JoinHandle<()>>,
}

impl Membership {
    /// Binds the socket and starts the threads.
    ///
    /// # Errors
    /// The address cannot be bound, or no thread can be started.
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
        let (sender, events) = flume::bounded(EVENT_QUEUE);
        let shared = Arc::new(Shared {
            member: Mutex::new(Member::new(member, clock.now())),
            socket,
            clock,
            events: sender,
            is_stopping: AtomicBool::new(false),
        });
        let mut membership = Membership { shared, events, threads: Vec::new() };
        membership.shared.show_live_hosts();
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

    /// News from the other hosts and from own polls. All clones share one queue.
    pub fn events(&self) -> Receiver<MembershipEvent> {
        self.events.clone()
    }

    /// The address that the other hosts use.
    pub fn address(&self) -> SocketAddr {
        self.shared.lock().own_record().address
    }

    /// Start time of this host as the others know it.
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().own_record().incarnation
    }

    /// Names of the hosts of the own failure domain that take part, with the own one unless it is leaving, by name.
    pub fn live_hosts(&self) -> Vec<String> {
        self.shared.lock().live_hosts().into_iter().map(str::to_string).collect()
    }

    /// Hosts of a failure domain, the own one included, with their peer addresses, by name.
    pub fn hosts_of_domain(&self, failure_domain: &str) -> Vec<(String, SocketAddr)> {
        let member = self.shared.lock();
        let hosts = member.hosts_of_domain(failure_domain);
        hosts.into_iter().map(|(host, address)| (host.to_string(), address)).collect()
    }

    /// The other hosts of the own failure domain as seen from this one, by name.
    pub fn neighbours(&self) -> Vec<NeighbourStatus> {
        let member = self.shared.lock();
        let failure_domain = member.failure_domain();
        let statuses = member.neighbours();
        statuses.map(|(record, heard_at)| status(record, heard_at, failure_domain)).collect()
    }

    /// Names of the other failure domains of which summaries arrive.
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

    /// Sets the configuration that the others are told of.
    pub fn set_configuration_digest(&self, digest: ConfigDigest) {
        self.shared.lock().set_configuration(digest);
    }

    /// Sets the spare capacity of the own failure domain, which a delegate tells the other domains.
    pub fn set_spare_capacity(&self, spare: &[ModelCapacity]) {
        self.shared.lock().set_spare_capacity(spare);
    }

    /// Takes in the platform's host list: addresses to try, no more.
    pub fn learn_host_list(&self, list: &HostListReply) {
        self.shared.lock().set_host_list(list);
    }

    /// Passes a hint to the other hosts.
    pub fn push_hint(&self, hint: &Hint) {
        self.shared.act(|member, now| member.publish_hint(hint, now));
    }

    /// Passes a notice of a backend server to the other hosts.
    pub fn push_notice(&self, notice: &ServerNotice) {
        let result = PollResult::Notice(notice.clone());
        self.learn_poll(&result);
    }

    /// Passes what an own poll gave to the rest of this host and to the other hosts.
    pub fn learn_poll(&self, result: &PollResult) {
        self.shared.act(|member, now| member.record_poll_result(result, now));
    }

    /// Tells the other hosts at once that this one is shutting down; it goes on taking part until it is dropped.
    pub fn leave(&self) {
        self.shared.act(|member, now| {
            member.leave();
            member.tick(now)
        });
        self.shared.show_live_hosts();
    }
}

impl Membership {
    /// Falls silent without a word to the other hosts, also while others still hold this value.
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

    fn act(&self, step: impl FnOnce(&mut Member, UnixMs) -> Vec<MemberAction>) {
        let now = self.clock.now();
        let actions = step(&mut self.lock(), now);
        for action in actions {
            match action {
                MemberAction::Send { to, gossip } => self.socket.send(to, &gossip, now),
                MemberAction::Emit(event) => self.tell(event.into()),
            }
        }
    }

    fn tell(&self, event: MembershipEvent) {
        match &event {
            MembershipEvent::Superseded { incarnation } => {
                tracing::warn!(incarnation, "another process has the name of this host");
            }
            MembershipEvent::HostsChanged => self.show_live_hosts(),
            _ => {}
        }
        if self.events.try_send(event).is_err() {
            metrics::counter!("godwit_membership_dropped_events_total").increment(1);
        }
    }

    fn show_live_hosts(&self) {
        let live = self.lock().live_hosts().len();
        metrics::gauge!("godwit_membership_live_hosts").set(live as f64);
        tracing::info!(live, "live hosts of the failure domain changed");
    }

    fn receive_loop(&self) {
        while !self.is_stopping.load(Ordering::SeqCst) {
            if let Some(gossip) = self.socket.receive(|| self.clock.now()) {
                self.act(|member, now| member.receive(&gossip, now));
            }
        }
    }

    fn tick_loop(&self) {
        while !self.is_stopping.load(Ordering::SeqCst) {
            self.act(Member::tick);
            thread::sleep(TICK);
        }
    }
}

fn status(record: &MemberRecord, heard_at: UnixMs, failure_domain: &str) -> NeighbourStatus {
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
