//! Blocking driver of the placer, which combines the router, the queues and the limits.

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

/// Time for which the other hosts suspect a server that this host has ejected, in milliseconds.
const SUSPICION_LIFETIME_MS: u64 = 5_000;

/// Settings of a [`Placement`].
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Policy for the choice of a server.
    pub policy: Policy,
    /// Seed of the random choices; different on each host.
    pub seed: u64,
}

/// Request for a server.
#[derive(Clone, Copy, Debug)]
pub struct AcquireRequest<'a> {
    /// Admission granted by the matching rule.
    pub admission: &'a Admission,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: &'a [PromptPrefix],
    /// Names of servers that the request cannot use; when not empty, the request is a retry and is not counted against
    /// the rates again.
    pub excluded: &'a BTreeSet<String>,
}

#[derive(Debug)]
struct State {
    placer: Placer,
    reply_senders: BTreeMap<Ticket, Sender<PlacementResult>>,
}

type PlacementResult = Result<PlacementGrant, Refusal>;

/// Placement of the requests of one host, shared by its threads.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::sync::Arc;
/// use godwit_core::route::Policy;
/// use godwit_core::{Admission, Target, UnixMs};
/// use godwit_host::ManualClock;
/// use godwit_host::placement::{AcquireRequest, Placement, PlacementSettings};
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
/// let request = AcquireRequest { admission: &admission, prefixes: &[], excluded: &BTreeSet::new() };
/// let grant = placement.acquire(request).unwrap();
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
    /// Creates a placement without servers and starts its review thread.
    pub fn new(settings: &PlacementSettings, clock: Arc<dyn Clock>) -> Arc<Placement> {
        let router = Router::new(&settings.failure_domain, settings.policy, settings.seed);
        let placer = Placer::new(router, SmallRng::seed_from_u64(settings.seed));
        let state = State { placer, reply_senders: BTreeMap::new() };
        let (wake_reviewer, wake_signals) = flume::bounded(1);
        let placement =
            Placement { clock, state: Mutex::new(state), wake_reviewer, hints: OnceLock::new() };
        let placement = Arc::new(placement);
        review::spawn(Arc::downgrade(&placement), wake_signals);
        placement
    }

    /// Blocks until the request may start on a server.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] as soon as the request cannot run in time, exceeds a limit or is shed under load.
    pub fn acquire(self: &Arc<Placement>, request: AcquireRequest<'_>) -> Result<Grant, Refusal> {
        let granted = self.decide(request)?;
        let mut grants = self.grants(&granted);
        grants.pop().ok_or(Refusal { code: Code::Internal, retry_at: None })
    }

    /// Blocks until the request of a split model may start on the servers of a plan of stages.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] in the same cases as [`acquire`](Placement::acquire).
    pub fn acquire_stages(
        self: &Arc<Placement>,
        request: AcquireRequest<'_>,
    ) -> Result<StageGrants, Refusal> {
        let granted = self.decide(request)?;
        let grants = self.grants(&granted);
        Ok(StageGrants { stages: granted.stages, estimate: granted.estimate, grants })
    }

    /// Takes one retry from the budget of the host; returns `false` if none is left.
    pub fn take_retry(&self) -> bool {
        self.with_placer(|placer, _| placer.take_retry())
    }

    /// Applies a configuration of the fleet.
    pub fn apply_fleet(&self, fleet: &Fleet) {
        self.with_placer(|placer, now| placer.apply_fleet(fleet, now));
    }

    /// Applies a configuration of a workspace.
    pub fn apply_workspace(&self, workspace: &Workspace) {
        self.with_placer(|placer, now| placer.apply_workspace(workspace, now));
    }

    /// Removes a workspace that is no longer configured.
    pub fn forget_workspace(&self, workspace: &str) {
        self.with_placer(|placer, _| placer.forget_workspace(workspace));
    }

    /// Applies a load reading of a server.
    pub fn observe_reading(&self, reading: &Reading) {
        self.with_placer(|placer, now| placer.observe_reading(reading, now));
    }

    /// Applies cache events of a server, oldest first.
    pub fn observe_cache_events(&self, server: &str, events: &[CacheEvent]) {
        self.with_placer(|placer, _| placer.router_mut().observe_cache_events(server, events));
    }

    /// Sets the servers that are leaving according to the host list.
    pub fn set_leaving(&self, leaving: BTreeSet<String>) {
        self.with_placer(|placer, _| placer.router_mut().set_leaving(leaving));
    }

    /// Sets the failure domains that this host cannot reach.
    pub fn set_unreachable_domains(&self, unreachable_domains: BTreeSet<String>) {
        self.with_placer(|placer, _| {
            placer.router_mut().set_unreachable_domains(unreachable_domains)
        });
    }

    /// Sets the number of live hosts, including this one.
    pub fn set_host_count(&self, hosts: u32) {
        self.with_placer(|placer, now| placer.set_host_count(hosts, now));
    }

    /// Marks a server as suspected by another host until `expires_at`.
    pub fn suspect_server(&self, server: &str, expires_at: UnixMs) {
        self.with_placer(|placer, now| placer.router_mut().suspect(server, expires_at, now));
    }

    /// Sets the channel for a hint about each server that this host ejects. Calls after the first have no effect.
    pub fn set_hint_sender(&self, hints: Sender<Hint>) {
        let _ = self.hints.set(hints);
    }

    /// Loads of all engines, for planning the stages of split models.
    pub fn stage_loads(&self) -> Vec<StageLoad> {
        self.with_placer(|placer, now| placer.router().stage_loads(now))
    }

    /// Status of each server as known to this host, ordered by name.
    pub fn status(&self) -> Vec<ServerStatus> {
        self.with_placer(|placer, now| placer.router().status(now))
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.with_placer(|placer, _| placer.waiting_count())
    }

    pub(super) fn now(&self) -> UnixMs {
        self.clock.now()
    }

    pub(super) fn record_progress(&self, dispatch: &DispatchHandle, tokens: u32) {
        if self.with_placer(|placer, now| placer.record_progress(dispatch, tokens, now)) {
            self.announce_ejection(&dispatch.server);
        }
    }

    pub(super) fn record_end(&self, dispatch: &DispatchHandle, outcome: DispatchOutcome) {
        let ejected = self.with_placer(|placer, now| placer.record_end(dispatch, outcome, now));
        report::dispatch_ended(outcome);
        if ejected {
            self.announce_ejection(&dispatch.server);
        }
    }

    fn announce_ejection(&self, server: &str) {
        report::server_ejected(server);
        if let Some(hints) = self.hints.get() {
            let expires_at = self.now().plus_ms(SUSPICION_LIFETIME_MS);
            // The receiver has been dropped only while the host stops, when the hint is no longer needed.
            let _ = hints.try_send(Hint::ServerSuspect { server: server.to_string(), expires_at });
        }
    }

    fn grants(self: &Arc<Placement>, granted: &PlacementGrant) -> Vec<Grant> {
        let (estimate, granted_at) = (granted.estimate, granted.granted_at);
        let dispatches = granted.dispatches.iter().cloned();
        dispatches
            .map(|dispatch| Grant::new(Arc::clone(self), dispatch, estimate, granted_at))
            .collect()
    }

    fn decide(&self, request: AcquireRequest<'_>) -> PlacementResult {
        let requested_at = self.now();
        let outcome = self.place(request, requested_at);
        match &outcome {
            Ok(granted) => report::request_granted(granted.granted_at.since_ms(requested_at)),
            Err(refusal) => report::request_refused(refusal),
        }
        outcome
    }

    fn place(&self, request: AcquireRequest<'_>, now: UnixMs) -> PlacementResult {
        let place_request = PlaceRequest {
            admission: request.admission.clone(),
            prefixes: request.prefixes.to_vec(),
            excluded: request.excluded.clone(),
        };
        let (reply, decision) = flume::bounded(1);
        let mut state = self.lock();
        let outcome = state.placer.place(place_request, now);
        if let PlaceOutcome::Queued(ticket) = outcome {
            state.reply_senders.insert(ticket, reply);
        }
        state.deliver_decisions(now);
        drop(state);
        match outcome {
            PlaceOutcome::Granted(granted) => Ok(granted),
            PlaceOutcome::Refused(refusal) => Err(refusal),
            PlaceOutcome::Queued(_) => self.wait_for_decision(&decision),
        }
    }

    fn wait_for_decision(&self, decision: &Receiver<PlacementResult>) -> PlacementResult {
        // A full channel means that the review thread has already been signalled.
        let _ = self.wake_reviewer.try_send(Wake);
        decision.recv().unwrap_or(Err(Refusal { code: Code::Internal, retry_at: None }))
    }

    /// Reviews the whole queue and returns the number of requests that still wait.
    pub(super) fn review_queue(&self) -> usize {
        let waiting = self.with_placer(|placer, now| {
            placer.review(now);
            placer.waiting_count()
        });
        report::queue_length(waiting);
        waiting
    }

    /// Runs `access` on the placer, then delivers the resulting decisions to the waiting requests.
    fn with_placer<T>(&self, access: impl FnOnce(&mut Placer, UnixMs) -> T) -> T {
        let now = self.now();
        let mut state = self.lock();
        let result = access(&mut state.placer, now);
        state.deliver_decisions(now);
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Delivers decisions to the waiting requests. A grant that cannot be delivered is cancelled, which may lead to
    /// further decisions.
    fn deliver_decisions(&mut self, now: UnixMs) {
        loop {
            let decisions = self.placer.take_decisions();
            if decisions.is_empty() {
                return;
            }
            decisions.into_iter().for_each(|decision| self.deliver(decision, now));
        }
    }

    fn deliver(&mut self, decision: Decision, now: UnixMs) {
        let undelivered = match self.reply_senders.remove(&decision.ticket) {
            Some(reply) => reply.send(decision.outcome).err().map(flume::SendError::into_inner),
            None => Some(decision.outcome),
        };
        if let Some(Ok(granted)) = undelivered {
            for dispatch in &granted.dispatches {
                self.placer.record_end(dispatch, DispatchOutcome::Cancelled, now);
            }
        }
    }
}
