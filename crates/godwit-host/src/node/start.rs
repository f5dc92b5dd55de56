//! Start and shutdown of an entry host.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use flume::{Receiver, Sender};
use godwit_caller::{CallerServer, CallerSettings, Limits};
use godwit_core::Hint;
use godwit_core::drain::ServerAvailability;
use godwit_core::route::Policy;
use godwit_core::store_budget::{CallClass, StoreBudgetLimits};
use godwit_operator::OperatorServer;
use godwit_peer::{Handlers, PeerClient, PeerKey, PeerServer, Topic};
use godwit_platform::{Platform, PlatformSettings};

use super::adapters::Peers;
use super::error::{NodeError, start_error};
use super::updates::UpdateDispatcher;
use super::view::OperatorView;
use crate::clock::Clock;
use crate::configuration::{Configuration, ConfigurationSettings, PlatformSource};
use crate::dispatch::{CrashGuard, DispatchSettings};
use crate::ledger::{Ledger, LedgerSettings};
use crate::membership::{Membership, MembershipSettings};
use crate::orders::{DomainFleet, Orders, OrdersStartSettings};
use crate::placement::{Placement, PlacementSettings};
use crate::polling::Poller;
use crate::serve::{Pipeline, PipelineParts};
use crate::settings::{PolicyName, Settings};
use crate::stop::StopSignal;

/// Attempts to find a port that is free for both TCP and UDP.
const FREE_PORT_ATTEMPTS: u32 = 16;

/// Interval at which a draining host checks whether requests are in progress.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait at a shutdown for answers to be recorded; those not recorded by then are dropped.
const FLUSH_TIMEOUT_MS: u64 = 5_000;

/// Timeout of a call to the platform.
const PLATFORM_CALL_TIMEOUT_MS: u64 = 1_000;

/// Burst size of the budget of platform calls: the unused calls of this many seconds accumulate.
const PLATFORM_BURST_S: u32 = 2;

/// The components of a running host, shared by its threads.
pub(super) struct Components {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) platform: Platform,
    pub(super) membership: Arc<Membership>,
    pub(super) configuration: Arc<Configuration>,
    pub(super) placement: Arc<Placement>,
    pub(super) ledger: Ledger,
    pub(super) orders: Orders,
    pub(super) crash_guard: Arc<CrashGuard>,
    pub(super) poller: Poller,
    pub(super) pipeline: Arc<Pipeline>,
    pub(super) server_availability: Mutex<ServerAvailability>,
    pub(super) stop: StopSignal,
}

/// A running entry host. Dropping it stops the host without waiting for requests in progress.
pub struct Node {
    components: Arc<Components>,
    caller: Arc<CallerServer>,
    operator: OperatorServer,
    _peer: PeerServer,
    threads: Vec<JoinHandle<()>>,
}

fn policy(name: PolicyName) -> Policy {
    match name {
        PolicyName::EarliestFinish => Policy::EarliestFinish,
        PolicyName::RoundRobin => Policy::RoundRobin,
        PolicyName::LeastLoad => Policy::LeastReportedLoad,
    }
}

fn platform(settings: &Settings) -> Platform {
    let budget = StoreBudgetLimits {
        reads_per_s: settings.platform_reads_per_s.ceil() as u32,
        writes_per_s: settings.platform_writes_per_s.ceil() as u32,
        burst_s: PLATFORM_BURST_S,
    };
    let platform = PlatformSettings { call_timeout_ms: PLATFORM_CALL_TIMEOUT_MS, budget };
    Platform::new(&settings.platform_address.to_string(), platform)
}

/// The two sockets of the peer protocol, on one port: TCP for calls, UDP for heartbeats.
struct PeerPort {
    listener: TcpListener,
    membership: Arc<Membership>,
}

impl PeerPort {
    fn open(settings: &Settings, clock: &Arc<dyn Clock>) -> Result<PeerPort, NodeError> {
        let attempts = if settings.peer_address.port() == 0 { FREE_PORT_ATTEMPTS } else { 1 };
        let mut opened = PeerPort::open_once(settings, clock);
        for _ in 1..attempts {
            if opened.is_ok() {
                break;
            }
            opened = PeerPort::open_once(settings, clock);
        }
        opened.map_err(start_error("the peer protocol"))
    }

