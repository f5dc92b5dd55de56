//! Hints that entry hosts exchange. A lost or stale hint costs performance, never safety.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// Hint that is sent to all hosts of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Hint {
    /// A backend server was lost while it ran a request with this fingerprint.
    CrashMark {
        /// Fingerprint of the request's workspace, path and body.
        fingerprint: u64,
        /// Name of the lost server.
        server: String,
        /// Time from which the mark is ignored.
        expires_at: UnixMs,
    },
    /// The crash marks of a request are refuted: it finished, or it ran well past the point at which it was lost
    /// before.
    CrashCleared {
        /// Fingerprint of the request's workspace, path and body.
        fingerprint: u64,
        /// Time from which no mark of an earlier loss counts any more.
        expires_at: UnixMs,
    },
    /// A backend server failed in a way that a load report does not show.
    ServerSuspect {
        /// Name of the server.
        server: String,
        /// Time from which the suspicion is ignored.
        expires_at: UnixMs,
    },
}
