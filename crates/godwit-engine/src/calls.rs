//! Calls of an engine with a single response.

use std::thread;
use std::time::{Duration, Instant};

use godwit_core::UnixMs;
use godwit_schema::engine::{
    CacheEventsReply, CancelRequest, EngineOrder, KvExportReply, LoadReport, OrderReply,
};
use minreq::{Method, Request};
use serde::Serialize;
use serde_json::Value;

use crate::EngineError;
use crate::http::{call, request};

/// Cancels all attempts of a request up to and including `attempt`.
///
/// # Errors
/// [`EngineError`] when the engine could not be reached or refused, or the response was lost.
pub fn cancel(
    address: &str,
    request_id: &str,
    attempt: u32,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<(), EngineError> {
    let body = CancelRequest { request_id: request_id.to_string(), attempt };
    let post = with_json_body(request(Method::Post, address, "/v1/cancel", deadline, now), &body);
    call::<Value>(post, address).map(|_| ())
}

/// Returns the load report of an engine, which can be out of date.
///
/// # Errors
/// [`EngineError`] when the engine could not be reached or refused, or the response was lost.
pub fn load(address: &str, deadline: UnixMs, now: UnixMs) -> Result<LoadReport, EngineError> {
    call(request(Method::Get, address, "/v1/load", deadline, now), address)
}

/// Result of a probe of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The server answered the probe.
    Answered,
    /// The server refused the connection, closed it, or sent no valid load report.
    Dead,
    /// No answer arrived in time.
    Silent,
}

/// Probes all engines concurrently with a load request, waiting at most `wait_ms` in total. The results are in the
/// order of `addresses`.
///
/// ```
/// use godwit_engine::{Probe, probe};
/// assert_eq!(probe(&["127.0.0.1:1"], 1_000), [Probe::Dead]);
/// ```
pub fn probe(addresses: &[&str], wait_ms: u64) -> Vec<Probe> {
    let receivers: Vec<_> = addresses.iter().map(|address| start_probe(address, wait_ms)).collect();
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    receivers
        .iter()
        .map(|receiver| receiver.recv_deadline(deadline).unwrap_or(Probe::Silent))
        .collect()
}

/// Returns the cache events after sequence number `after`. Events can be delayed and some can be missing.
///
/// # Errors
/// [`EngineError`] when the engine could not be reached or refused, or the response was lost.
pub fn cache_events(
    address: &str,
    after: u64,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<CacheEventsReply, EngineError> {
    let path = format!("/v1/cache-events?after={after}");
    call(request(Method::Get, address, &path, deadline, now), address)
}

/// Sends an order to an engine.
///
/// # Errors
/// [`EngineError`] when the engine could not be reached or refused (also because of an old fencing number), or the
/// response was lost.
pub fn order(
    address: &str,
    order: &EngineOrder,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<OrderReply, EngineError> {
    let post = with_json_body(request(Method::Post, address, "/v1/orders", deadline, now), order);
    call(post, address)
}

/// Exports the KV cache of a request.
///
/// # Errors
/// [`EngineError`] when the engine could not be reached or refused, or the response was lost.
pub fn export_kv(
    address: &str,
    request_id: &str,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<KvExportReply, EngineError> {
    let path = format!("/v1/kv?request_id={request_id}");
    call(request(Method::Get, address, &path, deadline, now), address)
}

/// Imports the KV cache of a request.
///
/// # Errors
/// [`EngineError`] when the engine could not be reached or refused, or the response was lost.
pub fn import_kv(
    address: &str,
    state: &KvExportReply,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<(), EngineError> {
    let put = with_json_body(request(Method::Put, address, "/v1/kv", deadline, now), state);
    call::<Value>(put, address).map(|_| ())
}

fn start_probe(address: &str, wait_ms: u64) -> flume::Receiver<Probe> {
    let (sender, receiver) = flume::bounded(1);
    let address = address.to_string();
    let spawned = thread::Builder::new().name("engine-probe".into()).spawn(move || {
        let result = match load(&address, UnixMs(wait_ms), UnixMs(0)) {
            Ok(_) => Probe::Answered,
            Err(EngineError::TimedOut { .. }) => Probe::Silent,
            Err(_) => Probe::Dead,
        };
        // The receiver is dropped when `probe` timed out.
        let _ = sender.send(result);
    });
    if let Err(error) = spawned {
        tracing::warn!(%error, "engine probe not sent: thread cannot be started");
    }
    receiver
}

fn with_json_body<T: Serialize>(request: Request, body: &T) -> Request {
    // Serialisation cannot fail: maps of the generated types have only string keys.
    let body = serde_json::to_vec(body).unwrap_or_default();
    request.with_header("Content-Type", "application/json").with_body(body)
}
