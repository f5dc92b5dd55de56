//! Asks the store while this host relies on none that it follows, and offers what it has read to the hosts of its domain.

use std::rc::Rc;
use std::time::Duration;

use godwit_core::SteadyMs;
use godwit_core::replica::{FallbackCall, MAX_NOTIFIED_HOSTS};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::sleep;
use tracing::info;

use crate::gossip::Gossip;
use crate::replica::ObjectKind;
use crate::site::Site;
use crate::store::{Tries, ask_store};

/// Longest time between two checks whether a call is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of hosts to which a host of a larger domain passes an offer on.
const PASSED_ON_OFFERS: usize = 16;

/// Asks the store whenever that is due although this host does not read it, for as long as the process runs.
pub(crate) async fn ask_store_in_gaps(site: Rc<Site>, gossip: Rc<Gossip>) {
    loop {
        let now = site.now();
        let due_at = site.fallback_call_at(now);
        if !due_at.is_past(now) {
            sleep(CHECK_INTERVAL.min(Duration::from_millis(due_at.since_ms(now)))).await;
            continue;
        }
        let Some(call) = site.readers.borrow_mut().begin_fallback_call(now) else { continue };
        if call.doubts_store {
            gossip.send_doubtful_call(&site.random_domain_peers(MAX_NOTIFIED_HOSTS)).await;
        }
        let is_confirmed = site.ask_in_gap(call, now).await;
        if !is_confirmed {
            site.readers.borrow_mut().record_fallback_failure(call, site.now());
        } else if site.readers.borrow_mut().begin_offer() {
            let peers = site.random_domain_peers(MAX_NOTIFIED_HOSTS);
            gossip.send_offer(&site.settings.host, &peers).await;
        }
    }
}

impl Site {
    fn fallback_call_at(&self, now: SteadyMs) -> SteadyMs {
        let confirmed_at = ObjectKind::ALL.into_iter().map(|kind| self.confirmed_at(kind)).min();
        let draw = rand::rng().random();
        self.readers.borrow_mut().fallback_call_at(confirmed_at.flatten(), draw, now)
    }

    /// Asks the store whether this host holds everything. Returns whether it does now.
    async fn ask_in_gap(&self, call: FallbackCall, now: SteadyMs) -> bool {
        let is_listed = ObjectKind::ALL.iter().all(|kind| self.next_position(*kind).is_some());
        let (follows, heard_ms_ago) = {
            let readers = self.readers.borrow();
            let heard_ms_ago = readers.heard_at().map(|at| now.since_ms(at));
            (readers.followed().map(str::to_string), heard_ms_ago)
        };
        let age_ms = self.confirmed_ms_ago(ObjectKind::Configuration);
        metrics::counter!("fallback_calls_total").increment(1);
        let is_confirmed = if is_listed {
            let tries = if call.doubts_store { Tries::One } else { Tries::Two };
            ask_store(self, tries).await
        } else {
            // Only a host that reads the store lists objects.
            self.readers.borrow_mut().begin_reading();
            self.plan_reading();
            false
        };
        let after_ms = self.now().since_ms(now);
        info!(
            event = "store_asked",
            follows,
            heard_ms_ago,
            age_ms,
            doubts_store = call.doubts_store,
            is_listed,
            is_confirmed,
            after_ms
        );
        is_confirmed
    }

    fn random_domain_peers(&self, count: usize) -> Vec<String> {
        let readers = self.readers.borrow();
        let names = readers.domain_peers().into_iter().choose_multiple(&mut rand::rng(), count);
        names.into_iter().map(str::to_string).collect()
    }

    /// Records that another host offers its copies, which this host follows if it relies on none. Returns the hosts to which
    /// the offer is to be passed on.
    pub(crate) fn record_offer(&self, host: &str) -> Vec<String> {
        let receipt = self.readers.borrow_mut().record_offer(host, self.now());
        if receipt.is_wanted {
            self.reading_changed.notify_one();
        }
        if !receipt.is_news {
            return Vec::new();
        }
        info!(event = "copies_offered", host, is_wanted = receipt.is_wanted);
        match self.readers.borrow().domain_peers().len() {
            peers if peers > MAX_NOTIFIED_HOSTS => self.random_domain_peers(PASSED_ON_OFFERS),
            _ => Vec::new(),
        }
    }
}
