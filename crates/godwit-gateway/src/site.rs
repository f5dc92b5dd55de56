//! The state of a host, shared by all tasks on the thread of the event loop.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use godwit_adapter::{DecodedConfiguration, PlatformSettings};
use godwit_core::SteadyMs;
use godwit_core::quarantine::CrashRegister;
use godwit_core::replica::{
    Confirmations, ObjectReplica, ReaderLimits, ReaderSelection, StoredObject,
};
use godwit_core::site::{
    CallerLimits, Configuration, DetourHosts, FailingServers, Findings, FreshnessTracker,
    HealthLimits, HedgeLimit, HoldOffs, HostCensus, LoadTable, PeerHost, RegistryLimits, Relay,
    RelayLimits, RetryBudget, RetryLimits, ReturnTimes, ServerHealth, ServerLimits, ServerLinks,
    ServerRegistry, UsualPace,
};
use tokio::sync::{Notify, OnceCell, watch};
use tracing::{error, info, warn};

use crate::clock::Clock;
use crate::detour::IdleChannel;
use crate::forward::{Hedging, Runs, ServerCheck, Waiters, log_status_changes};
use crate::memory::Memory;
use crate::pool::ConnectionPool;
use crate::replica::ObjectKind;
use crate::room_terms::Order;
use crate::store::{KnownEra, MAX_NAMES, PendingWatches, bounded_text};

/// Time for which a missing server entry is kept after a store outage, in milliseconds. Servers are listed
/// again within about two seconds.
const LAPSE_GRACE_MS: u64 = 2_000;

/// Divisor of a host's memory for the content of requests and responses. Half of the memory has room for it and for the buffers of
/// connections.
const CONTENT_MEMORY_DIVISOR: u64 = 5;

/// Shortest store outage in which the entry of a server can expire, in heartbeat intervals: an entry expires after three, the
/// first of which may have passed when the outage began.
const MIN_OUTAGE_HEARTBEATS: u64 = 2;

/// Age at which a load report of another host expires, in milliseconds.
const PEER_EXPIRY_MS: u64 = 1_500;

/// Time without an answer after which another host is skipped as a recipient of load reports, in milliseconds.
const PEER_SILENCE_MS: u64 = 700;

/// Time for which an unresponsive host is skipped, in milliseconds.
const PEER_SKIP_MS: u64 = 4_000;

/// Ejection time of a server after its first failure, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_500;

/// Longest ejection time of a server, in milliseconds.
const MAX_EJECTION_MS: u64 = 6_000;

/// Returns the id of the server that an incarnation is named after; see [`Site::incarnation`].
pub(crate) fn server_id_of(incarnation: &str) -> &str {
    incarnation.rsplit_once('/').map_or(incarnation, |(id, _)| id)
}

/// Logs and counts the entries of a configuration that cannot be read.
fn log_unreadable_entries(decoded: &DecodedConfiguration) {
    let (version, entries) = (decoded.configuration.version(), decoded.configuration.unreadable());
    metrics::gauge!("configuration_entries_unreadable").set(entries.len() as f64);
    if let Some(cause) = &decoded.cause {
        let names: Vec<String> = entries.iter().take(MAX_NAMES).map(bounded_text).collect();
        let (count, cause) = (entries.len(), bounded_text(cause));
        error!(event = "configuration_entries_unreadable", version, count, ?names, cause);
    }
}

/// Logs the entries of a configuration whose urgency is an odd one.
fn log_odd_urgencies(decoded: &DecodedConfiguration) {
    let odd = &decoded.odd_urgencies;
    if !odd.is_empty() {
        let names: Vec<String> = odd.iter().take(MAX_NAMES).map(bounded_text).collect();
        let version = decoded.configuration.version();
        warn!(event = "configuration_odd_urgencies", version, count = odd.len(), ?names);
    }
}

