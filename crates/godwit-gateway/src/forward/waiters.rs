//! The requests of this host that wait for room, by service.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use godwit_core::queue::{QueueFull, Ticket};
use godwit_core::site::{GrantPass, LineLimits, Waiting, WaitingLine};
use godwit_core::{Code, SteadyMs};
use tokio::sync::oneshot;

use super::admit::AdmittedRequest;
use super::destination::Destination;
use super::in_flight::ReservedLoad;
use crate::site::Site;

/// Maximum number of requests of a service that wait.
const MAX_WAITING: usize = 64;

/// Maximum size of the bodies of a service's waiting requests, as a divisor of the host's memory for content.
const WAITING_BYTES_DIVISOR: u64 = 8;

/// What becomes of a request that waits: a place with its load, or the code with which it is refused.
pub(super) type WaitOutcome = Result<(Destination, ReservedLoad), Code>;

/// A request that waits.
pub(super) struct Waiter {
    pub(super) admitted: Rc<AdmittedRequest>,
    pub(super) avoided: BTreeSet<String>,
    /// Why it found no room last.
    pub(super) code: Code,
    pub(super) outcome: oneshot::Sender<WaitOutcome>,
}

struct ServiceLine {
    line: WaitingLine,
    waiters: BTreeMap<Ticket, (Waiter, SteadyMs)>,
}

impl ServiceLine {
    fn finish(&mut self, ticket: Ticket, outcome: WaitOutcome, now: SteadyMs) {
        if let Some((waiter, _)) = self.waiters.remove(&ticket) {
            if outcome.is_ok() {
                self.line.grant(ticket, now);
            } else {
                self.line.leave(ticket, now);
            }
            // A caller that has left drops what it gets.
            drop(waiter.outcome.send(outcome));
        }
    }
}

/// Waiting requests of all services.
pub(crate) struct Waiters {
    limits: LineLimits,
    lines: RefCell<BTreeMap<String, ServiceLine>>,
    /// Whether no further request may wait, because the host is about to end.
    is_closed: Cell<bool>,
}

impl Waiters {
    /// Creates the state for a host with `content_bytes` of memory for content.
    pub(crate) fn new(content_bytes: u64) -> Waiters {
        let limits =
            LineLimits { requests: MAX_WAITING, bytes: content_bytes / WAITING_BYTES_DIVISOR };
        Waiters { limits, lines: RefCell::default(), is_closed: Cell::new(false) }
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lines.borrow().values().all(|line| line.waiters.is_empty())
    }

    /// Returns the number of requests of a service that wait.
    pub(super) fn count(&self, service: &str) -> usize {
        self.lines.borrow().get(service).map_or(0, |line| line.waiters.len())
    }

