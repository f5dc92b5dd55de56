//! The threads of the orders coordinator.

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

use super::observe::{Observer, OrderedFleet};
use super::send::{Sending, send_all};
use super::store;
use crate::Clock;

/// Threads that send orders.
const SEND_THREADS: usize = 4;

/// Time between two ticks of the coordinator.
const TICK: Duration = Duration::from_millis(250);

/// Usual time between two looks at the engines.
const OBSERVE_MS: u64 = 2_000;

/// Settings of the orders coordinator.
#[derive(Clone, Debug)]
pub struct OrdersStartSettings {
    /// Name of this host.
    pub host: String,
    /// When this process started; another value is another incarnation.
    pub incarnation: u64,
    /// Failure domain whose engines are ordered.
    pub failure_domain: String,
    /// Delays.
    pub delays: OrdersSettings,
    /// Time between two looks at the engines.
    pub observe_ms: u64,
}

impl OrdersStartSettings {
    /// Settings with the usual delays.
    pub fn new(host: &str, incarnation: u64, failure_domain: &str) -> OrdersStartSettings {
        OrdersStartSettings {
            host: host.to_string(),
            incarnation,
            failure_domain: failure_domain.to_string(),
            delays: OrdersSettings::default(),
            observe_ms: OBSERVE_MS,
        }
    }
}

/// The orders coordinator of this host. Its threads end when it is dropped.
pub struct Orders {
    host: String,
    failure_domain: String,
    inputs: Sender<Input>,
    is_candidate: Arc<AtomicBool>,
    _observing: Sender<()>,
}

impl Orders {
    /// Starts the coordinator's threads. `fleet` gives the engines of this failure domain as configured now.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(
        settings: &OrdersStartSettings,
        platform: &Platform,
        clock: Arc<dyn Clock>,
        fleet: Arc<dyn Fn() -> OrderedFleet + Send + Sync>,
    ) -> io::Result<Orders> {
        let (inputs, inbox) = flume::unbounded();
        let (sendings, queue) = flume::unbounded();
        let is_candidate = Arc::new(AtomicBool::new(false));
        let call_timeout_ms = settings.delays.call_timeout_ms;
        for number in 0..SEND_THREADS {
            let (queue, inputs, clock) = (queue.clone(), inputs.downgrade(), clock.clone());
            let name = format!("orders-send-{number}");
            thread::Builder::new().name(name).spawn(move || {
                send_all(&queue, &inputs, call_timeout_ms, &clock);
            })?;
        }
        let id = format!("{}/{:x}", settings.host, settings.incarnation);
        let worker = Worker {
            coordinator: Coordinator::new(&id, settings.delays),
            object_name: orders_object_name(&settings.failure_domain),
            platform: platform.clone(),
            clock: clock.clone(),
            fleet: fleet.clone(),
            inbox,
            sendings,
        };
        thread::Builder::new().name("orders".to_string()).spawn(move || worker.run())?;
        let (observing, stopped) = flume::bounded(0);
        let observation = Observation {
            platform: platform.clone(),
            clock,
            fleet,
            inputs: inputs.downgrade(),
            is_candidate: is_candidate.clone(),
            stopped,
            interval: Duration::from_millis(settings.observe_ms),
        };
        thread::Builder::new()
            .name("orders-observe".to_string())
            .spawn(move || observation.run())?;
        Ok(Orders {
            host: settings.host.clone(),
            failure_domain: settings.failure_domain.clone(),
            inputs,
            is_candidate,
            _observing: observing,
        })
    }

    /// Sets the live hosts of this failure domain, one of which should coordinate.
    pub fn set_hosts<'a>(&self, hosts: impl IntoIterator<Item = &'a str>) {
        let owner = rendezvous::owner(&self.failure_domain, hosts);
        let is_candidate = owner == Some(self.host.as_str());
        self.is_candidate.store(is_candidate, Ordering::SeqCst);
        // The thread ends only after this value.
        let _ = self.inputs.send(Input::Candidate(is_candidate));
    }
}

struct Worker {
    coordinator: Coordinator,
    object_name: String,
    platform: Platform,
    clock: Arc<dyn Clock>,
    fleet: Arc<dyn Fn() -> OrderedFleet + Send + Sync>,
    inbox: Receiver<Input>,
    sendings: Sender<Sending>,
}

impl Worker {
    fn run(mut self) {
        loop {
            let input = match self.inbox.recv_timeout(TICK) {
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
            let answers: Vec<Input> =
                actions.into_iter().filter_map(|action| self.act(action)).collect();
            let now = self.clock.now();
            actions =
                answers.into_iter().flat_map(|answer| self.coordinator.step(answer, now)).collect();
        }
    }

    fn act(&self, action: Action) -> Option<Input> {
        match action {
            Action::Read => Some(store::read(&self.platform, &self.object_name)),
            Action::Write { if_version, value } => {
                Some(store::write(&self.platform, &self.object_name, if_version, &value))
            }
            Action::Send { server, order, send_before } => {
                let address = (self.fleet)().address(&server);
                // The sending threads end only after this one.
                let _ = self.sendings.send(Sending { server, address, order, send_before });
                None
            }
        }
    }
}

struct Observation {
    platform: Platform,
    clock: Arc<dyn Clock>,
    fleet: Arc<dyn Fn() -> OrderedFleet + Send + Sync>,
    inputs: flume::WeakSender<Input>,
    is_candidate: Arc<AtomicBool>,
    stopped: Receiver<()>,
    interval: Duration,
}

impl Observation {
    fn run(self) {
        let mut observer = Observer::default();
        while self.stopped.recv_timeout(self.interval) == Err(RecvTimeoutError::Timeout) {
            if !self.is_candidate.load(Ordering::SeqCst) {
                continue;
            }
            match observer.observe(&self.platform, &(self.fleet)(), self.clock.as_ref()) {
                Ok(snapshot) => {
                    let Some(inputs) = self.inputs.upgrade() else { return };
                    // The coordinator's thread ends only after the last sender.
                    let _ = inputs.send(Input::Snapshot(snapshot));
                }
                Err(error) => debug!(event = "orders_observe_failed", error = %error),
            }
        }
    }
}
