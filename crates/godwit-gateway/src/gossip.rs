//! Gossip between hosts: the load that each host puts on every server, relayed by one collector in each failure domain.
//! Loads are hints; a lost message only makes them less accurate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::quarantine::{CrashReport, ReportBacklog, SurvivalReport};
use godwit_core::site::{
    AskAction, DemandReport, FindingReport, LimitReport, Load, LoadSource, PartitionReport,
    PeerDemandReport, PeerLoadReport, PermitAsk, PermitGrant,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

use crate::forward::record_server_end;
use crate::replica::ObjectKind;
use crate::server_limits::log_limit_change;
use crate::site::Site;

/// Interval between two load reports of a host.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which unanswered asks for permits are checked.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two rounds of a task beyond which the process did not run for a while, in milliseconds.
const MAX_TASK_GAP_MS: u64 = 500;

/// Time after the end of a server from which its losses should have been reported, in milliseconds.
const MAX_BACKLOG_MS: u64 = 1_000;

/// Largest message, in bytes; a larger one is not sent, because it must fit into one UDP datagram.
const MAX_MESSAGE_BYTES: usize = 32 * 1024;

/// Hosts whose load a message contains.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Scope {
    /// The sender. The receiver replies with the load of all hosts but the sender.
    Host,
    /// All hosts of the sender's failure domain.
    Domain,
    /// All hosts but the receiver.
    Others,
    /// None; the sender has heard from no host lately. The receiver replies.
    Contact,
    /// None; the reply to a contact.
    ContactReply,
}

/// A message between hosts.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Load(Box<LoadMessage>),
    PermitAsk(PermitAsk),
    PermitGrant(PermitGrant),
    /// Hosts of releases without it cannot read it, and follow others as before.
    CopyOffer(CopyOffer),
    /// The sender calls the store although it doubts that this can be read. As for older releases.
    DoubtfulCall,
}

/// Tells that a host of the domain has read the store, and can be followed.
#[derive(Debug, Deserialize, Serialize)]
struct CopyOffer {
    host: String,
}

/// A report of the load and of what else hosts tell each other.
#[derive(Debug, Deserialize, Serialize)]
struct LoadMessage {
    host: String,
    failure_domain: String,
    scope: Scope,
    born_unix_ms: u64,
    sequence: u64,
    loads: Vec<ServerLoad>,
    /// Number of hosts whose load the message contains.
    hosts_included: u32,
    limits: Vec<LimitReport>,
    findings: Vec<ServerFinding>,
    partitions: Vec<DomainPartition>,
    crashes: CrashReport,
    /// Number of hosts that the sender knows of, including itself.
    host_count: Option<u32>,
    /// Ordinal of the newest store position of an object of each kind that the sender knows of.
    newest_revisions: Vec<(ObjectKind, u64)>,
}

/// What follows a message, before a report of demand if there is one. Hosts of releases without it pass over it, and send
/// none.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Supplement {
    survivals: Vec<SurvivalReport>,
}

#[derive(Debug, Deserialize, Serialize)]
struct ServerLoad {
    server_id: String,
    requests: u32,
    kv_tokens: u64,
}

#[derive(Debug, Deserialize, Serialize)]
struct ServerFinding {
    server_id: String,
    stalls_for_ms: u64,
    slowdown: f64,
    slow_for_ms: u64,
    examined_ago_ms: u64,
}

#[derive(Debug, Deserialize, Serialize)]
struct DomainPartition {
    domains: [String; 2],
    for_ms: u64,
}

impl From<FindingReport> for ServerFinding {
    fn from(report: FindingReport) -> ServerFinding {
        let FindingReport { server_id, stalls_for_ms, slowdown, slow_for_ms, examined_ago_ms } =
            report;
        ServerFinding { server_id, stalls_for_ms, slowdown, slow_for_ms, examined_ago_ms }
    }
}

impl From<ServerFinding> for FindingReport {
    fn from(finding: ServerFinding) -> FindingReport {
        let ServerFinding { server_id, stalls_for_ms, slowdown, slow_for_ms, examined_ago_ms } =
            finding;
        FindingReport { server_id, stalls_for_ms, slowdown, slow_for_ms, examined_ago_ms }
    }
}