    /// Returns the services of which requests wait.
    pub(super) fn services(&self) -> Vec<String> {
        let lines = self.lines.borrow();
        let waiting = lines.iter().filter(|(_, line)| !line.waiters.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    pub(super) fn with_line<T>(
        &self,
        service: &str,
        operation: impl FnOnce(&mut WaitingLine) -> T,
    ) -> T {
        operation(&mut self.service_line(service, &mut self.lines.borrow_mut()).line)
    }

    /// Adds a request, and refuses the less valuable ones that it displaces.
    ///
    /// # Errors
    /// [`QueueFull`] if there is no room for the request, or the host is about to end.
    pub(super) fn join(
        &self,
        site: &Rc<Site>,
        request: &Waiting<'_>,
        waiter: Waiter,
    ) -> Result<Place, QueueFull> {
        if self.is_closed.get() {
            return Err(QueueFull);
        }
        let now = site.now();
        let policy = &waiter.admitted.policy;
        let (service, urgency) = (policy.service.clone(), policy.urgency_label());
        let mut lines = self.lines.borrow_mut();
        let of = self.service_line(&service, &mut lines);
        let (ticket, displaced) = of.line.join(request, now)?;
        for other in displaced {
            of.finish(other, Err(Code::Overloaded), now);
        }
        of.waiters.insert(ticket, (waiter, request.start_by));
        let gauge =
            metrics::gauge!("requests_waiting", "service" => service.clone(), "urgency" => urgency);
        gauge.increment(1.0);
        Ok(Place { site: site.clone(), service, ticket, gauge })
    }

    /// Returns why the first request of a service found no room last; none if no request waits.
    pub(super) fn first_code(&self, service: &str) -> Option<Code> {
        let lines = self.lines.borrow();
        let of = lines.get(service)?;
        let first = of.line.next_to_try(&GrantPass::default())?.ticket;
        of.waiters.get(&first).map(|(waiter, _)| waiter.code)
    }

    /// Returns a request with the servers that it avoids.
    pub(super) fn get(
        &self,
        service: &str,
        ticket: Ticket,
    ) -> Option<(Rc<AdmittedRequest>, BTreeSet<String>)> {
        let lines = self.lines.borrow();
        let (waiter, _) = lines.get(service)?.waiters.get(&ticket)?;
        Some((waiter.admitted.clone(), waiter.avoided.clone()))
    }

    /// Records why a request has found no room.
    pub(super) fn record_miss(&self, service: &str, ticket: Ticket, code: Code) {
        let mut lines = self.lines.borrow_mut();
        let waiter = lines.get_mut(service).and_then(|of| of.waiters.get_mut(&ticket));
        if let Some((waiter, _)) = waiter {
            waiter.code = code;
        }
    }

    /// Gives a request its room.
    pub(super) fn grant(
        &self,
        service: &str,
        ticket: Ticket,
        destination: Destination,
        reserved: ReservedLoad,
        now: SteadyMs,
    ) {
        if let Some(of) = self.lines.borrow_mut().get_mut(service) {
            of.finish(ticket, Ok((destination, reserved)), now);
        }
    }

    /// Refuses the requests for which `refusal` returns a code, from the latest time at which they can start and from why
    /// they found no room last.
    pub(super) fn refuse_where(
        &self,
        service: &str,
        now: SteadyMs,
        refusal: impl Fn(SteadyMs, Code) -> Option<Code>,
    ) {
        let mut lines = self.lines.borrow_mut();
        let Some(of) = lines.get_mut(service) else { return };
        let refused = of.waiters.iter().filter_map(|(ticket, (waiter, start_by))| {
            refusal(*start_by, waiter.code).map(|code| (*ticket, code))
        });
        for (ticket, code) in refused.collect::<Vec<_>>() {
            of.finish(ticket, Err(code), now);
        }
    }

    /// Refuses the requests that those before them keep from starting in time.
    pub(super) fn refuse_late(&self, service: &str, now: SteadyMs) {
        if let Some(of) = self.lines.borrow_mut().get_mut(service) {
            for ticket in of.line.late_requests(now) {
                of.finish(ticket, Err(Code::Overloaded), now);
            }
        }
    }

    /// Refuses all requests, and those that would wait from now on.
    pub(crate) fn close(&self, now: SteadyMs) {
        self.is_closed.set(true);
        for service in self.services() {
            self.refuse_where(&service, now, |_, _| Some(Code::Draining));
        }
    }

    /// Forgets services that are no longer configured.
    pub(crate) fn retain(&self, is_configured: impl Fn(&str) -> bool) {
        self.lines
            .borrow_mut()
            .retain(|service, of| !of.waiters.is_empty() || is_configured(service));
    }

    fn service_line<'a>(
        &self,
        service: &str,
        lines: &'a mut BTreeMap<String, ServiceLine>,
    ) -> &'a mut ServiceLine {
        lines.entry(service.to_string()).or_insert_with(|| ServiceLine {
            line: WaitingLine::new(self.limits),
            waiters: BTreeMap::new(),
        })
    }
}

/// Place of a request among those that wait, until it is dropped.
pub(super) struct Place {
    site: Rc<Site>,
    service: String,
    ticket: Ticket,
    gauge: metrics::Gauge,
}

impl Place {
    /// Returns why the request found no room last; none if it no longer waits.
    pub(super) fn code(&self) -> Option<Code> {
        let lines = self.site.waiters.lines.borrow();
        lines.get(&self.service)?.waiters.get(&self.ticket).map(|(waiter, _)| waiter.code)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gauge.decrement(1.0);
        let mut lines = self.site.waiters.lines.borrow_mut();
        if let Some(of) = lines.get_mut(&self.service)
            && of.waiters.remove(&self.ticket).is_some()
        {
            of.line.leave(self.ticket, self.site.now());
        }
    }
}
