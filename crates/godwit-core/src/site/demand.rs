//! Demand of all hosts by service and urgency, from which each host computes the same order.
//!
//! A host measures its own demand and learns that of others through the collectors of the failure domains, as it learns
//! the load of servers. Demand is a hint that expires: a host that hears nothing takes an equal share of the room and
//! keeps none of it for others.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::rendezvous::uniform_number;
use crate::site::demand_amounts::{
    Amount, Amounts, AmountsByService, LEAST_URGENCY, URGENCIES, add_all, combine_all, index,
    report_of,
};
use crate::site::demand_report::{DemandReport, MAX_REPORTED_SERVICES};
use crate::site::load::LoadSource;
use crate::site::room::RoomTerms;
use crate::site::served_share::Served;
use crate::site::smoothed_rate::SmoothedRate;

/// Time over which demand is smoothed, in milliseconds.
const SMOOTHING_MS: f64 = 1_000.0;

/// Time whose arrivals of more urgent requests room is kept for, in seconds.
const RESERVE_S: f64 = 1.0;

/// Largest share of the room that is kept for more urgent requests.
const MAX_RESERVED_SHARE: f64 = 0.4;

/// Part of the room of a failure domain that its hosts share alike; they share the rest by demand.
const EQUAL_PART: f64 = 0.5;

/// Part of what is asked that may wait or be refused on a calm day.
const CALM_UNSERVED_SHARE: f64 = 0.05;

/// Time between two reports of demand on a calm day, in milliseconds.
const CALM_INTERVAL_MS: u64 = 1_500;

/// Demand a second below which a service counts as not asked.
const MIN_PER_S: f64 = 0.5;

/// A report of demand from a peer.
#[derive(Clone, Debug, Default)]
pub struct PeerDemandReport {
    /// What the peer reports.
    pub demand: DemandReport,
    /// Host that sent the report.
    pub sender: String,
    /// Start of the sender's incarnation, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// Sequence number of the report within the sender's incarnation. A report that is not newer than the last one is
    /// dropped.
    pub sequence: u64,
}

/// A report as far as it counts for this host.
#[derive(Debug)]
struct Received {
    by_service: AmountsByService,
    domain_hosts: usize,
    sender: String,
    version: (u64, u64),
    at: SteadyMs,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnRates {
    asked: SmoothedRate,
    admitted: SmoothedRate,
}

impl OwnRates {
    fn served(&self, now: SteadyMs) -> Served {
        Served {
            asked_per_s: self.asked.per_s(SMOOTHING_MS, now),
            admitted_per_s: self.admitted.per_s(SMOOTHING_MS, now),
        }
    }

    fn amount(&self, now: SteadyMs) -> Amount {
        let served = self.served(now);
        Amount {
            asked: served.asked_per_s.round() as u64,
            admitted: served.admitted_per_s.round() as u64,
        }
    }
}

/// What the terms of a request depend on besides the demand.
#[derive(Clone, Copy, Debug)]
pub struct TermsRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Urgency of the request.
    pub urgency: u8,
    /// Number of hosts in the failure domain of this host, including itself.
    pub domain_hosts: usize,
    /// Room of the service on all servers, in the unit in which demand for it is counted.
    pub room: f64,
    /// Whether this host knows the load that others put on the servers, or is alone.
    pub knows_load: bool,
    /// Whether this host may go beyond its share of the room now.
    pub has_turn: bool,
    /// Whether more urgent requests for the service come first.
    pub is_ordered: bool,
    /// Probability with which the request is let in regardless of more urgent ones, for the sake of its workspace.
    pub let_in_probability: f64,
    /// Seed of the random choices for the request.
    pub seed: u64,
}

/// Demand of all hosts, as known to this host.
#[derive(Debug)]
pub struct DemandTable {
    own: BTreeMap<String, [OwnRates; URGENCIES]>,
    reports: BTreeMap<LoadSource, Received>,
    /// Sum of the reports from sources other than the collector of this host's domain.
    heard: AmountsByService,
    /// Age at which a report expires, in milliseconds.
    max_report_age_ms: u64,
    next_report_at: SteadyMs,
}

