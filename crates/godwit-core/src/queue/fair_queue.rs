//! Queue of one target: the order of grants, and the choice of the request to shed when the queue is full.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::entry::{QueuedRequest, Ticket, WaitClass};
use super::lane::{Lane, LaneKey, LaneRank};
use crate::UnixMs;

/// Maximum number of empty lanes that are kept for their count of granted work.
const MAX_IDLE_LANES: usize = 2_048;

/// Error for a full queue in which all requests are at least as valuable as the new one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("queue is full")]
pub struct QueueFull;

/// Bounded queue with priorities and weighted fair sharing.
///
/// Higher priorities go first. Within a priority, the workspace with the least weighted work granted while it had
/// queued requests goes first. Among workspaces whose granted work is about equal, the earliest deadline goes first.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::queue::{Queue, Ticket, WaitClass, QueuedRequest};
/// let mut queue = Queue::new(8);
/// let request = |ticket, priority| QueuedRequest {
///     ticket: Ticket(ticket), workspace: "shop".into(), weight: 1, priority, class: WaitClass::Ordinary,
///     deadline: UnixMs(9_000), start_by: UnixMs(8_000), cost_tokens: 10,
/// };
/// assert_eq!(queue.push(request(1, 0)), Ok(None));
/// assert_eq!(queue.push(request(2, 5)), Ok(None));
/// assert_eq!(queue.grant_order().next().map(|next| next.ticket), Some(Ticket(2)));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    limit: usize,
    entries: BTreeMap<Ticket, QueuedRequest>,
    lanes: BTreeMap<LaneKey, Lane>,
    ordinary_ranks: BTreeSet<LaneRank>,
    reserve_ranks: BTreeSet<LaneRank>,
    lanes_by_value: BTreeSet<(u8, WaitClass, Reverse<usize>, String)>,
    by_start_deadline: BTreeSet<(UnixMs, Ticket)>,
    /// Highest granted work that a lane had when one of its requests was granted, by priority and class. A lane that
    /// was empty starts from at least this value, so that it gets no credit for time without requests.
    virtual_times: BTreeMap<(u8, WaitClass), u64>,
}

impl Queue {
    /// Creates a queue for at most `limit` requests.
    pub fn new(limit: usize) -> Queue {
        Queue {
            limit,
            entries: BTreeMap::new(),
            lanes: BTreeMap::new(),
            ordinary_ranks: BTreeSet::new(),
            reserve_ranks: BTreeSet::new(),
            lanes_by_value: BTreeSet::new(),
            by_start_deadline: BTreeSet::new(),
            virtual_times: BTreeMap::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a queued request.
    pub fn get(&self, ticket: Ticket) -> Option<&QueuedRequest> {
        self.entries.get(&ticket)
    }

    /// Iterates over all queued requests, ordered by ticket.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.entries.values()
    }

    /// Enqueues a request. If the queue is full, a less valuable request is shed and returned.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the queue is full and no queued request is less valuable.
    pub fn push(&mut self, request: QueuedRequest) -> Result<Option<QueuedRequest>, QueueFull> {
        let shed = if self.entries.len() < self.limit {
            None
        } else {
            Some(self.shed_for(&request).ok_or(QueueFull)?)
        };
        self.insert(request);
        Ok(shed)
    }

    /// Removes and returns the least valuable request, if it is less valuable than a new one.
    pub fn shed_for(&mut self, request: &QueuedRequest) -> Option<QueuedRequest> {
        let victim = self.find_victim(request)?;
        self.remove(victim)
    }

    /// Iterates over the first request of each lane in the order in which they are granted.
    pub fn grant_order(&self) -> impl Iterator<Item = &QueuedRequest> {
        let mut ordinary = self.ordinary_ranks.iter().peekable();
        let mut reserve = self.reserve_ranks.iter().peekable();
        let ranks = std::iter::from_fn(move || match (ordinary.peek(), reserve.peek()) {
            (Some(first), Some(other)) if first < other => ordinary.next(),
            (Some(_), None) => ordinary.next(),
            _ => reserve.next(),
        });
        ranks.filter_map(|rank| self.entries.get(&rank.ticket))
    }

    /// Returns the next request among those that may not use reserved capacity.
    pub fn first_ordinary(&self) -> Option<&QueuedRequest> {
        self.entries.get(&self.ordinary_ranks.first()?.ticket)
    }

    /// Returns the next request among those that may use reserved capacity.
    pub fn first_reserve(&self) -> Option<&QueuedRequest> {
        self.entries.get(&self.reserve_ranks.first()?.ticket)
    }

    /// Removes a request that is granted and adds its weighted cost to the granted work of its lane.
    pub fn grant(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let (key, mut lane) = self.detach_lane_of(ticket)?;
        let request = self.unlink(ticket, &mut lane)?;
        let virtual_time = self.virtual_times.entry((key.priority, key.class)).or_default();
        *virtual_time = lane.granted_tokens.max(*virtual_time);
        let weighted = request.cost_tokens.max(1) / u64::from(request.weight.max(1));
        lane.granted_tokens = lane.granted_tokens.saturating_add(weighted.max(1));
        self.attach_lane(key, lane);
        Some(request)
    }

    /// Removes a request without a grant.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let (key, mut lane) = self.detach_lane_of(ticket)?;
        let request = self.unlink(ticket, &mut lane);
        self.attach_lane(key, lane);
        request
    }