fn encode(message: &Message, supplement: &Supplement) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(supplement, postcard::to_stdvec(message)?)
}

/// Decodes a message and what follows it, and returns the bytes that are left.
fn decode(bytes: &[u8]) -> postcard::Result<(Message, Supplement, &[u8])> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok((message, Supplement::default(), rest));
    }
    let (supplement, rest) = postcard::take_from_bytes(rest)?;
    Ok((message, supplement, rest))
}

/// Returns the report of demand at the end of a message; none if there is none that can be read.
fn decode_demand(rest: &[u8], sender: SocketAddr) -> Option<DemandReport> {
    DemandReport::read(rest).unwrap_or_else(|error| {
        warn!(event = "demand_unreadable", %sender, %error, bytes = rest.len());
        None
    })
}

/// Exchange of loads and findings with the other hosts over UDP.
pub(crate) struct Gossip {
    site: Rc<Site>,
    socket: UdpSocket,
    born_unix_ms: u64,
}

impl Gossip {
    pub(crate) fn new(site: Rc<Site>, socket: UdpSocket) -> Gossip {
        let born_unix_ms = site.clock.unix_now().0;
        Gossip { site, socket, born_unix_ms }
    }

    /// Sends load reports for as long as the process runs, and drops expired state at each interval.
    pub(crate) async fn send_reports(self: Rc<Self>) {
        let mut is_behind = false;
        loop {
            sleep(REPORT_INTERVAL).await;
            let now = self.site.now();
            is_behind = self.log_backlog(is_behind);
            self.site.expire(now);
            metrics::gauge!("content_held_bytes").set(self.site.memory.held_bytes() as f64);
            self.site.report_confirmation_ages(now);
            let recipients = self.site.relay.borrow_mut().recipients(now);
            for host in recipients.contacts {
                self.send_report(host.address, Scope::Contact, BTreeMap::new(), 0, None).await;
            }
            let is_demand_due = self.site.order.demand.borrow_mut().take_due_report(now);
            if let Some(collector) = recipients.collector {
                let own = self.site.loads.borrow().own().clone();
                let demand = is_demand_due.then(|| self.site.order.demand.borrow().own_report(now));
                self.send_report(collector.address, Scope::Host, own, 1, demand).await;
                continue;
            }
            for collector in recipients.other_collectors {
                let (sum, hosts) = {
                    let loads = self.site.loads.borrow();
                    (loads.domain_sum(), loads.domain_hosts())
                };
                let demand =
                    is_demand_due.then(|| self.site.order.demand.borrow().domain_report(now));
                self.send_report(collector.address, Scope::Domain, sum, hosts, demand).await;
            }
        }
    }

    /// Logs when losses remain unreported for long, and when that ends. Returns whether they do.
    fn log_backlog(&self, was_behind: bool) -> bool {
        let backlog = self.site.crashes.borrow().report_backlog(self.site.now());
        let ReportBacklog { losses, oldest_ms } = backlog;
        metrics::gauge!("crash_report_backlog").set(losses as f64);
        let is_behind = oldest_ms > MAX_BACKLOG_MS;
        if is_behind != was_behind {
            info!(event = "crash_reports", is_behind, losses, oldest_ms);
        }
        is_behind
    }

    /// Asks other hosts for permits to send to servers that name a limit, for as long as the process runs.
    pub(crate) async fn ask_for_permits(self: Rc<Self>) {
        let mut last = (self.site.now(), self.site.clock.unix_now());
        loop {
            let now = (self.site.now(), self.site.clock.unix_now());
            // A suspended machine stops the steady clock too.
            let gap_ms = now.0.since_ms(last.0).max(now.1.since_ms(last.1));
            if gap_ms > MAX_TASK_GAP_MS {
                info!(event = "did_not_run", gap_ms);
                self.site.limits.borrow_mut().record_disturbance(now.0);
            }
            last = now;
            let wanted = self.site.permits_wanted.notified();
            let has_demand = self.site.limits.borrow().has_demand();
            let wait = if has_demand { PERMIT_POLL_INTERVAL } else { REPORT_INTERVAL };
            let _ = timeout(wait, wanted).await;
            let asks = self.site.next_permit_asks();
            for (keeper, ask) in asks {
                self.send_to(&keeper, &Message::PermitAsk(ask)).await;
            }
        }
    }

