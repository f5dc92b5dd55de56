//! Stateful fuzz test of the attempts of a split model: engines stop, hang, recover and continue old attempts, and
//! pieces of streams arrive late or twice. Guards against layers that run twice or not at all for a token, tokens of an
//! old attempt in the answer, and answers that stay incomplete.

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

/// Reference without state: the invariants are checked directly on the layers that the engines ran.
#[derive(Clone, Debug)]
struct Oracle;

#[derive(Clone, Debug)]
enum Step {
    /// A stream runs its next position, even if the host has abandoned its attempt.
    Run {
        stream: usize,
    },
    /// A piece in flight arrives.
    Deliver {
        piece: usize,
    },
    /// A piece in flight is duplicated.
    Duplicate {
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
    /// The host abandons the current attempt if one of its engines hangs.
    AbandonHung,
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
            1 => (0usize..4).prop_map(|piece| Step::Duplicate { piece }),
            1 => engine().prop_map(|engine| Step::Kill { engine }),
            1 => engine().prop_map(|engine| Step::Hang { engine }),
            1 => engine().prop_map(|engine| Step::Restore { engine }),
            1 => Just(Step::AbandonHung),
        ]
        .boxed()
    }

    fn apply(state: Oracle, _: &Step) -> Oracle {
        state
    }
}

/// Variant of the implementation; all but [`Real`] have an injected fault.
trait Variant {
    /// Whether stages run only the planned layers, not all layers that their servers hold.
    const RUNS_PLANNED_LAYERS: bool = true;
    /// Whether pieces carry the number of their own attempt, not that of the current one.
    const KEEPS_ATTEMPT_NUMBER: bool = true;
    /// Whether a failed server is excluded from the next plan.
    const EXCLUDES_FAILED: bool = true;
}

struct Real;
impl Variant for Real {}

struct RunsWholeRanges;
impl Variant for RunsWholeRanges {
    const RUNS_PLANNED_LAYERS: bool = false;
}

struct ClaimsCurrentAttempt;
impl Variant for ClaimsCurrentAttempt {
    const KEEPS_ATTEMPT_NUMBER: bool = false;
}

struct KeepsFailed;
impl Variant for KeepsFailed {
    const EXCLUDES_FAILED: bool = false;
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Live,
    Dead,
    Hung,
}

/// State of an engine that determines whether it accepts a step.
#[derive(Clone, Debug)]
struct Engine {
    health: Health,
    newest_attempt: u32,
    completed: BTreeSet<(u32, u32)>,
}

#[derive(Clone, Debug)]
struct Stream {
    attempt: u32,
    stages: Vec<Stage>,
    next_position: u32,
    /// Index of the stage that runs the position next.
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
    /// Layers run for each piece, in order.
    layers_run: BTreeMap<Piece, Vec<u32>>,
    variant: std::marker::PhantomData<S>,
}

fn server_name(engine: usize) -> String {
    format!("s{engine}")
}

fn engine_index(stage: &Stage) -> usize {
    stage.server[1..].parse().unwrap()
}

fn holders() -> Vec<StageHolder> {
    let ranges = RANGES.iter().enumerate();
    ranges
        .map(|(engine, &(layer_from, layer_to))| StageHolder {
            server: server_name(engine),
            address: String::new(),
            failure_domain: "hall-a".to_string(),
            layer_from,
            layer_to,
            layer_us: 10 + engine as u64 * 7,
            overhead_us: 1,
        })
        .collect()
}

impl<S: Variant> World<S> {
    fn new() -> World<S> {
        let engine = Engine { health: Health::Live, newest_attempt: 0, completed: BTreeSet::new() };
        let mut world = World {
            engines: vec![engine; RANGES.len()],
            streams: Vec::new(),
            pieces: Vec::new(),
            assembly: AnswerAssembly::new(TOKENS),
            attempts: Attempts::default(),
            attempt: 0,
            accepted: Vec::new(),
            layers_run: BTreeMap::new(),
            variant: std::marker::PhantomData,
        };
        world.begin_attempt();
        world
    }