    fn open_once(settings: &Settings, clock: &Arc<dyn Clock>) -> io::Result<PeerPort> {
        let listener = TcpListener::bind(settings.peer_address)?;
        let address = listener.local_addr()?;
        let membership = Membership::start(MembershipSettings {
            host: settings.host.clone(),
            failure_domain: settings.failure_domain.clone(),
            bind: address,
            advertised: address,
            key: PeerKey::new(settings.peer_key.as_bytes()),
            seeds: settings.seeds.clone(),
            clock: clock.clone(),
        })?;
        Ok(PeerPort { listener, membership: Arc::new(membership) })
    }
}

fn caller_settings(settings: &Settings, incarnation: u64) -> CallerSettings {
    CallerSettings {
        bind: settings.caller_address,
        limits: Limits {
            header_bytes: settings.max_header_bytes,
            body_bytes: settings.max_body_bytes,
            prompt_bytes: settings.max_prompt_bytes,
            concurrent_calls: settings.max_concurrent_calls,
        },
        id_prefix: format!("{}-{incarnation:x}", settings.host),
    }
}

fn handlers(configuration: &Arc<Configuration>, ledger: &Ledger) -> Handlers {
    let (configuration, ledger) = (configuration.clone(), ledger.clone());
    Handlers::default()
        .on(Topic::Configuration, move |request| configuration.answer(request))
        .on(Topic::Ledger, move |payload| ledger.handle_forwarded(payload))
}

fn start_orders(
    settings: &Settings,
    platform: &Platform,
    membership: &Membership,
    configuration: &Arc<Configuration>,
    clock: &Arc<dyn Clock>,
) -> io::Result<Orders> {
    let failure_domain = settings.failure_domain.clone();
    let incarnation = membership.incarnation();
    let start = OrdersStartSettings::new(&settings.host, incarnation, &failure_domain);
    let configuration = configuration.clone();
    let fleet = move || DomainFleet::of(configuration.view().fleet(), &failure_domain);
    Orders::start(&start, platform, clock.clone(), Arc::new(fleet))
}

impl Components {
    fn start(
        settings: &Settings,
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        hints: Sender<Hint>,
    ) -> Result<Components, NodeError> {
        let platform = platform(settings);
        let now = clock.clone();
        let client = PeerClient::new(PeerKey::new(settings.peer_key.as_bytes()), move || now.now());
        let peers = Arc::new(Peers {
            membership: membership.clone(),
            client,
            failure_domain: settings.failure_domain.clone(),
            clock: clock.clone(),
        });
        let configuration = Configuration::start(ConfigurationSettings {
            source: Arc::new(PlatformSource(platform.with_class(CallClass::Configuration))),
            neighbours: peers.clone(),
            clock: clock.clone(),
        });
        let configuration = Arc::new(configuration.map_err(start_error("configuration"))?);
        let ledger_settings =
            LedgerSettings { host: settings.host.clone(), limits: Default::default() };
        let ledger = Ledger::start(ledger_settings, &platform, peers, clock.clone());
        let ledger = ledger.map_err(start_error("ledger"))?;
        let orders = start_orders(settings, &platform, &membership, &configuration, &clock);
        let orders = orders.map_err(start_error("orders"))?;
        let placement_settings = PlacementSettings {
            failure_domain: settings.failure_domain.clone(),
            policy: policy(settings.policy),
            seed: membership.incarnation(),
        };
        let placement = Placement::new(&placement_settings, clock.clone());
        placement.set_hint_sender(hints.clone());
        let crash_guard = Arc::new(CrashGuard::new(hints));
        let cache_placement = placement.clone();
        let poller =
            Poller::start(&settings.host, membership.clone(), clock.clone(), move |update| {
                cache_placement.observe_cache_events(&update.server, &update.reply.events);
            });
        let pipeline = Arc::new(Pipeline::new(PipelineParts {
            host: settings.host.clone(),
            configuration: configuration.clone(),
            placement: placement.clone(),
            ledger: ledger.clone(),
            crash_guard: crash_guard.clone(),
            clock: clock.clone(),
            dispatch_settings: DispatchSettings {
                silent_after_ms: settings.silent_after_ms,
                ..DispatchSettings::default()
            },
        }));
        Ok(Components {
            settings: settings.clone(),
            clock,
            platform,
            membership,
            configuration,
            placement,
            ledger,
            orders,
            crash_guard,
            poller: poller.map_err(start_error("polling"))?,
            pipeline,
            server_availability: Mutex::new(ServerAvailability::default()),
            stop: StopSignal::new(),
        })
    }
}