    async fn send_to(&self, host: &str, message: &Message) {
        let address = self.site.relay.borrow().address_of(host);
        match address {
            Some(address) => self.send(address, message).await,
            None => debug!(event = "gossip_not_sent", host, error = "unknown host"),
        }
    }

    /// Tells other hosts that one has read the store, and can be followed.
    pub(crate) async fn send_offer(&self, host: &str, recipients: &[String]) {
        let offer = Message::CopyOffer(CopyOffer { host: host.to_string() });
        for recipient in recipients {
            self.send_to(recipient, &offer).await;
        }
    }

    /// Tells other hosts that this one calls the store although it doubts that this can be read.
    pub(crate) async fn send_doubtful_call(&self, recipients: &[String]) {
        for recipient in recipients {
            self.send_to(recipient, &Message::DoubtfulCall).await;
        }
    }

    async fn send_report(
        &self,
        peer: SocketAddr,
        scope: Scope,
        loads: BTreeMap<String, Load>,
        hosts_included: usize,
        demand: Option<DemandReport>,
    ) {
        let server_loads = loads.into_iter().map(|(server_id, load)| ServerLoad {
            server_id,
            requests: load.requests,
            kv_tokens: load.kv_tokens,
        });
        let now = self.site.now();
        let findings = self.site.findings.borrow().finding_reports(now);
        let partitions = self.site.findings.borrow().partition_reports(now).into_iter();
        let host_count = self.site.relay.borrow().host_count();
        let mut crashes = self.site.crashes.borrow_mut().next_report(now);
        let supplement = Supplement { survivals: std::mem::take(&mut crashes.survivals) };
        let message = LoadMessage {
            host: self.site.settings.host.clone(),
            failure_domain: self.site.settings.failure_domain.clone(),
            scope,
            born_unix_ms: self.born_unix_ms,
            sequence: now.0,
            loads: server_loads.collect(),
            hosts_included: u32::try_from(hosts_included).unwrap_or(u32::MAX),
            limits: self.site.limits.borrow().reports(now),
            findings: findings.into_iter().map(ServerFinding::from).collect(),
            crashes,
            host_count: host_count.and_then(|count| u32::try_from(count).ok()),
            newest_revisions: self.site.newest_revisions(),
            partitions: partitions
                .map(|PartitionReport { domains, for_ms }| DomainPartition { domains, for_ms })
                .collect(),
        };
        self.send_with(peer, &Message::Load(Box::new(message)), &supplement, demand).await;
    }

    async fn send(&self, peer: SocketAddr, message: &Message) {
        self.send_with(peer, message, &Supplement::default(), None).await;
    }

