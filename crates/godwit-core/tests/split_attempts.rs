//! Fuzzes the attempts of a split model: stages die, fall silent, come back and go on with old attempts, and pieces of
//! streams arrive late or doubled.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::split::{Attempts, Links, StageHolder, plan};
use godwit_core::stream::AnswerAssembly;
use godwit_schema::engine::Stage;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const LAYERS: u32 = 6;
const TOKENS: u32 = 5;
const RANGES: [(u32, u32); 6] = [(0, 3), (3, 6), (0, 4), (2, 6), (0, 6), (1, 5)];

/// The oracle is the promise itself, checked on what the engines ran: it needs no state of its own.
#[derive(Clone, Debug)]
struct Oracle;

#[derive(Clone, Debug)]
enum Step {
    /// A stream runs its next position, also one that the host has given up.
    Run {
        stream: usize,
    },
    /// A piece on its way arrives.
    Deliver {
        piece: usize,
    },
    /// A piece on its way is doubled.
    Double {
        piece: usize,
    },
    Kill {
        engine: usize,
    },
    Hang {
        engine: usize,
    },
    Restore {
        engine: usize,
    },
    /// The host gives up a silent attempt.
    GiveUp,
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle).boxed()
    }

    fn transitions(_: &Oracle) -> BoxedStrategy<Step> {
        let engine = || 0..RANGES.len();
        prop_oneof![
            8 => (0usize..4).prop_map(|stream| Step::Run { stream }),
            8 => (0usize..4).prop_map(|piece| Step::Deliver { piece }),
            1 => (0usize..4).prop_map(|piece| Step::Double { piece }),
            1 => engine().prop_map(|engine| Step::Kill { engine }),
            1 => engine().prop_map(|engine| Step::Hang { engine }),
            1 => engine().prop_map(|engine| Step::Restore { engine }),
            1 => Just(Step::GiveUp),
        ]
        .boxed()
    }

    fn apply(state: Oracle, _: &Step) -> Oracle {
        state
    }
}

trait Subject {
    /// Stages run the layers of the plan, not all that their servers hold.
    const KEEPS_TO_PLAN: bool = true;
    /// Pieces are taken for what they are, not as pieces of the current attempt.
    const CHECKS_ATTEMPT: bool = true;
    /// A failed server is left out of the next plan.
    const LEAVES_OUT: bool = true;
}

struct Real;
impl Subject for Real {}

struct WholeRanges;
impl Subject for WholeRanges {
    const KEEPS_TO_PLAN: bool = false;
}

struct NoAttemptCheck;
impl Subject for NoAttemptCheck {
    const CHECKS_ATTEMPT: bool = false;
}

struct KeepsFailed;
impl Subject for KeepsFailed {
    const LEAVES_OUT: bool = false;
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Live,
    Dead,
    Hung,
}

/// An engine, as far as it refuses steps.
#[derive(Clone, Debug)]
struct Engine {
    health: Health,
    newest_attempt: u32,
    done: BTreeSet<(u32, u32)>,
}

#[derive(Clone, Debug)]
struct Stream {
    attempt: u32,
    stages: Vec<Stage>,
    next_position: u32,
    /// The stage at which the position waits.
    next_stage: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Piece {
    attempt: u32,
    position: u32,
}

struct World<S> {
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    pieces: Vec<Piece>,
    assembly: AnswerAssembly,
    attempts: Attempts,
    attempt: u32,
    accepted: Vec<Piece>,
    /// Layers that each piece crossed, in order.
    crossed: BTreeMap<Piece, Vec<u32>>,
    subject: std::marker::PhantomData<S>,
}

fn name(engine: usize) -> String {
    format!("s{engine}")
}

fn index(stage: &Stage) -> usize {
    stage.server[1..].parse().unwrap()
}

fn holders() -> Vec<StageHolder> {
    let ranges = RANGES.iter().enumerate();
    ranges
        .map(|(engine, &(layer_from, layer_to))| StageHolder {
            server: name(engine),
            address: String::new(),
            failure_domain: "hall-a".to_string(),
            layer_from,
            layer_to,
            layer_us: 10 + engine as u64 * 7,
            overhead_us: 1,
        })
        .collect()
}

impl<S: Subject> World<S> {
    fn new() -> World<S> {
        let engine = Engine { health: Health::Live, newest_attempt: 0, done: BTreeSet::new() };
        let mut world = World {
            engines: vec![engine; RANGES.len()],
            streams: Vec::new(),
            pieces: Vec::new(),
            assembly: AnswerAssembly::new(TOKENS),
            attempts: Attempts::default(),
            attempt: 0,
            accepted: Vec::new(),
            crossed: BTreeMap::new(),
            subject: std::marker::PhantomData,
        };
        world.begin_attempt();
        world
    }

