//! Waits before a request is sent: for the first configuration, and for a server with room.
//!
//! Requests that find no room wait in the queue of their service at this host; docs/design/WAITING.md.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::queue::Ticket;
use godwit_core::site::{CALL_TOKENS, GrantPass, Reach, ServerState, Waiting, WaitingLine};
use godwit_core::{Code, SteadyMs};
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, timeout_at};

use super::admit::AdmittedRequest;
use super::destination::{Destination, choose_destination, expected_answer_tokens};
use super::in_flight::ReservedLoad;
use super::waiters::Waiter;
use crate::site::Site;

/// Longest time after which waiting requests are tried again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for which a request waits for the first configuration after the start of a process, in milliseconds.
const CONFIGURATION_TIMEOUT_MS: u64 = 300;

/// Counts a request in one of the site's counters until it is dropped.
pub(crate) struct CounterGuard {
    site: Rc<Site>,
    counter: fn(&Site) -> &Cell<usize>,
}

impl CounterGuard {
    pub(crate) fn new(site: &Rc<Site>, counter: fn(&Site) -> &Cell<usize>) -> CounterGuard {
        let cell = counter(site);
        cell.set(cell.get() + 1);
        CounterGuard { site: site.clone(), counter }
    }
}

impl Drop for CounterGuard {
    fn drop(&mut self) {
        let cell = (self.counter)(&self.site);
        cell.set(cell.get().saturating_sub(1));
    }
}

/// A server or path that a request may use now.
pub(super) struct Room {
    pub(super) destination: Destination,
    /// Load of a request that has waited, until it is sent.
    reserved: Option<ReservedLoad>,
}

impl Room {
    /// Returns the destination, to which the request is sent next.
    pub(super) fn into_destination(self) -> Destination {
        if let Some(reserved) = self.reserved {
            reserved.hand_over();
        }
        self.destination
    }
}

/// What is known of a service's servers besides their load.
struct Outlook {
    reach: Reach,
    /// Whether servers name limits, so that each request needs a permit.
    has_limits: bool,
    has_withheld: bool,
    next_permit_at: Option<SteadyMs>,
    hold_off_end: Option<(SteadyMs, bool)>,
}

impl Outlook {
    fn of(site: &Site, service: &str) -> Outlook {
        let limited = site.limited_servers(service);
        Outlook {
            reach: site.links.borrow().reach(),
            has_limits: !limited.withheld.is_empty() || !limited.permitted.is_empty(),
            has_withheld: !limited.withheld.is_empty(),
            next_permit_at: limited.next_permit_at,
            hold_off_end: site.next_hold_off_end(service),
        }
    }

    /// Returns why a request that has found no server is refused now; none if it may wait until `start_by`.
    fn refusal(&self, start_by: SteadyMs, code: Code, now: SteadyMs) -> Option<Code> {
        if self.reach == Reach::Nothing {
            return Some(code);
        }
        let is_over = start_by.is_past(now);
        let is_too_late = self.next_permit_at.is_some_and(|at| at > start_by);
        if self.has_withheld && (is_over || is_too_late) {
            return Some(Code::ServerLimit);
        }
        if let Some((end, is_everyone)) = self.hold_off_end
            && (is_over || (is_everyone && end > start_by))
        {
            return Some(Code::ServersHoldOff);
        }
        is_over.then_some(code)
    }
}

/// Chooses a server or path. While none has room, the request waits for up to a part of its latency target; the rest is
/// reserved for its execution.
///
/// # Errors
/// The code with which the request must be refused.
pub(super) async fn wait_for_destination(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    avoided: &BTreeSet<String>,
) -> Result<Room, Code> {
    let policy = &admitted.policy;
    let target_latency_ms = policy.target_latency_ms;
    let urgency = site.waiting_urgency(admitted);
    let (start_by, must_wait) = site.waiters.with_line(&policy.service, |line| {
        let start_by = line.start_by(admitted.incoming.received, target_latency_ms);
        (start_by.min(policy.response_deadline), line.must_wait(urgency))
    });
    let outlook = Outlook::of(site, &policy.service);
    let is_behind_others =
        must_wait && outlook.reach == Reach::Any && !start_by.is_past(site.now());
    let first_code = site.waiters.first_code(&policy.service).filter(|_| is_behind_others);
    let code = match first_code {
        Some(code) => code,
        None => match choose(site, admitted, avoided, &outlook) {
            Ok(destination) => {
                record_start(site, admitted, &destination);
                return Ok(Room { destination, reserved: None });
            }
            Err(code) => code,
        },
    };
    if let Some(code) = outlook.refusal(start_by, code, site.now()) {
        return Err(code);
    }
    wait(site, admitted, avoided, urgency, start_by, code).await
}

