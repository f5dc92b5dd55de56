//! Requests in flight: which servers each of them runs on, since when and how far it has come.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use godwit_core::SteadyMs;
use godwit_core::site::{BackendServer, Load};

use super::admit::{AdmittedRequest, Fingerprint};
use super::destination::Destination;
use crate::site::Site;

/// A request that was sent to a server or path. Moving it to another path begins another run.
pub(crate) struct Run {
    pub(crate) admitted: Rc<AdmittedRequest>,
    pub(crate) destination: Destination,
    /// Incarnation of the server to which the request was sent.
    incarnation: String,
    started_at: Cell<SteadyMs>,
    /// What the run decides about: the request or parts of its prompt that are in doubt, so that this is the only run with
    /// them at this host. Empty for most runs.
    pub(crate) trial_of: Vec<Fingerprint>,
    /// Other servers that were running when a trial run was sent.
    witnesses: RefCell<Vec<BackendServer>>,
    /// Number of pieces of the response that have arrived: events of a stream.
    pieces: Cell<u64>,
    /// Whether it has been recorded that the run broke.
    is_break_recorded: Cell<bool>,
    /// Whether it has been recorded that the server has served the run, or failed it.
    is_outcome_recorded: Cell<bool>,
}

impl Run {
    pub(crate) fn request_id(&self) -> &str {
        &self.admitted.incoming.head.request_id
    }

    /// Time at which the request was sent.
    pub(crate) fn started_at(&self) -> SteadyMs {
        self.started_at.get()
    }

    /// Returns the incarnation of the server to which the request was sent, as known then.
    pub(crate) fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// Records that a trial run is sent, and which other servers are running.
    pub(crate) fn start_with_witnesses(&self, witnesses: Vec<BackendServer>, now: SteadyMs) {
        self.witnesses.replace(witnesses);
        self.started_at.set(now);
    }

    pub(crate) fn witnesses(&self) -> Vec<BackendServer> {
        self.witnesses.borrow().clone()
    }

    /// Whether the run decides about something in doubt.
    pub(crate) fn is_trial(&self) -> bool {
        !self.trial_of.is_empty()
    }

    /// Marks that it is recorded that the run broke, and returns whether it was before.
    pub(crate) fn mark_break_recorded(&self) -> bool {
        self.is_break_recorded.replace(true)
    }

    /// Marks that it is recorded whether the server has served the run or failed it, and returns whether it was before.
    pub(crate) fn mark_outcome_recorded(&self) -> bool {
        self.is_outcome_recorded.replace(true)
    }

    pub(crate) fn pieces(&self) -> u64 {
        self.pieces.get()
    }

    pub(crate) fn record_pieces(&self, count: u64) {
        self.pieces.set(self.pieces.get() + count);
    }
}

/// Runs in flight, by request id and number of the run.
#[derive(Default)]
pub(crate) struct Runs {
    by_request: RefCell<BTreeMap<(String, u64), Rc<Run>>>,
    /// Runs that have broken while it is not yet known whether their servers have ended.
    unresolved: RefCell<Vec<Weak<Run>>>,
    next_number: Cell<u64>,
}

