//! Stateful fuzz test of the queue against a plain list. Guards against lost tickets, grants out of order, unfair
//! sharing between workspaces, and shedding of the wrong request.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p godwit-core --test queue_model` runs more cases.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::UnixMs;
use godwit_core::queue::{Queue, QueueFull, QueuedRequest, Ticket, WaitClass};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const LIMIT: usize = 12;

/// Maximum weighted work by which one workspace may get ahead of another while both have queued requests, in tokens:
/// the quantum and one request of each side, counted both for the state when they began to wait and for the present
/// state.
const MAX_LEAD_TOKENS: i64 = 2 * (2_048 + 2 * MAX_COST_TOKENS.cast_signed());
const MAX_COST_TOKENS: u64 = 800;

/// Offset between the deadlines of successive workspaces, in milliseconds, so that an order by deadline alone would
/// starve some workspaces.
const DEADLINE_OFFSET_MS: u64 = 400;

type Level = (u8, WaitClass);

#[derive(Clone, Debug)]
enum Step {
    Push(QueuedRequest),
    GrantNext,
    Remove(usize),
    Overdue(UnixMs),
}

/// Reference state, which is empty, since any step may follow any other.
#[derive(Clone, Debug)]
struct NoState;

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

fn waiting() -> impl Strategy<Value = QueuedRequest> {
    let parts = (0..4_u8, 1..3_u32, priority(), class(), 0..500_u64, 400..=MAX_COST_TOKENS);
    parts.prop_map(move |(workspace, weight, priority, class, deadline, cost_tokens)| {
        QueuedRequest {
            ticket: Ticket(0),
            workspace: format!("workspace-{workspace}"),
            weight: if workspace == 0 { weight } else { 1 },
            priority,
            class,
            deadline: UnixMs(deadline + DEADLINE_OFFSET_MS * u64::from(workspace)),
            start_by: UnixMs(deadline / 2),
            cost_tokens,
        }
    })
}

impl ReferenceStateMachine for NoState {
    type State = NoState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<NoState> {
        Just(NoState).boxed()
    }

    fn transitions(_: &NoState) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => waiting().prop_map(Step::Push),
            3 => Just(Step::GrantNext),
            1 => (0..LIMIT).prop_map(Step::Remove),
            1 => (0..300_u64).prop_map(|at| Step::Overdue(UnixMs(at))),
        ]
        .boxed()
    }

    fn apply(state: NoState, _: &Step) -> NoState {
        state
    }
}

/// Two workspaces with queued requests of the same level.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Pair {
    level: Level,
    a: String,
    b: String,
}

struct Harness {
    next_ticket: u64,
    queue: Queue,
    waiting: Vec<QueuedRequest>,
    /// Weighted work by which the first workspace got ahead of the second since both wait, in tokens.
    leads: BTreeMap<Pair, i64>,
}

fn level(waiting: &QueuedRequest) -> Level {
    (waiting.priority, waiting.class)
}

impl Harness {
    fn push(&mut self, newest: QueuedRequest) {
        self.next_ticket += 1;
        let newest = QueuedRequest { ticket: Ticket(self.next_ticket), ..newest };
        let is_full = self.waiting.len() == LIMIT;
        let lowest = self.waiting.iter().map(level).min();
        match self.queue.push(newest.clone()) {
            Ok(None) => assert!(!is_full),
            Ok(Some(shed)) => {
                assert!(is_full);
                assert_eq!(Some(level(&shed)), lowest, "the least valuable is shed");
                assert!(level(&shed) <= level(&newest));
                if level(&shed) == level(&newest) {
                    let own = self.count(&newest);
                    assert!(
                        self.count(&shed) > own + 1,
                        "shed from a workspace that is not above its share"
                    );
                }
                self.remove_waiting(shed.ticket);
            }
            Err(QueueFull) => {
                assert!(is_full);
                assert!(
                    lowest >= Some(level(&newest)),
                    "refused although a less valuable request waits"
                );
                let same_level = |other: &&QueuedRequest| level(other) == level(&newest);
                let most =
                    self.waiting.iter().filter(same_level).map(|other| self.count(other)).max();
                let has_its_share = most.is_none_or(|most| most <= self.count(&newest) + 1);
                assert!(
                    lowest > Some(level(&newest)) || has_its_share,
                    "refused although its workspace is below its share"
                );
                return;
            }
        }
        self.waiting.push(newest);
    }

