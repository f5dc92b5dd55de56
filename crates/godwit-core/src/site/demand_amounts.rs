//! Sums of demand by service and urgency.

use std::collections::BTreeMap;

use crate::site::demand_report::{
    DemandReport, MAX_REPORTED_SERVICES, ServiceDemand, UrgencyDemand,
};
use crate::site::served_share::Served;

/// Urgency of the requests that come last; 0 is that of those that come first.
pub const LEAST_URGENCY: u8 = 9;

/// Number of urgencies.
pub(crate) const URGENCIES: usize = LEAST_URGENCY as usize + 1;

/// Returns the urgency of a priority; what lies beyond the least urgency counts as the least.
///
/// ```
/// use godwit_core::site::urgency_of;
/// assert_eq!([0, 3, 9, 10, u32::MAX].map(urgency_of), [0, 3, 9, 9, 9]);
/// ```
pub fn urgency_of(priority: u32) -> u8 {
    u8::try_from(priority).unwrap_or(LEAST_URGENCY).min(LEAST_URGENCY)
}

/// Returns the position of an urgency.
pub(crate) fn index(urgency: u8) -> usize {
    usize::from(urgency.min(LEAST_URGENCY))
}

/// Demand a second in whole units.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Amount {
    pub(crate) asked: u64,
    pub(crate) admitted: u64,
}

impl Amount {
    pub(crate) fn add(&mut self, other: Amount) {
        self.asked = self.asked.saturating_add(other.asked);
        self.admitted = self.admitted.saturating_add(other.admitted);
    }

    pub(crate) fn subtract(&mut self, other: Amount) {
        self.asked = self.asked.saturating_sub(other.asked);
        self.admitted = self.admitted.saturating_sub(other.admitted);
    }

    pub(crate) fn served(self) -> Served {
        Served { asked_per_s: self.asked as f64, admitted_per_s: self.admitted as f64 }
    }
}

/// Demand of other hosts for one service, by urgency.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Amounts {
    pub(crate) home: [Amount; URGENCIES],
    pub(crate) elsewhere: [Amount; URGENCIES],
}

impl Amounts {
    fn combine(&mut self, other: &Amounts, combine: fn(&mut Amount, Amount)) {
        let home = self.home.iter_mut().zip(&other.home);
        let elsewhere = self.elsewhere.iter_mut().zip(&other.elsewhere);
        home.chain(elsewhere).for_each(|(sum, amount)| combine(sum, *amount));
    }
}

pub(crate) type AmountsByService = BTreeMap<String, Amounts>;

/// Adds reported demand to sums by urgency.
pub(crate) fn add_all(sums: &mut [Amount; URGENCIES], reported: &[UrgencyDemand]) {
    for demand in reported.iter().take(URGENCIES) {
        let asked = u64::from(demand.asked_per_s);
        let admitted = asked * u64::from(demand.served_percent.min(100)) / 100;
        sums[index(demand.urgency)].add(Amount { asked, admitted });
    }
}

/// Combines the demand for each service.
pub(crate) fn combine_all(
    sums: &mut AmountsByService,
    amounts: &AmountsByService,
    combine: fn(&mut Amount, Amount),
) {
    for (service, amounts) in amounts {
        sums.entry(service.clone()).or_default().combine(amounts, combine);
    }
}

/// Returns a report of demand that is that of `domain_hosts` hosts.
pub(crate) fn report_of(domain_hosts: usize, by_service: &AmountsByService) -> DemandReport {
    let reported = |amounts: &[Amount; URGENCIES]| -> Vec<UrgencyDemand> {
        let asked = (0..).zip(amounts).filter(|(_, amount)| amount.asked > 0);
        let demands = asked.map(|(urgency, amount)| UrgencyDemand {
            urgency,
            asked_per_s: u32::try_from(amount.asked).unwrap_or(u32::MAX),
            served_percent: (amount.served().share() * 100.0).round() as u8,
        });
        demands.collect()
    };
    let services = by_service.iter().map(|(service, amounts)| ServiceDemand {
        service: service.clone(),
        own_domain: reported(&amounts.home),
        other_domains: reported(&amounts.elsewhere),
    });
    let asked = services
        .filter(|service| !(service.own_domain.is_empty() && service.other_domains.is_empty()));
    DemandReport {
        domain_hosts: u32::try_from(domain_hosts).unwrap_or(u32::MAX),
        services: asked.take(MAX_REPORTED_SERVICES).collect(),
    }
}
