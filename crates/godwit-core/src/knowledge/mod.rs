//! What the hosts tell each other: load readings, notices of servers, hints and summaries of failure domains.

mod domain;
mod notice;
mod polling;
mod remote;
mod spread;

pub use domain::{CapacityFact, DomainFact, HostsFact, ModelCapacity, RemoteHost};
pub(crate) use domain::{Domains, FactKey, HOSTS_PER_FACT};
pub use notice::{Listing, Notice, ServerNotice};
pub use polling::{POLL_INTERVAL_MS, PollResult, PollSchedule, PollTarget};
pub use remote::{capacity_names, full_rate, remote_readings};
pub(crate) use spread::{MAX_PER_MESSAGE, Spread, encoded_bytes, longest_fit};
