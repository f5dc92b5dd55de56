//! Decides when a request whose first copy is slower than nearly all of its kind gets a second one.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use godwit_core::SteadyMs;
use godwit_core::site::{
    HedgeBudget, HedgeCandidate, HedgeDelays, HedgeKind, HedgeLimit, HedgeRefusal, Reach,
    has_spare_room, is_path_as_fast, may_hedge,
};
use tokio::time::timeout_at;
use tracing::info;

use super::abandoned::watch_failed_run;
use super::admit::AdmittedRequest;
use super::attempt::{AttemptError, EarlierAttempts, StartedResponse, read_body, send};
use super::destination::{Destination, choose_destination};
use super::hedge_race::Race;
use super::quarantine::is_suspect;
use crate::site::Site;
use crate::wire::WireError;

/// State of a host for hedging.
pub(crate) struct Hedging {
    limit: HedgeLimit,
    pub(super) delays: RefCell<HedgeDelays>,
    /// Budgets by service.
    budgets: RefCell<BTreeMap<String, HedgeBudget>>,
}

impl Hedging {
    pub(crate) fn new(limit: HedgeLimit) -> Hedging {
        Hedging { limit, delays: RefCell::default(), budgets: RefCell::default() }
    }

    /// Drops the budgets of services that are not in the configuration any more.
    pub(crate) fn retain(&self, is_configured: impl Fn(&str) -> bool) {
        self.budgets.borrow_mut().retain(|service, _| is_configured(service));
    }

    fn with_budget<T>(&self, service: &str, operation: impl FnOnce(&mut HedgeBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.to_string())
            .or_insert_with(|| HedgeBudget::new(self.limit, rand::random()));
        let result = operation(budget);
        metrics::gauge!("hedge_budget", "service" => service.to_string())
            .set(budget.available_work());
        result
    }
}

/// What attempts have done besides those whose results were returned.
#[derive(Default)]
pub(super) struct OtherCopies {
    /// Number of copies that may have run the request.
    pub(super) runs: u32,
    /// Ids of the servers of copies that failed.
    pub(super) avoided: BTreeSet<String>,
    is_first_send_recorded: bool,
}

/// Result of an attempt, which may have been sent twice.
pub(super) struct Sent {
    pub(super) destination: Destination,
    pub(super) result: Result<StartedResponse, AttemptError>,
}

pub(super) type Attempt<'a> =
    Pin<Box<dyn Future<Output = Result<StartedResponse, AttemptError>> + 'a>>;

/// Sends a request and waits for the head of a stream, or for the whole answer to a call. If hedging is on and the request
/// is overdue, sends a second copy to another server.
pub(super) async fn send_with_hedge(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    destination: &Destination,
    earlier: EarlierAttempts<'_>,
    deadline: SteadyMs,
    other_copies: &mut OtherCopies,
) -> Sent {
    let hedging = &site.hedging;
    if hedging.limit.is_zero() {
        let last_event_id = admitted.incoming.head.last_event_id;
        let result = send(site, admitted, destination, last_event_id, earlier, deadline).await;
        return Sent { destination: destination.clone(), result };
    }
    let kind = hedge_kind(admitted);
    if !std::mem::replace(&mut other_copies.is_first_send_recorded, true) {
        let record = |budget: &mut HedgeBudget| budget.record_first_send(work_of(destination));
        hedging.with_budget(&kind.service, record);
    }
    let sent_at = site.now();
    let (expected_ms, quantile) = (destination.first_event_ms, hedging.limit.quantile());
    let delay_ms = hedging.delays.borrow().delay_ms(&kind, expected_ms, quantile, sent_at);
    let mut first: Attempt<'_> = Box::pin(attempt(site, admitted, destination, earlier, deadline));
    if let Some(delay_ms) = delay_ms {
        let due_at = site.clock.instant(sent_at.plus_ms(delay_ms));
        let in_time = timeout_at(due_at, first.as_mut()).await;
        hedging.delays.borrow_mut().record_overdue(&kind, in_time.is_err());
        match in_time {
            Ok(result) => {
                record_latency(site, &kind, destination, &result);
                return Sent { destination: destination.clone(), result };
            }
            Err(_) => match choose_copy(site, admitted, destination, &kind, earlier) {
                Ok(copy) => {
                    let race =
                        Race { site, admitted, kind: &kind, first: destination, copy, delay_ms };
                    return race.run(first, earlier, other_copies).await;
                }
                Err(refusal) => record_withheld(admitted, &kind, delay_ms, refusal),
            },
        }
    }
    let result = first.await;
    record_latency(site, &kind, destination, &result);
    Sent { destination: destination.clone(), result }
}

fn hedge_kind(admitted: &AdmittedRequest) -> HedgeKind {
    let policy = &admitted.policy;
    HedgeKind { service: policy.service.clone(), target_latency_ms: policy.target_latency_ms }
}

