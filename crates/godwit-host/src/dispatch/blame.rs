//! Which servers the end of an attempt is put down to.

use godwit_engine::probe;

use crate::dispatch::GrantedServer;
use crate::dispatch::attempt::AttemptEnd;

/// The servers that the end of an attempt is put down to, none when no server is at fault.
pub(crate) fn blamed(end: &AttemptEnd, granted: &GrantedServer, probe_wait_ms: u64) -> Vec<String> {
    match end {
        AttemptEnd::Whole(_) | AttemptEnd::CallerGone | AttemptEnd::DeadlinePassed => Vec::new(),
        AttemptEnd::Failed { failed_server: Some(server) } if is_stage(server, granted) => {
            vec![server.clone()]
        }
        AttemptEnd::Silent => silent(granted, probe_wait_ms),
        AttemptEnd::Refused(_)
        | AttemptEnd::Unreachable(_)
        | AttemptEnd::Failed { .. }
        | AttemptEnd::Closed
        | AttemptEnd::Malformed => vec![granted.server.clone()],
    }
}

fn is_stage(server: &str, granted: &GrantedServer) -> bool {
    granted.stages.iter().any(|stage| stage.server == server)
}

/// The stages that do not answer a probe; the first server when all of them do, or when there are no stages.
fn silent(granted: &GrantedServer, probe_wait_ms: u64) -> Vec<String> {
    let addresses: Vec<&str> = granted.stages.iter().map(|stage| stage.address.as_str()).collect();
    let answers = probe(&addresses, probe_wait_ms);
    let silent: Vec<String> = granted
        .stages
        .iter()
        .zip(answers)
        .filter(|(_, answered)| !answered)
        .map(|(stage, _)| stage.server.clone())
        .collect();
    if silent.is_empty() { vec![granted.server.clone()] } else { silent }
}
