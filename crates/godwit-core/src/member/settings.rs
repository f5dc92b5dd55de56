//! Settings and limits of membership.

use std::net::SocketAddr;

/// Interval between two rounds of heartbeats.
pub(crate) const GOSSIP_INTERVAL_MS: u64 = 250;
/// Maximum jitter of a round in either direction, so that the hosts do not synchronize.
pub(crate) const GOSSIP_JITTER_MS: u64 = 25;
/// Minimum interval between two rounds when an urgent update is waiting.
pub(crate) const URGENT_INTERVAL_MS: u64 = 50;
/// Number of hosts that watch each host and receive its heartbeats directly.
pub(crate) const WATCHERS_PER_HOST: usize = 2;
/// Number of random hosts that receive each round in addition to the watchers.
pub(crate) const RANDOM_TARGETS: usize = 1;
/// Silence after which a watched host is probed.
pub(crate) const PROBE_AFTER_MS: u64 = 500;
/// Silence after which a watched host is suspected.
pub(crate) const SUSPECT_AFTER_MS: u64 = 850;
/// Time that a suspected host has to refute the suspicion before it is declared dead.
pub(crate) const DEAD_AFTER_MS: u64 = 600;
/// Time without a newer heartbeat, from any source, after which every host suspects a host.
pub(crate) const STALE_AFTER_MS: u64 = 10_000;
/// Gap between two ticks above which this process counts as paused, and the silence of others during the gap is
/// ignored.
pub(crate) const LOCAL_PAUSE_MS: u64 = 400;
/// Maximum count of recent false suspicions of a host. The count multiplies the time until the host is suspected again.
pub(crate) const MAX_FALSE_SUSPICIONS: u32 = 3;
/// Time after which the count of false suspicions is reset.
pub(crate) const FALSE_SUSPICION_RESET_MS: u64 = 30_000;
/// Time for which a dead host is kept in the table.
pub(crate) const DEAD_RETENTION_MS: u64 = 600_000;
/// Time for which a dead host is included in messages.
pub(crate) const SEND_DEAD_FOR_MS: u64 = 30_000;
/// Interval between two attempts to join seeds, listed hosts and dead hosts.
pub(crate) const JOIN_INTERVAL_MS: u64 = 1_000;
/// Interval between two summaries of a delegate.
pub(crate) const SUMMARY_INTERVAL_MS: u64 = 2_000;
/// Number of delegates of a failure domain.
pub(crate) const DELEGATES_PER_DOMAIN: usize = 2;
/// Maximum number of members in the table.
pub(crate) const MAX_MEMBERS: usize = 1_024;
/// Maximum number of candidate addresses kept.
pub(crate) const MAX_CANDIDATES: usize = 1_024;
/// Maximum number of load readings kept.
pub(crate) const MAX_READINGS: usize = 1_024;
/// Capacity of each of the stores of notices, of hints, and of hints for other failure domains.
pub(crate) const MAX_NOTICES: usize = 512;
/// Maximum number of domain summaries kept.
pub(crate) const MAX_SUMMARIES: usize = 1_024;
/// Age from which readings are not sent to other hosts.
pub(crate) const READING_MAX_AGE_MS: u64 = 10_000;
/// Age from which notices are not sent to other hosts.
pub(crate) const NOTICE_MAX_AGE_MS: u64 = 30_000;
/// Maximum number of models in a summary.
pub(crate) const MAX_MODELS: usize = 24;

/// Default size of the body of a heartbeat.
const DEFAULT_GOSSIP_BYTES: usize = 560;
/// Maximum size of a body that fits a datagram.
pub(crate) const MAX_GOSSIP_BYTES: usize = 1_080;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which the other hosts reach the host.
    pub address: SocketAddr,
    /// Start time of the host; must grow with each restart.
    pub incarnation: u64,
    /// Addresses of hosts, of any failure domain, to join.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub random_seed: u64,
    /// Size of the body of a heartbeat.
    pub gossip_bytes: usize,
}

impl MemberSettings {
    /// Settings with defaults for everything but the identity of the host.
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
