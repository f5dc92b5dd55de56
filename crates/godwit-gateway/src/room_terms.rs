//! The order over the requests of all hosts, at this host: what it records of demand, and the terms of each request.

use std::cell::RefCell;
use std::collections::BTreeMap;

use godwit_core::site::{
    DemandTable, LoadSource, PeerDemandReport, RoomTerms, TermsRequest, WorkspaceShares,
    demand_tokens, has_turn, scarcest_layer_tokens,
};
use godwit_core::{Code, SteadyMs};
use tracing::{info, warn};

use crate::forward::{AdmittedRequest, expected_answer_tokens};
use crate::site::Site;
use crate::store::bounded_text;

/// Age at which a report of demand expires, in milliseconds; longer than the time between two on a calm day.
const DEMAND_EXPIRY_MS: u64 = 2_000;

/// Age up to which the room of a model is not computed again, in milliseconds.
const MAX_ROOM_AGE_MS: u64 = 500;

/// State from which the order of requests is computed.
pub(crate) struct Order {
    pub(crate) demand: RefCell<DemandTable>,
    workspaces: RefCell<WorkspaceShares>,
    /// Room of each model in tokens, with the time until which it counts.
    rooms: RefCell<BTreeMap<String, (f64, SteadyMs)>>,
}

impl Order {
    pub(crate) fn new() -> Order {
        Order {
            demand: RefCell::new(DemandTable::new(DEMAND_EXPIRY_MS)),
            workspaces: RefCell::default(),
            rooms: RefCell::default(),
        }
    }

    /// Drops expired reports, and what is not asked any more.
    pub(crate) fn expire(&self, now: SteadyMs) {
        self.demand.borrow_mut().expire(now);
        self.workspaces.borrow_mut().expire(now);
        self.rooms.borrow_mut().retain(|_, (_, until)| !until.is_past(now));
    }
}

/// Returns the units in which a request counts as demand: its tokens in the KV cache, or 1 for a plain service.
fn units(admitted: &AdmittedRequest) -> f64 {
    let service = admitted.policy.configuration.service(&admitted.policy.service);
    let Some(model) = service.and_then(|service| service.model.as_ref()) else { return 1.0 };
    let prompt_tokens = admitted.incoming.head.prompt_tokens.unwrap_or(model.usual_prompt_tokens);
    let answer_tokens = expected_answer_tokens(admitted, model.usual_answer_tokens);
    demand_tokens(model, prompt_tokens.saturating_add(answer_tokens))
}

fn count(metric: &'static str, admitted: &AdmittedRequest) {
    let urgency = admitted.policy.urgency().to_string();
    let service = admitted.policy.service.clone();
    metrics::counter!(metric, "service" => service, "urgency" => urgency).increment(1);
}

impl Site {
    /// Records a request that arrives, and shows the threshold for its urgency.
    pub(crate) fn record_asked(&self, admitted: &AdmittedRequest) {
        let (policy, now) = (&admitted.policy, self.now());
        let urgency = policy.urgency();
        self.order.demand.borrow_mut().record_asked(&policy.service, urgency, units(admitted), now);
        let workspace = policy.workspace.as_deref().unwrap_or_default();
        self.order.workspaces.borrow_mut().record_asked(workspace, now);
        count("order_asked_total", admitted);
        let threshold = 1.0 - self.reserved_share(admitted);
        let (service, urgency) = (policy.service.clone(), urgency.to_string());
        metrics::gauge!("order_threshold", "service" => service, "urgency" => urgency)
            .set(threshold);
    }

    /// Records that a request is sent to a server for the first time.
    pub(crate) fn record_admitted(&self, admitted: &AdmittedRequest) {
        let (policy, now) = (&admitted.policy, self.now());
        self.order.demand.borrow_mut().record_admitted(
            &policy.service,
            policy.urgency(),
            units(admitted),
            now,
        );
        let workspace = policy.workspace.as_deref().unwrap_or_default();
        self.order.workspaces.borrow_mut().record_admitted(workspace, now);
        count("order_admitted_total", admitted);
    }

