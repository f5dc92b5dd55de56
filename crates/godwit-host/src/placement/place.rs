//! The blocking driver around the router, the queues and the limits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use flume::{Receiver, Sender};
use godwit_core::placement::{
    Decision, DispatchHandle, PlaceOutcome, PlaceRequest, PlacementGrant, Placer, Refusal,
};
use godwit_core::queue::Ticket;
use godwit_core::route::{DispatchOutcome, Policy, PromptPrefix, Router, StageLoad};
use godwit_core::{Admission, Code, Hint, Reading, UnixMs};
use godwit_schema::config::{Fleet, Workspace};
use godwit_schema::engine::CacheEvent;
use godwit_schema::operator::ServerStatus;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::grant::{Grant, StageGrants};
use super::report;
use super::review::{self, Wake};
use crate::Clock;

/// Time for which the other hosts suspect a server that this one ejects, in milliseconds.
const SUSPICION_MS: u64 = 5_000;

/// Settings of a [`Placement`].
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Failure domain of the host.
    pub failure_domain: String,
    /// How servers are chosen.
    pub policy: Policy,
    /// Seed of the draws; each host has another one.
    pub seed: u64,
}

/// A request that asks for a server.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// What its rule granted.
    pub admission: &'a Admission,
    /// Prefixes of its prompt, shortest first.
    pub prefixes: &'a [PromptPrefix],
    /// Names of servers that it cannot use; with any, it was counted against the rates before.
    pub excluded: &'a BTreeSet<String>,
}

#[derive(Debug)]
struct State {
    placer: Placer,
    replies: BTreeMap<Ticket, Sender<Outcome>>,
}

type Outcome = Result<PlacementGrant, Refusal>;

/// Places the requests of one host; shared by all its threads.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::sync::Arc;
/// use godwit_core::route::Policy;
/// use godwit_core::{Admission, Target, UnixMs};
/// use godwit_host::ManualClock;
/// use godwit_host::placement::{Ask, Placement, PlacementSettings};
/// use godwit_schema::config::Fleet;
/// let fleet: Fleet = serde_json::from_str(
///     r#"{"servers": [{"name": "orders-1", "address": "127.0.0.1:9", "failure_domain": "hall-a",
///         "role": "service", "service": "orders"}]}"#,
/// ).unwrap();
/// let settings = PlacementSettings {
///     failure_domain: "hall-a".into(), policy: Policy::EarliestFinish, seed: 1,
/// };
/// let placement = Placement::new(&settings, Arc::new(ManualClock::new(UnixMs(0))));
/// placement.apply_fleet(&fleet);
/// let admission = Admission {
///     workspace: "shop".into(), kind: "order".into(), event: None, rule: "all".into(),
///     target: Target::Service("orders".into()), priority: 1, non_idempotent: false,
///     deadline: UnixMs(1_000), max_tokens: 0, may_use_reserve: false, prompt_bytes: 10,
/// };
/// let ask = Ask { admission: &admission, prefixes: &[], excluded: &BTreeSet::new() };
/// let grant = placement.acquire(ask).unwrap();
/// assert_eq!(grant.server(), "orders-1");
/// grant.done();
/// ```
pub struct Placement {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    wake_reviewer: Sender<Wake>,
    hints: OnceLock<Sender<Hint>>,
}

impl std::fmt::Debug for Placement {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Placement").finish_non_exhaustive()
    }
}

impl Placement {
    /// A placement without servers yet.
    pub fn new(settings: &PlacementSettings, clock: Arc<dyn Clock>) -> Arc<Placement> {
        let router = Router::new(&settings.failure_domain, settings.policy, settings.seed);
        let placer = Placer::new(router, SmallRng::seed_from_u64(settings.seed));
        let state = State { placer, replies: BTreeMap::new() };
        let (wake_reviewer, woken) = flume::bounded(1);
        let placement =
            Placement { clock, state: Mutex::new(state), wake_reviewer, hints: OnceLock::new() };
        let placement = Arc::new(placement);
        review::spawn(Arc::downgrade(&placement), woken);
        placement
    }