/// State of a host.
pub(crate) struct Site {
    pub(crate) settings: PlatformSettings,
    pub(crate) clock: Clock,
    /// Memory for the content of requests and responses.
    pub(crate) memory: Memory,
    started_at: SteadyMs,
    pub(crate) registry: RefCell<ServerRegistry>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) order: Order,
    pub(crate) relay: RefCell<Relay>,
    pub(crate) health: RefCell<ServerHealth>,
    pub(crate) failing: RefCell<FailingServers>,
    /// Usual times to answer of plain services.
    pub(crate) usual_pace: RefCell<UsualPace>,
    pub(crate) findings: RefCell<Findings>,
    pub(crate) store_era: Rc<KnownEra>,
    /// This host's copies of the objects in the store, whose versions are ordinals of store positions.
    pub(crate) replicas: RefCell<BTreeMap<ObjectKind, ObjectReplica>>,
    /// Records of hosts that an older copy of the store lacks, each with the time until which it is kept.
    pub(crate) unlisted_hosts: RefCell<BTreeMap<String, (StoredObject, SteadyMs)>>,
    /// Notified when a copy has changed.
    pub(crate) replicas_changed: watch::Sender<()>,
    /// As of when the store has confirmed these copies.
    pub(crate) confirmations: RefCell<Confirmations<ObjectKind>>,
    /// Notified when a confirmation may be due earlier.
    pub(crate) confirmations_changed: watch::Sender<()>,
    pub(crate) pending_watches: PendingWatches,
    /// Revisions of objects that this host and other hosts have seen.
    pub(crate) freshness: RefCell<BTreeMap<ObjectKind, FreshnessTracker>>,
    pub(crate) readers: RefCell<ReaderSelection>,
    /// Whether this host reads the store.
    pub(crate) reads_store: watch::Sender<bool>,
    /// Whether this host is connected to one that it follows, or about to be.
    pub(crate) is_following: Cell<bool>,
    /// Number of hosts that follow this one.
    pub(crate) followers: Cell<usize>,
    /// Notified when this host may have to read the store or follow another host.
    pub(crate) reading_changed: Notify,
    /// Notified when the list of hosts has been received.
    pub(crate) hosts_listed: Notify,
    pub(crate) runs: Runs,
    pub(crate) crashes: RefCell<CrashRegister>,
    /// Notified when a request has lost servers repeatedly, which this host then stores.
    pub(crate) repeated_losses: Notify,
    /// Checks under way of servers that may have ended, by incarnation.
    pub(crate) server_checks: RefCell<BTreeMap<String, Rc<OnceCell<ServerCheck>>>>,
    /// Limits that servers name.
    pub(crate) limits: RefCell<ServerLimits>,
    /// Servers that want no requests for a time.
    pub(crate) hold_offs: RefCell<HoldOffs>,
    pub(crate) host_census: RefCell<HostCensus>,
    /// Notified when a request wants a permit to send to a server that names a limit.
    pub(crate) permits_wanted: Notify,
    /// Servers whose limit could not be read, which is logged once, by incarnation.
    pub(crate) unreadable_limits: RefCell<BTreeSet<String>>,
    /// Newest revision for which objects that cannot be read were logged, by kind.
    pub(crate) unreadable_objects: RefCell<BTreeMap<ObjectKind, u64>>,
    pub(crate) pool: RefCell<ConnectionPool>,
    /// This host's links to the servers.
    pub(crate) links: RefCell<ServerLinks>,
    /// Servers that were added while all links were lost and have not been tried.
    pub(crate) added_servers: RefCell<Vec<String>>,
    /// Notified when a server is to be tried although all links are lost.
    pub(crate) probe_wanted: Notify,
    /// Time of the last check of a link because a server was silent.
    pub(crate) link_checked_at: Cell<SteadyMs>,
    /// Hosts through which servers can be reached.
    pub(crate) detour_hosts: RefCell<DetourHosts>,
    pub(crate) idle_channels: RefCell<Vec<IdleChannel>>,
    /// Number of connections to servers that other hosts use.
    pub(crate) detours_served: Cell<usize>,
    pub(crate) hedging: Hedging,
    pub(crate) is_stopping: Cell<bool>,
    pub(crate) requests_in_progress: Cell<usize>,
    /// Requests that wait for room.
    pub(crate) waiters: Waiters,
    /// Notified when servers may have room again.
    pub(crate) room_changed: Notify,
    pub(crate) return_times: RefCell<ReturnTimes>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// Whether the newest configuration in the store cannot be read, so that an older one is in force.
    is_newest_configuration_unreadable: Cell<bool>,
    budgets: RefCell<BTreeMap<String, RetryBudget>>,
}

