//! Scenarios in which a backend server is killed or stops responding.

use std::time::Instant;

use godwit_schema::engine::{EngineFaults, JournalAction};

use super::site::wait_until_healthy;
use super::stream::Stream;
use crate::error::CtlError;
use crate::site::{Names, RunningEngine, Site};

/// Returns the fault that makes a server dead.
pub(super) fn dead_fault() -> EngineFaults {
    EngineFaults { dead: true, ..EngineFaults::default() }
}

/// Returns the fault that makes a server accept calls without responding to them.
pub(super) fn hang_fault() -> EngineFaults {
    EngineFaults { hang: true, ..EngineFaults::default() }
}

/// Injects a fault into the server of a whole model in the middle of a stream, and returns the time in milliseconds to
/// the next token.
pub(super) fn measure_whole_model_server(
    site: &Site,
    number: u32,
    faults: &EngineFaults,
) -> Result<f64, CtlError> {
    measure(site, Names::MODEL, number, 0, faults)
}

/// Injects a fault into a stage of a split model in the middle of a stream, and returns the time in milliseconds to the
/// next token. `number` selects the stages in turn.
pub(super) fn measure_stage(
    site: &Site,
    number: u32,
    faults: &EngineFaults,
) -> Result<f64, CtlError> {
    measure(site, Names::SPLIT_MODEL, number, number as usize, faults)
}

fn measure(
    site: &Site,
    model: &str,
    number: u32,
    server_index: usize,
    faults: &EngineFaults,
) -> Result<f64, CtlError> {
    let hosts = site.caller_addresses();
    let host = hosts[number as usize % hosts.len()];
    let stream = Stream::start(host, model, number)?;
    let servers = servers_of(site, &stream.request_id);
    let count = servers.len();
    let server = servers.into_iter().nth(server_index % count.max(1));
    let server = server.ok_or_else(|| CtlError::Failed("no server runs the stream".to_string()))?;
    let set = |faults: EngineFaults| {
        server.standin.set_faults(faults).map_err(|error| CtlError::Failed(error.to_string()))
    };
    let fault = Instant::now();
    set(faults.clone())?;
    let recovery_ms = stream.recovery_ms(fault);
    set(EngineFaults::default())?;
    wait_until_healthy(site)?;
    recovery_ms
}

/// Returns the engines that ran a part of the request, ordered by name.
fn servers_of<'a>(site: &'a Site, request_id: &str) -> Vec<&'a RunningEngine> {
    let runs = |engine: &&RunningEngine| {
        engine.standin.journal().iter().any(|entry| {
            let is_run = matches!(entry.action, JournalAction::Token | JournalAction::Step);
            is_run && entry.request_id.as_deref() == Some(request_id)
        })
    };
    site.engines.values().filter(runs).collect()
}