impl Node {
    /// Starts all components of a host.
    ///
    /// # Errors
    /// When the settings are invalid, an address cannot be listened on, or a thread cannot be started.
    pub fn start(settings: &Settings, clock: Arc<dyn Clock>) -> Result<Node, NodeError> {
        settings.check()?;
        let metrics = crate::telemetry::metrics_handle();
        let (hints, own_hints) = flume::unbounded();
        let PeerPort { listener, membership } = PeerPort::open(settings, &clock)?;
        let components = Arc::new(Components::start(settings, clock, membership, hints)?);
        let key = PeerKey::new(settings.peer_key.as_bytes());
        let peer_handlers = handlers(&components.configuration, &components.ledger);
        let peer = PeerServer::start_on(listener, key, peer_handlers);
        let peer = peer.map_err(start_error("the peer protocol"))?;
        let caller_settings = caller_settings(settings, components.membership.incarnation());
        let caller = Arc::new(CallerServer::start(caller_settings, components.pipeline.clone())?);
        let view = OperatorView { components: components.clone(), caller: caller.clone(), metrics };
        let operator = OperatorServer::start(settings.operator_address, Arc::new(view))?;
        let mut node = Node { components, caller, operator, _peer: peer, threads: Vec::new() };
        node.start_threads(own_hints)?;
        tracing::info!(
            event = "started",
            host = %settings.host,
            failure_domain = %settings.failure_domain,
            caller_address = %node.caller_address(),
            operator_address = %node.operator_address(),
            peer_address = %node.peer_address()
        );
        Ok(node)
    }

    fn start_threads(&mut self, own_hints: Receiver<Hint>) -> Result<(), NodeError> {
        let (config_changed, config_changes) = flume::bounded(1);
        self.components.configuration.on_change(move |_| {
            let _ = config_changed.try_send(());
        });
        let updates =
            UpdateDispatcher { components: self.components.clone(), config_changes, own_hints };
        self.spawn("news", move |_| updates.run())?;
        self.spawn("host-list", Components::host_list_loop)?;
        self.spawn("upkeep", Components::maintenance_loop)
    }

    fn spawn(
        &mut self,
        name: &'static str,
        body: impl FnOnce(&Components) + Send + 'static,
    ) -> Result<(), NodeError> {
        let components = self.components.clone();
        let builder = std::thread::Builder::new().name(name.to_string());
        let thread = builder.spawn(move || body(&components)).map_err(start_error(name))?;
        self.threads.push(thread);
        Ok(())
    }

    /// Address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Address that operators connect to.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Address that other hosts connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.components.membership.address()
    }

    /// Whether the host accepts requests: it has a usable configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        self.components.pipeline.is_open() && !self.components.pipeline.is_draining()
    }

    /// Stops accepting requests and announces the shutdown to the other hosts; requests in progress continue.
    pub fn drain(&self) {
        self.components.pipeline.drain();
        self.caller.drain();
        self.components.membership.leave();
        tracing::info!(event = "draining", host = %self.components.settings.host);
    }

    /// Waits until no request that began before the drain is in progress, then waits a limited time for all answers to be
    /// recorded.
    pub fn wait_until_idle(&self) {
        while self.caller.calls_to_finish() > 0 {
            std::thread::sleep(IDLE_CHECK_INTERVAL);
        }
        let deadline = self.components.clock.now().plus_ms(FLUSH_TIMEOUT_MS);
        if !self.components.ledger.flush(deadline) {
            tracing::warn!(event = "answers_not_recorded", host = %self.components.settings.host);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Threads blocked in a call keep the membership alive, so stop its heartbeats explicitly.
        self.components.membership.halt();
        self.components.stop.set();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
