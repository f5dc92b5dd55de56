//! What a host knows, shared by all its tasks on the one thread of the event loop.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use godwit_adapter::PlatformSettings;
use godwit_core::SteadyMs;
use godwit_core::site::{
    Configuration, Findings, FreshnessTracker, HealthLimits, LoadTable, PeerHost, RegistryLimits,
    Relay, RelayLimits, RetryBudget, RetryLimits, ServerHealth, ServerRegistry,
};
use tracing::info;

use crate::clock::Clock;
use crate::forward::Destination;
use crate::pool::ConnectionPool;

/// How long an entry may be missing after the store is back; servers return within about two seconds.
const LAPSE_GRACE_MS: u64 = 2_000;

/// Age at which another host's word on its load counts no more, in milliseconds.
const PEER_EXPIRY_MS: u64 = 1_500;

/// Silence after which another host that was written to is passed over, in milliseconds.
const PEER_SILENCE_MS: u64 = 700;

/// How long a silent host is passed over, in milliseconds.
const PEER_SKIP_MS: u64 = 4_000;

/// How long the first failure keeps a server out of choices, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_500;

/// Longest time that failures keep a server out of choices, in milliseconds.
const MAX_EJECTION_MS: u64 = 6_000;

/// The state of a host.
pub(crate) struct Site {
    pub(crate) settings: PlatformSettings,
    pub(crate) clock: Clock,
    pub(crate) registry: RefCell<ServerRegistry>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) relay: RefCell<Relay>,
    pub(crate) health: RefCell<ServerHealth>,
    pub(crate) findings: RefCell<Findings>,
    /// Versions of the configuration, here and at other hosts.
    pub(crate) configuration_freshness: RefCell<FreshnessTracker>,
    /// Revisions of the servers' entries, here and at other hosts.
    pub(crate) servers_freshness: RefCell<FreshnessTracker>,
    /// Paths of the requests in progress, by request.
    pub(crate) paths: RefCell<BTreeMap<String, Destination>>,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) is_stopping: Cell<bool>,
    pub(crate) requests_in_progress: Cell<usize>,
    pub(crate) requests_queued: Cell<usize>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    budgets: RefCell<BTreeMap<String, RetryBudget>>,
}

impl Site {
    pub(crate) fn new(settings: PlatformSettings, clock: Clock) -> Site {
        let health =
            HealthLimits { first_ejection_ms: FIRST_EJECTION_MS, max_ejection_ms: MAX_EJECTION_MS };
        let relay = RelayLimits { silence_timeout_ms: PEER_SILENCE_MS, skip_ms: PEER_SKIP_MS };
        Site {
            relay: RefCell::new(Relay::new(&settings.host, &settings.failure_domain, relay)),
            settings,
            clock,
            registry: RefCell::new(ServerRegistry::new(RegistryLimits {
                lapse_grace_ms: LAPSE_GRACE_MS,
            })),
            loads: RefCell::new(LoadTable::new(PEER_EXPIRY_MS)),
            health: RefCell::new(ServerHealth::new(health)),
            findings: RefCell::new(Findings::new()),
            configuration_freshness: RefCell::new(FreshnessTracker::new()),
            servers_freshness: RefCell::new(FreshnessTracker::new()),
            paths: RefCell::new(BTreeMap::new()),
            pool: RefCell::new(ConnectionPool::new()),
            is_stopping: Cell::new(false),
            requests_in_progress: Cell::new(0),
            requests_queued: Cell::new(0),
            configuration: RefCell::new(None),
            budgets: RefCell::new(BTreeMap::new()),
        }
    }

    pub(crate) fn now(&self) -> SteadyMs {
        self.clock.now()
    }

    /// The configuration in force, none until the store has told one.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Puts a version in force, unless a newer one is.
    pub(crate) fn set_configuration(&self, configuration: Configuration) {
        let mut current = self.configuration.borrow_mut();
        let version = configuration.version();
        self.configuration_freshness.borrow_mut().record_read(version);
        let old_version = current.as_ref().map(|known| known.version());
        let is_newer = old_version.is_none_or(|old| version > old);
        info!(event = "configuration", version, ?old_version, in_force = is_newer);
        if is_newer {
            *current = Some(Rc::new(configuration));
        }
    }

    /// Whether callers can be served.
    pub(crate) fn is_ready(&self) -> bool {
        let has_servers = self.registry.borrow().servers().next().is_some();
        !self.is_stopping.get() && has_servers && self.configuration.borrow().is_some()
    }

    /// Takes a new list of the other hosts.
    pub(crate) fn set_peers(&self, hosts: Vec<PeerHost>) {
        self.relay.borrow_mut().set_hosts(hosts);
    }

    /// Hosts that share the retry budget, this one included.
    pub(crate) fn host_count(&self) -> usize {
        self.relay.borrow().known_hosts() + 1
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&self, now: SteadyMs) {
        self.loads.borrow_mut().expire(now);
        self.pool.borrow_mut().expire(now);
        let gone = self.registry.borrow_mut().expire(now);
        gone.iter().for_each(|id| self.record_server_removal(id));
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let limits = RetryLimits {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window_ms: bounds.retry_window_ms,
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_string());
        act(budget.or_insert_with(|| RetryBudget::new(limits)))
    }

    /// Notes the first send of a request to a service.
    pub(crate) fn record_first_send(&self, service: &str) {
        self.with_budget(service, |budget| budget.record_first_send(self.now()));
    }

    /// Takes one retry from the budget of a service, if it has one.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        let hosts = self.host_count();
        self.with_budget(service, |budget| budget.try_retry(hosts, self.now()))
    }

    /// Whether the budget of a service has room for a retry.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let hosts = self.host_count();
        self.with_budget(service, |budget| budget.has_room(hosts, self.now()))
    }

    /// A server failed a request; it is left out of choices for a while.
    pub(crate) fn record_server_failure(&self, server_id: &str, cause: &str) {
        let now = self.now();
        let until = self.health.borrow_mut().record_failure(server_id, now);
        self.pool.borrow_mut().forget(server_id);
        let out_ms = until.since_ms(now);
        info!(event = "server_failed", server = server_id, cause, out_ms);
        metrics::counter!("server_failures_total").increment(1);
    }

    /// Forgets what was seen of a server, whose incarnation has ended.
    pub(crate) fn forget_server(&self, server_id: &str) {
        self.health.borrow_mut().forget(server_id);
        self.findings.borrow_mut().forget(server_id);
        self.pool.borrow_mut().forget(server_id);
    }

    /// A server is gone from the list.
    pub(crate) fn record_server_removal(&self, server_id: &str) {
        self.forget_server(server_id);
        info!(event = "server_gone", server = server_id);
    }
}
