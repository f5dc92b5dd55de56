//! Limits that servers name: the requests a second that a server takes from all hosts together.
//!
//! Each limited server has a keeper among the hosts, the first one that answers in an order that every host computes
//! alike. A host sends to the server only with a permit, which it asks of the keeper when it has a request that the
//! server could take. Permits follow the demand of each host without shares that have to be moved. A host that reaches
//! no other one is its own keeper, with the part of the limit that is safe without word.

use std::collections::{BTreeMap, VecDeque};

use crate::SteadyMs;
use crate::rendezvous::ranked;
use crate::site::permit_bucket::{HostView, PermitBucket};
use crate::site::permit_messages::{
    AnswerLimit, AskAction, LimitChange, LimitReport, PermitAsk, PermitGrant,
};

/// Smallest limit, in requests per second. A server that names less is still asked from time to time, as only its
/// answers show that the limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.1;

/// Time for which a permit may be used, in milliseconds. Permits that nobody uses are lost to the server.
const PERMIT_LIFETIME_MS: u64 = 1_000;

/// Maximum number of permits in one grant.
const MAX_PERMITS_PER_ASK: u32 = 8;

/// Time without an answer after which a keeper is asked again, in milliseconds, and number of asks after which it counts
/// as silent. Messages between hosts get lost, and two keepers at a time hand out too much.
const ASK_TIMEOUT_MS: u64 = 50;
const MAX_ASKS: u32 = 4;

/// Time after a disturbance from which a host keeps limits again, in milliseconds. Others may still pass it over that
/// long, and ask another keeper.
const SETTLE_MS: u64 = 3_000;

/// Time for which a host that has declined is passed over, in milliseconds.
const DECLINED_MS: u64 = 500;

/// Time for which a host that did not answer is passed over, in milliseconds, and the longest such time. It doubles until
/// the host answers.
const SILENT_MS: u64 = 700;
const MAX_SILENT_MS: u64 = 2_800;

/// Time for which the end of a limit is reported to other hosts, in milliseconds; longer than the platform's contact
/// window.
const END_REPORT_MS: u64 = 5_000;

/// Maximum number of servers whose limits are known, and reported in one message.
pub const MAX_LIMITS: usize = 1_024;
const MAX_REPORTED_LIMITS: usize = 64;

/// Largest number of requests sent without a permit for which later permits pay.
const MAX_DEBT: u32 = 16;

/// Latest statement of a server on its limit.
#[derive(Clone, Debug, PartialEq)]
struct Statement {
    /// Requests per second; none after the end of a limit.
    limit_per_s: Option<f64>,
    stated_at: SteadyMs,
    /// Host that reported it; none for this host.
    heard_from: Option<String>,
}

/// Whether a request may be sent to a server, as far as its limit goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// The server has no limit.
    Unlimited,
    /// The host has a permit.
    Permitted,
    /// The host has none. `until` is the time from which one is likely, if the keeper has told.
    Withheld {
        /// Time from which a permit is likely.
        until: Option<SteadyMs>,
    },
}

/// An ask that has not been answered.
#[derive(Clone, Debug)]
struct PendingAsk {
    number: u64,
    keeper: String,
    expires_at: SteadyMs,
    /// Number of asks without an answer so far, including this one.
    asks: u32,
}

/// A host that did not answer, or declined.
#[derive(Clone, Copy, Debug)]
struct PassedOver {
    /// Time until which it is passed over.
    until: SteadyMs,
    /// Length of that time, in milliseconds.
    for_ms: u64,
}

/// Permits of this host for one server.
#[derive(Clone, Debug, Default)]
struct Stock {
    /// Times at which the permits expire.
    permits: VecDeque<SteadyMs>,
    /// Number of requests since the last ask that could have used a permit.
    wanted: u32,
    pending: Option<PendingAsk>,
    /// Time from which a permit is likely.
    withheld_until: Option<SteadyMs>,
    /// Requests sent without a permit.
    debt: u32,
}

impl Stock {
    fn expire(&mut self, now: SteadyMs) {
        while self.permits.front().is_some_and(|expires_at| expires_at.is_past(now)) {
            self.permits.pop_front();
        }
    }
}

