//! Start and end of an entry host.

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

use super::adapters::{Peers, PlatformSource};
use super::error::{NodeError, part};
use super::news::News;
use super::view::View;
use crate::clock::Clock;
use crate::configuration::{Configuration, ConfigurationSettings};
use crate::dispatch::{CrashGuard, DispatchSettings};
use crate::ledger::{Ledger, LedgerSettings};
use crate::membership::{Membership, MembershipSettings};
use crate::orders::{OrderedFleet, Orders, OrdersStartSettings};
use crate::placement::{Placement, PlacementSettings};
use crate::polling::Poller;
use crate::serve::{Pipeline, PipelineParts};
use crate::settings::{PolicyName, Settings};
use crate::stop::Stop;

/// Tries to find a port that is free for TCP and UDP.
const FREE_PORT_TRIES: u32 = 16;

/// Step in which a stopping host looks whether it is idle.
const IDLE_CHECK: Duration = Duration::from_millis(20);

/// Answers that are not recorded after this long are given up at a shutdown.
const FLUSH_MS: u64 = 5_000;

/// Longest time of a call of the platform.
const PLATFORM_CALL_TIMEOUT_MS: u64 = 1_000;

/// Seconds of unused calls of the platform that are saved up.
const PLATFORM_BURST_S: u32 = 2;

/// The parts of a running host that its threads share.
pub(super) struct Parts {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) platform: Platform,
    pub(super) membership: Arc<Membership>,
    pub(super) configuration: Arc<Configuration>,
    pub(super) placement: Arc<Placement>,
    pub(super) ledger: Ledger,
    pub(super) orders: Orders,
    pub(super) crashes: Arc<CrashGuard>,
    pub(super) poller: Poller,
    pub(super) pipeline: Arc<Pipeline>,
    pub(super) standings: Mutex<ServerAvailability>,
    pub(super) stop: Stop,
}

/// A running entry host; dropping it stops it at once.
pub struct Node {
    parts: Arc<Parts>,
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

/// The two sockets of the peer protocol share one port, calls by TCP and heartbeats by UDP.
struct PeerPort {
    listener: TcpListener,
    membership: Arc<Membership>,
}

impl PeerPort {
    fn open(settings: &Settings, clock: &Arc<dyn Clock>) -> Result<PeerPort, NodeError> {
        let tries = if settings.peer_address.port() == 0 { FREE_PORT_TRIES } else { 1 };
        let mut opened = PeerPort::try_open(settings, clock);
        for _ in 1..tries {
            if opened.is_ok() {
                break;
            }
            opened = PeerPort::try_open(settings, clock);
        }
        opened.map_err(part("the peer protocol"))
    }

