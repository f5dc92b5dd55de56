//! Which servers the end of an attempt is put down to.

use godwit_engine::probe;

use crate::dispatch::GrantedServer;
use crate::dispatch::attempt::AttemptEnd;

/// The servers that the end of an attempt is put down to, none when no server is known to be at fault.
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

/// The stages that do not answer a probe, or the server of a model that is held whole.
fn silent(granted: &GrantedServer, probe_wait_ms: u64) -> Vec<String> {
    if granted.stages.is_empty() {
        return vec![granted.server.clone()];
    }
    unanswered(granted, probe_wait_ms)
}

/// The servers of a grant that do not answer a probe.
pub(crate) fn unanswered(granted: &GrantedServer, probe_wait_ms: u64) -> Vec<String> {
    let named: Vec<(&str, &str)> = match granted.stages.as_slice() {
        [] => vec![(&granted.server, &granted.address)],
        stages => stages.iter().map(|stage| (&*stage.server, &*stage.address)).collect(),
    };
    let addresses: Vec<&str> = named.iter().map(|(_, address)| *address).collect();
    let answers = probe(&addresses, probe_wait_ms);
    let unanswered = named.iter().zip(answers).filter(|(_, answered)| !answered);
    unanswered.map(|((server, _), _)| server.to_string()).collect()
}
