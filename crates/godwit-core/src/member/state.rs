//! State of a member, its timers, and the queries of the rest of its host.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::cluster_state::{CapacitySummary, DomainSummary, ServerNotice};
use crate::cluster_state::{GossipStore, ModelCapacity, RemoteDomains, SummaryKey};
use crate::member::settings::{
    GOSSIP_INTERVAL_MS, GOSSIP_JITTER_MS, MAX_MODELS, MAX_NOTICES, MAX_READINGS, MAX_SUMMARIES,
    URGENT_INTERVAL_MS,
};
use crate::member::table::{MemberEntry, MemberTable};
use crate::member::{Liveness, MemberAction, MemberEvent, MemberRecord, MemberSettings, Phase};
use crate::replica::ReplicaDigest;
use crate::{Hint, Reading, UnixMs};

/// State machine of one host in the membership protocol. It performs no I/O: it takes messages and times and returns
/// actions.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::member::{Member, MemberSettings};
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let member = Member::new(MemberSettings::new("entry-1", "hall-a", address, 1), UnixMs(0));
/// assert_eq!(member.live_hosts(), ["entry-1"]);
/// ```
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) settings: MemberSettings,
    pub(super) own: MemberRecord,
    pub(super) table: MemberTable,
    pub(super) domains: RemoteDomains,
    pub(super) readings: GossipStore<String, Reading>,
    pub(super) notices: GossipStore<(String, bool), ServerNotice>,
    pub(super) hints: GossipStore<HintKey, Hint>,
    pub(super) cross_domain_hints: GossipStore<HintKey, Hint>,
    pub(super) summaries: GossipStore<SummaryKey, DomainSummary>,
    pub(super) candidates: Vec<Candidate>,
    pub(super) spare: Vec<ModelCapacity>,
    pub(super) rng: SmallRng,
    pub(super) has_urgent_update: bool,
    pub(super) last_tick_at: UnixMs,
    pub(super) last_gossip_at: UnixMs,
    pub(super) next_gossip_at: UnixMs,
    pub(super) next_join_at: UnixMs,
    pub(super) next_summary_at: UnixMs,
    pub(super) hosts_cursor: String,
}

/// Identifies a hint by kind, fingerprint and server.
pub(super) type HintKey = (u8, u64, String);

/// Address that a host of the system may have, from the settings or from the platform's host list.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Candidate {
    pub(super) address: SocketAddr,
    pub(super) failure_domain: Option<String>,
}

impl Member {
    /// Creates a member without other hosts.
    pub fn new(settings: MemberSettings, now: UnixMs) -> Member {
        let own = MemberRecord {
            host: settings.host.clone(),
            address: settings.address,
            incarnation: settings.incarnation,
            heartbeat: 0,
            phase: Phase::Serving,
            liveness: Liveness::Alive,
            configuration: ReplicaDigest::default(),
        };
        let seeds = settings.seeds.iter();
        let candidates =
            seeds.map(|address| Candidate { address: *address, failure_domain: None }).collect();
        let rng = SmallRng::seed_from_u64(settings.random_seed);
        Member {
            settings,
            own,
            table: MemberTable::default(),
            domains: RemoteDomains::default(),
            readings: GossipStore::new(MAX_READINGS),
            notices: GossipStore::new(MAX_NOTICES),
            hints: GossipStore::new(MAX_NOTICES),
            cross_domain_hints: GossipStore::new(MAX_NOTICES),
            summaries: GossipStore::new(MAX_SUMMARIES),
            candidates,
            spare: Vec::new(),
            rng,
            has_urgent_update: true,
            last_tick_at: now,
            last_gossip_at: UnixMs(0),
            next_gossip_at: now,
            next_join_at: now,
            next_summary_at: now,
            hosts_cursor: String::new(),
        }
    }