    /// Returns the number of queued requests in the lane of `request`.
    fn count(&self, request: &QueuedRequest) -> usize {
        let same_lane = |other: &&QueuedRequest| {
            level(other) == level(request) && other.workspace == request.workspace
        };
        self.waiting.iter().filter(same_lane).count()
    }

    fn grant_next(&mut self) {
        let next = self.queue.grant_order().next().map(|next| next.ticket);
        let Some(ticket) = next else {
            return assert!(self.waiting.is_empty(), "a ticket was lost");
        };
        let granted = self.queue.grant(ticket).expect("the next request waits");
        let highest = self.waiting.iter().map(|waiting| waiting.priority).max();
        assert_eq!(Some(granted.priority), highest, "the highest priority is granted first");
        let same_lane = |other: &&QueuedRequest| {
            level(other) == level(&granted) && other.workspace == granted.workspace
        };
        let earliest = self.waiting.iter().filter(same_lane).map(|other| other.deadline).min();
        assert_eq!(
            Some(granted.deadline),
            earliest,
            "the earliest deadline of a workspace is granted first"
        );
        let work_tokens = granted.cost_tokens / u64::from(granted.weight);
        self.record_lead(level(&granted), &granted.workspace, work_tokens.cast_signed());
        self.remove_waiting(ticket);
    }

    fn remove_waiting(&mut self, ticket: Ticket) {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        assert_eq!(self.waiting.len() + 1, before);
    }

    fn has_waiting(&self, of_level: Level, workspace: &str) -> bool {
        self.waiting.iter().any(|other| level(other) == of_level && other.workspace == workspace)
    }

    /// Adds granted work of a workspace to its lead over each other workspace with queued requests of the same level.
    fn record_lead(&mut self, of_level: Level, granted: &str, work_tokens: i64) {
        for other in self.workspaces_waiting(of_level).filter(|other| other != granted) {
            let (forward, reverse) =
                (pair(of_level, granted, &other), pair(of_level, &other, granted));
            *self.leads.entry(forward).or_default() += work_tokens;
            *self.leads.entry(reverse).or_default() -= work_tokens;
        }
    }

    fn workspaces_waiting(&self, of_level: Level) -> impl Iterator<Item = String> + use<> {
        let same_level = self.waiting.iter().filter(|other| level(other) == of_level);
        let names: BTreeSet<String> = same_level.map(|other| other.workspace.clone()).collect();
        names.into_iter()
    }

    /// Checks the lead of each workspace over each other one. Drops pairs that no longer both wait.
    fn check_fairness(&mut self) {
        let pairs = std::mem::take(&mut self.leads);
        let both_wait = |pair: &Pair| {
            self.has_waiting(pair.level, &pair.a) && self.has_waiting(pair.level, &pair.b)
        };
        let kept: BTreeMap<Pair, i64> =
            pairs.into_iter().filter(|(pair, _)| both_wait(pair)).collect();
        for (pair, lead) in &kept {
            assert!(*lead <= MAX_LEAD_TOKENS, "{pair:?} by {lead}");
        }
        self.leads = kept;
    }
}

fn pair(level: Level, a: &str, b: &str) -> Pair {
    Pair { level, a: a.to_string(), b: b.to_string() }
}

impl StateMachineTest for Harness {
    type SystemUnderTest = Harness;
    type Reference = NoState;

    fn init_test(_: &NoState) -> Harness {
        Harness {
            next_ticket: 0,
            queue: Queue::new(LIMIT),
            waiting: Vec::new(),
            leads: BTreeMap::new(),
        }
    }

    fn apply(mut state: Harness, _: &NoState, step: Step) -> Harness {
        match step {
            Step::Push(newest) => state.push(newest),
            Step::GrantNext => state.grant_next(),
            Step::Remove(at) => {
                if let Some(ticket) = state.waiting.get(at).map(|waiting| waiting.ticket) {
                    assert!(state.queue.remove(ticket).is_some());
                    assert!(state.queue.remove(ticket).is_none());
                    state.remove_waiting(ticket);
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

    fn check_invariants(state: &Harness, _: &NoState) {
        assert!(state.queue.len() <= LIMIT);
        let mut expected = state.waiting.clone();
        expected.sort_by_key(|waiting| waiting.ticket);
        let held: Vec<QueuedRequest> = state.queue.iter().cloned().collect();
        assert_eq!(held, expected);
        assert_eq!(state.queue.grant_order().next().is_none(), expected.is_empty());
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x60d0_0001),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn queue_matches_the_list(sequential 1..300 => Harness);
}
