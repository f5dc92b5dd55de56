//! Draws what goes wrong, does it, and heals it again.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use super::promises::Faults;
use super::proxy::{Passage, Proxy};
use super::world::World;

/// Longest time that a host may take to end after SIGTERM, as its settings say.
const GRACE: Duration = Duration::from_secs(8);

/// Shortest and longest time that a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..1_500;

/// What is to be done later.
enum Due {
    Open(Proxy),
    Continue(usize),
    Restart(usize),
    /// A host that was told to stop must have ended.
    Ended(usize),
    Remove(String),
}

/// The faults of one soak.
pub(super) struct Schedule {
    random: SmallRng,
    due: Vec<(Instant, Due)>,
    /// Hosts that are stopping or stand still.
    held: BTreeSet<usize>,
    pub(super) faults: Faults,
    /// Promises that processes broke.
    pub(super) broken: Vec<String>,
}

impl Schedule {
    pub(super) fn new(random: SmallRng) -> Schedule {
        let faults = Faults::default();
        Schedule { random, due: Vec::new(), held: BTreeSet::new(), faults, broken: Vec::new() }
    }

    fn fault(&mut self) -> Duration {
        let lasts = Duration::from_millis(self.random.random_range(FAULT_MS));
        let now = Instant::now();
        self.faults.0.push((now, now + lasts));
        lasts
    }

    fn later(&mut self, after: Duration, due: Due) {
        self.due.push((Instant::now() + after, due));
    }

    fn disturb(&mut self, proxies: Vec<Proxy>, passage: Passage) {
        let lasts = self.fault();
        for proxy in proxies {
            proxy.set(passage);
            self.later(lasts, Due::Open(proxy));
        }
    }

    /// A host that runs undisturbed; one at least is left alone.
    fn free_host(&mut self, world: &World) -> Option<usize> {
        let is_free =
            |index: &usize| !self.held.contains(index) && world.hosts[*index].host.is_some();
        let free: Vec<usize> = (0..world.hosts.len()).filter(is_free).collect();
        let index = self.random.random_range(0..world.hosts.len());
        (free.len() > 1).then(|| free[index % free.len()])
    }

    fn passage(&mut self) -> Passage {
        match self.random.random_range(0..5) {
            0 => Passage::Delayed(Duration::from_millis(self.random.random_range(10..150))),
            1 => Passage::Silent,
            2 => Passage::NoRequests,
            3 => Passage::NoAnswers,
            _ => Passage::Reset,
        }
    }

    /// Work that operators plan: nothing may be lost by it.
    pub(super) fn plan(&mut self, world: &mut World) {
        match self.random.random_range(0..5) {
            0 => world.change_configuration(),
            1 => (0..4).for_each(|_| world.change_configuration()),
            2 => {
                let index = self.random.random_range(0..world.servers.len());
                let id = world.drain_server(&mut self.random, index);
                self.later(Duration::from_millis(1_500), Due::Remove(id));
            }
            3 => {
                let index = self.random.random_range(0..world.hosts.len());
                world.signal_host(index, Signal::HUP);
            }
            _ => {
                let Some(index) = self.free_host(world) else { return };
                world.signal_host(index, Signal::TERM);
                self.held.insert(index);
                self.later(GRACE, Due::Ended(index));
            }
        }
    }

    /// A fault that nobody planned.
    pub(super) fn strike(&mut self, world: &mut World) {
        let passage = self.passage();
        match self.random.random_range(0..6) {
            0 | 1 => {
                let index = self.random.random_range(0..world.servers.len());
                self.disturb(vec![world.servers[index].proxy.clone()], passage);
            }
            2 => {
                let index = self.random.random_range(0..world.hosts.len());
                self.disturb(vec![world.hosts[index].store_proxy.clone()], passage);
            }
            3 => {
                let all = world.hosts.iter().map(|place| place.store_proxy.clone()).collect();
                self.disturb(all, passage);
            }
            4 => {
                let Some(index) = self.free_host(world) else { return };
                let lasts = self.fault();
                world.signal_host(index, Signal::STOP);
                self.held.insert(index);
                self.later(lasts, Due::Continue(index));
            }
            _ => {
                let Some(index) = self.free_host(world) else { return };
                let lasts = self.fault();
                world.hosts[index].host = None;
                self.held.insert(index);
                self.later(lasts, Due::Restart(index));
            }
        }
    }

    /// Does what is due, and looks for processes that have ended.
    pub(super) fn step(&mut self, world: &mut World) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        for (_, due) in due {
            self.act(world, due);
        }
        for index in 0..world.hosts.len() {
            self.look_at_host(world, index);
        }
    }

    /// Ends all faults.
    pub(super) fn heal(&mut self, world: &mut World) {
        while !self.due.is_empty() {
            self.step(world);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn act(&mut self, world: &mut World, due: Due) {
        match due {
            Due::Open(proxy) => proxy.set(Passage::Open),
            Due::Remove(id) => world.remove_entry(&id),
            Due::Continue(index) => {
                world.signal_host(index, Signal::CONT);
                self.held.remove(&index);
            }
            Due::Restart(index) => {
                world.start_host(index);
                self.held.remove(&index);
            }
            Due::Ended(index) => {
                let is_running = world.hosts[index].host.is_some() && self.held.contains(&index);
                if is_running {
                    self.broken.push(format!("a host outlived its stop: {index}"));
                }
            }
        }
    }

    fn look_at_host(&mut self, world: &mut World, index: usize) {
        let Some(host) = &mut world.hosts[index].host else { return };
        let Some(status) = host.ended() else { return };
        let was_told = self.held.contains(&index);
        if !was_told || !status.success() {
            self.broken.push(format!("a host ended by itself: {index}, {status}"));
        }
        self.held.remove(&index);
        self.due.retain(|(_, due)| !matches!(due, Due::Ended(ended) if *ended == index));
        world.start_host(index);
    }
}
