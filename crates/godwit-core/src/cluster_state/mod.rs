//! State that the hosts exchange: load readings, notices about servers, hints and summaries of failure domains.

mod domain;
mod gossip_store;
mod notice;
mod polling;
mod remote;

pub use domain::{CapacitySummary, DomainSummary, HostPage, ModelCapacity, RemoteHost};
pub(crate) use domain::{HOSTS_PER_PAGE, RemoteDomains, SummaryKey};
pub(crate) use gossip_store::{
    GossipStore, MAX_ITEMS_PER_MESSAGE, encoded_bytes, longest_fitting_prefix,
};
pub use notice::{Listing, Notice, ServerNotice};
pub use polling::{POLL_INTERVAL_MS, PollResult, PollSchedule, PollTarget};
pub use remote::{capacity_names, max_throughput_per_s, remote_readings};