/// Limits of the servers, and this host's permits.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::site::{AnswerLimit, HostView, Permission, ServerLimits};
/// let mut limits = ServerLimits::new("front-1", SteadyMs(0));
/// let (sent_at, now) = (SteadyMs(1_000), SteadyMs(1_020));
/// limits.set_hosts(&["front-1"], HostView { heard: 1, known: Some(1) }, now);
/// assert_eq!(limits.permission("s-1/0", now), Permission::Unlimited);
/// limits.record_answer("s-1/0", &AnswerLimit::Named(5.0), sent_at, now);
/// assert_eq!(limits.permission("s-1/0", now), Permission::Withheld { until: None });
/// limits.want("s-1/0");
/// assert!(limits.next_asks(now).is_empty(), "the only host is the keeper");
/// limits.want("s-1/0");
/// limits.next_asks(SteadyMs(1_400));
/// assert_eq!(limits.permission("s-1/0", SteadyMs(1_400)), Permission::Permitted);
/// ```
#[derive(Debug)]
pub struct ServerLimits {
    own_name: String,
    /// Time from which this host keeps limits for others.
    settled_at: SteadyMs,
    is_settled: bool,
    host_names: Vec<String>,
    view: HostView,
    statements: BTreeMap<String, Statement>,
    stocks: BTreeMap<String, Stock>,
    /// Permits that this host hands out as keeper, by server.
    buckets: BTreeMap<String, PermitBucket>,
    /// Asks that were passed on to a host since its last answer, and the time of the first.
    unanswered_forwards: BTreeMap<String, (u32, SteadyMs)>,
    /// Hosts that did not answer or declined.
    passed_over: BTreeMap<String, PassedOver>,
    last_number: u64,
}