    /// Blocks until the request may start on a server.
    ///
    /// # Errors
    ///
    /// [`Refusal`] as soon as it is known that the request cannot run in time or is not worth it under the load.
    pub fn acquire(self: &Arc<Placement>, ask: Ask<'_>) -> Result<Grant, Refusal> {
        let granted = self.ask(ask)?;
        let mut grants = self.grants(&granted);
        grants.pop().ok_or(Refusal { code: Code::Internal, retry_at: None })
    }

    /// Blocks until the request of a split model may start on the servers of a plan.
    ///
    /// # Errors
    ///
    /// As for [`acquire`](Placement::acquire).
    pub fn acquire_stages(self: &Arc<Placement>, ask: Ask<'_>) -> Result<StageGrants, Refusal> {
        let granted = self.ask(ask)?;
        let grants = self.grants(&granted);
        Ok(StageGrants { stages: granted.stages, estimate: granted.estimate, grants })
    }

    /// Takes one retry out of the host's budget, if there is one left.
    pub fn take_retry(&self) -> bool {
        self.change(|placer, _| placer.take_retry())
    }

    /// Takes a configuration of the fleet.
    pub fn apply_fleet(&self, fleet: &Fleet) {
        self.change(|placer, now| placer.apply_fleet(fleet, now));
    }

    /// Takes a configuration of a workspace.
    pub fn apply_workspace(&self, workspace: &Workspace) {
        self.change(|placer, now| placer.apply_workspace(workspace, now));
    }

    /// Forgets a workspace that was taken out of the configuration.
    pub fn forget_workspace(&self, workspace: &str) {
        self.change(|placer, _| placer.forget_workspace(workspace));
    }

    /// Takes a load reading.
    pub fn observe_reading(&self, reading: &Reading) {
        self.change(|placer, now| placer.observe_reading(reading, now));
    }

    /// Takes cache events of a server, oldest first.
    pub fn observe_cache_events(&self, server: &str, events: &[CacheEvent]) {
        self.change(|placer, _| placer.router_mut().observe_cache_events(server, events));
    }

    /// Sets the servers that are leaving by the host list.
    pub fn set_leaving(&self, leaving: BTreeSet<String>) {
        self.change(|placer, _| placer.router_mut().set_leaving(leaving));
    }

    /// Sets the failure domains that cannot be reached.
    pub fn set_unreachable_domains(&self, cut_off_domains: BTreeSet<String>) {
        self.change(|placer, _| placer.router_mut().set_unreachable_domains(cut_off_domains));
    }

    /// Sets the count of live hosts, this one included.
    pub fn set_host_count(&self, hosts: u32) {
        self.change(|placer, now| placer.set_host_count(hosts, now));
    }

    /// Takes the word of another host that a server fails.
    pub fn suspect(&self, server: &str, expires_at: UnixMs) {
        self.change(|placer, now| placer.router_mut().suspect(server, expires_at, now));
    }

    /// Sends a hint to `hints` for each server that this host ejects; only the first call counts.
    pub fn pass_hints_to(&self, hints: Sender<Hint>) {
        let _ = self.hints.set(hints);
    }

    /// Loads of all engines, for the planner of split models.
    pub fn stage_loads(&self) -> Vec<StageLoad> {
        self.change(|placer, now| placer.router().stage_loads(now))
    }

    /// What this host believes of each server, by name.
    pub fn status(&self) -> Vec<ServerStatus> {
        self.change(|placer, now| placer.router().status(now))
    }

    /// Count of waiting requests.
    pub fn waiting(&self) -> usize {
        self.change(|placer, _| placer.waiting_count())
    }

    pub(super) fn now(&self) -> UnixMs {
        self.clock.now()
    }

    pub(super) fn progressed(&self, dispatch: &DispatchHandle, tokens: u32) {
        if self.change(|placer, now| placer.record_progress(dispatch, tokens, now)) {
            self.tell_of_ejection(&dispatch.server);
        }
    }

