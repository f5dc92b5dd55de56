//! Blame of a part that several prompts share, over many shapes of a service. Each server runs many requests at a time; a
//! crash takes all of them along, and they move to the servers that are left. All prompts begin with the same part; then
//! comes one that the requests of a session share, or the deadly part, which ends each server that writes, at once or after any
//! number of pieces. It may come with a companion, a sound part that hardly any other request has.

use std::collections::BTreeSet;

use godwit_core::SteadyMs;
use godwit_core::quarantine::{
    CrashAdmission, CrashRegister, CrashReport, CrashStatus, LostRun, ProbationTurn,
    TrialAdmission, WholeAnswer,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const COMMON_PART: u64 = 1;
const DEADLY_PART: u64 = 2;
const COMPANION_PART: u64 = 3;
const FIRST_SESSION_PART: u64 = 1_000;
const FIRST_FINGERPRINT: u64 = 1_000_000;

const START_MS: u64 = 10_000_000;
const TICK_MS: u64 = 5;
const LENGTH_MS: u64 = 24_000;

/// Time at which the first request with the deadly part comes, after the start.
const DEADLY_FROM_MS: u64 = 3_000;

const CONTACT_WINDOW_MS: u64 = 3_000;
const QUARANTINE_MS: u64 = 300_000;
const REPORT_INTERVAL_MS: u64 = 200;
const REPORT_LOSS: f64 = 0.05;
const MAX_REPORT_DELAY_MS: u64 = 300;

/// Number of servers that requests with one part may end, and of sends that may follow later than the contact window.
const MAX_ENDED_SERVERS: usize = 5;
const MAX_LATE_SENDS: usize = 3;

/// Time between two pieces of a response, and number of pieces.
const PIECE_MS: u64 = 20;
const PIECES: u64 = 60;

/// Time after which a caller that has had no piece leaves.
const PATIENCE_MS: u64 = 2_000;

const REQUESTS_IN_SESSION: u64 = 4;

/// Share of the sound requests that have the companion of the deadly part.
const COMPANION_SHARE: f64 = 0.02;

/// Number of shapes of each kind; `PART_SHAPES` sets another one.
const DEFAULT_SHAPES: u64 = 15;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Shape {
    seed: u64,
    hosts: usize,
    servers: usize,
    attempts: u32,
    /// Mean time between two sound requests, at all hosts together.
    sound_interval_ms: u64,
    /// Time between two requests with the deadly part; 0 for none.
    deadly_interval_ms: u64,
    /// Longest time for which a server reads a prompt.
    max_reading_ms: u64,
    /// Time between two crashes that are no request's doing, and share of the servers that end; 0 for none.
    crash_interval_ms: u64,
    crash_share: f64,
    min_restart_ms: u64,
    /// Number of pieces that a server writes of a response to a request with the deadly part.
    deadly_pieces: u64,
    has_companion: bool,
}

/// What the shapes of a test have beside sound requests.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    has_deadly_part: bool,
    has_crashes: bool,
    lets_pieces_out: bool,
    has_companion: bool,
}

