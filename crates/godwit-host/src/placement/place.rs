//! The blocking driver around the router, the queues and the limits.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};
use godwit_core::limit::RateKey;
use godwit_core::queue::Ticket;
use godwit_core::route::{DispatchEnd, Policy, PromptPrefix, Router, StageLoad};
use godwit_core::{Admission, Code, Reading, UnixMs};
use godwit_schema::config::{Fleet, Workspace};
use godwit_schema::engine::CacheEvent;
use godwit_schema::operator::ServerStatus;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::desk::{Asked, Desk, Granted, Outcome, Reception};
use super::grant::Grant;
use super::report;
use crate::Clock;

/// Time between two looks at the queue by one waiting request.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// Settings of a [`Placement`].
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Failure domain of the host.
    pub failure_domain: String,
    /// How servers are chosen.
    pub policy: Policy,
    /// Seed of the draws.
    pub seed: u64,
}

/// A request that asks for a server.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// What its rule granted.
    pub admission: &'a Admission,
    /// Prefixes of its prompt, shortest first.
    pub prefixes: &'a [PromptPrefix],
    /// Names of servers that refused or failed it before; with any, it counts as a retry.
    pub excluded: &'a BTreeSet<String>,
}

/// A request that gets no server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("refused: {}", code.name())]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When the caller may come back, where that can help.
    pub retry_at: Option<UnixMs>,
}

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
    desk: Mutex<Desk>,
}

impl std::fmt::Debug for Placement {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Placement").finish_non_exhaustive()
    }
}

impl Placement {
    /// A placement without servers yet.
    pub fn new(settings: &PlacementSettings, clock: Arc<dyn Clock>) -> Arc<Placement> {
        let router = Router::new(&settings.failure_domain, settings.policy);
        let desk = Desk::new(router, SmallRng::seed_from_u64(settings.seed));
        Arc::new(Placement { clock, desk: Mutex::new(desk) })
    }

    /// Blocks until the request may start on a server.
    ///
    /// # Errors
    ///
    /// [`Refusal`] as soon as it is known that the request cannot run in time or is not worth it under the load.
    pub fn acquire(self: &Arc<Placement>, ask: Ask<'_>) -> Result<Grant, Refusal> {
        let asked_at = self.now();
        let outcome = self.ask(ask, asked_at);
        match &outcome {
            Ok(granted) => report::granted(granted.granted_at.since_ms(asked_at)),
            Err(refusal) => report::refused(refusal),
        }
        outcome.map(|granted| Grant::new(Arc::clone(self), granted))
    }

    /// Counts a dispatch that was chosen elsewhere, as each stage of a split model.
    pub fn hold(self: &Arc<Placement>, server: &str, max_tokens: u32) -> Grant {
        let now = self.now();
        let granted = self.desk().begin_unasked(server, max_tokens, now);
        Grant::new(Arc::clone(self), granted)
    }

    /// Takes a configuration of the fleet.
    pub fn apply_fleet(&self, fleet: &Fleet) {
        let mut desk = self.desk();
        desk.router.apply_fleet(fleet);
        desk.retries.set_share(fleet.retry_share);
        desk.advance(self.now());
    }

    /// Takes a configuration of a workspace.
    pub fn apply_workspace(&self, workspace: &Workspace) {
        let mut desk = self.desk();
        desk.weights.insert(workspace.name.clone(), workspace.share_weight);
        let key = RateKey::Workspace(workspace.name.clone());
        desk.limits.set(key, workspace.requests_per_s, self.now());
    }

    /// Takes a load reading.
    pub fn observe_reading(&self, reading: &Reading) {
        let now = self.now();
        let mut desk = self.desk();
        desk.router.observe_reading(reading, now);
        desk.advance(now);
    }

    /// Takes cache events of a server, oldest first.
    pub fn observe_cache_events(&self, server: &str, events: &[CacheEvent]) {
        self.desk().router.observe_cache_events(server, events);
    }

    /// Sets the servers that are leaving by the host list.
    pub fn set_leaving(&self, leaving: BTreeSet<String>) {
        self.desk().router.set_leaving(leaving);
    }

    /// Sets the failure domains that cannot be reached.
    pub fn set_cut_off_domains(&self, cut_off_domains: BTreeSet<String>) {
        self.desk().router.set_cut_off_domains(cut_off_domains);
    }

    /// Sets the count of live hosts, this one included.
    pub fn set_host_count(&self, hosts: u32) {
        let now = self.now();
        let mut desk = self.desk();
        desk.router.set_host_count(hosts);
        desk.limits.set_host_count(hosts, now);
    }

    /// Takes the word of another host that a server fails.
    pub fn suspect(&self, server: &str, expires_at: UnixMs) {
        self.desk().router.suspect(server, expires_at);
    }

    /// Loads of all engines, for the planner of split models.
    pub fn stage_loads(&self) -> Vec<StageLoad> {
        self.desk().router.stage_loads(self.now())
    }

    /// What this host believes of each server, by name.
    pub fn status(&self) -> Vec<ServerStatus> {
        self.desk().router.status(self.now())
    }

    /// Count of waiting requests.
    pub fn waiting(&self) -> usize {
        self.desk().waiting()
    }

    pub(super) fn now(&self) -> UnixMs {
        self.clock.now()
    }

    pub(super) fn progressed(&self, granted: &Granted, tokens: u32) {
        self.desk().router.progressed(&granted.server, granted.dispatch, tokens);
    }

    pub(super) fn ended(&self, granted: &Granted, end: DispatchEnd) {
        let now = self.now();
        let mut desk = self.desk();
        let ejected = desk.router.ended(&granted.server, granted.dispatch, end, now);
        desk.advance(now);
        drop(desk);
        report::ended(&granted.server, end, ejected);
    }

    fn ask(&self, ask: Ask<'_>, now: UnixMs) -> Outcome {
        let asked = Asked {
            admission: ask.admission.clone(),
            prefixes: ask.prefixes.to_vec(),
            excluded: ask.excluded.clone(),
        };
        let (reply, answer) = flume::bounded(1);
        let reception = self.desk().receive(asked, reply, now);
        match reception {
            Reception::Decided(outcome) => outcome,
            Reception::Waits(ticket) => self.wait(ticket, &answer),
        }
    }

    fn wait(&self, ticket: Ticket, answer: &Receiver<Outcome>) -> Outcome {
        loop {
            match answer.recv_timeout(LOOK_INTERVAL) {
                Ok(outcome) => return outcome,
                Err(RecvTimeoutError::Timeout) => {
                    let mut desk = self.desk();
                    desk.review(self.now());
                    report::queue_length(desk.waiting());
                }
                Err(RecvTimeoutError::Disconnected) => {
                    self.desk().withdraw(ticket);
                    return Err(Refusal { code: Code::Internal, retry_at: None });
                }
            }
        }
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
