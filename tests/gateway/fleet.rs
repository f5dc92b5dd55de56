//! Fake servers that are replaced after they end, as an orchestrator does.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::server::{Behavior, FakeServer};
use crate::store::FakeStore;

/// Time between the end of a server and the start of the next one in its place.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(1_800);

/// Time between the end of a server and the removal of its entry: three heartbeat intervals of the settings.
pub(crate) const LAPSE_DELAY: Duration = Duration::from_millis(3_600);

/// Time between the end of the last server and the joint start of all of them, for [`Replacement::Together`]. Longer than
/// the contact window.
const JOINT_RESTART_DELAY: Duration = Duration::from_millis(3_200);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// When servers start in place of those that have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Replacement {
    /// Each by itself, [`RESTART_DELAY`] after its end.
    OneByOne,
    /// All that have ended at the same moment, [`JOINT_RESTART_DELAY`] after the last of these ends.
    Together,
}

/// Servers of one service, and the layers that each holds.
#[derive(Clone)]
pub(crate) struct FleetPlan {
    pub(crate) service: &'static str,
    pub(crate) layers: Vec<Option<(u32, u32)>>,
    pub(crate) behavior: Behavior,
    /// Whether another process goes on listening at the address of a server that has ended, whose entry is removed at
    /// once.
    pub(crate) keeps_listening: bool,
    pub(crate) replacement: Replacement,
}

impl FleetPlan {
    /// Returns a plan of servers that are replaced one by one, at addresses of their own.
    pub(crate) fn new(
        service: &'static str,
        layers: Vec<Option<(u32, u32)>>,
        behavior: Behavior,
    ) -> FleetPlan {
        let replacement = Replacement::OneByOne;
        FleetPlan { service, layers, behavior, keeps_listening: false, replacement }
    }
}

struct Member {
    server: FakeServer,
    layers: Option<(u32, u32)>,
    is_replaced: bool,
    is_removed: bool,
}

struct Fleet {
    plan: FleetPlan,
    store: FakeStore,
    members: Vec<Member>,
    /// Whether requests no longer end the servers.
    is_robust: bool,
}

impl Fleet {
    fn add(&mut self, layers: Option<(u32, u32)>) {
        let id = format!("{}-{}", self.plan.service, self.members.len());
        let server = FakeServer::start(&id, &[self.plan.behavior]);
        if self.plan.keeps_listening {
            server.keep_listening();
        }
        if self.is_robust {
            server.make_robust();
        }
        self.store.put("servers", &id, server.entry(self.plan.service, layers));
        self.members.push(Member { server, layers, is_replaced: false, is_removed: false });
    }

    /// Starts the servers that are due in place of those that ended, and removes the entries that have expired.
    fn advance(&mut self, now: Instant) {
        let mut replaced = Vec::new();
        let unreplaced = self.members.iter().filter(|member| !member.is_replaced);
        let last_end = unreplaced.filter_map(|member| member.server.ended_at()).max();
        for member in &mut self.members {
            let Some(ended_at) = member.server.ended_at() else { continue };
            let restart_at = match self.plan.replacement {
                Replacement::OneByOne => ended_at + RESTART_DELAY,
                Replacement::Together => last_end.unwrap_or(ended_at) + JOINT_RESTART_DELAY,
            };
            if !member.is_replaced && now >= restart_at {
                member.is_replaced = true;
                replaced.push(member.layers);
            }
            let lapse_delay = if self.plan.keeps_listening { Duration::ZERO } else { LAPSE_DELAY };
            if !member.is_removed && now >= ended_at + lapse_delay {
                member.is_removed = true;
                self.store.remove("servers", &member.server.id);
            }
        }
        replaced.into_iter().for_each(|layers| self.add(layers));
    }
}

/// A running fleet. Dropping it ends the replacement of servers.
pub(crate) struct RunningFleet {
    fleet: Arc<Mutex<Fleet>>,
    is_stopping: Arc<AtomicBool>,
    replacing: Option<JoinHandle<()>>,
}

impl RunningFleet {
    /// Starts the servers of a plan and registers them in a store.
    pub(crate) fn start(store: &FakeStore, plan: &FleetPlan) -> RunningFleet {
        let mut fleet = Fleet {
            plan: plan.clone(),
            store: store.clone(),
            members: Vec::new(),
            is_robust: false,
        };
        plan.layers.iter().for_each(|layers| fleet.add(*layers));
        let fleet = Arc::new(Mutex::new(fleet));
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (shared_fleet, shared_flag) = (fleet.clone(), is_stopping.clone());
        let replacing = std::thread::spawn(move || {
            while !shared_flag.load(Ordering::Relaxed) {
                shared_fleet.lock().expect("no panic").advance(Instant::now());
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        RunningFleet { fleet, is_stopping, replacing: Some(replacing) }
    }

    /// Returns all servers that were ever started.
    pub(crate) fn all_servers(&self) -> Vec<FakeServer> {
        let fleet = self.fleet.lock().expect("no panic");
        fleet.members.iter().map(|member| member.server.clone()).collect()
    }

    /// Makes the servers, also those that start later, answer the requests that otherwise end them.
    pub(crate) fn make_robust(&self) {
        let mut fleet = self.fleet.lock().expect("no panic");
        fleet.is_robust = true;
        fleet.members.iter().for_each(|member| member.server.make_robust());
    }

    /// Returns the servers that have not ended.
    pub(crate) fn running_servers(&self) -> Vec<FakeServer> {
        let servers = self.all_servers().into_iter();
        servers.filter(|server| server.ended_at().is_none()).collect()
    }

    /// Returns the times at which servers ended, in order.
    pub(crate) fn end_times(&self) -> Vec<Instant> {
        let servers = self.all_servers();
        let mut times: Vec<Instant> = servers.iter().filter_map(FakeServer::ended_at).collect();
        times.sort();
        times
    }
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        if let Some(replacing) = self.replacing.take() {
            let _ = replacing.join();
        }
    }
}