impl ServerLimits {
    /// Creates a table without limits for a host that has just started.
    pub fn new(own_name: &str, started_at: SteadyMs) -> ServerLimits {
        ServerLimits {
            own_name: own_name.to_string(),
            settled_at: started_at.plus_ms(SETTLE_MS),
            is_settled: false,
            host_names: Vec::new(),
            view: HostView::default(),
            statements: BTreeMap::new(),
            stocks: BTreeMap::new(),
            buckets: BTreeMap::new(),
            unanswered_forwards: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Replaces what is known of the hosts. `names` are all of them, including this one; empty while they are unknown.
    pub fn set_hosts(&mut self, names: &[&str], view: HostView, now: SteadyMs) {
        if view.known.is_some_and(|known| known > 1 && 2 * view.heard <= known) {
            self.record_disturbance(now);
        }
        self.update_settled(now);
        if !self.host_names.iter().map(String::as_str).eq(names.iter().copied()) {
            self.host_names = names.iter().map(ToString::to_string).collect();
        }
        self.view = view;
    }

    /// Records that this host was cut off or did not run for a time, so that others may have passed it over.
    pub fn record_disturbance(&mut self, now: SteadyMs) {
        self.settled_at = now.plus_ms(SETTLE_MS);
        self.update_settled(now);
    }

    /// Empties the buckets when this host begins or ceases to keep limits, so that saved permits do not add to those of
    /// another keeper.
    fn update_settled(&mut self, now: SteadyMs) {
        let is_settled = self.settled_at.is_past(now);
        if is_settled != self.is_settled {
            self.is_settled = is_settled;
            self.buckets.clear();
        }
    }

    /// Records what a response says. `sent_at` is the time at which its request was sent.
    pub fn record_answer(
        &mut self,
        server: &str,
        limit: &AnswerLimit,
        sent_at: SteadyMs,
        now: SteadyMs,
    ) -> Option<LimitChange> {
        // A response without a limit that crossed one with it on the way does not end the limit.
        let (limit_per_s, stated_at) = match limit {
            AnswerLimit::Named(per_s) => (Some(per_s.max(MIN_LIMIT_PER_S)), now),
            AnswerLimit::Absent => (None, sent_at),
            AnswerLimit::Unreadable(_) => return None,
        };
        self.record_statement(server, Statement { limit_per_s, stated_at, heard_from: None })
    }

    fn record_statement(&mut self, server: &str, statement: Statement) -> Option<LimitChange> {
        let known = self.statements.get(server);
        let before_per_s = known.and_then(|known| known.limit_per_s);
        let is_older = known.is_some_and(|known| statement.stated_at <= known.stated_at);
        if is_older || (before_per_s.is_none() && statement.limit_per_s.is_none()) {
            return None;
        }
        let now_per_s = statement.limit_per_s;
        let heard_from = statement.heard_from.clone();
        self.statements.insert(server.to_string(), statement);
        if now_per_s.is_none() {
            self.stocks.remove(server);
            self.buckets.remove(server);
        }
        self.evict_excess();
        let server = server.to_string();
        (before_per_s != now_per_s).then_some(LimitChange {
            server,
            before_per_s,
            now_per_s,
            heard_from,
        })
    }

    fn evict_excess(&mut self) {
        if self.statements.len() <= MAX_LIMITS {
            return;
        }
        let oldest = self.statements.iter().min_by_key(|(_, statement)| statement.stated_at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.forget(&server);
        }
    }

    fn forget(&mut self, server: &str) {
        self.statements.remove(server);
        self.stocks.remove(server);
        self.buckets.remove(server);
    }

    /// Drops the limits of all servers but those for which `is_listed` returns true, and the ends of limits that all
    /// hosts know.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool, now: SteadyMs) {
        self.statements.retain(|server, statement| {
            let is_limited = statement.limit_per_s.is_some();
            let is_recent = !statement.stated_at.plus_ms(END_REPORT_MS).is_past(now);
            is_recent || (is_limited && is_listed(server))
        });
        self.stocks.retain(|server, _| self.statements.contains_key(server));
        self.buckets.retain(|server, _| self.statements.contains_key(server));
    }

    /// Limit of a server in requests per second, if it has one.
    pub fn limit_per_s(&self, server: &str) -> Option<f64> {
        self.statements.get(server)?.limit_per_s
    }

    /// Number of servers with a limit.
    pub fn len(&self) -> usize {
        self.statements.values().filter(|statement| statement.limit_per_s.is_some()).count()
    }

    /// Whether no server has a limit.
    pub fn is_empty(&self) -> bool {
        self.statements.values().all(|statement| statement.limit_per_s.is_none())
    }

    /// Whether a request may be sent to a server now.
    pub fn permission(&self, server: &str, now: SteadyMs) -> Permission {
        if self.limit_per_s(server).is_none() {
            return Permission::Unlimited;
        }
        let Some(stock) = self.stocks.get(server) else {
            return Permission::Withheld { until: None };
        };
        if stock.permits.iter().any(|expires_at| !expires_at.is_past(now)) {
            return Permission::Permitted;
        }
        Permission::Withheld { until: stock.withheld_until.filter(|until| !until.is_past(now)) }
    }

    /// Records that a request could use a permit for a server with a limit.
    pub fn want(&mut self, server: &str) {
        if self.limit_per_s(server).is_some() {
            let stock = self.stocks.entry(server.to_string()).or_default();
            stock.wanted = (stock.wanted + 1).min(MAX_PERMITS_PER_ASK);
        }
    }

    /// Uses a permit for a request that is sent to a server. Without one, a later permit pays for it.
    pub fn take(&mut self, server: &str, now: SteadyMs) {
        if self.limit_per_s(server).is_none() {
            return;
        }
        let stock = self.stocks.entry(server.to_string()).or_default();
        stock.expire(now);
        if stock.permits.pop_front().is_none() {
            stock.debt = (stock.debt + 1).min(MAX_DEBT);
            self.want(server);
        }
    }

    /// Returns the host to ask for permits for a server: the first in the server's order that is not passed over, or
    /// this host if there is none.
    fn keeper(&self, server: &str, now: SteadyMs) -> Option<String> {
        let names = self.host_names.iter().map(String::as_str);
        let order = ranked(server, names, self.host_names.len());
        let is_settled = self.settled_at.is_past(now);
        let passed_over =
            |name: &str| self.passed_over.get(name).filter(|it| !it.until.is_past(now));
        let keeper = order.iter().find(|name| match **name == self.own_name {
            true => is_settled,
            false => passed_over(name).is_none(),
        });
        let own_name = order.iter().find(|name| **name == self.own_name);
        keeper.or(own_name).map(ToString::to_string)
    }

    /// Returns the asks to send, each with the host that it is for. Permits that this host keeps itself are taken at
    /// once.
    pub fn next_asks(&mut self, now: SteadyMs) -> Vec<(String, PermitAsk)> {
        let mut asks = Vec::new();
        let servers: Vec<String> = self.stocks.keys().cloned().collect();
        for server in servers {
            let Some(stock) = self.stocks.get_mut(&server) else { continue };
            if stock.pending.as_ref().is_some_and(|pending| !pending.expires_at.is_past(now)) {
                continue;
            }
            let unanswered = stock.pending.take();
            if unanswered.is_some() {
                stock.wanted = stock.wanted.max(1);
            }
            let mut asks_before = unanswered.as_ref().map_or(0, |pending| pending.asks);
            if let Some(pending) = unanswered.filter(|pending| pending.asks >= MAX_ASKS) {
                self.pass_over(&pending.keeper, now);
                asks_before = 0;
            }
            let Some(stock) = self.stocks.get_mut(&server) else { continue };
            let is_withheld = stock.withheld_until.is_some_and(|until| !until.is_past(now));
            if stock.wanted == 0 || is_withheld {
                continue;
            }
            let wanted = (stock.wanted + stock.debt).min(MAX_PERMITS_PER_ASK);
            let Some(keeper) = self.keeper(&server, now) else { continue };
            let Some(statement) = self.report(&server, now) else { continue };
            self.last_number += 1;
            let number = self.last_number;
            let asker = self.own_name.clone();
            let ask = PermitAsk { asker, number, statement, wanted, is_forwarded: false };
            if keeper == self.own_name {
                let grant = self.grant(&ask, now);
                self.add_permits(&grant, now);
                continue;
            }
            if let Some(stock) = self.stocks.get_mut(&server) {
                let expires_at = now.plus_ms(ASK_TIMEOUT_MS);
                let (keeper, asks) = (keeper.clone(), asks_before + 1);
                stock.pending = Some(PendingAsk { number, keeper, expires_at, asks });
                stock.wanted = 0;
            }
            asks.push((keeper, ask));
        }
        asks
    }

    /// Handles the ask of another host. A host that is not the keeper passes the ask on, so that hosts which miss the
    /// keeper's answers do not choose another keeper beside it.
    pub fn handle_ask(&mut self, ask: &PermitAsk, now: SteadyMs) -> AskAction {
        if !self.settled_at.is_past(now) {
            return AskAction::Answer(PermitGrant { is_declined: true, ..self.answer(ask, 0, 0) });
        }
        let server = &ask.statement.server;
        let keeper = self.keeper(server, now).filter(|keeper| *keeper != self.own_name);
        let Some(keeper) = keeper.filter(|_| !ask.is_forwarded) else {
            return AskAction::Answer(self.grant(ask, now));
        };
        self.buckets.remove(server);
        let unanswered = self.unanswered_forwards.entry(keeper.clone());
        let (count, since) = unanswered.or_insert((0, now));
        *count += 1;
        if *count >= MAX_ASKS
            && since.plus_ms(u64::from(MAX_ASKS - 2) * ASK_TIMEOUT_MS).is_past(now)
        {
            self.pass_over(&keeper, now);
            return self.handle_ask(ask, now);
        }
        AskAction::Forward { keeper, ask: PermitAsk { is_forwarded: true, ..ask.clone() } }
    }

    /// Records that a host does not answer.
    fn pass_over(&mut self, host: &str, now: SteadyMs) {
        let known = self.passed_over.get(host);
        let for_ms = known.map_or(SILENT_MS, |known| 2 * known.for_ms).min(MAX_SILENT_MS);
        let passed_over = PassedOver { until: now.plus_ms(for_ms), for_ms };
        self.passed_over.insert(host.to_string(), passed_over);
        self.unanswered_forwards.remove(host);
    }

    /// Answers an ask as the keeper of a limit.
    fn grant(&mut self, ask: &PermitAsk, now: SteadyMs) -> PermitGrant {
        let server = &ask.statement.server;
        self.merge(std::slice::from_ref(&ask.statement), &ask.asker, now);
        let (granted, next_in_ms) = match self.limit_per_s(server) {
            None => (ask.wanted.min(MAX_PERMITS_PER_ASK), 0),
            Some(limit_per_s) => {
                let safe_share =
                    if self.is_settled { self.view.safe_share() } else { self.view.own_share() };
                let bucket = self.buckets.entry(server.clone());
                let bucket = bucket.or_insert_with(|| PermitBucket::new(now));
                bucket.take(ask.wanted.min(MAX_PERMITS_PER_ASK), safe_share * limit_per_s, now)
            }
        };
        self.answer(ask, granted, next_in_ms)
    }

    fn answer(&self, ask: &PermitAsk, granted: u32, next_in_ms: u64) -> PermitGrant {
        PermitGrant {
            keeper: self.own_name.clone(),
            asker: ask.asker.clone(),
            number: ask.number,
            server: ask.statement.server.clone(),
            granted,
            next_in_ms,
            is_declined: false,
        }
    }

    /// Records the answer of a keeper. Returns whether it is for this host; otherwise it has to be passed on.
    pub fn record_grant(&mut self, grant: &PermitGrant, now: SteadyMs) -> bool {
        self.unanswered_forwards.remove(&grant.keeper);
        if grant.is_declined {
            let (until, for_ms) = (now.plus_ms(DECLINED_MS), DECLINED_MS);
            self.passed_over.insert(grant.keeper.clone(), PassedOver { until, for_ms });
        } else {
            self.passed_over.remove(&grant.keeper);
        }
        if grant.asker != self.own_name {
            return false;
        }
        self.add_permits(grant, now);
        true
    }

    fn add_permits(&mut self, grant: &PermitGrant, now: SteadyMs) {
        let Some(stock) = self.stocks.get_mut(&grant.server) else { return };
        if stock.pending.as_ref().is_some_and(|pending| pending.number == grant.number) {
            stock.pending = None;
        }
        if grant.is_declined {
            stock.wanted = stock.wanted.max(1);
            return;
        }
        let paid = stock.debt.min(grant.granted);
        stock.debt -= paid;
        let expires_at = now.plus_ms(PERMIT_LIFETIME_MS);
        stock.permits.extend((paid..grant.granted).map(|_| expires_at));
        stock.wanted = 0;
        stock.withheld_until = (grant.next_in_ms > 0).then(|| now.plus_ms(grant.next_in_ms));
    }

    /// Whether requests have wanted a permit since the last ask, or an ask is not answered.
    pub fn has_demand(&self) -> bool {
        self.stocks.values().any(|stock| stock.wanted > 0 || stock.pending.is_some())
    }

    fn report(&self, server: &str, now: SteadyMs) -> Option<LimitReport> {
        let statement = self.statements.get(server)?;
        let (server, limit_per_s) = (server.to_string(), statement.limit_per_s);
        Some(LimitReport { server, limit_per_s, stated_ago_ms: now.since_ms(statement.stated_at) })
    }

    /// Returns what to report to other hosts: all limits, and the ends of limits for a time.
    pub fn reports(&self, now: SteadyMs) -> Vec<LimitReport> {
        let mut reported: Vec<(&String, &Statement)> = self.statements.iter().collect();
        reported.retain(|(_, statement)| {
            let is_recent = !statement.stated_at.plus_ms(END_REPORT_MS).is_past(now);
            statement.limit_per_s.is_some() || is_recent
        });
        reported.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.stated_at));
        let reported = reported.into_iter().take(MAX_REPORTED_LIMITS);
        reported.filter_map(|(server, _)| self.report(server, now)).collect()
    }

    /// Merges the reports of another host. Returns the limits that have changed.
    pub fn merge(
        &mut self,
        reports: &[LimitReport],
        sender: &str,
        now: SteadyMs,
    ) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for report in reports.iter().take(MAX_REPORTED_LIMITS) {
            let limit_per_s = report.limit_per_s.filter(|per_s| *per_s >= MIN_LIMIT_PER_S);
            if limit_per_s.is_some() != report.limit_per_s.is_some() {
                continue;
            }
            let statement = Statement {
                limit_per_s,
                stated_at: SteadyMs(now.0.saturating_sub(report.stated_ago_ms)),
                heard_from: Some(sender.to_string()),
            };
            changes.extend(self.record_statement(&report.server, statement));
        }
        changes
    }

    /// Whether nothing is known of any limit, also none that has ended.
    pub fn is_known_empty(&self) -> bool {
        self.statements.is_empty()
    }
}
