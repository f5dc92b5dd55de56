//! The decision for one request: samples first, all candidates when the samples give nothing.

use rand::Rng;

use super::choice::{Choice, Wanted};
use super::estimate::{Work, estimate};
use super::fleet::{Candidates, Pool, ServerIndex};
use super::load::LoadNow;
use super::offer::{Best, Offer, Reservoir};
use super::prefix::Holder;
use super::router::{Obstacle, Router};
use crate::{Code, UnixMs};

/// Servers sampled in the own failure domain.
const LOCAL_SAMPLES: usize = 2;

/// Servers sampled in the other failure domains.
const REMOTE_SAMPLES: usize = 1;

/// Draws made for each sample wanted, at most.
const DRAWS_PER_SAMPLE: usize = 3;

/// Servers considered because they hold a prefix of the prompt.
const PREFIX_HOLDERS: usize = 4;

/// The decision for one request.
pub(crate) struct Scan<'a> {
    pub(crate) router: &'a Router,
    pub(crate) wanted: Wanted<'a>,
    pub(crate) candidates: &'a Candidates,
    pub(crate) now: UnixMs,
    holders: Vec<Holder>,
    time_left_ms: f64,
    allow_silent: bool,
}

#[derive(Debug, Default)]
struct Tally {
    usable: usize,
    excluded: usize,
    silent: usize,
    cut_off: usize,
    shortest_ms: Option<f64>,
}