    /// Starts an attempt whose plan excludes the failed servers, at the first missing token.
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
            let engine = &mut self.engines[engine_index(stage)];
            match engine.health {
                Health::Hung => return,
                Health::Dead => return self.stream_failed(number, engine_index(stage)),
                Health::Live => {}
            }
            let step = (piece.attempt, piece.position);
            if piece.attempt < engine.newest_attempt || !engine.completed.insert(step) {
                return self.stream_failed(number, engine_index(stage));
            }
            engine.newest_attempt = piece.attempt;
            let range = RANGES[engine_index(stage)];
            let planned = (stage.layer_from, stage.layer_to);
            let (from, to) = if S::RUNS_PLANNED_LAYERS { planned } else { range };
            self.layers_run.entry(piece).or_default().extend(from..to);
            self.streams[number].next_stage += 1;
        }
        self.streams[number].next_position += 1;
        self.streams[number].next_stage = 0;
        self.pieces.push(piece);
    }

    /// Stops an engine, which loses its state. Streams whose first stage runs on it end.
    fn kill(&mut self, engine: usize) {
        self.engines[engine] =
            Engine { health: Health::Dead, newest_attempt: 0, completed: BTreeSet::new() };
        for number in 0..self.streams.len() {
            let stream = &self.streams[number];
            if engine_index(&stream.stages[0]) == engine && stream.next_position < TOKENS {
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
        if S::EXCLUDES_FAILED {
            engines.iter().for_each(|&engine| self.attempts.server_failed(&server_name(engine)));
        }
        self.begin_attempt();
    }

    fn deliver(&mut self, number: usize) {
        if number >= self.pieces.len() {
            return;
        }
        let piece = self.pieces.remove(number);
        let claimed = if S::KEEPS_ATTEMPT_NUMBER { piece.attempt } else { self.attempt };
        let text = format!("{}:{}", piece.attempt, piece.position);
        if self.assembly.accept_token(claimed, piece.position, &text).is_ok() {
            assert_eq!(piece.attempt, self.attempt, "a piece of an old attempt was accepted");
            self.accepted.push(piece);
        }
    }

    fn abandon_hung(&mut self) {
        let Some(current) = self.streams.iter().find(|s| s.attempt == self.attempt) else { return };
        let stages = current.stages.iter().map(engine_index);
        let hung: Vec<usize> =
            stages.filter(|&engine| self.engines[engine].health == Health::Hung).collect();
        if !hung.is_empty() {
            self.fail(&hung);
        }
    }

    /// Runs the current attempt to its end with all pieces delivered in order, and repeats while there is a plan.
    fn complete(&mut self) {
        for _ in 0..2 * RANGES.len() + 1 {
            self.abandon_hung();
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
                // Pieces that overtook others were dropped, so the answer is incomplete at the end of the stream.
                self.begin_attempt();
            }
        }
    }

    fn assert_layers_run_once(&self) {
        let all_layers: Vec<u32> = (0..LAYERS).collect();
        for (position, piece) in self.accepted.iter().enumerate() {
            assert_eq!(piece.position as usize, position, "tokens out of order");
            assert_eq!(self.layers_run[piece], all_layers, "layers of {piece:?}");
        }
    }
}

struct Fuzz<S>(std::marker::PhantomData<S>);

impl<S: Variant> StateMachineTest for Fuzz<S> {
    type SystemUnderTest = World<S>;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> World<S> {
        World::new()
    }

    fn apply(mut world: World<S>, _: &Oracle, step: Step) -> World<S> {
        match step {
            Step::Run { stream } => {
                // Streams are numbered from the newest.
                let newest = world.streams.len().checked_sub(stream + 1);
                newest.into_iter().for_each(|number| world.run(number));
            }
            Step::Deliver { piece } => world.deliver(piece),
            Step::Duplicate { piece } => {
                let duplicate = world.pieces.get(piece).copied();
                world.pieces.extend(duplicate);
            }
            Step::Kill { engine } => world.kill(engine),
            Step::Hang { engine } => {
                if world.engines[engine].health == Health::Live {
                    world.engines[engine].health = Health::Hung;
                }
            }
            Step::Restore { engine } => world.engines[engine].health = Health::Live,
            Step::AbandonHung => world.abandon_hung(),
        }
        world
    }

    fn check_invariants(world: &World<S>, _: &Oracle) {
        world.assert_layers_run_once();
    }

    fn teardown(mut world: World<S>, _: Oracle) {
        world.complete();
        world.assert_layers_run_once();
        let has_plan =
            plan(LAYERS, &holders(), &Links::default(), world.attempts.failed()).is_some();
        if has_plan {
            assert_eq!(world.accepted.len(), TOKENS as usize, "the answer is incomplete");
        }
    }
}

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(0x59117), failure_persistence: None, ..Config::default() }
}

fn fuzz<S: Variant>() {
    let strategy = Oracle::sequential_strategy(1..80);
    let result = TestRunner::new(config()).run(&strategy, |(initial, steps, seen_counter)| {
        Fuzz::<S>::test_sequential(config(), initial, steps, seen_counter);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn attempts_run_each_layer_once() {
    fuzz::<Real>();
}

#[test]
#[should_panic(expected = "layers of")]
fn attempts_with_whole_ranges_are_detected() {
    fuzz::<RunsWholeRanges>();
}

#[test]
#[should_panic(expected = "a piece of an old attempt was accepted")]
fn attempts_without_attempt_check_are_detected() {
    fuzz::<ClaimsCurrentAttempt>();
}

#[test]
#[should_panic(expected = "the answer is incomplete")]
fn attempts_that_keep_failed_servers_are_detected() {
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
    // The first stage runs fewer layers than before, the last stage is new.
    let second = attempts.begin(&[stage("s1", 0, 3), stage("s3", 3, 8)]);
    assert_eq!((second.reused.len(), second.rebuilt_layers()), (1, 5));
    // A stage with more layers than before must be rebuilt.
    let third = attempts.begin(&[stage("s1", 0, 4), stage("s3", 4, 8)]);
    assert_eq!((third.reused.len(), third.rebuilt_layers()), (1, 4));
}