/// Logs and counts that an overdue request gets no copy.
fn record_withheld(
    admitted: &AdmittedRequest,
    kind: &HedgeKind,
    delay_ms: u64,
    refusal: HedgeRefusal,
) {
    info!(
        event = "hedge_withheld",
        request = admitted.incoming.head.request_id,
        service = kind.service,
        delay_ms,
        reason = refusal.name(),
    );
    metrics::counter!("hedges_withheld_total", "reason" => refusal.name()).increment(1);
}

/// Returns the predicted work of a request: tokens of a stream, 1 for a call.
pub(super) fn work_of(destination: &Destination) -> u64 {
    destination.load.kv_tokens.max(1)
}

/// One copy: up to the head of a stream or of an error, else up to the end of the answer.
pub(super) async fn attempt(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    destination: &Destination,
    earlier: EarlierAttempts<'_>,
    deadline: SteadyMs,
) -> Result<StartedResponse, AttemptError> {
    let last_event_id = admitted.incoming.head.last_event_id;
    let mut response = send(site, admitted, destination, last_event_id, earlier, deadline).await?;
    if admitted.policy.work.is_stream() || response.head.is_server_error() {
        return Ok(response);
    }
    match read_body(site, &mut response, admitted.policy.response_deadline).await {
        Ok(body) => {
            response.body = Some(body);
            Ok(response)
        }
        Err(error) => {
            let run = response.in_flight.run().clone();
            let is_direct = response.connection.is_direct();
            if matches!(error, WireError::TimedOut) {
                watch_failed_run(response);
            }
            Err(AttemptError::Unknown { error, run, is_direct })
        }
    }
}

/// Records how long an answer took, from when its copy was sent.
pub(super) fn record_latency(
    site: &Site,
    kind: &HedgeKind,
    destination: &Destination,
    result: &Result<StartedResponse, AttemptError>,
) {
    let Ok(response) = result else { return };
    if response.head.is_server_error() {
        return;
    }
    let took_ms = site.now().since_ms(response.in_flight.run().started_at());
    let mut delays = site.hedging.delays.borrow_mut();
    let expected_ms = destination.first_event_ms;
    delays.record(kind, &destination.server_ids(), expected_ms, took_ms, site.now());
}

/// Chooses the server or path of a copy and takes the copy from the budgets.
fn choose_copy(
    site: &Site,
    admitted: &AdmittedRequest,
    first: &Destination,
    kind: &HedgeKind,
    earlier: EarlierAttempts<'_>,
) -> Result<Destination, HedgeRefusal> {
    let policy = &admitted.policy;
    let limited = site.limited_servers(&policy.service);
    may_hedge(&HedgeCandidate {
        work: policy.work,
        is_resumed: admitted.incoming.head.last_event_id.is_some(),
        earlier_runs: earlier.runs,
        max_attempts: policy.max_attempts,
        is_in_doubt: admitted.has_lost_server.get() || is_suspect(site, admitted),
        is_slow_everywhere: site.hedging.delays.borrow().is_slow_everywhere(kind, site.now()),
        waiting_requests: site.waiters.count(&admitted.policy.service),
        is_service_limited: !limited.permitted.is_empty() || !limited.withheld.is_empty(),
    })?;
    let work = work_of(first);
    if !site.hedging.with_budget(&policy.service, |budget| budget.has_room(work)) {
        return Err(HedgeRefusal::BudgetSpent);
    }
    if site.links.borrow().reach() != Reach::Any {
        return Err(HedgeRefusal::NoSpareRoom);
    }
    let mut avoided = earlier.avoided.clone();
    avoided.insert(first.server_id.clone());
    let copy = choose_destination(site, admitted, &avoided);
    let copy = copy.map_err(|_| HedgeRefusal::NoSpareRoom)?;
    if !is_spare(site, admitted, &copy) {
        return Err(HedgeRefusal::NoSpareRoom);
    }
    if !is_path_as_fast(first.event_gap_ms, copy.event_gap_ms) {
        return Err(HedgeRefusal::NoFastPath);
    }
    if !site.try_hedge(&policy.service) {
        return Err(HedgeRefusal::RetriesSpent);
    }
    let is_taken = site.hedging.with_budget(&policy.service, |budget| budget.try_take(work));
    if is_taken { Ok(copy) } else { Err(HedgeRefusal::BudgetSpent) }
}

/// Whether all servers of a copy have room to spare.
fn is_spare(site: &Site, admitted: &AdmittedRequest, copy: &Destination) -> bool {
    let service = admitted.policy.configuration.service(&admitted.policy.service);
    let model = service.and_then(|service| service.model.as_ref());
    let (registry, loads) = (site.registry.borrow(), site.loads.borrow());
    copy.server_ids().into_iter().all(|id| {
        let server = registry.get(id);
        server.is_some_and(|it| has_spare_room(model, it, loads.total(id), copy.load))
    })
}