    /// Plans around the failed servers and resumes at the first missing token.
    fn begin_attempt(&mut self) {
        let plan = plan(LAYERS, &holders(), &Links::default(), self.attempts.failed());
        let Some(plan) = plan else { return };
        self.attempts.begin(&plan.stages);
        self.attempt = self.assembly.begin_attempt();
        let next_position = self.assembly.next_position();
        let stages = plan.stages;
        self.streams.push(Stream { attempt: self.attempt, stages, next_position, next_stage: 0 });
    }

    fn run(&mut self, number: usize) {
        let Some(stream) = self.streams.get(number).cloned() else { return };
        if stream.next_position >= TOKENS {
            return;
        }
        let piece = Piece { attempt: stream.attempt, position: stream.next_position };
        for stage in &stream.stages[stream.next_stage..] {
            let engine = &mut self.engines[index(stage)];
            match engine.health {
                Health::Hung => return,
                Health::Dead => return self.stream_failed(number, index(stage)),
                Health::Live => {}
            }
            let step = (piece.attempt, piece.position);
            if piece.attempt < engine.newest_attempt || !engine.done.insert(step) {
                return self.stream_failed(number, index(stage));
            }
            engine.newest_attempt = piece.attempt;
            let range = RANGES[index(stage)];
            let planned = (stage.layer_from, stage.layer_to);
            let (from, to) = if S::KEEPS_TO_PLAN { planned } else { range };
            self.crossed.entry(piece).or_default().extend(from..to);
            self.streams[number].next_stage += 1;
        }
        self.streams[number].next_position += 1;
        self.streams[number].next_stage = 0;
        self.pieces.push(piece);
    }

    /// Kills an engine: it forgets, and the streams that begin on it end.
    fn kill(&mut self, engine: usize) {
        self.engines[engine] =
            Engine { health: Health::Dead, newest_attempt: 0, done: BTreeSet::new() };
        for number in 0..self.streams.len() {
            let stream = &self.streams[number];
            if index(&stream.stages[0]) == engine && stream.next_position < TOKENS {
                self.stream_failed(number, engine);
            }
        }
    }

    fn stream_failed(&mut self, number: usize, engine: usize) {
        let is_current = self.streams[number].attempt == self.attempt;
        // A stream that has failed sends nothing more.
        self.streams[number].next_position = TOKENS;
        if is_current {
            self.fail(&[engine]);
        }
    }

    fn fail(&mut self, engines: &[usize]) {
        if S::LEAVES_OUT {
            engines.iter().for_each(|&engine| self.attempts.server_failed(&name(engine)));
        }
        self.begin_attempt();
    }

    fn deliver(&mut self, number: usize) {
        if number >= self.pieces.len() {
            return;
        }
        let piece = self.pieces.remove(number);
        let claimed = if S::CHECKS_ATTEMPT { piece.attempt } else { self.attempt };
        let text = format!("{}:{}", piece.attempt, piece.position);
        if self.assembly.accept_token(claimed, piece.position, &text).is_ok() {
            assert_eq!(piece.attempt, self.attempt, "a piece of an old attempt was taken");
            self.accepted.push(piece);
        }
    }

    fn give_up(&mut self) {
        let Some(current) = self.streams.iter().find(|s| s.attempt == self.attempt) else { return };
        let stages = current.stages.iter().map(index);
        let hung: Vec<usize> =
            stages.filter(|&engine| self.engines[engine].health == Health::Hung).collect();
        if !hung.is_empty() {
            self.fail(&hung);
        }
    }