impl<'a> Scan<'a> {
    /// Prepares the decision.
    pub(crate) fn new(
        router: &'a Router,
        wanted: Wanted<'a>,
        candidates: &'a Candidates,
        now: UnixMs,
    ) -> Scan<'a> {
        let holders = router.prefixes.holders(wanted.prefixes, PREFIX_HOLDERS);
        let time_left_ms = wanted.admission.deadline.since_ms(now) as f64;
        Scan { router, wanted, candidates, now, holders, time_left_ms, allow_silent: false }
    }

    /// Decides.
    pub(crate) fn decide(mut self, rng: &mut impl Rng) -> Choice {
        if let Some(offer) = self.best_sampled(rng) {
            return self.start(offer);
        }
        let (offer, tally) = self.best_of_all(rng);
        if offer.is_none() && tally.usable == 0 && tally.silent > 0 {
            self.allow_silent = true;
            let (offer, tally) = self.best_of_all(rng);
            return self.conclude(offer, &tally);
        }
        self.conclude(offer, &tally)
    }

    /// The start on one server, if the request can start there in time.
    pub(crate) fn on(&self, server: ServerIndex) -> Option<Choice> {
        if !self.candidates.has(server) || self.obstacle(server).is_some() {
            return None;
        }
        self.offer(server).map(|offer| self.start(offer))
    }

    /// Decides as if no server had a slot.
    pub(crate) fn wait(mut self) -> Choice {
        let tally = self.tally(|_| {});
        if tally.usable == 0 && tally.silent > 0 {
            self.allow_silent = true;
            let tally = self.tally(|_| {});
            return self.conclude(None, &tally);
        }
        self.conclude(None, &tally)
    }

    /// The next usable server in turn, whatever its load.
    pub(crate) fn next_in_turn(self, turn: usize) -> Choice {
        let usable: Vec<ServerIndex> = self.usable().collect();
        let server = usable.get(turn % usable.len().max(1)).copied();
        self.start_whatever_its_load(server)
    }

    /// The usable server with the least load by its newest reading.
    pub(crate) fn least_reported(self) -> Choice {
        let server = self.usable().min_by(|a, b| {
            let (a, b) = (self.reported_share(*a), self.reported_share(*b));
            a.total_cmp(&b)
        });
        self.start_whatever_its_load(server)
    }

    fn usable(&self) -> impl Iterator<Item = ServerIndex> {
        self.candidates.all().filter(|server| self.obstacle(*server).is_none())
    }

    fn reported_share(&self, server: ServerIndex) -> f64 {
        let reading = self.router.views[server as usize].load.reading.as_ref();
        reading.map_or(0.0, |reading| {
            let requests = f64::from(reading.running) + f64::from(reading.waiting);
            requests / f64::from(reading.slots.max(1))
        })
    }

    fn start_whatever_its_load(&self, server: Option<ServerIndex>) -> Choice {
        let Some(server) = server else {
            let code =
                if self.wanted.excluded.is_empty() { Code::NoServer } else { Code::ServersRefused };
            return Choice::Refuse { code };
        };
        let traits = &self.router.table.servers[server as usize];
        let load = self.router.load_now(server);
        let estimate = estimate(traits, &self.router.speed(server), &load, &self.work(server));
        Choice::Start { server: traits.name.clone(), estimate, stages: Vec::new() }
    }

    fn conclude(&self, offer: Option<Offer>, tally: &Tally) -> Choice {
        if let Some(offer) = offer {
            return self.start(offer);
        }
        match tally.shortest_ms {
            Some(shortest_ms) if shortest_ms <= self.time_left_ms => {
                let start_by = self.wanted.admission.deadline.minus_ms(shortest_ms.ceil() as u64);
                Choice::Wait { start_by }
            }
            Some(_) => Choice::Refuse { code: Code::TooLate },
            None if tally.excluded > 0 => Choice::Refuse { code: Code::ServersRefused },
            None if tally.cut_off > 0 => Choice::Refuse { code: Code::ShutOutByDomain },
            None => Choice::Refuse { code: Code::NoServer },
        }
    }

    fn start(&self, offer: Offer) -> Choice {
        let server = self.router.table.servers[offer.server as usize].name.clone();
        Choice::Start { server, estimate: offer.estimate, stages: Vec::new() }
    }

    fn best_sampled(&self, rng: &mut impl Rng) -> Option<Offer> {
        let mut best = Best::default();
        self.sample(&self.candidates.local, LOCAL_SAMPLES, &mut best, rng);
        let remote_samples = if best.local.is_some() { REMOTE_SAMPLES } else { LOCAL_SAMPLES };
        self.sample(&self.candidates.remote, remote_samples, &mut best, rng);
        for holder in &self.holders {
            if self.candidates.has(holder.server) && self.obstacle(holder.server).is_none() {
                best.take(self.offer(holder.server));
            }
        }
        best.pick()
    }

    fn sample(&self, pool: &Pool, samples: usize, best: &mut Best, rng: &mut impl Rng) {
        let mut found = 0;
        for _ in 0..samples * DRAWS_PER_SAMPLE {
            let Some(server) = pool.draw(rng) else {
                return;
            };
            if self.obstacle(server).is_some() || !self.passes_slow_start(server, rng) {
                continue;
            }
            best.take(self.offer(server));
            found += 1;
            if found == samples {
                return;
            }
        }
    }

    fn passes_slow_start(&self, server: ServerIndex, rng: &mut impl Rng) -> bool {
        let chance = self.router.sample_chance(server, self.now);
        chance >= 1.0 || rng.random::<f64>() < chance
    }

    /// Looks at every candidate; of those that can start the request in time, two drawn at random are compared.
    fn best_of_all(&self, rng: &mut impl Rng) -> (Option<Offer>, Tally) {
        let mut local = Reservoir::default();
        let mut remote = Reservoir::default();
        let tally = self.tally(|server| {
            if let Some(offer) = self.offer(server) {
                let reservoir = if offer.is_local { &mut local } else { &mut remote };
                reservoir.take(offer, rng);
            }
        });
        let mut best = Best::default();
        local.offers.into_iter().chain(remote.offers).for_each(|offer| best.take(Some(offer)));
        (best.pick(), tally)
    }

    /// Counts all candidates by what is in their way, and hands the usable ones to `on_usable`.
    fn tally(&self, mut on_usable: impl FnMut(ServerIndex)) -> Tally {
        let mut tally = Tally::default();
        for server in self.candidates.all() {
            match self.obstacle(server) {
                Some(Obstacle::Excluded) => tally.excluded += 1,
                Some(Obstacle::Silent) => tally.silent += 1,
                Some(Obstacle::CutOff) => tally.cut_off += 1,
                Some(Obstacle::NoNewWork) => {}
                None => {
                    let shortest_ms = self.shortest_ms(server);
                    tally.usable += 1;
                    tally.shortest_ms =
                        Some(tally.shortest_ms.map_or(shortest_ms, |held| held.min(shortest_ms)));
                    on_usable(server);
                }
            }
        }
        tally
    }

    fn obstacle(&self, server: ServerIndex) -> Option<Obstacle> {
        match self.router.obstacle_for(server, &self.wanted, self.now) {
            Some(Obstacle::Silent) if self.allow_silent => None,
            obstacle => obstacle,
        }
    }

    /// The offer of a server that can start the request now and finish it in time.
    fn offer(&self, server: ServerIndex) -> Option<Offer> {
        let router = self.router;
        let load = router.load_now(server);
        let view = &router.views[server as usize];
        if !router.has_slot(server, &self.wanted, self.now) {
            return None;
        }
        let traits = &router.table.servers[server as usize];
        let estimate = estimate(traits, &router.speed(server), &load, &self.work(server));
        if estimate.finish_ms > self.time_left_ms {
            return None;
        }
        let rank_ms = estimate.finish_ms + view.health.penalty_ms();
        Some(Offer { server, is_local: traits.is_local, estimate, rank_ms })
    }

    fn shortest_ms(&self, server: ServerIndex) -> f64 {
        let traits = &self.router.table.servers[server as usize];
        estimate(traits, &self.router.speed(server), &LoadNow::IDLE, &self.work(server)).finish_ms
    }

    fn work(&self, server: ServerIndex) -> Work {
        let cached = self.holders.iter().find(|holder| holder.server == server);
        Work {
            prompt_bytes: self.wanted.admission.prompt_bytes as f64,
            cached_bytes: cached.map_or(0.0, |holder| f64::from(holder.length_bytes)),
            max_tokens: f64::from(self.wanted.admission.max_tokens),
        }
    }
}
