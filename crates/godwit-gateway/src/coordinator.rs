//! Reconciliation of the layer layout: orders that tell each server of a split model which layers to hold. Only the
//! leader sends orders. Its fencing number is that of the revision of the leader object in the era of the store. A host
//! whose conditional update of the object fails, or whose order a server rejects as fenced, sends no more orders until it
//! has written the object again.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::{
    NewObject, ORDER_PATH, Object, Order, OrderReply, ServerReport, decode_object,
    decode_order_reply, encode_object, encode_order, object_path,
};
use godwit_core::SteadyMs;
use godwit_core::replica::fencing_number;
use godwit_core::site::{
    BackendServer, Configuration, LayerAssignment, ModelSpec, missing_layers, plan_layout,
    plan_moves,
};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::server_call::{CallError, call_server, read_report};
use crate::site::Site;
use crate::store::StoreClient;

/// Kind and name of the store object that the leader writes.
const LEADER_KIND: &str = "godwit-layout";
const LEADER_NAME: &str = "holder";

/// Pause between two reconciliations of the layout.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a new empty server after which the initial layout is planned, in milliseconds.
const INITIAL_SETTLE_MS: u64 = 1_500;

/// Longest delay of the initial layout while further empty servers appear, in milliseconds.
const MAX_SETTLE_MS: u64 = 5_000;

/// Time that an empty server must have been known before it is included in a layout that already has servers with
/// layers, in milliseconds. A replacement appears before the server that it replaces drains.
const REPLACEMENT_SETTLE_MS: u64 = 1_000;

/// Time for which moves must be needed before they are ordered, in milliseconds.
const GAP_SETTLE_MS: u64 = 1_000;

/// Time after a write of the leader object for which the leader sends orders without writing it again, in milliseconds.
const LEADERSHIP_CONFIRM_MS: u64 = 1_000;

/// Time for which work must be outstanding before a host takes over the leadership, in milliseconds.
const TAKEOVER_DELAY_MS: u64 = 5_000;

/// Upper bound (exclusive) of the random delay that each host adds to [`TAKEOVER_DELAY_MS`], in milliseconds.
const MAX_TAKEOVER_JITTER_MS: u64 = 3_000;

/// Time after the expected end of an order for which its server gets no further order, so that its entry in the store
/// can show the result, in milliseconds.
const ORDER_REPORT_GRACE_MS: u64 = 3_500;

/// Time before a server gets another order after one that failed or could not be confirmed, in milliseconds.
const ORDER_RETRY_DELAY_MS: u64 = 1_500;

const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Content of the leader object.
#[derive(Deserialize, Serialize)]
struct LeaderRecord {
    host: String,
}

/// Leadership as known to this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leadership {
    /// Nothing is known.
    Unknown,
    /// Another host wrote the object, which was last read at `read` with this revision.
    Other { revision: u64, read: SteadyMs },
    /// This host wrote the object, last at `confirmed`, with this revision.
    Own { revision: u64, confirmed: SteadyMs },
}

struct Coordinator {
    site: Rc<Site>,
    store: StoreClient,
    leadership: Leadership,
    /// Era of the store to which the revision of the leadership belongs.
    leadership_era: u64,
    /// Whether this host was the leader when the store came back from an older copy, and may be by the copy.
    reclaims: bool,
    /// Servers that get no further order until the given time.
    pending: BTreeMap<String, SteadyMs>,
    /// Number of orders that each server incarnation has accepted; an absent entry counts as 0.
    accepted_orders: BTreeMap<(String, u64), u64>,
    /// Servers without layers, by incarnation, each with the time at which it was first seen.
    empty_since: BTreeMap<(String, u64), SteadyMs>,
    /// Time since which moves have been needed.
    gap_since: Option<SteadyMs>,
    /// Number of layers that each failure domain lacks, by service and domain, as last reported.
    missing_layers: BTreeMap<String, BTreeMap<String, u32>>,
    takeover_jitter_ms: u64,
}

