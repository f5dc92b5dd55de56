//! Stateful fuzzing of the queue against a plain list.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p godwit-core --test queue_model` runs more cases.

use std::collections::BTreeMap;

use godwit_core::UnixMs;
use godwit_core::queue::{Queue, QueueFull, Ticket, WaitClass, Waiting};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const LIMIT: usize = 12;

/// Weighted work by which one workspace may get ahead of another that waits with it: the quantum and one request
/// on each side.
const FAIRNESS_BOUND: u64 = 2_048 + 2 * MOST_COST;
const MOST_COST: u64 = 2_000;

type Level = (u8, WaitClass);

#[derive(Clone, Debug)]
enum Step {
    Push(Waiting),
    GrantNext,
    Remove(usize),
    Overdue(UnixMs),
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    next_ticket: u64,
}

fn class() -> impl Strategy<Value = WaitClass> {
    prop_oneof![
        6 => Just(WaitClass::Ordinary),
        1 => Just(WaitClass::Reserve),
        1 => Just(WaitClass::Once),
    ]
}

fn priority() -> impl Strategy<Value = u8> {
    prop_oneof![6 => Just(0), 1 => Just(1)]
}

fn waiting(ticket: u64) -> impl Strategy<Value = Waiting> {
    let parts = (0..4_u8, 1..3_u32, priority(), class(), 0..500_u64, 1..=MOST_COST);
    parts.prop_map(move |(workspace, weight, priority, class, deadline, cost_tokens)| Waiting {
        ticket: Ticket(ticket),
        workspace: format!("workspace-{workspace}"),
        weight: if workspace == 0 { weight } else { 1 },
        priority,
        class,
        deadline: UnixMs(deadline),
        start_by: UnixMs(deadline / 2),
        cost_tokens,
    })
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle::default()).boxed()
    }

    fn transitions(state: &Oracle) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => waiting(state.next_ticket).prop_map(Step::Push),
            4 => Just(Step::GrantNext),
            1 => (0..LIMIT).prop_map(Step::Remove),
            1 => (0..300_u64).prop_map(|at| Step::Overdue(UnixMs(at))),
        ]
        .boxed()
    }

    fn apply(mut state: Oracle, step: &Step) -> Oracle {
        if let Step::Push(_) = step {
            state.next_ticket += 1;
        }
        state
    }
}

struct Checked {
    queue: Queue,
    waiting: Vec<Waiting>,
    /// Weighted work granted to each workspace since the level was last without a wait of each.
    granted: BTreeMap<(Level, String), u64>,
}

fn level(waiting: &Waiting) -> Level {
    (waiting.priority, waiting.class)
}

impl Checked {
    fn push(&mut self, newcomer: Waiting) {
        let is_full = self.waiting.len() == LIMIT;
        let least = self.waiting.iter().map(level).min();
        match self.queue.push(newcomer.clone()) {
            Ok(None) => assert!(!is_full),
            Ok(Some(shed)) => {
                assert!(is_full);
                assert_eq!(Some(level(&shed)), least, "the least valuable is shed");
                assert!(level(&shed) <= level(&newcomer));
                self.take(shed.ticket);
            }
            Err(QueueFull) => {
                assert!(is_full);
                assert!(least >= Some(level(&newcomer)), "something less valuable waits");
                return;
            }
        }
        self.waiting.push(newcomer);
    }

    fn grant_next(&mut self) {
        let next = self.queue.in_order().next().map(|next| next.ticket);
        let Some(ticket) = next else {
            return assert!(self.waiting.is_empty(), "a ticket is lost");
        };
        let granted = self.queue.grant(ticket).expect("the next one waits");
        let highest = self.waiting.iter().map(|waiting| waiting.priority).max();
        assert_eq!(Some(granted.priority), highest, "priority goes first");
        let same_lane = |other: &&Waiting| {
            level(other) == level(&granted) && other.workspace == granted.workspace
        };
        let earliest = self.waiting.iter().filter(same_lane).map(|other| other.deadline).min();
        assert_eq!(Some(granted.deadline), earliest, "the deadline decides in a workspace");
        let work = granted.cost_tokens / u64::from(granted.weight);
        *self.granted.entry((level(&granted), granted.workspace.clone())).or_default() += work;
        self.take(ticket);
    }

    fn take(&mut self, ticket: Ticket) {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        assert_eq!(self.waiting.len() + 1, before);
    }

    fn waits(&self, level_of: Level, workspace: &str) -> bool {
        self.waiting.iter().any(|other| level(other) == level_of && other.workspace == workspace)
    }

    /// Counts only while both sides wait, so that the counts of those that do not are dropped.
    fn check_fairness(&mut self) {
        let idle: Vec<(Level, String)> =
            self.granted.keys().filter(|(of, name)| !self.waits(*of, name)).cloned().collect();
        let levels: Vec<Level> = idle.iter().map(|(of, _)| *of).collect();
        self.granted.retain(|(of, _), _| !levels.contains(of));
        for ((level_a, a), work_a) in &self.granted {
            for ((level_b, b), work_b) in &self.granted {
                if level_a == level_b {
                    let ahead = work_a.saturating_sub(*work_b);
                    assert!(ahead <= FAIRNESS_BOUND, "{a} is {ahead} ahead of {b}");
                }
            }
        }
    }
}

impl StateMachineTest for Checked {
    type SystemUnderTest = Checked;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Checked {
        Checked { queue: Queue::new(LIMIT), waiting: Vec::new(), granted: BTreeMap::new() }
    }

    fn apply(mut state: Checked, _: &Oracle, step: Step) -> Checked {
        match step {
            Step::Push(newcomer) => state.push(newcomer),
            Step::GrantNext => state.grant_next(),
            Step::Remove(at) => {
                if let Some(ticket) = state.waiting.get(at).map(|waiting| waiting.ticket) {
                    assert!(state.queue.remove(ticket).is_some());
                    assert!(state.queue.remove(ticket).is_none());
                    state.take(ticket);
                }
            }
            Step::Overdue(now) => {
                let mut overdue = state.queue.overdue(now);
                overdue.sort();
                let past = state.waiting.iter().filter(|waiting| waiting.start_by < now);
                let mut expected: Vec<Ticket> = past.map(|waiting| waiting.ticket).collect();
                expected.sort();
                assert_eq!(overdue, expected);
            }
        }
        state.check_fairness();
        state
    }

    fn check_invariants(state: &Checked, _: &Oracle) {
        assert!(state.queue.len() <= LIMIT);
        let mut expected = state.waiting.clone();
        expected.sort_by_key(|waiting| waiting.ticket);
        let held: Vec<Waiting> = state.queue.iter().cloned().collect();
        assert_eq!(held, expected);
        assert_eq!(state.queue.in_order().next().is_none(), expected.is_empty());
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x60d0_0001),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn queue_keeps_to_the_plain_list(sequential 1..120 => Checked);
}
