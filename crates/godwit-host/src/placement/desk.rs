//! The state behind the lock of a [`Placement`](super::Placement): router, queues, limits and who waits.

use std::collections::{BTreeMap, BTreeSet};

use flume::Sender;
use godwit_core::limit::{RateKey, RateLimits, RetryBudget};
use godwit_core::queue::{DrainRate, Outlook, Queue, Ticket, WaitClass, Waiting};
use godwit_core::route::{Choice, DispatchId, Estimate, PromptPrefix, Router, Wanted};
use godwit_core::{Admission, Code, Target, UnixMs};
use rand::rngs::SmallRng;

use super::place::Refusal;
use super::report;

/// Requests that wait for one target, at most.
const QUEUE_LIMIT: usize = 1_024;

/// Workspaces whose next request is looked at for a free slot, at most.
const HEADS_TRIED: usize = 8;

/// Time between two looks at the whole queue, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 20;

/// A dispatch that was granted.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    pub(super) server: String,
    pub(super) dispatch: DispatchId,
    pub(super) estimate: Estimate,
    pub(super) granted_at: UnixMs,
}

/// What a waiting request is told.
pub(super) type Outcome = Result<Granted, Refusal>;

/// A request with its own copies of what the router needs.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) admission: Admission,
    pub(super) prefixes: Vec<PromptPrefix>,
    pub(super) excluded: BTreeSet<String>,
}

impl Asked {
    fn wanted(&self) -> Wanted<'_> {
        Wanted { admission: &self.admission, prefixes: &self.prefixes, excluded: &self.excluded }
    }
}

#[derive(Debug)]
struct Waiter {
    asked: Asked,
    reply: Sender<Outcome>,
}

#[derive(Debug)]
struct Line {
    queue: Queue,
    rate: DrainRate,
}

/// The state.
#[derive(Debug)]
pub(super) struct Desk {
    pub(super) router: Router,
    pub(super) limits: RateLimits,
    pub(super) retries: RetryBudget,
    pub(super) weights: BTreeMap<String, u32>,
    pub(super) rng: SmallRng,
    lines: BTreeMap<Target, Line>,
    waiters: BTreeMap<Ticket, Waiter>,
    next_ticket: u64,
    reviewed_at: UnixMs,
}

/// What became of a request at once.
pub(super) enum Reception {
    /// It is decided.
    Decided(Outcome),
    /// It waits under this number.
    Waits(Ticket),
}

impl Desk {
    pub(super) fn new(router: Router, rng: SmallRng) -> Desk {
        Desk {
            router,
            limits: RateLimits::default(),
            retries: RetryBudget::new(0.0),
            weights: BTreeMap::new(),
            rng,
            lines: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_ticket: 0,
            reviewed_at: UnixMs(0),
        }
    }

    /// Decides on a request, or lets it wait with `reply` as its way back.
    pub(super) fn receive(
        &mut self,
        asked: Asked,
        reply: Sender<Outcome>,
        now: UnixMs,
    ) -> Reception {
        if let Err(refusal) = self.check_limits(&asked, now) {
            return Reception::Decided(Err(refusal));
        }
        let target = line_key(&asked.admission.target);
        if !self.must_wait_behind_others(&asked.admission, &target) {
            match self.router.choose(asked.wanted(), now, &mut self.rng) {
                Choice::Start { server, estimate } => {
                    let granted = self.begin(&server, estimate, &asked.admission, now);
                    return Reception::Decided(Ok(granted));
                }
                Choice::Refuse { code } => {
                    return Reception::Decided(Err(self.refusal(code, &target, now)));
                }
                Choice::Wait { start_by } => return self.wait(asked, reply, target, start_by, now),
            }
        }
        match self.router.choose_to_wait(asked.wanted(), now) {
            Choice::Wait { start_by } => self.wait(asked, reply, target, start_by, now),
            Choice::Refuse { code } => Reception::Decided(Err(self.refusal(code, &target, now))),
            Choice::Start { .. } => {
                Reception::Decided(Err(self.refusal(Code::Internal, &target, now)))
            }
        }
    }

