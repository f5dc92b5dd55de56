//! Notices about backend servers, exchanged between the hosts of a failure domain.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// State of a server on the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Listing {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
    /// No longer listed.
    Gone,
}

/// Observation about a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Notice {
    /// The server's state on the host list.
    Listed(Listing),
    /// The server does not answer load polls.
    Silent,
    /// The server answers load polls.
    Answering,
}

impl Notice {
    /// Whether the notice comes from the host list instead of a poll. A later notice replaces an earlier one of the
    /// same source.
    pub(crate) fn is_listing(self) -> bool {
        matches!(self, Notice::Listed(_))
    }
}

/// Notice about a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerNotice {
    /// Name of the server.
    pub server: String,
    /// What was observed.
    pub notice: Notice,
    /// When the observation was made: the time of the host list or of the poll.
    pub noticed_at: UnixMs,
}
