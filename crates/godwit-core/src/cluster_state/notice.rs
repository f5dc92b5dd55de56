//! Notices of backend servers that travel between the hosts of a failure domain.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// What the platform's host list says of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Listing {
    /// It is in use.
    Live,
    /// It is about to be taken away.
    Leaving,
    /// It is no longer listed.
    Gone,
}

/// What is noticed of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Notice {
    /// The host list says so.
    Listed(Listing),
    /// It does not answer load polls.
    Silent,
    /// It answers load polls.
    Answering,
}

impl Notice {
    /// Whether both are of the same source, so that the later one replaces the earlier one.
    pub(crate) fn is_listing(self) -> bool {
        matches!(self, Notice::Listed(_))
    }
}

/// A notice of a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerNotice {
    /// Name of the server.
    pub server: String,
    /// What is noticed.
    pub notice: Notice,
    /// When it was true: the time of the host list, or of the poll.
    pub noticed_at: UnixMs,
}
