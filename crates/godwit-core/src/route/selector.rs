//! Server selection for one request: tries a few sampled servers first, then all candidates.

use rand::Rng;

use super::choice::{Choice, RouteRequest};
use super::estimate::{RequestSize, estimate};
use super::fleet::{Candidates, Pool, ServerIndex};
use super::load::LoadEstimate;
use super::prefix::PrefixHolder;
use super::router::{Ineligibility, Router};
use super::scored::{BestServers, Reservoir, ScoredServer};
use crate::{Code, UnixMs};

/// Number of servers sampled in this host's failure domain.
const LOCAL_SAMPLES: usize = 2;

/// Number of servers sampled in other failure domains when a local server is available.
const REMOTE_SAMPLES: usize = 1;

/// Maximum number of draws per sampled server, since a drawn server may be ineligible.
const MAX_DRAWS_PER_SAMPLE: usize = 3;

/// Maximum number of servers considered because they have a prefix of the prompt cached.
const MAX_PREFIX_HOLDERS: usize = 4;

/// Selects a server for one request.
pub(crate) struct ServerSelector<'a> {
    pub(crate) router: &'a Router,
    pub(crate) request: RouteRequest<'a>,
    pub(crate) candidates: &'a Candidates,
    pub(crate) now: UnixMs,
    holders: Vec<PrefixHolder>,
    time_left_ms: f64,
    allow_silent: bool,
}

#[derive(Debug, Default)]
struct CandidateCounts {
    usable: usize,
    excluded: usize,
    silent: usize,
    unreachable: usize,
    shortest_finish_ms: Option<f64>,
}