impl DemandTable {
    /// Creates an empty table. Reports expire at an age of `max_report_age_ms`.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::DemandTable;
    /// let mut table = DemandTable::new(2_000);
    /// table.record_asked("chat", 2, 900.0, SteadyMs(0));
    /// assert_eq!(table.own_report(SteadyMs(0)).services[0].own_domain[0].asked_per_s, 900);
    /// ```
    pub fn new(max_report_age_ms: u64) -> DemandTable {
        DemandTable {
            own: BTreeMap::new(),
            reports: BTreeMap::new(),
            heard: BTreeMap::new(),
            max_report_age_ms,
            next_report_at: SteadyMs::default(),
        }
    }

    /// Records a request that arrives at this host. `units` are tokens in the KV cache, or 1 for a plain service.
    pub fn record_asked(&mut self, service: &str, urgency: u8, units: f64, now: SteadyMs) {
        self.own_rates(service, urgency).asked.add(units, SMOOTHING_MS, now);
    }

    /// Records that a request of this host is sent to a server for the first time.
    pub fn record_admitted(&mut self, service: &str, urgency: u8, units: f64, now: SteadyMs) {
        self.own_rates(service, urgency).admitted.add(units, SMOOTHING_MS, now);
    }

    fn own_rates(&mut self, service: &str, urgency: u8) -> &mut OwnRates {
        if !self.own.contains_key(service) {
            self.own.insert(service.to_string(), Default::default());
        }
        let rates = self.own.entry(service.to_string()).or_default();
        &mut rates[index(urgency)]
    }

    /// Records a report, unless the last report from its source has the same sender and is at least as new. Returns the
    /// number of services in it that do not count, because `is_known` does not hold or there are too many.
    pub fn record_report(
        &mut self,
        source: LoadSource,
        report: PeerDemandReport,
        is_known: impl Fn(&str) -> bool,
        now: SteadyMs,
    ) -> usize {
        let version = (report.born_unix_ms, report.sequence);
        let is_stale = |known: &Received| known.sender == report.sender && known.version >= version;
        if self.reports.get(&source).is_some_and(is_stale) {
            return 0;
        }
        let listed = report.demand.services.len();
        let mut by_service = AmountsByService::new();
        let services = report.demand.services.into_iter().take(MAX_REPORTED_SERVICES);
        let mut counted = 0;
        for service in services.filter(|service| is_known(&service.service)) {
            counted += 1;
            let amounts = by_service.entry(service.service).or_default();
            let own_domain = match source {
                LoadSource::Host(_) | LoadSource::Collector => &mut amounts.home,
                LoadSource::Domain(_) => &mut amounts.elsewhere,
            };
            add_all(own_domain, &service.own_domain);
            if source == LoadSource::Collector {
                add_all(&mut amounts.elsewhere, &service.other_domains);
            }
        }
        self.remove(&source);
        if source != LoadSource::Collector {
            combine_all(&mut self.heard, &by_service, Amount::add);
        }
        let received = Received {
            by_service,
            domain_hosts: report.demand.domain_hosts as usize,
            sender: report.sender,
            version,
            at: now,
        };
        self.reports.insert(source, received);
        listed - counted
    }

    fn remove(&mut self, source: &LoadSource) {
        let Some(removed) = self.reports.remove(source) else { return };
        if *source != LoadSource::Collector {
            combine_all(&mut self.heard, &removed.by_service, Amount::subtract);
        }
    }