/// Reconciles the layout whenever this host reads the store, for as long as the process runs.
pub(crate) async fn coordinate(site: Rc<Site>) {
    let store = StoreClient::new(site.settings.store_address, site.store_era.clone());
    let mut coordinator = Coordinator {
        site,
        store,
        leadership: Leadership::Unknown,
        leadership_era: 0,
        reclaims: false,
        pending: BTreeMap::new(),
        accepted_orders: BTreeMap::new(),
        empty_since: BTreeMap::new(),
        gap_since: None,
        missing_layers: BTreeMap::new(),
        takeover_jitter_ms: rand::random::<u64>() % MAX_TAKEOVER_JITTER_MS,
    };
    loop {
        sleep(RECONCILE_INTERVAL).await;
        // The number of hosts that compete for the leadership must not grow with the number of hosts.
        if *coordinator.site.reads_store.borrow() {
            coordinator.reconcile().await;
        }
    }
}

fn service_servers(site: &Site, service: &str) -> Vec<BackendServer> {
    let registry = site.registry.borrow();
    registry.servers().filter(|server| server.service == service).cloned().collect()
}

impl Coordinator {
    async fn reconcile(&mut self) {
        let Some(configuration) = self.site.configuration() else { return };
        let now = self.site.now();
        self.pending.retain(|_, until| !until.is_past(now));
        self.forget_unlisted(&configuration);
        for (service, traits) in configuration.services() {
            if let Some(model) = &traits.model {
                self.reconcile_service(service, model).await;
            }
        }
    }

    /// Drops what is known of servers and services that are gone.
    fn forget_unlisted(&mut self, configuration: &Configuration) {
        let registry = self.site.registry.borrow();
        self.accepted_orders.retain(|(server_id, born_unix_ms), _| {
            registry.born_unix_ms(server_id) == Some(*born_unix_ms)
        });
        self.missing_layers.retain(|service, _| configuration.service(service).is_some());
    }

    async fn reconcile_service(&mut self, service: &str, model: &ModelSpec) {
        let servers = service_servers(&self.site, service);
        let now = self.site.now();
        let refs: Vec<&BackendServer> = servers.iter().collect();
        self.report_missing_layers(service, missing_layers(model.layers, &refs));
        let settled = self.settled_servers(&servers, now);
        let mut plan = if settled.is_empty() { Vec::new() } else { plan_layout(model, &refs) };
        plan.retain(|assignment| settled.contains(&assignment.server_id));
        plan.extend(self.due_moves(model, &refs, now));
        plan.retain(|assignment| {
            let server_id = &assignment.server_id;
            !self.pending.contains_key(server_id) && !self.site.holds_off(server_id)
        });
        if plan.is_empty() {
            return;
        }
        if let Some(fencing_number) = self.acquire_leadership(now).await {
            self.send_orders(model, &servers, plan, fencing_number).await;
        }
    }

    /// Returns the empty servers that may get an order. While no server has layers, all of them at once after a time
    /// without new ones; afterwards each one separately.
    fn settled_servers(&mut self, servers: &[BackendServer], now: SteadyMs) -> BTreeSet<String> {
        let empty: BTreeSet<(String, u64)> = servers
            .iter()
            .filter(|server| server.layers.is_none())
            .map(|server| (server.id.clone(), server.born_unix_ms))
            .collect();
        self.empty_since.retain(|key, _| empty.contains(key));
        for key in empty {
            self.empty_since.entry(key).or_insert(now);
        }
        let has_aged = |since: &SteadyMs, ms: u64| since.plus_ms(ms).is_past(now);
        let is_serving = servers.iter().any(|server| server.layers.is_some());
        let all = self.empty_since.iter();
        if is_serving {
            let settled = all.filter(|(_, since)| has_aged(since, REPLACEMENT_SETTLE_MS));
            return settled.map(|((id, _), _)| id.clone()).collect();
        }
        let newest = self.empty_since.values().max();
        let oldest = self.empty_since.values().min();
        let has_settled = newest.is_some_and(|newest| has_aged(newest, INITIAL_SETTLE_MS))
            || oldest.is_some_and(|oldest| has_aged(oldest, MAX_SETTLE_MS));
        if has_settled { all.map(|((id, _), _)| id.clone()).collect() } else { BTreeSet::new() }
    }