    /// Logs and counts a request that is refused for want of room while room is kept for more urgent ones.
    pub(crate) fn record_withheld(&self, admitted: &AdmittedRequest, code: Code) {
        let reserved_share = self.room_terms(admitted).reserved_share;
        if reserved_share <= 0.0 || !matches!(code, Code::Overloaded | Code::TooLate) {
            return;
        }
        let age_ms = self.order.demand.borrow().newest_report_age_ms(self.now());
        info!(
            event = "withheld",
            request = admitted.incoming.head.request_id,
            service = admitted.policy.service,
            urgency = admitted.policy.urgency(),
            reserved_share,
            age_ms,
        );
        count("order_withheld_total", admitted);
    }

    /// Returns the terms on which this host may use the room of servers for a request.
    pub(crate) fn room_terms(&self, admitted: &AdmittedRequest) -> RoomTerms {
        self.order.demand.borrow().room_terms(&self.terms_request(admitted), self.now())
    }

    /// Returns the urgency with which a request waits for room at this host.
    pub(crate) fn waiting_urgency(&self, admitted: &AdmittedRequest) -> u32 {
        let request = self.terms_request(admitted);
        u32::from(self.order.demand.borrow().waiting_urgency(&request, self.now()))
    }

    fn terms_request<'a>(&self, admitted: &'a AdmittedRequest) -> TermsRequest<'a> {
        let (policy, now) = (&admitted.policy, self.now());
        let workspace = policy.workspace.as_deref().unwrap_or_default();
        let relay = self.relay.borrow();
        let is_alone = relay.host_count().is_none_or(|hosts| hosts <= 1);
        TermsRequest {
            service: &policy.service,
            urgency: policy.urgency(),
            domain_hosts: relay.domain_host_count(),
            knows_load: is_alone || self.loads.borrow().hosts() > 1,
            has_turn: has_turn(&self.settings.host, relay.host_count().unwrap_or(1), now),
            room: self.model_room(admitted),
            is_ordered: policy.is_ordered(),
            let_in_probability: self.order.workspaces.borrow().let_in_probability(workspace, now),
            seed: policy.seed,
        }
    }

    /// Returns the share of the room that is kept for requests more urgent than this one, whether or not it is let in.
    fn reserved_share(&self, admitted: &AdmittedRequest) -> f64 {
        let (policy, now) = (&admitted.policy, self.now());
        if !policy.is_ordered() {
            return 0.0;
        }
        let room = self.model_room(admitted);
        self.order.demand.borrow().reserved_share(&policy.service, policy.urgency(), room, now)
    }

    /// Returns the tokens that the scarcest layer of a request's model holds; 0 for a plain service, of whose room none is
    /// kept.
    fn model_room(&self, admitted: &AdmittedRequest) -> f64 {
        let (name, now) = (&admitted.policy.service, self.now());
        let service = admitted.policy.configuration.service(name);
        let Some(model) = service.and_then(|service| service.model.as_ref()) else { return 0.0 };
        let known = self.order.rooms.borrow().get(name).copied();
        if let Some((room, _)) = known.filter(|(_, until)| !until.is_past(now)) {
            return room;
        }
        let registry = self.registry.borrow();
        let servers = registry.servers().filter(|server| server.service == *name);
        let room = scarcest_layer_tokens(model, servers);
        self.order.rooms.borrow_mut().insert(name.clone(), (room, now.plus_ms(MAX_ROOM_AGE_MS)));
        room
    }

    /// Records the demand that another host reports. Services that the configuration does not know do not count.
    pub(crate) fn record_demand(&self, source: LoadSource, report: PeerDemandReport) {
        let configuration = self.configuration();
        let is_known = |service: &str| {
            configuration.as_ref().is_some_and(|known| known.service(service).is_some())
        };
        let from = report.sender.clone();
        let mut demand = self.order.demand.borrow_mut();
        let ignored = demand.record_report(source, report, is_known, self.now());
        if ignored > 0 {
            warn!(event = "demand_ignored", from = bounded_text(&from), services = ignored);
        }
    }
}