impl Site {
    pub(crate) fn new(
        settings: PlatformSettings,
        clock: Clock,
        quarantine_ms: u64,
        hedge_limit: HedgeLimit,
    ) -> Site {
        let health =
            HealthLimits { first_ejection_ms: FIRST_EJECTION_MS, max_ejection_ms: MAX_EJECTION_MS };
        let min_outage_ms = MIN_OUTAGE_HEARTBEATS * settings.server_heartbeat_ms;
        let content_bytes = settings.memory_bytes / CONTENT_MEMORY_DIVISOR;
        let relay = RelayLimits { silence_timeout_ms: PEER_SILENCE_MS, skip_ms: PEER_SKIP_MS };
        Site {
            limits: RefCell::new(ServerLimits::new(&settings.host, clock.now())),
            host_census: RefCell::new(HostCensus::new(clock.now())),
            permits_wanted: Notify::new(),
            unreadable_limits: RefCell::default(),
            unreadable_objects: RefCell::default(),
            relay: RefCell::new(Relay::new(
                &settings.host,
                &settings.failure_domain,
                settings.link_mbps,
                relay,
            )),
            readers: RefCell::new(ReaderSelection::new(
                &settings.host,
                &settings.failure_domain,
                settings.link_mbps,
                ReaderLimits::DEFAULT,
            )),
            memory: Memory::new(content_bytes),
            settings,
            clock,
            started_at: clock.now(),
            registry: RefCell::new(ServerRegistry::new(RegistryLimits {
                lapse_grace_ms: LAPSE_GRACE_MS,
                min_outage_ms,
            })),
            loads: RefCell::new(LoadTable::new(PEER_EXPIRY_MS)),
            order: Order::new(),
            health: RefCell::new(ServerHealth::new(health)),
            failing: RefCell::default(),
            usual_pace: RefCell::default(),
            findings: RefCell::new(Findings::new()),
            store_era: Rc::new(KnownEra::new()),
            replicas: RefCell::default(),
            unlisted_hosts: RefCell::default(),
            replicas_changed: watch::Sender::new(()),
            confirmations: RefCell::default(),
            confirmations_changed: watch::Sender::new(()),
            pending_watches: PendingWatches::default(),
            freshness: RefCell::default(),
            reads_store: watch::Sender::new(false),
            is_following: Cell::new(false),
            followers: Cell::new(0),
            reading_changed: Notify::new(),
            hosts_listed: Notify::new(),
            hold_offs: RefCell::default(),
            runs: Runs::default(),
            crashes: RefCell::new(CrashRegister::new(quarantine_ms)),
            repeated_losses: Notify::new(),
            server_checks: RefCell::new(BTreeMap::new()),
            pool: RefCell::new(ConnectionPool::new()),
            links: RefCell::default(),
            added_servers: RefCell::default(),
            probe_wanted: Notify::new(),
            link_checked_at: Cell::default(),
            detour_hosts: RefCell::default(),
            idle_channels: RefCell::default(),
            detours_served: Cell::new(0),
            hedging: Hedging::new(hedge_limit),
            is_stopping: Cell::new(false),
            requests_in_progress: Cell::new(0),
            waiters: Waiters::new(content_bytes),
            room_changed: Notify::new(),
            return_times: RefCell::default(),
            configuration: RefCell::new(None),
            is_newest_configuration_unreadable: Cell::new(false),
            budgets: RefCell::new(BTreeMap::new()),
        }
    }