    /// Returns the requests whose latest start is before `now`.
    pub fn overdue(&self, now: UnixMs) -> Vec<Ticket> {
        let overdue = self.by_start_deadline.iter().take_while(|(start_by, _)| *start_by < now);
        overdue.map(|(_, ticket)| *ticket).collect()
    }

    fn insert(&mut self, request: QueuedRequest) {
        let key = lane_key(&request);
        let mut lane = self.detach_lane(&key);
        if lane.requests.is_empty() {
            let virtual_time = self.virtual_times.get(&(key.priority, key.class)).copied();
            lane.granted_tokens = lane.granted_tokens.max(virtual_time.unwrap_or(0));
        }
        lane.requests.insert((request.deadline, request.ticket));
        self.by_start_deadline.insert((request.start_by, request.ticket));
        self.entries.insert(request.ticket, request);
        self.attach_lane(key, lane);
    }

    fn unlink(&mut self, ticket: Ticket, lane: &mut Lane) -> Option<QueuedRequest> {
        let request = self.entries.remove(&ticket)?;
        lane.requests.remove(&(request.deadline, ticket));
        self.by_start_deadline.remove(&(request.start_by, ticket));
        Some(request)
    }

    fn detach_lane_of(&mut self, ticket: Ticket) -> Option<(LaneKey, Lane)> {
        let key = lane_key(self.entries.get(&ticket)?);
        let lane = self.detach_lane(&key);
        Some((key, lane))
    }

    fn detach_lane(&mut self, key: &LaneKey) -> Lane {
        let lane = self.lanes.remove(key).unwrap_or_default();
        if let Some(rank) = lane.rank(key) {
            self.ranks_mut(key.class).remove(&rank);
        }
        self.lanes_by_value.remove(&lane_value(key, &lane));
        lane
    }

    fn attach_lane(&mut self, key: LaneKey, lane: Lane) {
        if let Some(rank) = lane.rank(&key) {
            self.ranks_mut(key.class).insert(rank);
            self.lanes_by_value.insert(lane_value(&key, &lane));
        }
        self.lanes.insert(key, lane);
        if self.entries.is_empty() {
            self.lanes.clear();
            self.virtual_times.clear();
        } else if self.lanes.len() > self.entries.len() + MAX_IDLE_LANES {
            self.drop_idle_lanes();
        }
    }

    fn ranks_mut(&mut self, class: WaitClass) -> &mut BTreeSet<LaneRank> {
        match class {
            WaitClass::Ordinary => &mut self.ordinary_ranks,
            WaitClass::Reserve | WaitClass::Once => &mut self.reserve_ranks,
        }
    }

    fn drop_idle_lanes(&mut self) {
        let virtual_times = &self.virtual_times;
        self.lanes.retain(|key, lane| {
            let virtual_time = virtual_times.get(&(key.priority, key.class)).copied().unwrap_or(0);
            !lane.requests.is_empty() || lane.granted_tokens > virtual_time
        });
    }

    /// Returns the request with the latest deadline in the longest lane of the lowest value, if it may be shed for the
    /// new request.
    fn find_victim(&self, request: &QueuedRequest) -> Option<Ticket> {
        let (priority, class, Reverse(length), workspace) = self.lanes_by_value.first()?;
        let key = LaneKey { priority: *priority, class: *class, workspace: workspace.clone() };
        let own_length = self.lanes.get(&lane_key(request)).map_or(0, |lane| lane.requests.len());
        let has_lower_value = (*priority, *class) < (request.priority, request.class);
        let has_same_value = (*priority, *class) == (request.priority, request.class);
        let has_more_than_its_share = has_same_value && *length > own_length + 1;
        if !has_lower_value && !has_more_than_its_share {
            return None;
        }
        self.lanes.get(&key)?.requests.last().map(|(_, ticket)| *ticket)
    }
}

fn lane_key(request: &QueuedRequest) -> LaneKey {
    LaneKey {
        priority: request.priority,
        class: request.class,
        workspace: request.workspace.clone(),
    }
}

fn lane_value(key: &LaneKey, lane: &Lane) -> (u8, WaitClass, Reverse<usize>, String) {
    (key.priority, key.class, Reverse(lane.requests.len()), key.workspace.clone())
}