    fn try_open(settings: &Settings, clock: &Arc<dyn Clock>) -> io::Result<PeerPort> {
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
    let fleet = move || OrderedFleet::of(configuration.view().fleet(), &failure_domain);
    Orders::start(&start, platform, clock.clone(), Arc::new(fleet))
}

impl Parts {
    fn start(
        settings: &Settings,
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        hints: Sender<Hint>,
    ) -> Result<Parts, NodeError> {
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
        let configuration = Arc::new(configuration.map_err(part("configuration"))?);
        let ledger_settings =
            LedgerSettings { host: settings.host.clone(), limits: Default::default() };
        let ledger = Ledger::start(ledger_settings, &platform, peers, clock.clone());
        let ledger = ledger.map_err(part("ledger"))?;
        let orders = start_orders(settings, &platform, &membership, &configuration, &clock);
        let orders = orders.map_err(part("orders"))?;
        let placement_settings = PlacementSettings {
            failure_domain: settings.failure_domain.clone(),
            policy: policy(settings.policy),
            seed: membership.incarnation(),
        };
        let placement = Placement::new(&placement_settings, clock.clone());
        placement.set_hint_sender(hints.clone());
        let crashes = Arc::new(CrashGuard::new(hints));
        let cache_placement = placement.clone();
        let poller =
            Poller::start(&settings.host, membership.clone(), clock.clone(), move |news| {
                cache_placement.observe_cache_events(&news.server, &news.reply.events);
            });
        let pipeline = Arc::new(Pipeline::new(PipelineParts {
            host: settings.host.clone(),
            configuration: configuration.clone(),
            placement: placement.clone(),
            ledger: ledger.clone(),
            crash_guard: crashes.clone(),
            clock: clock.clone(),
            dispatch_settings: DispatchSettings {
                silent_after_ms: settings.silent_after_ms,
                ..DispatchSettings::default()
            },
        }));
        Ok(Parts {
            settings: settings.clone(),
            clock,
            platform,
            membership,
            configuration,
            placement,
            ledger,
            orders,
            crashes,
            poller: poller.map_err(part("polling"))?,
            pipeline,
            standings: Mutex::new(ServerAvailability::default()),
            stop: Stop::new(),
        })
    }
}

impl Node {
    /// Starts all parts of a host.
    ///
    /// # Errors
    /// When the settings are wrong, or an address cannot be listened on.
    pub fn start(settings: &Settings, clock: Arc<dyn Clock>) -> Result<Node, NodeError> {
        settings.check()?;
        let metrics = crate::telemetry::metrics_handle();
        let (hints, own_hints) = flume::unbounded();
        let PeerPort { listener, membership } = PeerPort::open(settings, &clock)?;
        let parts = Arc::new(Parts::start(settings, clock, membership, hints)?);
        let key = PeerKey::new(settings.peer_key.as_bytes());
        let peer_handlers = handlers(&parts.configuration, &parts.ledger);
        let peer = PeerServer::start_on(listener, key, peer_handlers);
        let peer = peer.map_err(part("the peer protocol"))?;
        let caller_settings = caller_settings(settings, parts.membership.incarnation());
        let caller = Arc::new(CallerServer::start(caller_settings, parts.pipeline.clone())?);
        let view = View { parts: parts.clone(), caller: caller.clone(), metrics };
        let operator = OperatorServer::start(settings.operator_address, Arc::new(view))?;
        let mut node = Node { parts, caller, operator, _peer: peer, threads: Vec::new() };
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
        let (changed, changes) = flume::bounded(1);
        self.parts.configuration.on_change(move |_| {
            let _ = changed.try_send(());
        });
        let news = News { parts: self.parts.clone(), changes, own_hints };
        self.spawn("news", move |_| news.run())?;
        self.spawn("host-list", Parts::host_list_loop)?;
        self.spawn("upkeep", Parts::upkeep_loop)
    }

    fn spawn(
        &mut self,
        name: &'static str,
        body: impl FnOnce(&Parts) + Send + 'static,
    ) -> Result<(), NodeError> {
        let parts = self.parts.clone();
        let builder = std::thread::Builder::new().name(name.to_string());
        let thread = builder.spawn(move || body(&parts)).map_err(part(name))?;
        self.threads.push(thread);
        Ok(())
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Address for other hosts.
    pub fn peer_address(&self) -> SocketAddr {
        self.parts.membership.address()
    }

    /// Whether requests are taken.
    pub fn is_ready(&self) -> bool {
        self.parts.pipeline.is_open() && !self.parts.pipeline.is_draining()
    }

    /// From now on takes no new requests, and tells the other hosts; requests in progress go on.
    pub fn drain(&self) {
        self.parts.pipeline.drain();
        self.parts.membership.leave();
        tracing::info!(event = "draining", host = %self.parts.settings.host);
    }

    /// Waits until no request is in progress and all answers are recorded.
    pub fn wait_until_idle(&self) {
        while self.caller.live_calls() > 0 {
            std::thread::sleep(IDLE_CHECK);
        }
        let deadline = self.parts.clock.now().plus_ms(FLUSH_MS);
        if !self.parts.ledger.flush(deadline) {
            tracing::warn!(event = "answers_not_recorded", host = %self.parts.settings.host);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Threads that wait in a call hold on to the membership; heartbeats must not go on meanwhile.
        self.parts.membership.halt();
        self.parts.stop.set();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