    /// Takes back a request that no longer waits for its answer.
    pub(super) fn withdraw(&mut self, ticket: Ticket) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let target = line_key(&waiter.asked.admission.target);
            if let Some(line) = self.lines.get_mut(&target) {
                line.queue.remove(ticket);
            }
        }
    }

    /// Grants what can start now, after something has changed.
    pub(super) fn advance(&mut self, now: UnixMs) {
        let targets: Vec<Target> = self.lines.keys().cloned().collect();
        for target in targets {
            while self.grant_next(&target, now) {}
        }
    }

    /// Refuses what cannot start in time and grants what can start now, unless that was done a moment ago.
    pub(super) fn review(&mut self, now: UnixMs) {
        if now.since_ms(self.reviewed_at) < REVIEW_INTERVAL_MS {
            return;
        }
        self.reviewed_at = now;
        let targets: Vec<Target> = self.lines.keys().cloned().collect();
        for target in targets {
            self.refresh_share(&target, now);
            self.refuse_hopeless(&target, now);
        }
        self.advance(now);
        self.lines.retain(|_, line| !line.queue.is_empty());
    }

    /// Count of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn check_limits(&mut self, asked: &Asked, now: UnixMs) -> Result<(), Refusal> {
        if !asked.excluded.is_empty() {
            let allowed = self.retries.try_retry();
            let refusal = Refusal { code: Code::ServersRefused, retry_at: None };
            return if allowed { Ok(()) } else { Err(refusal) };
        }
        let workspace = asked.admission.workspace.clone();
        let kind = asked.admission.kind.clone();
        let keys = [RateKey::Workspace(workspace.clone()), RateKey::Kind { workspace, kind }];
        self.limits.take(&keys, now).map_err(|exceeded| {
            let code = match exceeded.key {
                RateKey::Workspace(_) => Code::WorkspaceLimit,
                RateKey::Kind { .. } => Code::KindLimit,
            };
            Refusal { code, retry_at: Some(exceeded.retry_at) }
        })?;
        self.retries.first_try();
        Ok(())
    }

    /// Whether requests of the same class wait that go first.
    fn must_wait_behind_others(&self, admission: &Admission, target: &Target) -> bool {
        let Some(line) = self.lines.get(target) else {
            return false;
        };
        let class = WaitClass::of(admission);
        line.queue.in_order().any(|other| {
            other.priority >= admission.priority
                && (other.class == WaitClass::Ordinary) == (class == WaitClass::Ordinary)
        })
    }

    fn wait(
        &mut self,
        asked: Asked,
        reply: Sender<Outcome>,
        target: Target,
        start_by: UnixMs,
        now: UnixMs,
    ) -> Reception {
        self.refresh_share(&target, now);
        let waiting = self.waiting_entry(&asked.admission, start_by);
        let ticket = waiting.ticket;
        let line = self.lines.entry(target.clone()).or_insert_with(new_line);
        if !Outlook::new(&line.queue, &line.rate, now).has_hope(&waiting) {
            return Reception::Decided(Err(self.refusal(Code::TooLate, &target, now)));
        }
        let Ok(shed) = line.queue.push(waiting) else {
            return Reception::Decided(Err(self.refusal(Code::Overloaded, &target, now)));
        };
        self.waiters.insert(ticket, Waiter { asked, reply });
        if let Some(shed) = shed {
            let refusal = self.refusal(Code::Overloaded, &target, now);
            self.answer(shed.ticket, Err(refusal));
        }
        Reception::Waits(ticket)
    }

    fn waiting_entry(&mut self, admission: &Admission, start_by: UnixMs) -> Waiting {
        self.next_ticket += 1;
        Waiting {
            ticket: Ticket(self.next_ticket),
            workspace: admission.workspace.clone(),
            weight: self.weights.get(&admission.workspace).copied().unwrap_or(1),
            priority: admission.priority,
            class: WaitClass::of(admission),
            deadline: admission.deadline,
            start_by,
            cost_tokens: cost_tokens(admission),
        }
    }

    /// Grants the first waiting request that can start; false when there is none.
    fn grant_next(&mut self, target: &Target, now: UnixMs) -> bool {
        let Some(line) = self.lines.get(target) else {
            return false;
        };
        let heads: Vec<(Ticket, WaitClass)> =
            line.queue.in_order().take(HEADS_TRIED).map(|head| (head.ticket, head.class)).collect();
        let reserve = line.queue.in_order().find(|head| head.class != WaitClass::Ordinary);
        let reserve = reserve.map(|head| (head.ticket, head.class));
        let mut ordinary_full = false;
        for (ticket, class) in heads.into_iter().chain(reserve) {
            if ordinary_full && class == WaitClass::Ordinary {
                continue;
            }
            let Some(waiter) = self.waiters.get(&ticket) else {
                continue;
            };
            match self.router.choose(waiter.asked.wanted(), now, &mut self.rng) {
                Choice::Start { server, estimate } => {
                    self.grant(target, ticket, &server, estimate, now);
                    return true;
                }
                Choice::Wait { .. } => ordinary_full = waiter.asked.excluded.is_empty(),
                Choice::Refuse { code } => {
                    self.refuse(target, ticket, code, now);
                    return true;
                }
            }
        }
        false
    }

    fn grant(
        &mut self,
        target: &Target,
        ticket: Ticket,
        server: &str,
        estimate: Estimate,
        now: UnixMs,
    ) {
        if let Some(line) = self.lines.get_mut(target)
            && let Some(waiting) = line.queue.grant(ticket)
        {
            line.rate.granted(waiting.cost_tokens, now);
        }
        let Some(waiter) = self.waiters.remove(&ticket) else {
            return;
        };
        let granted = self.begin(server, estimate, &waiter.asked.admission, now);
        if let Err(unsent) = waiter.reply.send(Ok(granted))
            && let Ok(granted) = unsent.into_inner()
        {
            let end = godwit_core::route::DispatchEnd::Cancelled;
            self.router.ended(&granted.server, granted.dispatch, end, now);
        }
    }

    fn refuse_hopeless(&mut self, target: &Target, now: UnixMs) {
        let Some(line) = self.lines.get(target) else {
            return;
        };
        let mut given_up = line.queue.overdue(now);
        given_up.extend(Outlook::new(&line.queue, &line.rate, now).hopeless());
        for ticket in given_up {
            self.refuse(target, ticket, Code::TooLate, now);
        }
    }

    fn refuse(&mut self, target: &Target, ticket: Ticket, code: Code, now: UnixMs) {
        if let Some(line) = self.lines.get_mut(target) {
            line.queue.remove(ticket);
        }
        let refusal = self.refusal(code, target, now);
        self.answer(ticket, Err(refusal));
    }

    fn answer(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // A waiter that has gone away needs no answer.
            let _ = waiter.reply.send(outcome);
        }
    }

    fn refusal(&self, code: Code, target: &Target, now: UnixMs) -> Refusal {
        let retry_at = self.lines.get(target).map_or(now.plus_ms(report::RETRY_MS), |line| {
            Outlook::new(&line.queue, &line.rate, now).retry_at()
        });
        Refusal { code, retry_at: code.retry_can_help().then_some(retry_at) }
    }

    fn begin(
        &mut self,
        server: &str,
        estimate: Estimate,
        admission: &Admission,
        now: UnixMs,
    ) -> Granted {
        let dispatch = self.router.started(server, admission.max_tokens, now);
        Granted { server: server.to_string(), dispatch, estimate, granted_at: now }
    }

    /// Counts a dispatch that nobody asked for here.
    pub(super) fn begin_unasked(&mut self, server: &str, max_tokens: u32, now: UnixMs) -> Granted {
        let dispatch = self.router.started(server, max_tokens, now);
        Granted {
            server: server.to_string(),
            dispatch,
            estimate: Estimate::default(),
            granted_at: now,
        }
    }

    fn refresh_share(&mut self, target: &Target, now: UnixMs) {
        let capacity = self.router.capacity_per_s(target, now);
        let share = capacity / f64::from(self.router.host_count());
        let line = self.lines.entry(target.clone()).or_insert_with(new_line);
        line.rate.set_share(share);
    }
}

fn new_line() -> Line {
    Line { queue: Queue::new(QUEUE_LIMIT), rate: DrainRate::default() }
}

/// Requests for the adapters of one model wait in one queue.
fn line_key(target: &Target) -> Target {
    match target {
        Target::Model { model, .. } => Target::Model { model: model.clone(), adapter: None },
        Target::Service(service) => Target::Service(service.clone()),
    }
}

fn cost_tokens(admission: &Admission) -> u64 {
    match admission.target {
        Target::Model { .. } => u64::from(admission.max_tokens.max(1)),
        Target::Service(_) => 1,
    }
}