    async fn send_with(
        &self,
        peer: SocketAddr,
        message: &Message,
        supplement: &Supplement,
        demand: Option<DemandReport>,
    ) {
        let encoded = encode(message, supplement)
            .and_then(|parts| DemandReport::append(demand.as_ref(), parts, MAX_MESSAGE_BYTES));
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(event = "gossip_not_encoded", %error);
                return;
            }
        };
        if bytes.len() > MAX_MESSAGE_BYTES {
            warn!(event = "gossip_too_long", bytes = bytes.len());
            return;
        }
        if let Err(error) = self.socket.send_to(&bytes, peer).await {
            debug!(event = "gossip_not_sent", %peer, %error);
        }
    }

    /// Receives messages of other hosts for as long as the process runs, and replies to their load reports.
    pub(crate) async fn receive_messages(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            let (count, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(event = "gossip_not_received", %error);
                    sleep(REPORT_INTERVAL).await;
                    continue;
                }
            };
            match decode(&buffer[..count]) {
                Ok((Message::Load(mut message), supplement, rest)) => {
                    message.crashes.survivals = supplement.survivals;
                    let demand = decode_demand(rest, sender);
                    self.handle_report(*message, demand, sender).await;
                }
                Ok((Message::PermitAsk(ask), ..)) => match self.site.handle_permit_ask(&ask) {
                    AskAction::Answer(grant) => {
                        self.send(sender, &Message::PermitGrant(grant)).await;
                    }
                    AskAction::Forward { keeper, ask } => {
                        self.send_to(&keeper, &Message::PermitAsk(ask)).await;
                    }
                },
                Ok((Message::PermitGrant(grant), ..)) => {
                    if !self.site.record_permits(&grant) {
                        let asker = grant.asker.clone();
                        self.send_to(&asker, &Message::PermitGrant(grant)).await;
                    }
                }
                Ok((Message::CopyOffer(offer), ..)) => {
                    let others = self.site.record_offer(&offer.host);
                    self.send_offer(&offer.host, &others).await;
                }
                Ok((Message::DoubtfulCall, ..)) => {
                    self.site.readers.borrow_mut().record_doubtful_call(self.site.now());
                }
                Err(error) => warn!(event = "gossip_unreadable", %sender, %error),
            }
        }
    }

    async fn handle_report(
        &self,
        message: LoadMessage,
        demand: Option<DemandReport>,
        sender: SocketAddr,
    ) {
        self.site.relay.borrow_mut().record_message(&message.host, self.site.now());
        if let Some(count) = message.host_count {
            self.site.relay.borrow_mut().record_host_count(count as usize);
        }
        let source = match message.scope {
            Scope::Host => Some(LoadSource::Host(message.host.clone())),
            Scope::Domain => Some(LoadSource::Domain(message.failure_domain)),
            Scope::Others => Some(LoadSource::Collector),
            Scope::Contact | Scope::ContactReply => None,
        };
        let now = self.site.now();
        let site = &self.site;
        for (kind, revision) in message.newest_revisions {
            let mut freshness = site.freshness.borrow_mut();
            freshness.entry(kind).or_default().record_peer_version(revision, now);
        }
        for finding in message.findings {
            let report = FindingReport::from(finding);
            if site.findings.borrow_mut().merge_finding(&report, now) {
                let FindingReport { server_id, stalls_for_ms, .. } = report;
                info!(
                    event = "stall_reported",
                    server = server_id,
                    from = message.host,
                    stalls_for_ms
                );
            }
        }
        for DomainPartition { domains, for_ms } in message.partitions {
            let report = PartitionReport { domains, for_ms };
            if site.findings.borrow_mut().merge_partition(&report, now) {
                let domains = report.domains.join(",");
                info!(event = "partition_reported", domains, from = message.host, for_ms);
            }
        }
        let new_ends = site.crashes.borrow_mut().merge(&message.crashes, &message.host, now);
        for incarnation in new_ends {
            record_server_end(site, &incarnation);
        }
        let changes = site.limits.borrow_mut().merge(&message.limits, &message.host, now);
        changes.iter().for_each(log_limit_change);
        let server_loads = message.loads.into_iter().map(|server_load| {
            (
                server_load.server_id,
                Load { requests: server_load.requests, kv_tokens: server_load.kv_tokens },
            )
        });
        let loads = PeerLoadReport {
            by_server: server_loads.collect(),
            hosts: message.hosts_included as usize,
            sender: message.host.clone(),
            born_unix_ms: message.born_unix_ms,
            sequence: message.sequence,
        };
        let reports_demand = demand.is_some();
        if let (Some(source), Some(demand)) = (&source, demand) {
            let report = PeerDemandReport {
                demand,
                sender: message.host.clone(),
                born_unix_ms: message.born_unix_ms,
                sequence: message.sequence,
            };
            self.site.record_demand(source.clone(), report);
        }
        if let Some(source) = source {
            self.site.loads.borrow_mut().record_report(source, loads, now);
            self.site.room_changed.notify_one();
        }
        if message.scope == Scope::Host {
            let (others, hosts) = {
                let loads = self.site.loads.borrow();
                (loads.sum_excluding(&message.host), loads.hosts_excluding(&message.host))
            };
            let demand = {
                let known = self.site.order.demand.borrow();
                let is_wanted = reports_demand || known.is_pressed(now);
                is_wanted.then(|| known.report_excluding(&message.host, now))
            };
            self.send_report(sender, Scope::Others, others, hosts, demand).await;
        }
        if message.scope == Scope::Contact {
            self.send_report(sender, Scope::ContactReply, BTreeMap::new(), 0, None).await;
        }
    }
}