impl Runs {
    fn insert(&self, run: &Rc<Run>) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (run.request_id().to_string(), number);
        self.by_request.borrow_mut().insert(key, run.clone());
        number
    }

    /// Ends a run. While something else holds it, to find out what became of its servers, it is unresolved.
    fn end(&self, run: &Rc<Run>, number: u64) {
        self.by_request.borrow_mut().remove(&(run.request_id().to_string(), number));
        let mut unresolved = self.unresolved.borrow_mut();
        unresolved.retain(|run| run.strong_count() > 0);
        let is_held_elsewhere = Rc::strong_count(run) > 1;
        unresolved.extend(is_held_elsewhere.then(|| Rc::downgrade(run)));
    }

    /// Whether a run that is in flight or unresolved has a property.
    fn any(&self, matches: impl Fn(&Run) -> bool) -> bool {
        let is_in_flight = self.by_request.borrow().values().any(|run| matches(run));
        is_in_flight
            || self.unresolved.borrow().iter().filter_map(Weak::upgrade).any(|run| matches(&run))
    }

    /// Returns the runs, in flight or unresolved, on a server that started before a time.
    pub(crate) fn on_server(&self, server_id: &str, before: SteadyMs) -> Vec<Rc<Run>> {
        let (in_flight, unresolved) = (self.by_request.borrow(), self.unresolved.borrow());
        let unresolved = unresolved.iter().filter_map(Weak::upgrade);
        let runs = in_flight.values().cloned().chain(unresolved);
        let runs = runs.filter(|run| run.started_at() < before);
        runs.filter(|run| run.destination.server_ids().contains(&server_id)).collect()
    }

    /// Whether a request with a fingerprint, or with a part that has it, is running, or has run with an outcome that is not
    /// yet known.
    pub(crate) fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.any(|run| run.admitted.has_fingerprint(fingerprint))
    }

    /// The same for other attempts of callers than that of a request.
    pub(crate) fn is_running_elsewhere(
        &self,
        fingerprint: Fingerprint,
        admitted: &AdmittedRequest,
    ) -> bool {
        let request_id = &admitted.incoming.head.request_id;
        self.any(|run| run.admitted.has_fingerprint(fingerprint) && run.request_id() != request_id)
    }

    /// Returns the runs of a request in the order in which they began.
    pub(crate) fn of_request(&self, request_id: &str) -> Vec<Rc<Run>> {
        let runs = self.by_request.borrow();
        let range = (request_id.to_string(), 0)..=(request_id.to_string(), u64::MAX);
        runs.range(range).map(|(_, run)| run.clone()).collect()
    }

    /// Returns the latest run of a request that uses a server, or else its latest run.
    pub(crate) fn latest_on(&self, request_id: &str, server_id: &str) -> Option<Rc<Run>> {
        let runs = self.of_request(request_id);
        let on_server =
            runs.iter().rev().find(|run| run.destination.server_ids().contains(&server_id));
        on_server.or(runs.last()).cloned()
    }
}

/// Load of a request that is about to be sent, counted so that no other request takes its place.
pub(crate) struct ReservedLoad {
    site: Rc<Site>,
    keys: Vec<String>,
    load: Load,
    is_handed_over: bool,
}

impl ReservedLoad {
    pub(crate) fn new(site: &Rc<Site>, destination: &Destination) -> ReservedLoad {
        let keys: Vec<String> = destination.load_keys().map(str::to_string).collect();
        let load = destination.load;
        keys.iter().for_each(|key| site.loads.borrow_mut().start(key, load));
        ReservedLoad { site: site.clone(), keys, load, is_handed_over: false }
    }

    /// Ends the reservation of a request that is sent now.
    pub(crate) fn hand_over(mut self) {
        self.is_handed_over = true;
    }
}

impl Drop for ReservedLoad {
    fn drop(&mut self) {
        for key in &self.keys {
            self.site.loads.borrow_mut().end(key, self.load);
        }
        if !self.is_handed_over {
            self.site.room_changed.notify_one();
        }
    }
}

/// Registers a run and adds its load to the servers and links; dropping it reverts both.
pub(crate) struct InFlightGuard {
    site: Rc<Site>,
    run: Rc<Run>,
    number: u64,
}

impl InFlightGuard {
    pub(crate) fn start(
        site: &Rc<Site>,
        admitted: &Rc<AdmittedRequest>,
        destination: &Destination,
    ) -> InFlightGuard {
        let parts = &admitted.part_fingerprints;
        let trial_of = admitted.fingerprints().filter(|fingerprint| {
            site.crashes.borrow_mut().begin_run(fingerprint.0, parts, site.now())
        });
        let run = Rc::new(Run {
            trial_of: trial_of.collect(),
            admitted: admitted.clone(),
            destination: destination.clone(),
            incarnation: site.incarnation(&destination.server_id),
            started_at: Cell::new(site.now()),
            witnesses: RefCell::default(),
            pieces: Cell::new(0),
            is_break_recorded: Cell::new(false),
            is_outcome_recorded: Cell::new(false),
        });
        let number = site.runs.insert(&run);
        site.take_permits(&destination.server_ids());
        site.failing.borrow_mut().record_send(&destination.server_id, site.now());
        let mut loads = site.loads.borrow_mut();
        for id in destination.load_keys() {
            loads.start(id, destination.load);
        }
        InFlightGuard { site: site.clone(), run, number }
    }

    pub(crate) fn run(&self) -> &Rc<Run> {
        &self.run
    }

    pub(crate) fn site(&self) -> &Rc<Site> {
        &self.site
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.site.runs.end(&self.run, self.number);
        for fingerprint in &self.run.trial_of {
            self.site.crashes.borrow_mut().end_trial(fingerprint.0);
        }
        let destination = &self.run.destination;
        let mut loads = self.site.loads.borrow_mut();
        for id in destination.load_keys() {
            loads.end(id, destination.load);
        }
        self.site.room_changed.notify_one();
    }
}
