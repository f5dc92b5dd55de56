//! Small HTTP client of the tests.
#![allow(dead_code)]

use std::io::BufRead;
use std::net::SocketAddr;

use godwit_schema::engine::{
    GenerateEvent, GenerateEventKind, GenerateRequest, JournalAction, JournalEntry,
};
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Seconds after which a call that hangs fails its test.
pub(crate) const TIMEOUT_S: u64 = 20;

/// Status and body of an answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("answer is JSON of the type")
    }
}

/// Sends a call; none when the connection ended without a whole answer.
pub(crate) fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Option<Answer> {
    let method = minreq::Method::Custom(method.to_string());
    let request = minreq::Request::new(method, format!("http://{address}{path}"));
    whole_answer(request.with_body(serde_json::to_vec(body).expect("body serialises")))
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    whole_answer(minreq::get(format!("http://{address}{path}")))
}

/// minreq gives a connection closed without an answer as status 503, and a body that was cut as whole.
fn whole_answer(request: minreq::Request) -> Option<Answer> {
    let response = request.with_timeout(TIMEOUT_S).send().ok()?;
    let length = response.headers.iter().find(|header| header.0 == "content-length")?;
    let length_bytes: usize = length.1.parse().ok()?;
    let answer = Answer { status: response.status_code, body: response.into_bytes() };
    (answer.body.len() == length_bytes).then_some(answer)
}

/// Lines of a stream that was read to its end.
pub(crate) struct Stream {
    pub(crate) events: Vec<GenerateEvent>,
}

impl Stream {
    pub(crate) fn text(&self) -> Vec<String> {
        self.events.iter().filter_map(|event| event.token.clone()).collect()
    }

    /// Whether the engine told that the answer is whole.
    pub(crate) fn is_whole(&self) -> bool {
        self.events.last().is_some_and(|event| event.kind == GenerateEventKind::Done)
    }
}

/// Sends a request for an answer and reads the stream to its end.
pub(crate) fn generate(address: SocketAddr, request: &GenerateRequest) -> Stream {
    let mut events = Vec::new();
    let response = minreq::post(format!("http://{address}/v1/generate"))
        .with_body(serde_json::to_vec(request).expect("request serialises"))
        .with_timeout(TIMEOUT_S)
        .send_lazy();
    let Ok(response) = response else { return Stream { events } };
    for line in std::io::BufReader::new(response).lines() {
        let Ok(line) = line else { return Stream { events } };
        events.push(serde_json::from_str(&line).expect("line is an event"));
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

pub(crate) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address parses")
}

/// Settings of a fast engine that holds `[layer_from, layer_to)` of 8 layers.
pub(crate) fn engine_settings(name: &str, layer_from: u32, layer_to: u32) -> EngineSettings {
    let mut settings = EngineSettings::new(any_port(), name);
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