    /// Discards expired reports, and services of which nothing is asked any more.
    pub fn expire(&mut self, now: SteadyMs) {
        let max_report_age_ms = self.max_report_age_ms;
        let is_expired = |received: &Received| received.at.plus_ms(max_report_age_ms).is_past(now);
        let reports = self.reports.iter().filter(|(_, received)| is_expired(received));
        let expired: Vec<LoadSource> = reports.map(|(source, _)| source.clone()).collect();
        expired.iter().for_each(|source| self.remove(source));
        self.heard.retain(|_, amounts| *amounts != Amounts::default());
        self.own.retain(|_, rates| {
            rates.iter().any(|rates| rates.served(now).asked_per_s >= MIN_PER_S)
        });
    }

    /// Whether a report is due, as anything is asked at all. On a calm day that is seldom, so that reports cost little.
    pub fn take_due_report(&mut self, now: SteadyMs) -> bool {
        let is_due = self.next_report_at.is_past(now) || self.is_pressed(now);
        let is_asked = !self.own.is_empty()
            || self.peers().values().any(|amounts| *amounts != Amounts::default());
        if is_due && is_asked {
            self.next_report_at = now.plus_ms(CALM_INTERVAL_MS);
        }
        is_due && is_asked
    }

    /// Whether a notable part of what is asked of some service is not served, so that others should know at once.
    pub fn is_pressed(&self, now: SteadyMs) -> bool {
        let services = self.own.keys().chain(self.peers().keys());
        let mut totals = services.map(|service| self.all(service, now));
        totals.any(|all| all.asked_per_s >= MIN_PER_S && all.share() < 1.0 - CALM_UNSERVED_SHARE)
    }

    /// Returns the demand of other hosts. A report from the collector of this host's domain covers all of them.
    fn peers(&self) -> &AmountsByService {
        let collected = self.reports.get(&LoadSource::Collector);
        collected.map_or(&self.heard, |received| &received.by_service)
    }

    /// Returns the number of hosts of this host's domain whose demand is known, including this one.
    fn known_domain_hosts(&self) -> usize {
        match self.reports.get(&LoadSource::Collector) {
            Some(received) => received.domain_hosts.saturating_add(1),
            None => self.heard_domain_hosts(None),
        }
    }

    fn heard_domain_hosts(&self, excluded: Option<&str>) -> usize {
        let hosts = self.reports.keys().filter(|source| match source {
            LoadSource::Host(name) => Some(name.as_str()) != excluded,
            LoadSource::Domain(_) | LoadSource::Collector => false,
        });
        1 + hosts.count()
    }

    /// Returns the time since the newest report from a peer, in milliseconds; none if there is none.
    pub fn newest_report_age_ms(&self, now: SteadyMs) -> Option<u64> {
        self.reports.values().map(|received| now.since_ms(received.at)).min()
    }

    /// Returns the demand of all hosts for a service at one urgency.
    pub fn served(&self, service: &str, urgency: u8, now: SteadyMs) -> Served {
        let own = self.own.get(service).map(|rates| rates[index(urgency)].served(now));
        let mut sum = own.unwrap_or_default();
        if let Some(peers) = self.peers().get(service) {
            sum.add(peers.home[index(urgency)].served());
            sum.add(peers.elsewhere[index(urgency)].served());
        }
        sum
    }

    fn all(&self, service: &str, now: SteadyMs) -> Served {
        let mut sum = Served::default();
        (0..=LEAST_URGENCY).for_each(|urgency| sum.add(self.served(service, urgency, now)));
        sum
    }

    /// Returns the share of a failure domain's room that is this host's own. Hosts share one part alike and the rest by
    /// demand, as far as that of the hosts is known; the shares of all hosts are not more than 1 together.
    pub fn host_share(&self, service: &str, domain_hosts: usize, now: SteadyMs) -> f64 {
        let known = self.known_domain_hosts();
        let hosts = domain_hosts.max(known).max(1) as f64;
        let own = self.own.get(service).map_or(0.0, |rates| {
            rates.iter().map(|rates| rates.served(now).asked_per_s).sum::<f64>()
        });
        let others = self
            .peers()
            .get(service)
            .map_or(0.0, |peers| peers.home.iter().map(|amount| amount.asked as f64).sum::<f64>());
        let by_demand = match own + others {
            total if total >= MIN_PER_S => own / total * known as f64 / hosts,
            _ => 1.0 / hosts,
        };
        EQUAL_PART / hosts + (1.0 - EQUAL_PART) * by_demand
    }