/// Waits in the queue of the service until a server or path has room.
async fn wait(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    avoided: &BTreeSet<String>,
    urgency: u32,
    start_by: SteadyMs,
    code: Code,
) -> Result<Room, Code> {
    let policy = &admitted.policy;
    let began_at = site.now();
    let request = Waiting {
        workspace: policy.workspace.as_deref().unwrap_or_default(),
        urgency,
        is_repeated: !avoided.is_empty(),
        start_by,
        needed_tokens: needed_tokens(admitted),
        size_bytes: admitted.body.len() as u64,
    };
    let is_for_room = code == Code::Overloaded;
    let can_start = |line: &WaitingLine| !is_for_room || line.can_start_in_time(&request, began_at);
    if !site.waiters.with_line(&policy.service, |line| can_start(line)) {
        return Err(code);
    }
    let (outcome, mut answer) = oneshot::channel();
    let waiter = Waiter { admitted: admitted.clone(), avoided: avoided.clone(), code, outcome };
    let place = site.waiters.join(site, &request, waiter).map_err(|_| code)?;
    if is_for_room {
        site.waiters.refuse_late(&policy.service, began_at);
    }
    grant_waiting(site, &policy.service);
    site.room_changed.notify_one();
    let outcome = match timeout_at(site.clock.instant(start_by), &mut answer).await {
        Ok(outcome) => outcome.unwrap_or(Err(code)),
        Err(_) => match answer.try_recv() {
            Ok(outcome) => outcome,
            Err(_) => {
                let outlook = Outlook::of(site, &policy.service);
                let code = place.code().unwrap_or(code);
                Err(outlook.refusal(start_by, code, start_by).unwrap_or(code))
            }
        },
    };
    let waited_ms = site.now().since_ms(began_at);
    record_wait(admitted, waited_ms, outcome.is_ok());
    outcome.map(|(destination, reserved)| Room { destination, reserved: Some(reserved) })
}

fn record_wait(admitted: &AdmittedRequest, waited_ms: u64, has_started: bool) {
    let service = admitted.policy.service.clone();
    let urgency = admitted.policy.urgency_label();
    let outcome = if has_started { "started" } else { "refused" };
    metrics::histogram!("waited_ms", "service" => service, "urgency" => urgency, "outcome" => outcome)
        .record(waited_ms as f64);
}

/// Chooses a server or path as [`choose_destination`] does, as far as this host reaches any.
fn choose(
    site: &Site,
    admitted: &AdmittedRequest,
    avoided: &BTreeSet<String>,
    outlook: &Outlook,
) -> Result<Destination, Code> {
    if outlook.reach != Reach::Any {
        return Err(Code::NoServer);
    }
    choose_destination(site, admitted, avoided).map_err(|code| {
        let is_full = code == Code::NoServer && has_full_server(site, admitted, avoided);
        if is_full { Code::Overloaded } else { code }
    })
}

/// Whether a server of a plain service could run a request if it had room.
fn has_full_server(site: &Site, admitted: &AdmittedRequest, avoided: &BTreeSet<String>) -> bool {
    let policy = &admitted.policy;
    let service = policy.configuration.service(&policy.service);
    if service.is_none_or(|service| service.model.is_some()) {
        return false;
    }
    let now = site.now();
    let mut excluded = site.ejected_servers(now);
    excluded.extend(site.limited_servers(&policy.service).withheld);
    excluded.extend(site.servers_holding_off(&policy.service));
    let findings = site.findings.borrow();
    excluded.extend(findings.stalling_servers(now));
    let home_domain = &site.settings.failure_domain;
    site.registry.borrow().servers().any(|server| {
        server.service == policy.service
            && server.state == ServerState::Ready
            && !avoided.contains(&server.id)
            && !excluded.contains(&server.id)
            && findings.is_reachable(home_domain, &server.failure_domain, now)
    })
}