impl<'a> ServerSelector<'a> {
    /// Creates a selector; looks up the servers that have prefixes of the prompt cached.
    pub(crate) fn new(
        router: &'a Router,
        request: RouteRequest<'a>,
        candidates: &'a Candidates,
        now: UnixMs,
    ) -> ServerSelector<'a> {
        let holders = router.prefixes.holders(request.prefixes, MAX_PREFIX_HOLDERS);
        let time_left_ms = request.admission.deadline.since_ms(now) as f64;
        ServerSelector {
            router,
            request,
            candidates,
            now,
            holders,
            time_left_ms,
            allow_silent: false,
        }
    }

    /// Selects the best server. Silent servers are considered only if no other candidate is usable.
    pub(crate) fn decide(mut self, rng: &mut impl Rng) -> Choice {
        if let Some(scored) = self.best_sampled(rng) {
            return self.start_on(scored);
        }
        let (scored, counts) = self.best_of_all(rng);
        if scored.is_none() && counts.usable == 0 && counts.silent > 0 {
            self.allow_silent = true;
            let (scored, counts) = self.best_of_all(rng);
            return self.choice_from(scored, &counts);
        }
        self.choice_from(scored, &counts)
    }

    /// Starts the request on the given server if it can run there in time; otherwise `None`.
    pub(crate) fn choose_on(&self, server: ServerIndex) -> Option<Choice> {
        if !self.candidates.contains(server) || self.ineligibility(server).is_some() {
            return None;
        }
        self.score(server).map(|scored| self.start_on(scored))
    }

    /// Decides as if no server had a free slot.
    pub(crate) fn wait_or_refuse(mut self) -> Choice {
        let counts = self.count_candidates(|_| {});
        if counts.usable == 0 && counts.silent > 0 {
            self.allow_silent = true;
            let counts = self.count_candidates(|_| {});
            return self.choice_from(None, &counts);
        }
        self.choice_from(None, &counts)
    }

    /// Selects the next usable server in round-robin order, regardless of load.
    pub(crate) fn round_robin(self, counter: usize) -> Choice {
        let usable: Vec<ServerIndex> = self.usable().collect();
        let server = usable.get(counter % usable.len().max(1)).copied();
        self.start_ignoring_load(server)
    }

    /// Selects the usable server with the lowest utilization in its newest reading.
    pub(crate) fn least_reported_load(self) -> Choice {
        let server = self.usable().min_by(|a, b| {
            let (a, b) = (self.reported_utilization(*a), self.reported_utilization(*b));
            a.total_cmp(&b)
        });
        self.start_ignoring_load(server)
    }

    fn usable(&self) -> impl Iterator<Item = ServerIndex> {
        self.candidates.all().filter(|server| self.ineligibility(*server).is_none())
    }

    fn reported_utilization(&self, server: ServerIndex) -> f64 {
        let reading = self.router.views[server as usize].load.reading.as_ref();
        reading.map_or(0.0, |reading| {
            let requests = f64::from(reading.running) + f64::from(reading.waiting);
            requests / f64::from(reading.slots.max(1))
        })
    }

    fn start_ignoring_load(&self, server: Option<ServerIndex>) -> Choice {
        let Some(server) = server else {
            let code = if self.request.excluded.is_empty() {
                Code::NoServer
            } else {
                Code::ServersRefused
            };
            return Choice::Refuse { code };
        };
        let spec = &self.router.table.servers[server as usize];
        let load = self.router.load_estimate(server);
        let estimate =
            estimate(spec, &self.router.speed(server), &load, &self.request_size(server));
        Choice::Start { server: spec.name.clone(), estimate, stages: Vec::new() }
    }

    fn choice_from(&self, scored: Option<ScoredServer>, counts: &CandidateCounts) -> Choice {
        if let Some(scored) = scored {
            return self.start_on(scored);
        }
        match counts.shortest_finish_ms {
            Some(finish_ms) if finish_ms <= self.time_left_ms => {
                let start_by = self.request.admission.deadline.minus_ms(finish_ms.ceil() as u64);
                Choice::Wait { start_by }
            }
            Some(_) => Choice::Refuse { code: Code::TooLate },
            None if counts.excluded > 0 => Choice::Refuse { code: Code::ServersRefused },
            None if counts.unreachable > 0 => Choice::Refuse { code: Code::ShutOutByDomain },
            None => Choice::Refuse { code: Code::NoServer },
        }
    }

    fn start_on(&self, scored: ScoredServer) -> Choice {
        let server = self.router.table.servers[scored.server as usize].name.clone();
        Choice::Start { server, estimate: scored.estimate, stages: Vec::new() }
    }

    fn best_sampled(&self, rng: &mut impl Rng) -> Option<ScoredServer> {
        let mut best = BestServers::default();
        self.sample(&self.candidates.local, LOCAL_SAMPLES, &mut best, rng);
        let remote_samples = if best.local.is_some() { REMOTE_SAMPLES } else { LOCAL_SAMPLES };
        self.sample(&self.candidates.remote, remote_samples, &mut best, rng);
        for holder in &self.holders {
            if self.candidates.contains(holder.server)
                && self.ineligibility(holder.server).is_none()
            {
                best.consider(self.score(holder.server));
            }
        }
        best.select()
    }

    fn sample(&self, pool: &Pool, samples: usize, best: &mut BestServers, rng: &mut impl Rng) {
        let mut found = 0;
        for _ in 0..samples * MAX_DRAWS_PER_SAMPLE {
            let Some(server) = pool.draw(rng) else {
                return;
            };
            if self.ineligibility(server).is_some() || !self.passes_slow_start(server, rng) {
                continue;
            }
            best.consider(self.score(server));
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

    /// Checks every candidate. Of those that can run the request in time, up to two local and two remote ones are drawn
    /// at random and compared.
    fn best_of_all(&self, rng: &mut impl Rng) -> (Option<ScoredServer>, CandidateCounts) {
        let mut local = Reservoir::default();
        let mut remote = Reservoir::default();
        let counts = self.count_candidates(|server| {
            if let Some(scored) = self.score(server) {
                let reservoir = if scored.is_local { &mut local } else { &mut remote };
                reservoir.add(scored, rng);
            }
        });
        let mut best = BestServers::default();
        local
            .servers
            .into_iter()
            .chain(remote.servers)
            .for_each(|scored| best.consider(Some(scored)));
        (best.select(), counts)
    }

    /// Counts all candidates by eligibility, and calls `on_usable` for each usable one.
    fn count_candidates(&self, mut on_usable: impl FnMut(ServerIndex)) -> CandidateCounts {
        let mut counts = CandidateCounts::default();
        for server in self.candidates.all() {
            match self.ineligibility(server) {
                Some(Ineligibility::Excluded) => counts.excluded += 1,
                Some(Ineligibility::Silent) => counts.silent += 1,
                Some(Ineligibility::Unreachable) => counts.unreachable += 1,
                Some(Ineligibility::NoNewWork) => {}
                None => {
                    let finish_ms = self.shortest_finish_ms(server);
                    counts.usable += 1;
                    counts.shortest_finish_ms = Some(
                        counts
                            .shortest_finish_ms
                            .map_or(finish_ms, |shortest| shortest.min(finish_ms)),
                    );
                    on_usable(server);
                }
            }
        }
        counts
    }

    fn ineligibility(&self, server: ServerIndex) -> Option<Ineligibility> {
        match self.router.ineligibility_for(server, &self.request, self.now) {
            Some(Ineligibility::Silent) if self.allow_silent => None,
            ineligibility => ineligibility,
        }
    }

    /// Scores a server; `None` if it cannot start the request now or would miss the deadline.
    fn score(&self, server: ServerIndex) -> Option<ScoredServer> {
        let router = self.router;
        let load = router.load_estimate(server);
        let view = &router.views[server as usize];
        if !router.has_slot(server, &self.request, self.now) {
            return None;
        }
        let spec = &router.table.servers[server as usize];
        let estimate = estimate(spec, &router.speed(server), &load, &self.request_size(server));
        if estimate.finish_ms > self.time_left_ms {
            return None;
        }
        let score_ms = estimate.finish_ms + view.health.penalty_ms();
        Some(ScoredServer { server, is_local: spec.is_local, estimate, score_ms })
    }

    fn shortest_finish_ms(&self, server: ServerIndex) -> f64 {
        let spec = &self.router.table.servers[server as usize];
        estimate(spec, &self.router.speed(server), &LoadEstimate::IDLE, &self.request_size(server))
            .finish_ms
    }

    fn request_size(&self, server: ServerIndex) -> RequestSize {
        let cached = self.holders.iter().find(|holder| holder.server == server);
        RequestSize {
            prompt_bytes: self.request.admission.prompt_bytes as f64,
            cached_bytes: cached.map_or(0.0, |holder| f64::from(holder.length_bytes)),
            max_tokens: f64::from(self.request.admission.max_tokens),
        }
    }
}
