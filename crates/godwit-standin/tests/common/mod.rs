//! HTTP client, requests and settings that the tests share.
#![allow(dead_code)]

use std::io::BufRead;
use std::net::SocketAddr;

use godwit_schema::engine::{
    GenerateEvent, GenerateEventKind, GenerateRequest, JournalAction, JournalEntry,
};
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of a call, so that a call that hangs fails its test.
pub(crate) const CALL_TIMEOUT_S: u64 = 20;

/// Status and body of a complete response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Response {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("response body is JSON of the expected type")
    }
}

/// Sends a call; returns `None` if the connection closed before the response was complete.
pub(crate) fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Option<Response> {
    let method = minreq::Method::Custom(method.to_string());
    let request = minreq::Request::new(method, format!("http://{address}{path}"));
    complete_response(request.with_body(serde_json::to_vec(body).expect("body serialises")))
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Option<Response> {
    complete_response(minreq::get(format!("http://{address}{path}")))
}

/// Sends a request; returns `None` if the response is missing or truncated. The check of `Content-Length` is needed
/// because minreq reports a connection closed without a response as status 503, and a truncated body as complete.
fn complete_response(request: minreq::Request) -> Option<Response> {
    let response = request.with_timeout(CALL_TIMEOUT_S).send().ok()?;
    let length = response.headers.iter().find(|header| header.0 == "content-length")?;
    let length_bytes: usize = length.1.parse().ok()?;
    let received = Response { status: response.status_code, body: response.into_bytes() };
    (received.body.len() == length_bytes).then_some(received)
}

/// Events of a stream that was read to its end.
pub(crate) struct Stream {
    pub(crate) events: Vec<GenerateEvent>,
}

impl Stream {
    pub(crate) fn tokens(&self) -> Vec<String> {
        self.events.iter().filter_map(|event| event.token.clone()).collect()
    }

    /// Whether the stream ended with the event `Done`.
    pub(crate) fn is_complete(&self) -> bool {
        self.events.last().is_some_and(|event| event.kind == GenerateEventKind::Done)
    }
}

/// Sends a generate request and reads the stream to its end.
pub(crate) fn generate(address: SocketAddr, request: &GenerateRequest) -> Stream {
    let mut events = Vec::new();
    let response = minreq::post(format!("http://{address}/v1/generate"))
        .with_body(serde_json::to_vec(request).expect("request serialises"))
        .with_timeout(CALL_TIMEOUT_S)
        .send_lazy();
    let Ok(response) = response else { return Stream { events } };
    for line in std::io::BufReader::new(response).lines() {
        let Ok(line) = line else { return Stream { events } };
        events.push(serde_json::from_str(&line).expect("line is a generate event"));
    }
    Stream { events }
}

pub(crate) fn request(request_id: &str, prompt: &str, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        request_id: request_id.to_string(),
        idempotency_key: None,
        model: "barley".to_string(),
        adapter: None,
        prompt: prompt.to_string(),
        max_tokens,
        priority: 0,
        attempt: 1,
        first_position: 0,
        accepted_tokens: Vec::new(),
        stages: Vec::new(),
    }
}

pub(crate) fn loopback_any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address parses")
}

/// Settings of a fast engine that has loaded the layers `[layer_from, layer_to)` of 8.
pub(crate) fn engine_settings(name: &str, layer_from: u32, layer_to: u32) -> EngineSettings {
    let mut settings = EngineSettings::new(loopback_any_port(), name);
    settings.models = vec![LoadedModel::range("barley", layer_from, layer_to, 8)];
    settings.tokens_per_s = 2_000.0;
    settings.prefill_tokens_per_s = 1_000_000.0;
    settings
}

pub(crate) fn start_engine(name: &str, layer_from: u32, layer_to: u32) -> EngineStandin {
    EngineStandin::start(engine_settings(name, layer_from, layer_to)).expect("engine starts")
}

pub(crate) fn positions(journal: &[JournalEntry], action: JournalAction) -> Vec<u32> {
    journal.iter().filter(|entry| entry.action == action).filter_map(|e| e.position).collect()
}
