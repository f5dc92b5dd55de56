//! The queue of one target: who is next, and who goes when it is full.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::entry::{Ticket, WaitClass, Waiting};
use super::lane::{Lane, LaneKey, Turn};
use crate::UnixMs;

/// Empty lanes whose granted work is remembered, at most.
const IDLE_LANES: usize = 2_048;

/// The queue is full of requests that are worth at least as much.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("queue is full")]
pub struct QueueFull;

/// A bounded queue.
///
/// Higher priorities go first. Within a priority, workspaces take turns by the weighted work that was granted to
/// them while they waited, and the earliest deadline goes first among those that are level.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::queue::{Queue, Ticket, WaitClass, Waiting};
/// let mut queue = Queue::new(8);
/// let waiting = |ticket, priority| Waiting {
///     ticket: Ticket(ticket), workspace: "shop".into(), weight: 1, priority, class: WaitClass::Ordinary,
///     deadline: UnixMs(9_000), start_by: UnixMs(8_000), cost_tokens: 10,
/// };
/// assert_eq!(queue.push(waiting(1, 0)), Ok(None));
/// assert_eq!(queue.push(waiting(2, 5)), Ok(None));
/// assert_eq!(queue.in_order().next().map(|next| next.ticket), Some(Ticket(2)));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    limit: usize,
    entries: BTreeMap<Ticket, Waiting>,
    lanes: BTreeMap<LaneKey, Lane>,
    ordinary_turns: BTreeSet<Turn>,
    reserve_turns: BTreeSet<Turn>,
    by_value: BTreeSet<(u8, WaitClass, Reverse<usize>, String)>,
    by_start: BTreeSet<(UnixMs, Ticket)>,
    level_granted: BTreeMap<(u8, WaitClass), u64>,
}

impl Queue {
    /// A queue for at most `limit` requests.
    pub fn new(limit: usize) -> Queue {
        Queue {
            limit,
            entries: BTreeMap::new(),
            lanes: BTreeMap::new(),
            ordinary_turns: BTreeSet::new(),
            reserve_turns: BTreeSet::new(),
            by_value: BTreeSet::new(),
            by_start: BTreeSet::new(),
            level_granted: BTreeMap::new(),
        }
    }

