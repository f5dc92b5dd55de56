//! The threads that run the orders coordinator.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use godwit_core::orders::{Action, Coordinator, Input, OrdersSettings, orders_object_name};
use godwit_core::rendezvous;
use godwit_platform::Platform;
use metrics::gauge;
use tracing::debug;

use super::observe::{DomainFleet, Observer};
use super::send::{OutgoingOrder, send_orders};
use super::store;
use crate::Clock;

/// Number of threads that send orders.
const SEND_THREADS: usize = 4;

/// Longest time between two inputs of the coordinator: without another input it gets a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Default interval between two snapshots of the failure domain.
const DEFAULT_OBSERVE_INTERVAL_MS: u64 = 2_000;

/// Settings of the orders coordinator.
#[derive(Clone, Debug)]
pub struct OrdersStartSettings {
    /// Name of this host.
    pub host: String,
    /// Number that distinguishes this process from other processes of the same host: its start time.
    pub incarnation: u64,
    /// Failure domain whose engines receive orders.
    pub failure_domain: String,
    /// Delays and limits of the coordinator.
    pub delays: OrdersSettings,
    /// Interval between two snapshots of the failure domain, in milliseconds.
    pub observe_interval_ms: u64,
}

impl OrdersStartSettings {
    /// Creates settings with the default delays and limits.
    pub fn new(host: &str, incarnation: u64, failure_domain: &str) -> OrdersStartSettings {
        OrdersStartSettings {
            host: host.to_string(),
            incarnation,
            failure_domain: failure_domain.to_string(),
            delays: OrdersSettings::default(),
            observe_interval_ms: DEFAULT_OBSERVE_INTERVAL_MS,
        }
    }
}

/// The orders coordinator of this host. Its threads end when it is dropped.
pub struct Orders {
    host: String,
    failure_domain: String,
    inputs: Sender<Input>,
    is_candidate: Arc<AtomicBool>,
    _observer_stop: Sender<()>,
}

impl Orders {
    /// Starts the coordinator's threads. `fleet` returns the engines of this failure domain in the active configuration.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(
        settings: &OrdersStartSettings,
        platform: &Platform,
        clock: Arc<dyn Clock>,
        fleet: Arc<dyn Fn() -> DomainFleet + Send + Sync>,
    ) -> io::Result<Orders> {
        let (inputs, inbox) = flume::unbounded();
        let (outgoing_orders, queue) = flume::unbounded();
        let is_candidate = Arc::new(AtomicBool::new(false));
        let call_timeout_ms = settings.delays.call_timeout_ms;
        for number in 0..SEND_THREADS {
            let (queue, inputs, clock) = (queue.clone(), inputs.downgrade(), clock.clone());
            let name = format!("orders-send-{number}");
            thread::Builder::new().name(name).spawn(move || {
                send_orders(&queue, &inputs, call_timeout_ms, &clock);
            })?;
        }
        let id = format!("{}/{:x}", settings.host, settings.incarnation);
        let coordinator_thread = CoordinatorThread {
            coordinator: Coordinator::new(&id, settings.delays),
            object_name: orders_object_name(&settings.failure_domain),
            platform: platform.clone(),
            clock: clock.clone(),
            fleet: fleet.clone(),
            inbox,
            outgoing_orders,
        };
        thread::Builder::new()
            .name("orders".to_string())
            .spawn(move || coordinator_thread.run())?;
        let (observer_stop, stopped) = flume::bounded(0);
        let observer_thread = ObserverThread {
            platform: platform.clone(),
            clock,
            fleet,
            inputs: inputs.downgrade(),
            is_candidate: is_candidate.clone(),
            stopped,
            interval: Duration::from_millis(settings.observe_interval_ms),
        };
        thread::Builder::new()
            .name("orders-observe".to_string())
            .spawn(move || observer_thread.run())?;
        Ok(Orders {
            host: settings.host.clone(),
            failure_domain: settings.failure_domain.clone(),
            inputs,
            is_candidate,
            _observer_stop: observer_stop,
        })
    }

    /// Sets the live hosts of this failure domain. Rendezvous hashing picks one of them as the candidate for
    /// coordinator.
    pub fn set_hosts<'a>(&self, hosts: impl IntoIterator<Item = &'a str>) {
        let owner = rendezvous::owner(&self.failure_domain, hosts);
        let is_candidate = owner == Some(self.host.as_str());
        self.is_candidate.store(is_candidate, Ordering::SeqCst);
        // The send cannot fail: the coordinator's thread ends only after this value is dropped.
        let _ = self.inputs.send(Input::Candidate(is_candidate));
    }
}

struct CoordinatorThread {
    coordinator: Coordinator,
    object_name: String,
    platform: Platform,
    clock: Arc<dyn Clock>,
    fleet: Arc<dyn Fn() -> DomainFleet + Send + Sync>,
    inbox: Receiver<Input>,
    outgoing_orders: Sender<OutgoingOrder>,
}

impl CoordinatorThread {
    fn run(mut self) {
        loop {
            let input = match self.inbox.recv_timeout(TICK_INTERVAL) {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => Input::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.step(input);
            gauge!("godwit_orders_leading").set(f64::from(u8::from(self.coordinator.is_leading())));
        }
    }

    fn step(&mut self, input: Input) {
        let mut actions = self.coordinator.step(input, self.clock.now());
        while !actions.is_empty() {
            let results: Vec<Input> =
                actions.into_iter().filter_map(|action| self.perform(action)).collect();
            let now = self.clock.now();
            actions =
                results.into_iter().flat_map(|result| self.coordinator.step(result, now)).collect();
        }
    }

    fn perform(&self, action: Action) -> Option<Input> {
        match action {
            Action::Read => Some(store::read(&self.platform, &self.object_name)),
            Action::Write { if_version, value } => {
                Some(store::write(&self.platform, &self.object_name, if_version, &value))
            }
            Action::Send { server, order, send_before } => {
                let address = (self.fleet)().address(&server);
                // The send cannot fail: the sending threads end only after this thread.
                let _ = self.outgoing_orders.send(OutgoingOrder {
                    server,
                    address,
                    order,
                    send_before,
                });
                None
            }
        }
    }
}

struct ObserverThread {
    platform: Platform,
    clock: Arc<dyn Clock>,
    fleet: Arc<dyn Fn() -> DomainFleet + Send + Sync>,
    inputs: flume::WeakSender<Input>,
    is_candidate: Arc<AtomicBool>,
    stopped: Receiver<()>,
    interval: Duration,
}

impl ObserverThread {
    fn run(self) {
        let mut observer = Observer::default();
        while self.stopped.recv_timeout(self.interval) == Err(RecvTimeoutError::Timeout) {
            if !self.is_candidate.load(Ordering::SeqCst) {
                continue;
            }
            match observer.observe(&self.platform, &(self.fleet)(), self.clock.as_ref()) {
                Ok(snapshot) => {
                    let Some(inputs) = self.inputs.upgrade() else { return };
                    // The send cannot fail: the coordinator's thread ends only after the last sender is dropped.
                    let _ = inputs.send(Input::Snapshot(snapshot));
                }
                Err(error) => debug!(event = "orders_observe_failed", error = %error),
            }
        }
    }
}