    pub(crate) fn now(&self) -> SteadyMs {
        self.clock.now()
    }

    /// Returns the active configuration; none until the first one has been read from the store.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns the limits on the requests of callers.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let configuration = self.configuration.borrow();
        configuration.as_ref().map_or(CallerLimits::DEFAULT, |active| active.limits())
    }

    /// Activates a configuration if its version is newer than the current one.
    pub(crate) fn set_configuration(&self, decoded: DecodedConfiguration) {
        self.is_newest_configuration_unreadable.set(false);
        let mut current = self.configuration.borrow_mut();
        let version = decoded.configuration.version();
        let old_version = current.as_ref().map(|known| known.version());
        let is_newer = old_version.is_none_or(|old| version > old);
        info!(event = "configuration", version, ?old_version, in_force = is_newer);
        if is_newer {
            log_unreadable_entries(&decoded);
            log_odd_urgencies(&decoded);
            *current = Some(Rc::new(decoded.configuration.following(current.as_deref())));
        }
    }

    /// Records that the newest configuration in the store cannot be read at all.
    pub(crate) fn record_unreadable_configuration(&self) {
        self.is_newest_configuration_unreadable.set(true);
    }

    /// Whether the newest configuration in the store cannot be read at all, so that an older one is in force.
    pub(crate) fn is_newest_configuration_unreadable(&self) -> bool {
        self.is_newest_configuration_unreadable.get()
    }

    /// Whether the host can serve callers: it is not stopping, has a configuration, and at least one server is
    /// registered.
    pub(crate) fn is_ready(&self) -> bool {
        let has_servers = self.registry.borrow().servers().next().is_some();
        !self.is_stopping.get() && has_servers && self.configuration.borrow().is_some()
    }

    /// Replaces the list of hosts.
    pub(crate) fn set_peers(&self, hosts: Vec<PeerHost>) {
        let mut relay = self.relay.borrow_mut();
        relay.set_hosts(hosts);
        metrics::gauge!("hosts_known").set(relay.host_count().unwrap_or(0) as f64);
    }

    /// Drops expired loads, idle connections, server entries and losses.
    pub(crate) fn expire(&self, now: SteadyMs) {
        self.crashes.borrow_mut().expire(now);
        log_status_changes(self, now);
        metrics::gauge!("servers_slow").set(self.findings.borrow().slow_count(now) as f64);
        self.loads.borrow_mut().expire(now);
        self.order.expire(now);
        self.pool.borrow_mut().expire(now);
        self.hold_offs.borrow_mut().expire(now);
        self.links.borrow_mut().expire(now);
        let expired = self.registry.borrow_mut().expire(now);
        expired.iter().for_each(|id| self.record_server_removal(id));
        self.expire_unlisted_hosts(now);
        self.return_times.borrow_mut().expire(now);
        if let Some(configuration) = self.configuration() {
            self.waiters.retain(|service| configuration.service(service).is_some());
            self.hedging.retain(|service| configuration.service(service).is_some());
            let mut failing = self.failing.borrow_mut();
            failing.retain_services(|service| configuration.service(service).is_some());
        }
        self.budgets.borrow_mut().retain(|_, budget| !budget.is_unused(now));
        self.findings.borrow_mut().expire(now);
        self.forget_unlisted_servers();
        self.expire_limits(now);
    }

    /// Drops what is known of servers that are not listed, once it is known of more servers than are listed.
    fn forget_unlisted_servers(&self) {
        let registry = self.registry.borrow();
        let is_listed = |server_id: &str| registry.get(server_id).is_some();
        let listed = registry.servers().count();
        let mut health = self.health.borrow_mut();
        if health.server_count() > listed {
            health.retain(is_listed);
        }
        let mut findings = self.findings.borrow_mut();
        if findings.server_count() > listed {
            findings.retain(is_listed);
        }
    }

    fn with_budget<T>(&self, service: &str, operation: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let limits = RetryLimits {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window_ms: bounds.retry_window_ms,
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_string());
        operation(budget.or_insert_with(|| {
            if self.settings.is_first_start {
                RetryBudget::new(limits)
            } else {
                RetryBudget::after_restart(limits, self.started_at)
            }
        }))
    }

    /// Records the first send of a request in the retry budget of a service.
    pub(crate) fn record_first_send(&self, service: &str) {
        self.with_budget(service, |budget| budget.record_first_send(self.now()));
    }

    /// Takes one retry from the budget of a service. Returns false if the budget is spent.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        let hosts = self.relay.borrow().host_count();
        self.with_budget(service, |budget| budget.try_retry(hosts, self.now()))
    }

    /// Takes a copy of a slow request from the retry budget of a service. Returns false if the rest is kept for requests
    /// that have failed.
    pub(crate) fn try_hedge(&self, service: &str) -> bool {
        let hosts = self.relay.borrow().host_count();
        self.with_budget(service, |budget| budget.try_hedge(hosts, self.now()))
    }

    /// Whether the budget of a service has room for a retry.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let hosts = self.relay.borrow().host_count();
        self.with_budget(service, |budget| budget.has_room(hosts, self.now()))
    }

    /// Returns the name of the incarnation of a server that is listed, or was last.
    pub(crate) fn incarnation(&self, server_id: &str) -> String {
        let born_unix_ms = self.registry.borrow().born_unix_ms(server_id).unwrap_or(0);
        format!("{server_id}/{born_unix_ms}")
    }

    /// Records that a server failed a request, which ejects it for a time, and closes its idle connections.
    pub(crate) fn record_server_failure(&self, server_id: &str, cause: &str) {
        let now = self.now();
        metrics::counter!("server_failures_total").increment(1);
        let until = self.health.borrow_mut().record_failure(server_id, now);
        self.eject_server(server_id, cause, until.since_ms(now));
    }

    /// Records that a request sent at `sent_at` got no answer in its time. Counts as a failure of the server unless the
    /// request may be the reason.
    pub(crate) fn record_server_timeout(&self, server_id: &str, sent_at: SteadyMs, cause: &str) {
        let now = self.now();
        let until = self.health.borrow_mut().record_timeout(server_id, sent_at, now);
        match until {
            Some(until) => {
                metrics::counter!("server_failures_total").increment(1);
                self.eject_server(server_id, cause, until.since_ms(now));
            }
            None => {
                info!(
                    event = "server_timeout",
                    server = server_id,
                    given_ms = now.since_ms(sent_at)
                );
                metrics::counter!("server_timeouts_excused_total").increment(1);
            }
        }
    }

    /// Returns the servers that this host leaves out because they failed requests, are silent or have no room.
    pub(crate) fn ejected_servers(&self, now: SteadyMs) -> BTreeSet<String> {
        let mut ejected = self.health.borrow().ejected(now);
        ejected.extend(self.failing.borrow().ejected(now).map(str::to_string));
        ejected
    }

    /// Logs that a server is left out for a time, and closes its idle connections.
    pub(crate) fn eject_server(&self, server_id: &str, cause: &str, out_ms: u64) {
        self.pool.borrow_mut().forget(server_id);
        info!(event = "server_failed", server = server_id, cause, out_ms);
        metrics::counter!("servers_ejected_total").increment(1);
    }

    /// Drops the health, findings and idle connections of a server whose incarnation has ended.
    pub(crate) fn forget_server(&self, server_id: &str) {
        self.health.borrow_mut().forget(server_id);
        self.failing.borrow_mut().forget(server_id);
        self.findings.borrow_mut().forget(server_id);
        self.pool.borrow_mut().forget(server_id);
    }

    /// Records that a server was removed from the registry.
    pub(crate) fn record_server_removal(&self, server_id: &str) {
        self.forget_server(server_id);
        info!(event = "server_gone", server = server_id);
    }
}
