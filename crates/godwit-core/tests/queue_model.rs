//! Stateful fuzzing of the queue against a plain list.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p godwit-core --test queue_model` runs more cases.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::UnixMs;
use godwit_core::queue::{Queue, QueueFull, QueuedRequest, Ticket, WaitClass};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const LIMIT: usize = 12;

/// Weighted work by which one workspace may get ahead of another that waits with it: the quantum and a request on
/// each side, once for what they had when both began to wait and once for what they have now.
const FAIRNESS_BOUND: i64 = 2 * (2_048 + 2 * MOST_COST.cast_signed());
const MOST_COST: u64 = 800;

/// Workspaces differ in their deadlines, so that the order by deadline alone would starve some.
const DEADLINES_APART_MS: u64 = 400;

type Level = (u8, WaitClass);

#[derive(Clone, Debug)]
enum Step {
    Push(QueuedRequest),
    GrantNext,
    Remove(usize),
    Overdue(UnixMs),
}

/// Nothing decides which steps may follow.
#[derive(Clone, Debug)]
struct Plan;

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
    let parts = (0..4_u8, 1..3_u32, priority(), class(), 0..500_u64, 400..=MOST_COST);
    parts.prop_map(move |(workspace, weight, priority, class, deadline, cost_tokens)| {
        QueuedRequest {
            ticket: Ticket(0),
            workspace: format!("workspace-{workspace}"),
            weight: if workspace == 0 { weight } else { 1 },
            priority,
            class,
            deadline: UnixMs(deadline + DEADLINES_APART_MS * u64::from(workspace)),
            start_by: UnixMs(deadline / 2),
            cost_tokens,
        }
    })
}

impl ReferenceStateMachine for Plan {
    type State = Plan;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Plan> {
        Just(Plan).boxed()
    }

    fn transitions(_: &Plan) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => waiting().prop_map(Step::Push),
            3 => Just(Step::GrantNext),
            1 => (0..LIMIT).prop_map(Step::Remove),
            1 => (0..300_u64).prop_map(|at| Step::Overdue(UnixMs(at))),
        ]
        .boxed()
    }

    fn apply(state: Plan, _: &Step) -> Plan {
        state
    }
}

/// Two workspaces that wait on one level.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Pair {
    level: Level,
    a: String,
    b: String,
}

struct Checked {
    next_ticket: u64,
    queue: Queue,
    waiting: Vec<QueuedRequest>,
    /// Weighted work by which a workspace is ahead of another since both wait.
    ahead: BTreeMap<Pair, i64>,
}

fn level(waiting: &QueuedRequest) -> Level {
    (waiting.priority, waiting.class)
}

impl Checked {
    fn push(&mut self, newcomer: QueuedRequest) {
        self.next_ticket += 1;
        let newcomer = QueuedRequest { ticket: Ticket(self.next_ticket), ..newcomer };
        let is_full = self.waiting.len() == LIMIT;
        let least = self.waiting.iter().map(level).min();
        match self.queue.push(newcomer.clone()) {
            Ok(None) => assert!(!is_full),
            Ok(Some(shed)) => {
                assert!(is_full);
                assert_eq!(Some(level(&shed)), least, "the least valuable is shed");
                assert!(level(&shed) <= level(&newcomer));
                if level(&shed) == level(&newcomer) {
                    let own = self.count(&newcomer);
                    assert!(self.count(&shed) > own + 1, "shed for one that has as many");
                }
                self.take(shed.ticket);
            }
            Err(QueueFull) => {
                assert!(is_full);
                assert!(least >= Some(level(&newcomer)), "something less valuable waits");
                let same_level = |other: &&QueuedRequest| level(other) == level(&newcomer);
                let most =
                    self.waiting.iter().filter(same_level).map(|other| self.count(other)).max();
                let has_its_share = most.is_none_or(|most| most <= self.count(&newcomer) + 1);
                assert!(
                    least > Some(level(&newcomer)) || has_its_share,
                    "refused within its share"
                );
                return;
            }
        }
        self.waiting.push(newcomer);
    }

    /// Requests that wait in the same lane.
    fn count(&self, like: &QueuedRequest) -> usize {
        let same_lane = |other: &&QueuedRequest| {
            level(other) == level(like) && other.workspace == like.workspace
        };
        self.waiting.iter().filter(same_lane).count()
    }

    fn grant_next(&mut self) {
        let next = self.queue.grant_order().next().map(|next| next.ticket);
        let Some(ticket) = next else {
            return assert!(self.waiting.is_empty(), "a ticket is lost");
        };
        let granted = self.queue.grant(ticket).expect("the next one waits");
        let highest = self.waiting.iter().map(|waiting| waiting.priority).max();
        assert_eq!(Some(granted.priority), highest, "priority goes first");
        let same_lane = |other: &&QueuedRequest| {
            level(other) == level(&granted) && other.workspace == granted.workspace
        };
        let earliest = self.waiting.iter().filter(same_lane).map(|other| other.deadline).min();
        assert_eq!(Some(granted.deadline), earliest, "the deadline decides in a workspace");
        let work = granted.cost_tokens / u64::from(granted.weight);
        self.count_ahead(level(&granted), &granted.workspace, work.cast_signed());
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

    /// Counts `work` of a workspace against each other one that waits with it.
    fn count_ahead(&mut self, of: Level, granted: &str, work: i64) {
        for other in self.workspaces_waiting(of).filter(|other| other != granted) {
            let (there, back) = (pair(of, granted, &other), pair(of, &other, granted));
            *self.ahead.entry(there).or_default() += work;
            *self.ahead.entry(back).or_default() -= work;
        }
    }

    fn workspaces_waiting(&self, of: Level) -> impl Iterator<Item = String> + use<> {
        let here = self.waiting.iter().filter(|other| level(other) == of);
        let names: BTreeSet<String> = here.map(|other| other.workspace.clone()).collect();
        names.into_iter()
    }

    /// Only workspaces that wait all the while are compared.
    fn check_fairness(&mut self) {
        let pairs = std::mem::take(&mut self.ahead);
        let both_wait =
            |pair: &Pair| self.waits(pair.level, &pair.a) && self.waits(pair.level, &pair.b);
        let kept: BTreeMap<Pair, i64> =
            pairs.into_iter().filter(|(pair, _)| both_wait(pair)).collect();
        for (pair, ahead) in &kept {
            assert!(*ahead <= FAIRNESS_BOUND, "{pair:?} by {ahead}");
        }
        self.ahead = kept;
    }
}

fn pair(level: Level, a: &str, b: &str) -> Pair {
    Pair { level, a: a.to_string(), b: b.to_string() }
}

impl StateMachineTest for Checked {
    type SystemUnderTest = Checked;
    type Reference = Plan;

    fn init_test(_: &Plan) -> Checked {
        Checked {
            next_ticket: 0,
            queue: Queue::new(LIMIT),
            waiting: Vec::new(),
            ahead: BTreeMap::new(),
        }
    }

    fn apply(mut state: Checked, _: &Plan, step: Step) -> Checked {
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

    fn check_invariants(state: &Checked, _: &Plan) {
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
    fn queue_keeps_to_the_plain_list(sequential 1..300 => Checked);
}
