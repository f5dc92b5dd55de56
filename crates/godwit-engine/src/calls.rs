//! Single calls of an engine.

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

/// Cancels the attempts of a request up to `attempt`.
///
/// # Errors
/// The engine could not be reached, refused, or its answer was lost.
pub fn cancel(
    address: &str,
    request_id: &str,
    attempt: u32,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<(), EngineError> {
    let body = CancelRequest { request_id: request_id.to_string(), attempt };
    let post = with_json(request(Method::Post, address, "/v1/cancel", deadline, now), &body);
    call::<Value>(post, address).map(|_| ())
}

/// The load report of an engine; it lags behind the facts.
///
/// # Errors
/// The engine could not be reached, refused, or its answer was lost.
pub fn load(address: &str, deadline: UnixMs, now: UnixMs) -> Result<LoadReport, EngineError> {
    call(request(Method::Get, address, "/v1/load", deadline, now), address)
}

/// What a probe shows of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// It answers.
    Answered,
    /// It takes no connection, or closes it without an answer.
    Dead,
    /// Nothing came in time.
    Silent,
}

/// Asks each engine for its load and waits at most `wait_ms`; all are asked at once, results in the order given.
///
/// ```
/// use godwit_engine::{Probe, probe};
/// assert_eq!(probe(&["127.0.0.1:1"], 1_000), [Probe::Dead]);
/// ```
pub fn probe(addresses: &[&str], wait_ms: u64) -> Vec<Probe> {
    let answers: Vec<_> = addresses.iter().map(|address| start_probe(address, wait_ms)).collect();
    let ends_at = Instant::now() + Duration::from_millis(wait_ms);
    answers.iter().map(|answer| answer.recv_deadline(ends_at).unwrap_or(Probe::Silent)).collect()
}

/// Cache events after `after`; they come late and with gaps.
///
/// # Errors
/// The engine could not be reached, refused, or its answer was lost.
pub fn cache_events(
    address: &str,
    after: u64,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<CacheEventsReply, EngineError> {
    let path = format!("/v1/cache-events?after={after}");
    call(request(Method::Get, address, &path, deadline, now), address)
}

/// Gives an order to an engine.
///
/// # Errors
/// The engine could not be reached, refused (also for an old fencing number), or its answer was lost.
pub fn order(
    address: &str,
    order: &EngineOrder,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<OrderReply, EngineError> {
    let post = with_json(request(Method::Post, address, "/v1/orders", deadline, now), order);
    call(post, address)
}

/// Exports the KV cache of a request.
///
/// # Errors
/// The engine could not be reached, refused, or its answer was lost.
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
/// The engine could not be reached, refused, or its answer was lost.
pub fn import_kv(
    address: &str,
    state: &KvExportReply,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<(), EngineError> {
    let put = with_json(request(Method::Put, address, "/v1/kv", deadline, now), state);
    call::<Value>(put, address).map(|_| ())
}

fn start_probe(address: &str, wait_ms: u64) -> flume::Receiver<Probe> {
    let (sender, answer) = flume::bounded(1);
    let address = address.to_string();
    let probing = thread::Builder::new().name("engine-probe".into()).spawn(move || {
        let result = match load(&address, UnixMs(wait_ms), UnixMs(0)) {
            Ok(_) => Probe::Answered,
            Err(EngineError::TimedOut { .. }) => Probe::Silent,
            Err(_) => Probe::Dead,
        };
        // The prober may have given up already.
        let _ = sender.send(result);
    });
    if let Err(error) = probing {
        tracing::warn!(%error, "probe not sent");
    }
    answer
}

fn with_json<T: Serialize>(request: Request, body: &T) -> Request {
    // Generated types have string keys only, so that they always serialise.
    let body = serde_json::to_vec(body).unwrap_or_default();
    request.with_header("Content-Type", "application/json").with_body(body)
}
