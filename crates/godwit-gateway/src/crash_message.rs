//! Wire form of the reports of server ends and of the requests that ran on them.

use godwit_core::quarantine::{CrashReport, LossReport, ServerEndReport, SuspectReport};
use serde::{Deserialize, Serialize};

/// Report of a host; its size is bounded by [`godwit_core::quarantine::MAX_REPORTED_LOSSES`] and its neighbors.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct CrashMessage {
    ends: Vec<ServerEnd>,
    suspects: Vec<Suspect>,
}

#[derive(Debug, Deserialize, Serialize)]
struct ServerEnd {
    server: String,
    ended_ago_ms: u64,
}

#[derive(Debug, Deserialize, Serialize)]
struct Suspect {
    fingerprint: u64,
    losses: Vec<Loss>,
    cleared_ago_ms: Option<u64>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Loss {
    server: String,
    ended_ago_ms: u64,
    ran_ms: u64,
    pieces: u64,
    request_id: String,
}

impl From<CrashReport> for CrashMessage {
    fn from(report: CrashReport) -> CrashMessage {
        let ends = report.ends.into_iter().map(|end| {
            let ServerEndReport { server, ended_ago_ms } = end;
            ServerEnd { server, ended_ago_ms }
        });
        let suspects = report.suspects.into_iter().map(|suspect| {
            let SuspectReport { fingerprint, losses, cleared_ago_ms } = suspect;
            let losses = losses.into_iter().map(Loss::from).collect();
            Suspect { fingerprint, losses, cleared_ago_ms }
        });
        CrashMessage { ends: ends.collect(), suspects: suspects.collect() }
    }
}

impl From<CrashMessage> for CrashReport {
    fn from(message: CrashMessage) -> CrashReport {
        let ends = message.ends.into_iter().map(|end| {
            let ServerEnd { server, ended_ago_ms } = end;
            ServerEndReport { server, ended_ago_ms }
        });
        let suspects = message.suspects.into_iter().map(|suspect| {
            let Suspect { fingerprint, losses, cleared_ago_ms } = suspect;
            let losses = losses.into_iter().map(LossReport::from).collect();
            SuspectReport { fingerprint, losses, cleared_ago_ms }
        });
        CrashReport { ends: ends.collect(), suspects: suspects.collect() }
    }
}

impl From<LossReport> for Loss {
    fn from(report: LossReport) -> Loss {
        let LossReport { server, ended_ago_ms, ran_ms, pieces, request_id } = report;
        Loss { server, ended_ago_ms, ran_ms, pieces, request_id }
    }
}

impl From<Loss> for LossReport {
    fn from(loss: Loss) -> LossReport {
        let Loss { server, ended_ago_ms, ran_ms, pieces, request_id } = loss;
        LossReport { server, ended_ago_ms, ran_ms, pieces, request_id }
    }
}
