//! Kinds of objects of which every host holds a copy.

use std::time::Duration;

use godwit_adapter::{CONFIGURATION_KIND, SERVERS_KIND};
use serde::{Deserialize, Serialize};

/// Kind of the objects that describe hosts.
const HOSTS_KIND: &str = "godwit-hosts";

/// Delay before the next watch while changes of the configuration follow each other quickly.
const CONFIGURATION_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next watch while changes of servers or hosts follow each other quickly. A draining server still
/// serves for seconds after its entry changes.
const BATCH_DELAY: Duration = Duration::from_millis(400);

/// Largest content of the entry of a server or the record of a host, in bytes; many times what either needs. Larger ones
/// of other writers would fill the messages between hosts.
const MAX_ENTRY_BYTES: usize = 128 * 1024;

/// Kind of objects.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum ObjectKind {
    /// The configuration that the operator writes.
    Configuration,
    /// The entries of the backend servers.
    Servers,
    /// The records of the hosts.
    Hosts,
}

impl ObjectKind {
    pub(crate) const ALL: [ObjectKind; 3] =
        [ObjectKind::Configuration, ObjectKind::Servers, ObjectKind::Hosts];

    /// Returns the name of the kind in the store.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ObjectKind::Configuration => CONFIGURATION_KIND,
            ObjectKind::Servers => SERVERS_KIND,
            ObjectKind::Hosts => HOSTS_KIND,
        }
    }

    /// Returns the delay before the next watch after a quick one, so that one call returns several changes.
    pub(crate) fn batch_delay(self) -> Duration {
        match self {
            ObjectKind::Configuration => CONFIGURATION_BATCH_DELAY,
            ObjectKind::Servers | ObjectKind::Hosts => BATCH_DELAY,
        }
    }

    /// Returns the largest content of an object that is held, in bytes.
    pub(crate) fn max_content_bytes(self) -> usize {
        match self {
            ObjectKind::Configuration => usize::MAX,
            ObjectKind::Servers | ObjectKind::Hosts => MAX_ENTRY_BYTES,
        }
    }
}
