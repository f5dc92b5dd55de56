//! Settings and constants of membership.

use std::net::SocketAddr;

/// Time between two rounds of heartbeats.
pub(crate) const GOSSIP_INTERVAL_MS: u64 = 250;
/// Rounds are moved by up to this much, so that hosts do not fall into step.
pub(crate) const GOSSIP_JITTER_MS: u64 = 25;
/// Shortest time between two rounds when there is news.
pub(crate) const URGENT_INTERVAL_MS: u64 = 50;
/// Hosts that watch each host; each host sends them its heartbeats directly.
pub(crate) const WATCHERS_PER_HOST: usize = 2;
/// Random hosts that get each round beside the watchers.
pub(crate) const RANDOM_TARGETS: usize = 1;
/// A watched host that was silent for this long is asked for an answer.
pub(crate) const PROBE_AFTER_MS: u64 = 500;
/// A watched host that was silent for this long is suspected.
pub(crate) const SUSPECT_AFTER_MS: u64 = 850;
/// A suspected host has this long to show that it lives.
pub(crate) const DEAD_AFTER_MS: u64 = 600;
/// A host of which nobody tells anything newer for this long is suspected by every host.
pub(crate) const STALE_AFTER_MS: u64 = 10_000;
/// A host that did nothing itself for this long does not hold the silence of others against them.
pub(crate) const LOCAL_PAUSE_MS: u64 = 400;
/// Repeated false suspicions delay the next one, up to this multiple of the usual time.
pub(crate) const MAX_FALSE_SUSPICIONS: u32 = 3;
/// A false suspicion is forgotten after this long.
pub(crate) const FALSE_SUSPICION_RESET_MS: u64 = 30_000;
/// A dead host is remembered for this long.
pub(crate) const DEAD_RETENTION_MS: u64 = 600_000;
/// A host keeps telling of a dead host for this long.
pub(crate) const SEND_DEAD_FOR_MS: u64 = 30_000;
/// Time between two tries to reach a seed or a dead host.
pub(crate) const JOIN_INTERVAL_MS: u64 = 1_000;
/// Time between two summaries of a delegate.
pub(crate) const SUMMARY_INTERVAL_MS: u64 = 2_000;
/// Delegates of a failure domain.
pub(crate) const DELEGATES_PER_DOMAIN: usize = 2;
/// Members remembered.
pub(crate) const MAX_MEMBERS: usize = 1_024;
/// Addresses remembered for first contacts.
pub(crate) const MAX_CANDIDATES: usize = 1_024;
/// Readings remembered.
pub(crate) const MAX_READINGS: usize = 1_024;
/// Notices and hints remembered.
pub(crate) const MAX_NOTICES: usize = 512;
/// Facts of other domains remembered.
pub(crate) const MAX_SUMMARIES: usize = 1_024;
/// Readings older than this are not passed on.
pub(crate) const READING_MAX_AGE_MS: u64 = 10_000;
/// Notices older than this are not passed on.
pub(crate) const NOTICE_MAX_AGE_MS: u64 = 30_000;
/// Models in a summary.
pub(crate) const MAX_MODELS: usize = 24;

/// Length of the body of a usual heartbeat.
const DEFAULT_GOSSIP_BYTES: usize = 560;
/// Length of the longest body that fits a datagram.
pub(crate) const MAX_GOSSIP_BYTES: usize = 1_080;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address that the other hosts reach it at.
    pub address: SocketAddr,
    /// Start time of the host; must grow with each restart.
    pub incarnation: u64,
    /// Addresses of hosts of any failure domain to make first contact with.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random choices.
    pub random_seed: u64,
    /// Length of the body of a heartbeat.
    pub gossip_bytes: usize,
}

impl MemberSettings {
    /// Settings with defaults for all but the identity of the host.
    pub fn new(host: &str, failure_domain: &str, address: SocketAddr, incarnation: u64) -> Self {
        MemberSettings {
            host: host.to_string(),
            failure_domain: failure_domain.to_string(),
            address,
            incarnation,
            seeds: Vec::new(),
            random_seed: incarnation ^ crate::rendezvous::weight(failure_domain, host),
            gossip_bytes: DEFAULT_GOSSIP_BYTES,
        }
    }
}
