//! Scenarios in which an entry host is killed.

use std::net::SocketAddr;
use std::time::Instant;

use godwit_core::Code;
use godwit_schema::operator::NeighbourState;
use serde_json::json;

use super::site::{POLL_INTERVAL, elapsed_ms, statuses, wait_until_healthy};
use crate::error::CtlError;
use crate::site::{Names, Site, WORKSPACE_KEY};

/// Host that is killed.
const KILLED_HOST: &str = "hall-a-entry-2";
const KILLED_HOST_DOMAIN: &str = "hall-a";

/// Port index of the killed host. Its value does not matter, because the site uses free ports.
const KILLED_HOST_INDEX: u16 = 0;

/// Host in the same failure domain to which confirmations are sent after the kill.
const SURVIVING_HOST: &str = "hall-a-entry-1";

/// Number of concurrent confirmations after the kill. Their claims fall into different ledger slices.
const CONFIRMATIONS: u32 = 8;

/// Timeout for a response.
const RESPONSE_TIMEOUT_S: u64 = 20;

fn kill_host(site: &mut Site) -> Instant {
    let node = site.nodes.remove(KILLED_HOST);
    let fault = Instant::now();
    drop(node);
    fault
}

fn restart_host(site: &mut Site) -> Result<(), CtlError> {
    site.start_node(KILLED_HOST, KILLED_HOST_DOMAIN, KILLED_HOST_INDEX)?;
    wait_until_healthy(site)
}

/// Kills a host and returns the time in milliseconds until all neighbours report it as dead.
pub(super) fn measure_host_killed(site: &mut Site) -> Result<f64, CtlError> {
    let fault = kill_host(site);
    while !statuses(site)?.iter().all(|status| {
        status.neighbours.iter().all(|neighbour| {
            neighbour.host != KILLED_HOST || neighbour.state == NeighbourState::Dead
        })
    }) {
        std::thread::sleep(POLL_INTERVAL);
    }
    let time_ms = elapsed_ms(fault);
    restart_host(site)?;
    Ok(time_ms)
}

/// Kills a host, immediately sends confirmations through another host of the domain, and returns the longest response
/// time in milliseconds.
pub(super) fn measure_claims(site: &mut Site, number: u32) -> Result<f64, CtlError> {
    let host = site.nodes.get(SURVIVING_HOST).map(godwit_host::Node::caller_address);
    let host =
        host.ok_or_else(|| CtlError::Failed("the surviving host is not running".to_string()))?;
    kill_host(site);
    let confirm = |claim: u32| {
        let started = Instant::now();
        confirm(host, &format!("claims-{number}-{claim}")).map(|()| elapsed_ms(started))
    };
    let times: Result<Vec<f64>, CtlError> = std::thread::scope(|scope| {
        let running: Vec<_> =
            (0..CONFIRMATIONS).map(|claim| scope.spawn(move || confirm(claim))).collect();
        let caller_panicked = || CtlError::Failed("a caller thread panicked".to_string());
        running
            .into_iter()
            .map(|caller| caller.join().unwrap_or_else(|_| Err(caller_panicked())))
            .collect()
    });
    restart_host(site)?;
    Ok(times?.into_iter().fold(0.0, f64::max))
}

/// Sends a confirmation and waits for the response.
///
/// # Errors
/// When there is no response, or its code is not [`Code::Ok`].
pub(super) fn confirm(host: SocketAddr, key: &str) -> Result<(), CtlError> {
    let url = format!("http://{host}/services/{}/confirmations", Names::SERVICE);
    let response = minreq::post(url)
        .with_timeout(RESPONSE_TIMEOUT_S)
        .with_header("Authorization", format!("Bearer {WORKSPACE_KEY}"))
        .with_header("Godwit-Kind", Names::KIND_ONCE)
        .with_header("Godwit-Event", Names::EVENT)
        .with_header("Idempotency-Key", key)
        .with_body(json!({"order": key}).to_string())
        .send()
        .map_err(|error| CtlError::Failed(error.to_string()))?;
    let is_code = |(name, _): &&(String, String)| name.eq_ignore_ascii_case("godwit-code");
    let code = response.headers.iter().find(is_code).map(|(_, value)| value.clone());
    if code.as_deref() == Some(&Code::Ok.number().to_string()) {
        return Ok(());
    }
    Err(CtlError::Failed(format!("confirmation {key} ended with code {code:?}")))
}
