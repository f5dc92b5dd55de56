//! Which servers the end of an attempt is put down to.

use godwit_engine::{Probe, probe};

use crate::dispatch::GrantedServer;
use crate::dispatch::attempt::AttemptEnd;

/// The servers that the end of an attempt is put down to, none when no server is known to be at fault.
pub(crate) fn blamed(end: &AttemptEnd, granted: &GrantedServer) -> Vec<String> {
    match end {
        AttemptEnd::Whole(_) | AttemptEnd::CallerGone | AttemptEnd::DeadlinePassed => Vec::new(),
        AttemptEnd::Failed { failed_server: Some(server) } if is_stage(server, granted) => {
            vec![server.clone()]
        }
        AttemptEnd::Silent { unanswered } if !granted.stages.is_empty() => unanswered.clone(),
        AttemptEnd::Refused(_)
        | AttemptEnd::Unreachable(_)
        | AttemptEnd::Failed { .. }
        | AttemptEnd::Closed
        | AttemptEnd::Malformed
        | AttemptEnd::Silent { .. } => vec![granted.server.clone()],
    }
}

fn is_stage(server: &str, granted: &GrantedServer) -> bool {
    granted.stages.iter().any(|stage| stage.server == server)
}

/// The servers of a grant that do not answer a probe.
pub(crate) fn unanswered(granted: &GrantedServer, probe_wait_ms: u64) -> Vec<String> {
    probed(granted, probe_wait_ms, |probe| probe != Probe::Answered)
}

/// The servers of a grant that a probe finds dead; one that is only slow to answer is not among them.
pub(crate) fn dead(granted: &GrantedServer, probe_wait_ms: u64) -> Vec<String> {
    probed(granted, probe_wait_ms, |probe| probe == Probe::Dead)
}

fn probed(granted: &GrantedServer, wait_ms: u64, is_wanted: fn(Probe) -> bool) -> Vec<String> {
    let named: Vec<(&str, &str)> = match granted.stages.as_slice() {
        [] => vec![(&granted.server, &granted.address)],
        stages => stages.iter().map(|stage| (&*stage.server, &*stage.address)).collect(),
    };
    let addresses: Vec<&str> = named.iter().map(|(_, address)| *address).collect();
    let results = probe(&addresses, wait_ms);
    let wanted = named.iter().zip(results).filter(|(_, result)| is_wanted(*result));
    wanted.map(|((server, _), _)| server.to_string()).collect()
}