    /// Performs the work that is due; must be called at least every 50 ms.
    pub fn tick(&mut self, now: UnixMs) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.discount_local_pause(now);
        self.detect(now, &mut actions);
        if self.is_gossip_due(now) {
            self.send_gossip(now, &mut actions);
        }
        if self.next_join_at.is_past(now) {
            self.send_joins(now, &mut actions);
        }
        if self.next_summary_at.is_past(now) {
            self.send_summaries(now, &mut actions);
        }
        actions
    }

    /// Announces that the host is shutting down, with a round of heartbeats sent early.
    pub fn leave(&mut self) {
        self.own.phase = Phase::Leaving;
        self.has_urgent_update = true;
    }

    /// Sets the configuration that is announced to the other hosts.
    pub fn set_configuration(&mut self, configuration: ReplicaDigest) {
        self.has_urgent_update |= self.own.configuration != configuration;
        self.own.configuration = configuration;
    }

    /// Sets the spare capacity of this host's failure domain, which a delegate sends to the other domains.
    pub fn set_spare_capacity(&mut self, spare: &[ModelCapacity]) {
        self.spare = spare.iter().take(MAX_MODELS).cloned().collect();
    }

    /// Names of the serving hosts of this host's failure domain, sorted; includes this host unless it is leaving.
    pub fn live_hosts(&self) -> Vec<&str> {
        let mut hosts: Vec<&str> = self.table.serving().map(|r| r.host.as_str()).collect();
        if self.own.phase == Phase::Serving {
            hosts.push(&self.own.host);
            hosts.sort_unstable();
        }
        hosts
    }

    /// The other members of this host's failure domain, including dead ones, each with the time at which its newest
    /// heartbeat was received.
    pub fn neighbours(&self) -> impl Iterator<Item = (&MemberRecord, UnixMs)> {
        self.table.iter().map(|entry| (&entry.record, entry.last_heartbeat_at))
    }

    /// Names of the other failure domains whose summaries are up to date.
    pub fn reachable_domains(&self, now: UnixMs) -> Vec<&str> {
        self.domains.names().filter(|name| self.domains.is_reachable(name, now)).collect()
    }

    /// Newest capacity and configuration of another failure domain.
    pub fn domain_capacity(&self, failure_domain: &str) -> Option<&CapacitySummary> {
        self.domains.capacity(failure_domain)
    }

    /// Names and addresses of the hosts of a failure domain, sorted by name; for this host's domain, its serving hosts.
    pub fn hosts_of_domain(&self, failure_domain: &str) -> Vec<(&str, SocketAddr)> {
        if failure_domain != self.settings.failure_domain {
            return self.domains.hosts(failure_domain).collect();
        }
        let own = (self.own.host.as_str(), self.own.address);
        let others = self.table.serving().map(|record| (record.host.as_str(), record.address));
        let mut hosts: Vec<(&str, SocketAddr)> =
            others.chain((self.own.phase == Phase::Serving).then_some(own)).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Newest load reading of a server.
    pub fn reading(&self, server: &str) -> Option<&Reading> {
        self.readings.get(&server.to_string())
    }

    /// Name of this host's failure domain.
    pub fn failure_domain(&self) -> &str {
        &self.settings.failure_domain
    }

    /// State of this host, as sent to the others.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    fn is_gossip_due(&self, now: UnixMs) -> bool {
        let urgent_at = self.last_gossip_at.plus_ms(URGENT_INTERVAL_MS);
        self.next_gossip_at.is_past(now) || self.has_urgent_update && urgent_at.is_past(now)
    }

    pub(super) fn schedule_gossip(&mut self, now: UnixMs) {
        let jitter_ms = self.rng.random_range(0..=2 * GOSSIP_JITTER_MS);
        self.last_gossip_at = now;
        self.next_gossip_at = now.plus_ms(GOSSIP_INTERVAL_MS - GOSSIP_JITTER_MS + jitter_ms);
    }

    /// Number of times an update is sent: grows with the logarithm of the number of hosts.
    pub(super) fn max_sends(&self) -> u32 {
        let hosts = self.table.active().count() + 2;
        3 + hosts.ilog2()
    }

    pub(super) fn emit_hosts_changed(&mut self, actions: &mut Vec<MemberAction>) {
        self.has_urgent_update = true;
        actions.push(MemberAction::Emit(MemberEvent::HostsChanged));
    }

    pub(super) fn entry_mut(&mut self, host: &str) -> Option<&mut MemberEntry> {
        self.table.get_mut(host)
    }
}
