//! Polling of this host's share of the backend servers.

mod driver;

pub use driver::{PolledCacheEvents, Poller};