    /// Count of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        self.entries.get(&ticket)
    }

    /// All waiting requests, by ticket.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.entries.values()
    }

    /// Lets a request wait; a full queue sheds a less valuable one for it, which is returned.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] when nothing less valuable waits.
    pub fn push(&mut self, waiting: Waiting) -> Result<Option<Waiting>, QueueFull> {
        let shed = if self.entries.len() < self.limit {
            None
        } else {
            let victim = self.less_valuable_than(&waiting).ok_or(QueueFull)?;
            self.remove(victim)
        };
        self.insert(waiting);
        Ok(shed)
    }

    /// The next request of each workspace, in the order in which they are to be granted.
    pub fn in_order(&self) -> impl Iterator<Item = &Waiting> {
        let mut ordinary = self.ordinary_turns.iter().peekable();
        let mut reserve = self.reserve_turns.iter().peekable();
        let turns = std::iter::from_fn(move || match (ordinary.peek(), reserve.peek()) {
            (Some(first), Some(other)) if first < other => ordinary.next(),
            (Some(_), None) => ordinary.next(),
            _ => reserve.next(),
        });
        turns.filter_map(|turn| self.entries.get(&turn.ticket))
    }

    /// The next request of those that may not use the reserve.
    pub fn first_ordinary(&self) -> Option<&Waiting> {
        self.entries.get(&self.ordinary_turns.first()?.ticket)
    }

    /// The next request of those that may use the reserve.
    pub fn first_reserve(&self) -> Option<&Waiting> {
        self.entries.get(&self.reserve_turns.first()?.ticket)
    }

    /// Takes out a request that is granted, and counts its work for its workspace.
    pub fn grant(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (key, mut lane) = self.take_lane(ticket)?;
        let waiting = self.forget(ticket, &mut lane)?;
        let level = self.level_granted.entry((key.priority, key.class)).or_default();
        *level = lane.granted.max(*level);
        let weighted = waiting.cost_tokens.max(1) / u64::from(waiting.weight.max(1));
        lane.granted = lane.granted.saturating_add(weighted.max(1));
        self.put_lane(key, lane);
        Some(waiting)
    }

    /// Takes out a request that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (key, mut lane) = self.take_lane(ticket)?;
        let waiting = self.forget(ticket, &mut lane);
        self.put_lane(key, lane);
        waiting
    }

    /// Requests that have to start before `now`, which they no longer can.
    pub fn overdue(&self, now: UnixMs) -> Vec<Ticket> {
        let overdue = self.by_start.iter().take_while(|(start_by, _)| *start_by < now);
        overdue.map(|(_, ticket)| *ticket).collect()
    }

    fn insert(&mut self, waiting: Waiting) {
        let key = key_of(&waiting);
        let mut lane = self.pull_lane(&key);
        if lane.waiting.is_empty() {
            let level = self.level_granted.get(&(key.priority, key.class)).copied();
            lane.granted = lane.granted.max(level.unwrap_or(0));
        }
        lane.waiting.insert((waiting.deadline, waiting.ticket));
        self.by_start.insert((waiting.start_by, waiting.ticket));
        self.entries.insert(waiting.ticket, waiting);
        self.put_lane(key, lane);
    }

    fn forget(&mut self, ticket: Ticket, lane: &mut Lane) -> Option<Waiting> {
        let waiting = self.entries.remove(&ticket)?;
        lane.waiting.remove(&(waiting.deadline, ticket));
        self.by_start.remove(&(waiting.start_by, ticket));
        Some(waiting)
    }

    fn take_lane(&mut self, ticket: Ticket) -> Option<(LaneKey, Lane)> {
        let key = key_of(self.entries.get(&ticket)?);
        let lane = self.pull_lane(&key);
        Some((key, lane))
    }

    fn pull_lane(&mut self, key: &LaneKey) -> Lane {
        let lane = self.lanes.remove(key).unwrap_or_default();
        if let Some(turn) = lane.turn(key) {
            self.turns_of(key.class).remove(&turn);
        }
        self.by_value.remove(&value_of(key, &lane));
        lane
    }

    fn put_lane(&mut self, key: LaneKey, lane: Lane) {
        if let Some(turn) = lane.turn(&key) {
            self.turns_of(key.class).insert(turn);
            self.by_value.insert(value_of(&key, &lane));
        }
        self.lanes.insert(key, lane);
        if self.entries.is_empty() {
            self.lanes.clear();
            self.level_granted.clear();
        } else if self.lanes.len() > self.entries.len() + IDLE_LANES {
            self.drop_idle_lanes();
        }
    }

    fn turns_of(&mut self, class: WaitClass) -> &mut BTreeSet<Turn> {
        match class {
            WaitClass::Ordinary => &mut self.ordinary_turns,
            WaitClass::Reserve | WaitClass::Once => &mut self.reserve_turns,
        }
    }

    fn drop_idle_lanes(&mut self) {
        let levels = &self.level_granted;
        self.lanes.retain(|key, lane| {
            let level = levels.get(&(key.priority, key.class)).copied().unwrap_or(0);
            !lane.waiting.is_empty() || lane.granted > level
        });
    }

    /// The latest request of the longest lane of the lowest value, if it may go for `waiting`.
    fn less_valuable_than(&self, waiting: &Waiting) -> Option<Ticket> {
        let (priority, class, Reverse(length), workspace) = self.by_value.first()?;
        let key = LaneKey { priority: *priority, class: *class, workspace: workspace.clone() };
        let own_length = self.lanes.get(&key_of(waiting)).map_or(0, |lane| lane.waiting.len());
        let is_worth_less = (*priority, *class) < (waiting.priority, waiting.class);
        let is_level = (*priority, *class) == (waiting.priority, waiting.class);
        let has_more_than_its_share = is_level && *length > own_length + 1;
        if !is_worth_less && !has_more_than_its_share {
            return None;
        }
        self.lanes.get(&key)?.waiting.last().map(|(_, ticket)| *ticket)
    }
}

fn key_of(waiting: &Waiting) -> LaneKey {
    LaneKey {
        priority: waiting.priority,
        class: waiting.class,
        workspace: waiting.workspace.clone(),
    }
}

fn value_of(key: &LaneKey, lane: &Lane) -> (u8, WaitClass, Reverse<usize>, String) {
    (key.priority, key.class, Reverse(lane.waiting.len()), key.workspace.clone())
}