    pub(super) fn ended(&self, dispatch: &DispatchHandle, end: DispatchOutcome) {
        let ejected = self.change(|placer, now| placer.record_end(dispatch, end, now));
        report::ended(end);
        if ejected {
            self.tell_of_ejection(&dispatch.server);
        }
    }

    fn tell_of_ejection(&self, server: &str) {
        report::ejected(server);
        if let Some(hints) = self.hints.get() {
            let expires_at = self.now().plus_ms(SUSPICION_MS);
            // Without a receiver the host is stopping; the hint is lost without harm.
            let _ = hints.try_send(Hint::ServerSuspect { server: server.to_string(), expires_at });
        }
    }

    fn grants(self: &Arc<Placement>, granted: &PlacementGrant) -> Vec<Grant> {
        let (estimate, at) = (granted.estimate, granted.granted_at);
        let dispatches = granted.dispatches.iter().cloned();
        dispatches.map(|dispatch| Grant::new(Arc::clone(self), dispatch, estimate, at)).collect()
    }

    fn ask(&self, ask: Ask<'_>) -> Outcome {
        let asked_at = self.now();
        let outcome = self.receive(ask, asked_at);
        match &outcome {
            Ok(granted) => report::granted(granted.granted_at.since_ms(asked_at)),
            Err(refusal) => report::refused(refusal),
        }
        outcome
    }

    fn receive(&self, ask: Ask<'_>, now: UnixMs) -> Outcome {
        let request = PlaceRequest {
            admission: ask.admission.clone(),
            prefixes: ask.prefixes.to_vec(),
            excluded: ask.excluded.clone(),
        };
        let (reply, answer) = flume::bounded(1);
        let mut state = self.lock();
        let outcome = state.placer.place(request, now);
        if let PlaceOutcome::Queued(ticket) = outcome {
            state.replies.insert(ticket, reply);
        }
        state.tell_decisions(now);
        drop(state);
        match outcome {
            PlaceOutcome::Granted(granted) => Ok(granted),
            PlaceOutcome::Refused(refusal) => Err(refusal),
            PlaceOutcome::Queued(_) => self.wait(&answer),
        }
    }

    fn wait(&self, answer: &Receiver<Outcome>) -> Outcome {
        // A full channel means that the reviewer has been woken already.
        let _ = self.wake_reviewer.try_send(Wake);
        answer.recv().unwrap_or(Err(Refusal { code: Code::Internal, retry_at: None }))
    }

    /// Looks at the whole queue; the count of requests that still wait.
    pub(super) fn review(&self) -> usize {
        let waiting = self.change(|placer, now| {
            placer.review(now);
            placer.waiting_count()
        });
        report::queue_length(waiting);
        waiting
    }

    /// Changes or reads the placer, and tells waiting requests what was decided by it.
    fn change<T>(&self, change: impl FnOnce(&mut Placer, UnixMs) -> T) -> T {
        let now = self.now();
        let mut state = self.lock();
        let result = change(&mut state.placer, now);
        state.tell_decisions(now);
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells waiting requests what was decided; a grant that nobody takes ends, which may decide on others.
    fn tell_decisions(&mut self, now: UnixMs) {
        loop {
            let decisions = self.placer.take_decisions();
            if decisions.is_empty() {
                return;
            }
            decisions.into_iter().for_each(|decision| self.tell(decision, now));
        }
    }

    fn tell(&mut self, decision: Decision, now: UnixMs) {
        let untold = match self.replies.remove(&decision.ticket) {
            Some(reply) => reply.send(decision.outcome).err().map(flume::SendError::into_inner),
            None => Some(decision.outcome),
        };
        if let Some(Ok(granted)) = untold {
            for dispatch in &granted.dispatches {
                self.placer.record_end(dispatch, DispatchOutcome::Cancelled, now);
            }
        }
    }
}