    /// Logs the number of layers that each failure domain lacks and updates its gauge, where it has changed.
    fn report_missing_layers(&mut self, service: &str, missing: BTreeMap<String, u32>) {
        let reported = self.missing_layers.entry(service.to_string()).or_default();
        for (domain, layers) in &missing {
            if reported.get(domain) == Some(layers) {
                continue;
            }
            info!(event = "layers_missing", service, domain, layers);
            let labels = [("service", service.to_string()), ("domain", domain.clone())];
            metrics::gauge!("layers_missing", &labels).set(f64::from(*layers));
        }
        *reported = missing;
    }

    /// Returns the moves to order once moves have been needed for [`GAP_SETTLE_MS`].
    fn due_moves(
        &mut self,
        model: &ModelSpec,
        servers: &[&BackendServer],
        now: SteadyMs,
    ) -> Vec<LayerAssignment> {
        let is_starting = servers.iter().all(|server| server.layers.is_none());
        let moves = if is_starting || !self.pending.is_empty() {
            Vec::new()
        } else {
            plan_moves(model, servers)
        };
        if moves.is_empty() {
            self.gap_since = None;
            return moves;
        }
        let since = *self.gap_since.get_or_insert(now);
        if since.plus_ms(GAP_SETTLE_MS).is_past(now) { moves } else { Vec::new() }
    }

    /// Returns the age of the oldest outstanding work in milliseconds.
    fn oldest_work_age_ms(&self, now: SteadyMs) -> u64 {
        let oldest = self.empty_since.values().chain(&self.gap_since).min();
        oldest.map_or(0, |oldest| now.since_ms(*oldest))
    }

