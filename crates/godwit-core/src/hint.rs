//! Hints that entry hosts pass to each other; a lost or stale hint costs speed, never safety.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// A small fact that spreads over the hosts of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Hint {
    /// A backend server was lost while it ran a request with this fingerprint.
    CrashMark {
        /// Fingerprint of the request's body.
        fingerprint: u64,
        /// Name of the server that was lost.
        server: String,
        /// Deadline after which the mark is forgotten.
        expires_at: UnixMs,
    },
    /// A request with this fingerprint outlived its marks: it finished whole, or ran on well past the point of its loss.
    CrashCleared {
        /// Fingerprint of the request's body.
        fingerprint: u64,
        /// Deadline after which no mark from before can count.
        expires_at: UnixMs,
    },
    /// A backend server failed in a way that a load report does not show.
    ServerSuspect {
        /// Name of the server.
        server: String,
        /// Deadline after which the suspicion is forgotten.
        expires_at: UnixMs,
    },
}
