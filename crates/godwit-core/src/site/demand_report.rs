//! Reports of demand between hosts.
//!
//! A report follows the other parts of a message. Hosts of releases without it pass over it, and send none. Its size
//! grows with the services that are asked and their urgencies, not with the hosts.

use serde::{Deserialize, Serialize};

/// Services that are taken from a report, or put into one.
pub const MAX_REPORTED_SERVICES: usize = 64;

/// Demand of one urgency.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UrgencyDemand {
    /// Urgency; 0 is the first.
    pub urgency: u8,
    /// Whole units that are asked for a second.
    pub asked_per_s: u32,
    /// Part of them that is sent to servers, in percent.
    pub served_percent: u8,
}

/// Demand for one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// Demand in the failure domain of the sender.
    pub own_domain: Vec<UrgencyDemand>,
    /// Demand in all other failure domains; empty unless the report is that of a collector to a host of its domain.
    pub other_domains: Vec<UrgencyDemand>,
}

/// Demand as one host reports it to another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport {
    /// Number of hosts of the sender's failure domain whose demand the report contains.
    pub domain_hosts: u32,
    /// Demand by service, without what is 0.
    pub services: Vec<ServiceDemand>,
}

impl DemandReport {
    /// Appends a report to the other parts of a message. They stay as they are without a report, and if the message would
    /// be longer than `max_bytes` with it.
    ///
    /// # Errors
    /// When the report cannot be encoded.
    ///
    /// ```
    /// use godwit_core::site::DemandReport;
    /// let report = DemandReport { domain_hosts: 3, services: Vec::new() };
    /// let parts = DemandReport::append(Some(&report), vec![7], 100).unwrap();
    /// assert_eq!(DemandReport::read(&parts[1..]).unwrap(), Some(report));
    /// assert_eq!(DemandReport::append(None, vec![7], 100).unwrap(), [7]);
    /// ```
    pub fn append(
        report: Option<&DemandReport>,
        mut parts: Vec<u8>,
        max_bytes: usize,
    ) -> postcard::Result<Vec<u8>> {
        let Some(report) = report else { return Ok(parts) };
        let encoded = postcard::to_stdvec(report)?;
        if parts.len() + encoded.len() <= max_bytes {
            parts.extend(encoded);
        }
        Ok(parts)
    }

    /// Reads the report that is left of a message after its other parts; none if nothing is left. What may follow the
    /// report is passed over.
    ///
    /// # Errors
    /// When what is left is no report.
    pub fn read(rest: &[u8]) -> postcard::Result<Option<DemandReport>> {
        if rest.is_empty() {
            return Ok(None);
        }
        postcard::from_bytes(rest).map(Some)
    }
}