impl Shape {
    fn draw(seed: u64, trouble: Trouble) -> Shape {
        let mut random = SmallRng::seed_from_u64(seed);
        let Trouble { has_deadly_part, has_crashes, lets_pieces_out, has_companion } = trouble;
        let mut one_of = |values: &[u64]| values[random.random_range(0..values.len())];
        Shape {
            seed,
            hosts: one_of(&[1, 2, 3, 5, 9]) as usize,
            servers: one_of(&[2, 3, 5, 6, 10, 20]) as usize,
            attempts: one_of(&[1, 2, 3, 4]) as u32,
            sound_interval_ms: one_of(&[15, 30, 60, 120]),
            deadly_interval_ms: one_of(&[80, 200, 500, 900]) * u64::from(has_deadly_part),
            max_reading_ms: one_of(&[40, 100, 400]),
            crash_interval_ms: one_of(&[2_500, 4_000, 6_000]) * u64::from(has_crashes),
            crash_share: one_of(&[15, 34, 100]) as f64 / 100.0,
            min_restart_ms: one_of(&[1_800, 3_200]),
            deadly_pieces: if lets_pieces_out { one_of(&[1, 3, 5, 6, 9, 20, 59]) } else { 0 },
            has_companion,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Server {
    incarnation: u32,
    up_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Request {
    host: usize,
    fingerprint: u64,
    parts: Vec<u64>,
    asked_at_ms: u64,
    runs: u32,
    run: Option<Run>,
}

#[derive(Clone, Debug)]
struct Run {
    server: usize,
    started_at_ms: u64,
    writes_at_ms: u64,
    trial_of: Vec<u64>,
}

impl Run {
    fn pieces(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.writes_at_ms) / PIECE_MS
    }
}

impl Request {
    fn is_deadly(&self) -> bool {
        self.parts.contains(&DEADLY_PART)
    }

    fn fingerprints(&self) -> Vec<u64> {
        self.parts.iter().copied().chain([self.fingerprint]).collect()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    ended: usize,
    late_sends: usize,
    /// Sound requests that were sent later than twice the contact window after the fifth end, and those of them that were
    /// refused for what they are suspected of.
    late_sound: usize,
    late_sound_refused: usize,
    sound_refused: usize,
    sound_parts_quarantined: usize,
}

struct World {
    shape: Shape,
    random: SmallRng,
    now_ms: u64,
    servers: Vec<Server>,
    registers: Vec<CrashRegister>,
    requests: Vec<Request>,
    reports: Vec<(u64, usize, CrashReport)>,
    ends_ms: Vec<u64>,
    next_fingerprint: u64,
    blamed_parts: BTreeSet<u64>,
    outcome: Outcome,
}

impl World {
    fn new(shape: Shape) -> World {
        World {
            shape,
            random: SmallRng::seed_from_u64(!shape.seed),
            now_ms: START_MS,
            servers: vec![Server::default(); shape.servers],
            registers: (0..shape.hosts).map(|_| CrashRegister::new(QUARANTINE_MS)).collect(),
            requests: Vec::new(),
            reports: Vec::new(),
            ends_ms: Vec::new(),
            next_fingerprint: FIRST_FINGERPRINT,
            blamed_parts: BTreeSet::new(),
            outcome: Outcome::default(),
        }
    }

    fn now(&self) -> SteadyMs {
        SteadyMs(self.now_ms)
    }

    fn is_late(&self, windows: u64) -> bool {
        let fifth_end_ms = self.ends_ms.get(MAX_ENDED_SERVERS - 1);
        fifth_end_ms.is_some_and(|end_ms| self.now_ms > end_ms + windows * CONTACT_WINDOW_MS)
    }

    fn end_server(&mut self, server: usize) {
        let now = self.now();
        let name = format!("s-{server}/{}", self.servers[server].incarnation);
        for request in &mut self.requests {
            let Some(run) = request.run.take_if(|run| run.server == server) else { continue };
            let register = &mut self.registers[request.host];
            let request_id = format!("r-{}", request.fingerprint);
            let lost = |fingerprint: u64| LostRun {
                fingerprint: request.fingerprint,
                started_at: SteadyMs(run.started_at_ms),
                pieces: run.pieces(now.0),
                request_id: &request_id,
                is_trial: run.trial_of.contains(&fingerprint),
            };
            for part in &request.parts {
                register.record_part_loss(*part, lost(*part), &name, now);
            }
            register.record_loss(lost(request.fingerprint), &name, now);
            run.trial_of.iter().for_each(|fingerprint| register.end_trial(*fingerprint));
        }
        for register in &mut self.registers {
            register.record_end(&name, now);
        }
        let restart_ms = self.shape.min_restart_ms + self.random.random_range(0..800);
        self.servers[server].incarnation += 1;
        self.servers[server].up_at_ms = self.now_ms + restart_ms;
    }

    fn up(&self) -> Vec<usize> {
        (0..self.servers.len()).filter(|it| self.servers[*it].up_at_ms <= self.now_ms).collect()
    }

    fn crash_servers(&mut self) {
        let up = self.up();
        let count = (self.servers.len() as f64 * self.shape.crash_share).round().max(1.0) as usize;
        for server in up.into_iter().take(count) {
            self.end_server(server);
        }
    }

    fn receive_requests(&mut self) {
        let chance = TICK_MS as f64 / self.shape.sound_interval_ms as f64;
        let mut arrivals = Vec::new();
        if self.random.random_bool(chance) {
            let mut parts = vec![COMMON_PART];
            if self.shape.has_companion && self.random.random_bool(COMPANION_SHARE) {
                parts.push(COMPANION_PART);
            }
            parts.push(FIRST_SESSION_PART + self.next_fingerprint / REQUESTS_IN_SESSION);
            arrivals.push(parts);
        }
        let since_ms = self.now_ms - START_MS;
        let interval_ms = self.shape.deadly_interval_ms;
        if interval_ms > 0 && since_ms >= DEADLY_FROM_MS && since_ms % interval_ms < TICK_MS {
            let companion = self.shape.has_companion.then_some(COMPANION_PART);
            arrivals
                .push([COMMON_PART].into_iter().chain(companion).chain([DEADLY_PART]).collect());
        }
        for parts in arrivals {
            let request = Request {
                host: self.random.random_range(0..self.shape.hosts),
                fingerprint: self.next_fingerprint,
                parts,
                asked_at_ms: self.now_ms,
                runs: 0,
                run: None,
            };
            self.next_fingerprint += 1;
            self.requests.push(request);
        }
    }

    /// Whether a request is refused, or may be sent now.
    fn admit(&self, request: &Request) -> Result<bool, ()> {
        let register = &self.registers[request.host];
        let turn = ProbationTurn { rank: request.host, hosts: self.shape.hosts };
        let is_running = |fingerprint: u64| {
            let others = self.requests.iter().filter(|it| it.host == request.host);
            let mut others = others.filter(|it| it.fingerprint != request.fingerprint);
            others.any(|it| it.run.is_some() && it.fingerprints().contains(&fingerprint))
        };
        let fingerprints = request.fingerprints();
        for fingerprint in &fingerprints {
            let admission =
                register.admit(*fingerprint, turn, is_running(*fingerprint), self.now());
            if matches!(admission, CrashAdmission::Refused { .. })
                && !register.is_blame_shared(*fingerprint, &request.parts)
            {
                return Err(());
            }
        }
        let trial = register.admit_trial_of(&fingerprints, |_| turn, is_running, self.now());
        Ok(trial != TrialAdmission::Deferred)
    }

    /// Advances a request and returns whether it goes on.
    fn advance(&mut self, index: usize) -> bool {
        let now = self.now();
        let request = self.requests[index].clone();
        if let Some(run) = &request.run {
            let pieces = run.pieces(self.now_ms);
            let has_written = run.writes_at_ms <= self.now_ms && pieces >= self.shape.deadly_pieces;
            if request.is_deadly() && has_written {
                self.ends_ms.push(self.now_ms);
                self.outcome.ended += 1;
                self.end_server(run.server);
                return request.runs < self.shape.attempts;
            }
            let register = &mut self.registers[request.host];
            if pieces < PIECES {
                return true;
            }
            let answer = WholeAnswer { pieces, is_rest: request.runs > 1 };
            for part in &request.parts {
                register.record_part_answer(*part, answer, now);
            }
            register.record_completion(request.fingerprint, now);
            run.trial_of.iter().for_each(|fingerprint| register.end_trial(*fingerprint));
            return false;
        }
        if request.runs >= self.shape.attempts {
            return false;
        }
        let may_send = match self.admit(&request) {
            Ok(may_send) => may_send,
            Err(()) => {
                self.count_refusal(&request);
                return false;
            }
        };
        let is_impatient = self.now_ms > request.asked_at_ms + PATIENCE_MS;
        let up = self.up();
        if !may_send || up.is_empty() {
            if is_impatient && !up.is_empty() {
                self.count_refusal(&request);
            }
            return !is_impatient;
        }
        if request.is_deadly() && self.is_late(1) {
            self.outcome.late_sends += 1;
        }
        if !request.is_deadly() && self.is_late(2) {
            self.outcome.late_sound += 1;
        }
        let register = &mut self.registers[request.host];
        let trial_of = request.fingerprints().into_iter();
        let trial_of =
            trial_of.filter(|fingerprint| register.begin_run(*fingerprint, &request.parts, now));
        let run = Run {
            trial_of: trial_of.collect(),
            server: up[self.random.random_range(0..up.len())],
            started_at_ms: self.now_ms,
            writes_at_ms: self.now_ms + self.random.random_range(20..self.shape.max_reading_ms),
        };
        self.requests[index].runs += 1;
        self.requests[index].run = Some(run);
        true
    }

    fn count_refusal(&mut self, request: &Request) {
        if request.is_deadly() {
            return;
        }
        self.outcome.sound_refused += 1;
        if self.is_late(2) {
            self.outcome.late_sound += 1;
            self.outcome.late_sound_refused += 1;
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|it| it.0 <= self.now_ms);
        self.reports = later;
        for (_, host, report) in due {
            self.registers[host].merge(&report, "peer", now);
        }
        for host in 0..self.shape.hosts {
            if !(self.now_ms + 35 * host as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            self.registers[host].expire(now);
            for change in self.registers[host].status_changes(now) {
                let is_refused = !self.registers[host]
                    .is_blame_shared(change.fingerprint, &[COMMON_PART, change.fingerprint]);
                let is_quarantined =
                    is_refused && matches!(change.status, CrashStatus::Quarantined { .. });
                if is_quarantined && change.fingerprint < FIRST_FINGERPRINT {
                    self.blamed_parts.insert(change.fingerprint);
                }
            }
            let report = self.registers[host].next_report(now);
            for other in (0..self.shape.hosts).filter(|other| *other != host) {
                if !self.random.random_bool(REPORT_LOSS) {
                    let delay_ms = self.random.random_range(5..MAX_REPORT_DELAY_MS);
                    self.reports.push((self.now_ms + delay_ms, other, report.clone()));
                }
            }
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < START_MS + LENGTH_MS {
            self.now_ms += TICK_MS;
            let interval_ms = self.shape.crash_interval_ms;
            if interval_ms > 0 && (self.now_ms - START_MS) % interval_ms < TICK_MS {
                self.crash_servers();
            }
            self.exchange_reports();
            self.receive_requests();
            let mut kept = Vec::new();
            for index in 0..self.requests.len() {
                if self.advance(index) {
                    kept.push(index);
                }
            }
            let mut index = 0;
            self.requests.retain(|_| {
                index += 1;
                kept.binary_search(&(index - 1)).is_ok()
            });
        }
        self.blamed_parts.remove(&DEADLY_PART);
        self.outcome.sound_parts_quarantined = self.blamed_parts.len();
        self.outcome
    }
}

fn play(trouble: Trouble) -> Vec<(Shape, Outcome)> {
    let count = std::env::var("PART_SHAPES").ok().and_then(|text| text.parse().ok());
    let seeds = 0..count.unwrap_or(DEFAULT_SHAPES);
    let played: Vec<_> = seeds
        .map(|seed| {
            let shape = Shape::draw(seed, trouble);
            (shape, World::new(shape).run())
        })
        .collect();
    let sum = |count: fn(&Outcome) -> usize| played.iter().map(|it| count(&it.1)).sum::<usize>();
    println!(
        "{trouble:?}: {} ended, {} late sends, sound {} late and {} refused, {} refused in all, {} sound parts quarantined",
        sum(|it| it.ended),
        sum(|it| it.late_sends),
        sum(|it| it.late_sound),
        sum(|it| it.late_sound_refused),
        sum(|it| it.sound_refused),
        sum(|it| it.sound_parts_quarantined),
    );
    played
}

/// Returns the shapes that break a bound.
fn broken(played: Vec<(Shape, Outcome)>) -> Vec<(Shape, Outcome)> {
    let is_broken = |outcome: &Outcome| {
        outcome.late_sends > MAX_LATE_SENDS
            || 2 * outcome.late_sound_refused > outcome.late_sound
            || outcome.sound_parts_quarantined > 0
    };
    played.into_iter().filter(|(_, outcome)| is_broken(outcome)).collect()
}

const DEADLY: Trouble = Trouble {
    has_deadly_part: true,
    has_crashes: false,
    lets_pieces_out: false,
    has_companion: false,
};

#[test]
fn deadly_part_is_stopped_and_no_other() {
    assert_eq!(broken(play(DEADLY)), []);
}

#[test]
fn deadly_part_is_stopped_beside_crashes_of_others() {
    assert_eq!(broken(play(Trouble { has_crashes: true, ..DEADLY })), []);
}

/// Servers wrote so much of their responses before they ended that the part was taken for sound.
#[test]
fn deadly_part_is_stopped_that_lets_pieces_out() {
    assert_eq!(broken(play(Trouble { lets_pieces_out: true, ..DEADLY })), []);
}

/// Two parts that came together excused each other.
#[test]
fn deadly_part_is_stopped_beside_its_companion() {
    assert_eq!(broken(play(Trouble { has_companion: true, ..DEADLY })), []);
}

#[test]
fn deadly_part_is_stopped_that_lets_pieces_out_beside_its_companion() {
    let trouble = Trouble { lets_pieces_out: true, has_companion: true, ..DEADLY };
    assert_eq!(broken(play(trouble)), []);
}

#[test]
fn no_part_is_blamed_for_crashes() {
    assert_eq!(broken(play(Trouble { has_crashes: true, ..Trouble::default() })), []);
}
