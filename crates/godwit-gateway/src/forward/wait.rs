//! Short waits before a request is sent: for the first configuration, and for a server with free capacity.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::Code;
use godwit_core::site::Reach;
use tokio::time::sleep;

use super::admit::AdmittedRequest;
use super::destination::{Destination, choose_destination};
use crate::site::Site;

/// Divisor of the latency target that gives the maximum time for which a request waits for a server.
const QUEUE_TIME_DIVISOR: u64 = 2;

/// Maximum number of requests that wait for a server at the same time; further requests do not wait.
const MAX_QUEUED_REQUESTS: usize = 24;

/// Interval at which a waiting request checks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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

/// Chooses a server or path. While none is available, the request waits for up to a part of its latency target; the
/// rest is reserved for its execution.
pub(super) async fn wait_for_destination(
    site: &Rc<Site>,
    admitted: &AdmittedRequest,
    avoided: &BTreeSet<String>,
) -> Result<Destination, Code> {
    let wait_ms = admitted.policy.target_latency_ms / QUEUE_TIME_DIVISOR;
    let queue_deadline =
        admitted.incoming.received.plus_ms(wait_ms).min(admitted.policy.response_deadline);
    let mut queue_guard: Option<CounterGuard> = None;
    loop {
        let reach = site.links.borrow().reach();
        let chosen = match reach {
            Reach::Any => choose_destination(site, admitted, avoided),
            Reach::Nothing | Reach::NothingYet => Err(Code::NoServer),
        };
        if chosen.is_ok() || reach == Reach::Nothing {
            return chosen;
        }
        let is_over = queue_deadline.is_past(site.now());
        let limited = site.limited_servers(&admitted.policy.service);
        let is_too_late = limited.next_permit_at.is_some_and(|at| at > queue_deadline);
        if !limited.withheld.is_empty() && (is_over || is_too_late) {
            return Err(Code::ServerLimit);
        }
        if let Some((end, is_everyone)) = site.next_hold_off_end(&admitted.policy.service)
            && (is_over || (is_everyone && end > queue_deadline))
        {
            return Err(Code::ServersHoldOff);
        }
        if is_over {
            return chosen;
        }
        if queue_guard.is_none() {
            if site.requests_queued.get() >= MAX_QUEUED_REQUESTS {
                return chosen;
            }
            queue_guard = Some(CounterGuard::new(site, |site| &site.requests_queued));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits for the first configuration, for no longer than a new process needs to read it.
pub(super) async fn wait_for_configuration(site: &Site) {
    let configuration_deadline = site.now().plus_ms(CONFIGURATION_TIMEOUT_MS);
    while site.configuration().is_none() && !configuration_deadline.is_past(site.now()) {
        sleep(POLL_INTERVAL).await;
    }
}