    /// Runs the current attempt to its end, with pieces in order, as long as plans are left.
    fn complete(&mut self) {
        for _ in 0..2 * RANGES.len() + 1 {
            self.give_up();
            let Some(number) = self.streams.iter().position(|s| s.attempt == self.attempt) else {
                return;
            };
            for _ in 0..TOKENS {
                self.run(number);
            }
            self.pieces.sort();
            while !self.pieces.is_empty() {
                self.deliver(0);
            }
            if self.accepted.len() < TOKENS as usize && self.streams[number].attempt == self.attempt
            {
                // Pieces that overtook others were dropped: the end of the stream does not fit.
                self.begin_attempt();
            }
        }
    }

    fn assert_crossed_once(&self) {
        let all_layers: Vec<u32> = (0..LAYERS).collect();
        for (position, piece) in self.accepted.iter().enumerate() {
            assert_eq!(piece.position as usize, position, "tokens out of order");
            assert_eq!(self.crossed[piece], all_layers, "layers of {piece:?}");
        }
    }
}

struct Fuzz<S>(std::marker::PhantomData<S>);

impl<S: Subject> StateMachineTest for Fuzz<S> {
    type SystemUnderTest = World<S>;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> World<S> {
        World::new()
    }

    fn apply(mut world: World<S>, _: &Oracle, step: Step) -> World<S> {
        match step {
            Step::Run { stream } => {
                // The newest streams come first.
                let newest = world.streams.len().checked_sub(stream + 1);
                newest.into_iter().for_each(|number| world.run(number));
            }
            Step::Deliver { piece } => world.deliver(piece),
            Step::Double { piece } => {
                let doubled = world.pieces.get(piece).copied();
                world.pieces.extend(doubled);
            }
            Step::Kill { engine } => world.kill(engine),
            Step::Hang { engine } => {
                if world.engines[engine].health == Health::Live {
                    world.engines[engine].health = Health::Hung;
                }
            }
            Step::Restore { engine } => world.engines[engine].health = Health::Live,
            Step::GiveUp => world.give_up(),
        }
        world
    }

    fn check_invariants(world: &World<S>, _: &Oracle) {
        world.assert_crossed_once();
    }

    fn teardown(mut world: World<S>, _: Oracle) {
        world.complete();
        world.assert_crossed_once();
        let can_go_on =
            plan(LAYERS, &holders(), &Links::default(), world.attempts.failed()).is_some();
        if can_go_on {
            assert_eq!(world.accepted.len(), TOKENS as usize, "the answer is not whole");
        }
    }
}

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(0x59117), failure_persistence: None, ..Config::default() }
}

fn fuzz<S: Subject>() {
    let strategy = Oracle::sequential_strategy(1..80);
    let result = TestRunner::new(config()).run(&strategy, |(initial, steps, seen)| {
        Fuzz::<S>::test_sequential(config(), initial, steps, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn attempts_cross_each_layer_once() {
    fuzz::<Real>();
}

#[test]
#[should_panic(expected = "layers of")]
fn attempts_with_whole_ranges_are_caught() {
    fuzz::<WholeRanges>();
}

#[test]
#[should_panic(expected = "a piece of an old attempt was taken")]
fn attempts_without_attempt_check_are_caught() {
    fuzz::<NoAttemptCheck>();
}

#[test]
#[should_panic(expected = "the answer is not whole")]
fn attempts_that_keep_failed_servers_are_caught() {
    fuzz::<KeepsFailed>();
}

#[test]
fn attempts_rebuild_only_lost_state() {
    let stage = |server: &str, layer_from, layer_to| Stage {
        server: server.to_string(),
        address: String::new(),
        layer_from,
        layer_to,
    };
    let mut attempts = Attempts::default();
    let first = attempts.begin(&[stage("s1", 0, 4), stage("s2", 4, 8)]);
    assert_eq!(first.rebuilt_layers(), 8);
    attempts.server_failed("s2");
    // The first stage runs less than it did; the last is new.
    let second = attempts.begin(&[stage("s1", 0, 3), stage("s3", 3, 8)]);
    assert_eq!((second.reused.len(), second.rebuilt_layers()), (1, 5));
    // A stage that grows beyond what it ran has to rebuild.
    let third = attempts.begin(&[stage("s1", 0, 4), stage("s3", 4, 8)]);
    assert_eq!((third.reused.len(), third.rebuilt_layers()), (1, 4));
}