    /// Returns the share of a service's room that is kept for requests more urgent than `urgency`.
    pub fn reserved_share(&self, service: &str, urgency: u8, room: f64, now: SteadyMs) -> f64 {
        let more_urgent = 0..urgency.min(LEAST_URGENCY);
        let asked_per_s: f64 =
            more_urgent.map(|urgency| self.served(service, urgency, now).asked_per_s).sum();
        if asked_per_s < MIN_PER_S || !room.is_finite() || room <= 0.0 {
            return 0.0;
        }
        (asked_per_s * RESERVE_S / room).min(MAX_RESERVED_SHARE)
    }

    /// Returns the terms of a request.
    pub fn room_terms(&self, request: &TermsRequest<'_>, now: SteadyMs) -> RoomTerms {
        let TermsRequest { service, urgency, domain_hosts, room, .. } = *request;
        let host_share = self.host_share(service, domain_hosts, now);
        let knows_others = domain_hosts <= 1 || !self.reports.is_empty();
        let reserved_share = if request.is_ordered && knows_others {
            self.reserved_share(service, urgency, room, now)
        } else {
            0.0
        };
        let is_let_in = reserved_share <= 0.0 || self.is_let_in(request, now);
        RoomTerms {
            host_share,
            reserved_share: if is_let_in { 0.0 } else { reserved_share },
            knows_load: request.knows_load,
            has_turn: request.has_turn,
        }
    }

    /// Whether a request is let in regardless of more urgent ones, so that its class and its workspace keep their floor.
    pub fn is_let_in(&self, request: &TermsRequest<'_>, now: SteadyMs) -> bool {
        let class = self.served(request.service, request.urgency, now);
        let for_class = class.let_in_probability(&self.all(request.service, now));
        let probability = for_class.max(request.let_in_probability);
        uniform_number(request.seed, request.service) < probability
    }

    /// Returns the urgency with which a request waits for room: as the most urgent if it is let in regardless of others.
    pub fn waiting_urgency(&self, request: &TermsRequest<'_>, now: SteadyMs) -> u8 {
        if request.is_ordered && self.is_let_in(request, now) { 0 } else { request.urgency }
    }

    /// Returns the report of this host's own demand.
    pub fn own_report(&self, now: SteadyMs) -> DemandReport {
        report_of(1, &self.own_amounts(now))
    }

    /// Returns the report of the demand of this host's failure domain: its own and that of the hosts that report to it.
    pub fn domain_report(&self, now: SteadyMs) -> DemandReport {
        let mut sum = self.heard.clone();
        sum.values_mut().for_each(|amounts| amounts.elsewhere = Default::default());
        combine_all(&mut sum, &self.own_amounts(now), Amount::add);
        report_of(self.heard_domain_hosts(None), &sum)
    }

    /// Returns the report of the demand of all hosts except `host`, for that host.
    pub fn report_excluding(&self, host: &str, now: SteadyMs) -> DemandReport {
        let mut sum = self.heard.clone();
        if let Some(own) = self.reports.get(&LoadSource::Host(host.to_string())) {
            combine_all(&mut sum, &own.by_service, Amount::subtract);
        }
        combine_all(&mut sum, &self.own_amounts(now), Amount::add);
        report_of(self.heard_domain_hosts(Some(host)), &sum)
    }

    fn own_amounts(&self, now: SteadyMs) -> AmountsByService {
        let services = self.own.iter().map(|(service, rates)| {
            let home = rates.map(|rates| rates.amount(now));
            (service.clone(), Amounts { home, elsewhere: Default::default() })
        });
        services.collect()
    }
}
