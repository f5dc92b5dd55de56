//! Messages on a channel between two hosts.

use serde::{Deserialize, Serialize};

/// Asks another host for a connection to a server.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct OpenRequest {
    pub(super) server_id: String,
    /// Id of the request that needs the connection, for the log.
    pub(super) request_id: String,
    /// Whether the connection must be a new one, which shows that the server can be reached now.
    pub(super) needs_new: bool,
}

/// Answer to [`OpenRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum OpenReply {
    /// Bytes now go to the server, over a new connection.
    Opened,
    /// The server cannot be reached, although the links of this host work.
    Unreachable {
        /// Whether nothing listens at its address.
        is_refused: bool,
    },
    /// The server wants no requests of this host for a time.
    HoldsOff { for_ms: u64 },
    /// This host reaches no server itself.
    LinksLost,
    /// This host does not know the server, or knows that it leaves.
    NotUsable,
    /// This host stops, or serves as many detours as it can.
    Busy,
    /// Bytes now go to the server, over a connection that has carried other requests.
    OpenedKept,
}

/// What a server says of itself in the head of a response.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ServerNotice {
    pub(crate) is_leaving: bool,
    pub(crate) holds_off_for_ms: Option<u64>,
}

/// Ends the use of a connection.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Release {
    /// Whether the connection can serve another request.
    pub(super) is_reusable: bool,
    /// Idle time that the server announces, in milliseconds.
    pub(super) keep_alive_ms: Option<u64>,
}