/// Returns the tokens that a request needs in the KV cache; [`CALL_TOKENS`] for a call.
fn needed_tokens(admitted: &AdmittedRequest) -> u64 {
    let policy = &admitted.policy;
    let service = policy.configuration.service(&policy.service);
    let Some(model) = service.and_then(|service| service.model.as_ref()) else {
        return CALL_TOKENS;
    };
    let prompt_tokens = admitted.incoming.head.prompt_tokens.unwrap_or(model.usual_prompt_tokens);
    prompt_tokens.saturating_add(expected_answer_tokens(admitted, model.usual_answer_tokens))
}

fn record_start(site: &Site, admitted: &AdmittedRequest, destination: &Destination) {
    let now = site.now();
    let service = &admitted.policy.service;
    let first_event_ms = destination.first_event_ms;
    site.waiters.with_line(service, |line| {
        line.record_start(needed_tokens(admitted), first_event_ms, now);
    });
    site.return_times.borrow_mut().record_granted(service, now);
}

/// Tries the waiting requests whenever room may have come, for as long as the process runs.
pub(crate) async fn serve_waiting(site: Rc<Site>) {
    loop {
        let room_changed = site.room_changed.notified();
        if site.waiters.is_empty() {
            room_changed.await;
        } else {
            // Without a change here, load may have ended that only other hosts know of.
            let _ = timeout(RECHECK_INTERVAL, room_changed).await;
        }
        for service in site.waiters.services() {
            grant_waiting(&site, &service);
        }
        // Granted requests are sent, and take their permits, before others are tried.
        yield_now().await;
    }
}

/// Gives room to the waiting requests of a service in their order, and refuses those that can no longer get any.
fn grant_waiting(site: &Rc<Site>, service: &str) {
    let outlook = Outlook::of(site, service);
    let now = site.now();
    site.waiters.refuse_where(service, now, |start_by, code| outlook.refusal(start_by, code, now));
    if outlook.reach != Reach::Any {
        return;
    }
    let mut pass = GrantPass::default();
    while let Some(ticket) = next_to_try(site, service, &pass) {
        let Some((admitted, avoided)) = site.waiters.get(service, ticket) else { return };
        match choose(site, &admitted, &avoided, &outlook) {
            Ok(destination) => {
                record_start(site, &admitted, &destination);
                let reserved = ReservedLoad::new(site, &destination);
                site.waiters.grant(service, ticket, destination, reserved, site.now());
                if outlook.has_limits {
                    site.room_changed.notify_one();
                    return;
                }
                pass = GrantPass::default();
            }
            Err(code) => {
                let needed_tokens =
                    if code == Code::Overloaded { needed_tokens(&admitted) } else { 0 };
                let is_general = avoided.is_empty();
                site.waiters.record_miss(service, ticket, code);
                site.waiters.with_line(service, |line| {
                    if let Some(request) = line.get(ticket) {
                        pass.record_miss(request, is_general.then_some(needed_tokens));
                    }
                });
            }
        }
    }
}

fn next_to_try(site: &Site, service: &str, pass: &GrantPass) -> Option<Ticket> {
    site.waiters.with_line(service, |line| line.next_to_try(pass).map(|next| next.ticket))
}

/// Waits for the first configuration, for no longer than a new process needs to read it.
pub(super) async fn wait_for_configuration(site: &Site) {
    let configuration_deadline = site.now().plus_ms(CONFIGURATION_TIMEOUT_MS);
    while site.configuration().is_none() && !configuration_deadline.is_past(site.now()) {
        sleep(RECHECK_INTERVAL).await;
    }
}
