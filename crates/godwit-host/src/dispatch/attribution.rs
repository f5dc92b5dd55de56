//! Attribution of the end of an attempt to servers.

use godwit_engine::{Probe, probe};

use crate::dispatch::GrantedServer;
use crate::dispatch::attempt::StreamEnd;

/// Returns the servers to which the end of an attempt is attributed; empty if no server is known to be at fault.
pub(crate) fn responsible_servers(end: &StreamEnd, granted: &GrantedServer) -> Vec<String> {
    match end {
        StreamEnd::Completed(_) | StreamEnd::CallerDisconnected | StreamEnd::DeadlinePassed => {
            Vec::new()
        }
        StreamEnd::Failed { failed_server: Some(server) } if is_stage(server, granted) => {
            vec![server.clone()]
        }
        StreamEnd::Silent { unresponsive } if !granted.stages.is_empty() => unresponsive.clone(),
        StreamEnd::Refused(_)
        | StreamEnd::Unreachable(_)
        | StreamEnd::Failed { .. }
        | StreamEnd::Closed
        | StreamEnd::Malformed
        | StreamEnd::Silent { .. } => vec![granted.server.clone()],
    }
}

fn is_stage(server: &str, granted: &GrantedServer) -> bool {
    granted.stages.iter().any(|stage| stage.server == server)
}

/// Probes the servers of a grant and returns those that do not answer in time, dead or slow.
pub(crate) fn unresponsive_servers(granted: &GrantedServer, probe_timeout_ms: u64) -> Vec<String> {
    servers_by_probe(granted, probe_timeout_ms, |probe| probe != Probe::Answered)
}

/// Probes the servers of a grant and returns those that are dead, without those that are only slow to answer.
pub(crate) fn dead_servers(granted: &GrantedServer, probe_timeout_ms: u64) -> Vec<String> {
    servers_by_probe(granted, probe_timeout_ms, |probe| probe == Probe::Dead)
}

fn servers_by_probe(
    granted: &GrantedServer,
    timeout_ms: u64,
    is_wanted: fn(Probe) -> bool,
) -> Vec<String> {
    let probed: Vec<(&str, &str)> = match granted.stages.as_slice() {
        [] => vec![(&granted.server, &granted.address)],
        stages => stages.iter().map(|stage| (&*stage.server, &*stage.address)).collect(),
    };
    let addresses: Vec<&str> = probed.iter().map(|(_, address)| *address).collect();
    let results = probe(&addresses, timeout_ms);
    let wanted = probed.iter().zip(results).filter(|(_, result)| is_wanted(*result));
    wanted.map(|((server, _), _)| server.to_string()).collect()
}