    /// Returns the fencing number if this host is the leader. Renews the leadership or takes it over where needed.
    async fn acquire_leadership(&mut self, now: SteadyMs) -> Option<u64> {
        let era = self.site.store_era.get();
        if self.leadership_era < era {
            // The revision belongs to another object in the copy, if to any.
            self.reclaims |= matches!(self.leadership, Leadership::Own { .. });
            self.leadership = Leadership::Unknown;
            self.leadership_era = era;
        }
        let expected_revision = match self.leadership {
            Leadership::Own { revision, confirmed }
                if !confirmed.plus_ms(LEADERSHIP_CONFIRM_MS).is_past(now) =>
            {
                return Some(fencing_number(era, revision));
            }
            Leadership::Own { revision, .. } => Some(revision),
            Leadership::Unknown => None,
            Leadership::Other { revision, .. } if self.reclaims => Some(revision),
            Leadership::Other { revision, read } => {
                let waited_ms = self.oldest_work_age_ms(now).min(now.since_ms(read));
                if waited_ms < TAKEOVER_DELAY_MS + self.takeover_jitter_ms {
                    return None;
                }
                Some(revision)
            }
        };
        let record = LeaderRecord { host: self.site.settings.host.clone() };
        let object = NewObject { name: LEADER_NAME, expected_revision, specification: &record };
        let body = match encode_object(&object) {
            Ok(body) => body,
            Err(error) => {
                warn!(event = "holder_not_encoded", %error);
                return None;
            }
        };
        let method = if expected_revision.is_some() { "PUT" } else { "POST" };
        let path = object_path(LEADER_KIND, LEADER_NAME);
        let reply = self.store.call(method, &path, body, STORE_TIMEOUT).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                warn!(event = "holder_not_written", %error);
                return None;
            }
        };
        if reply.is_outdated {
            return None;
        }
        self.leadership_era = reply.era;
        let was_reclaiming = std::mem::take(&mut self.reclaims);
        let object = decode_object(&reply.body);
        self.leadership = match (reply.status, object) {
            (200 | 201, Ok(Object { revision, .. })) => {
                Leadership::Own { revision, confirmed: now }
            }
            (409, Ok(Object { revision, specification, .. })) => {
                let holder =
                    specification.and_then(|holder| LeaderRecord::deserialize(holder).ok());
                self.reclaims =
                    was_reclaiming && holder.is_some_and(|holder| holder.host == record.host);
                Leadership::Other { revision, read: now }
            }
            (status, _) => {
                warn!(event = "holder_not_written", status);
                Leadership::Unknown
            }
        };
        info!(event = "holder", right = ?self.leadership, era = reply.era);
        match self.leadership {
            Leadership::Own { revision, .. } => Some(fencing_number(reply.era, revision)),
            Leadership::Other { .. } | Leadership::Unknown => None,
        }
    }

    async fn send_orders(
        &mut self,
        model: &ModelSpec,
        servers: &[BackendServer],
        plan: Vec<LayerAssignment>,
        fencing_number: u64,
    ) {
        let mut orders = JoinSet::new();
        let concurrent = plan.len() as u64;
        let now = self.site.now();
        for assignment in plan {
            let server = servers.iter().find(|server| server.id == assignment.server_id);
            let Some(server) = server.cloned() else { continue };
            self.site.take_permits(&[&server.id]);
            let share = f64::from(assignment.range.len()) / f64::from(model.layers.max(1));
            let load_batches = concurrent.div_ceil(u64::from(model.loads_at_once.max(1)));
            let load_ms = (model.load_ms as f64 * share) as u64 * load_batches;
            let until = now.plus_ms(load_ms + ORDER_REPORT_GRACE_MS);
            self.pending.insert(assignment.server_id.clone(), until);
            let incarnation = (server.id.clone(), server.born_unix_ms);
            let accepted = self.accepted_orders.get(&incarnation).copied().unwrap_or(0);
            let order =
                Order { range: assignment.range, fencing_number, expected_orders: Some(accepted) };
            let site = self.site.clone();
            orders.spawn_local(async move {
                let result = send_order(&site, &server, &order).await;
                let is_conflict = matches!(result, Ok(status) if is_conflict(status));
                let report = if is_conflict {
                    read_report(&site, &server, ORDER_TIMEOUT).await.ok()
                } else {
                    None
                };
                (server, order, result, report)
            });
        }
        while let Some(joined) = orders.join_next().await {
            match joined {
                Ok((server, order, result, report)) => {
                    self.record_order_result(&server, &order, &result, report);
                }
                Err(error) => warn!(event = "order_task_failed", %error),
            }
        }
    }

    fn record_order_result(
        &mut self,
        server: &BackendServer,
        order: &Order,
        result: &Result<u16, CallError>,
        report: Option<ServerReport>,
    ) {
        let reply = result.as_ref().map(|status| decode_order_reply(*status));
        let range = order.range;
        info!(
            event = "order",
            server = server.id,
            layers = format!("{}-{}", range.from, range.to),
            fence = order.fencing_number,
            expected_orders = order.expected_orders,
            outcome = ?reply,
            ?report,
        );
        let incarnation = (server.id.clone(), server.born_unix_ms);
        let retry_at = self.site.now().plus_ms(ORDER_RETRY_DELAY_MS);
        match reply {
            Ok(OrderReply::Begun) => {
                *self.accepted_orders.entry(incarnation).or_default() += 1;
            }
            Ok(OrderReply::Done) => {}
            Ok(OrderReply::Fenced) => {
                self.leadership = Leadership::Unknown;
                self.pending.remove(&server.id);
            }
            Ok(OrderReply::Conflict) => {
                let Some(report) = report else {
                    self.pending.insert(server.id.clone(), retry_at);
                    return;
                };
                self.accepted_orders.insert(incarnation, report.orders_accepted);
                if !report.is_busy && report.layers.is_none() {
                    self.pending.insert(server.id.clone(), retry_at);
                }
            }
            Ok(OrderReply::OtherServer | OrderReply::Refused) | Err(_) => {
                self.pending.insert(server.id.clone(), retry_at);
            }
        }
    }
}

fn is_conflict(status: u16) -> bool {
    decode_order_reply(status) == OrderReply::Conflict
}

async fn send_order(site: &Site, server: &BackendServer, order: &Order) -> Result<u16, CallError> {
    let body = Bytes::from(encode_order(order));
    let response = call_server(site, server, "POST", ORDER_PATH, body, ORDER_TIMEOUT).await;
    response.map(|(status, _)| status)
}
