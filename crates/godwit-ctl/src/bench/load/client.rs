//! Sends a request of the load bench and reads the response.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::Instant;

use godwit_core::{Code, Verdict};
use godwit_host::{Clock, SystemClock};
use serde_json::{Value, json};

use super::outcome::{Ending, Outcome};
use super::schedule::PlannedRequest;
use crate::site::Names;

/// Time after the deadline of a request until the client stops waiting for the response.
const TIMEOUT_GRACE_S: u64 = 5;
const MS_PER_S: u64 = 1_000;
const EVENT_PREFIX: &str = "data: ";
const END_EVENT: &str = "[DONE]";

/// Client that sends a request to a host on behalf of a workspace.
#[derive(Clone, Debug)]
pub(super) struct Client {
    pub(super) address: SocketAddr,
    pub(super) key: String,
    /// Prefix that makes idempotency keys differ between runs.
    pub(super) run_id: String,
    /// Start of the run.
    pub(super) started: Instant,
}

/// Received part of a response.
#[derive(Default)]
struct ReceivedResponse {
    first_byte_at_us: Option<u64>,
    token_at_us: Vec<u64>,
    text: String,
    code: Option<u16>,
    is_complete: bool,
}

impl Client {
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Sends a request and reads the response to its end.
    pub(super) fn send(&self, planned: &PlannedRequest) -> Outcome {
        let sent_at_us = self.now_us();
        let mut outcome = Outcome {
            class: planned.class,
            workspace: planned.workspace,
            requested_tokens: planned.answer.len() as u32,
            planned_at_us: planned.at_us,
            sent_at_us,
            first_byte_at_us: None,
            token_at_us: Vec::new(),
            request_id: String::new(),
            code: 0,
            ending: Ending::NoAnswer,
        };
        let Ok(response) = self.request(planned).send_lazy() else { return outcome };
        let header = |name: &str| {
            let found = response.headers.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        outcome.request_id = header("godwit-request-id");
        let Ok(code) = header("godwit-code").parse() else { return outcome };
        let received = if code == Code::Streaming.number() {
            self.read_stream(response)
        } else {
            self.read_body(response, code, planned)
        };
        outcome.first_byte_at_us = received.first_byte_at_us;
        outcome.code = received.code.unwrap_or(code);
        let deadline_us = planned.class.deadline_ms() * 1_000;
        let is_in_time = self.now_us() - sent_at_us <= deadline_us;
        outcome.ending = ending(&received, outcome.code, planned, is_in_time);
        outcome.token_at_us = received.token_at_us;
        outcome
    }

    fn request(&self, planned: &PlannedRequest) -> minreq::Request {
        let class = planned.class;
        let deadline = SystemClock.now().plus_ms(class.deadline_ms());
        let url = |path: &str| format!("http://{}{path}", self.address);
        let request = if class.max_tokens() == 0 {
            minreq::get(url(&format!("/services/{}/pages/{}", Names::SERVICE, planned.number)))
        } else {
            let body = json!({
                "model": Names::MODEL,
                "prompt": planned.prompt,
                "max_tokens": class.max_tokens(),
                "stream": class.is_streamed(),
            });
            minreq::post(url("/v1/completions")).with_body(body.to_string())
        };
        request
            .with_timeout(class.deadline_ms() / MS_PER_S + TIMEOUT_GRACE_S)
            .with_header("Connection", "close")
            .with_header("Content-Type", "application/json")
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_header("Godwit-Kind", class.kind())
            .with_header("Godwit-Event", Names::EVENT)
            .with_header("Godwit-Deadline-Ms", deadline.0.to_string())
            .with_header("Idempotency-Key", format!("{}-{}", self.run_id, planned.number))
    }

    fn read_stream(&self, response: minreq::ResponseLazy) -> ReceivedResponse {
        let mut received = ReceivedResponse::default();
        for line in BufReader::new(response).lines() {
            let Ok(line) = line else { break };
            let Some(event) = line.strip_prefix(EVENT_PREFIX) else { continue };
            received.first_byte_at_us.get_or_insert(self.now_us());
            if event == END_EVENT {
                received.is_complete = true;
                break;
            }
            self.record_event(event, &mut received);
        }
        received
    }

    fn record_event(&self, event: &str, received: &mut ReceivedResponse) {
        let Ok(event) = serde_json::from_str::<Value>(event) else { return };
        let number = |value: &Value| value.as_u64().and_then(|code| u16::try_from(code).ok());
        if let Some(error) = event.get("error") {
            received.code = number(&error["code"]);
            return;
        }
        if let Some(code) = number(&event["godwit_code"]) {
            received.code = Some(code);
            return;
        }
        if let Some(text) = event["choices"][0]["text"].as_str() {
            received.token_at_us.push(self.now_us());
            received.text.push_str(text);
        }
    }

    fn read_body(
        &self,
        mut response: minreq::ResponseLazy,
        code: u16,
        planned: &PlannedRequest,
    ) -> ReceivedResponse {
        let mut received = ReceivedResponse::default();
        let mut body = Vec::new();
        let is_body_read = response.read_to_end(&mut body).is_ok();
        let now_us = self.now_us();
        received.first_byte_at_us = Some(now_us);
        let is_ok = Code::from_number(code).is_some_and(|code| code.verdict() == Verdict::Ran);
        if !is_body_read || !is_ok {
            return received;
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        received.is_complete = body.is_object();
        if let Some(text) = body["choices"][0]["text"].as_str() {
            received.text = text.to_string();
            received.token_at_us = vec![now_us; planned.answer.len()];
        }
        received
    }
}

fn ending(
    received: &ReceivedResponse,
    code: u16,
    planned: &PlannedRequest,
    is_in_time: bool,
) -> Ending {
    let code = Code::from_number(code);
    if code.is_some_and(|code| code.verdict() == Verdict::NotRun) {
        return Ending::Refused;
    }
    if !matches!(code, Some(Code::Ok | Code::StoredAnswer)) || !received.is_complete {
        return Ending::Incomplete;
    }
    if received.text != planned.answer.concat() {
        return Ending::Wrong;
    }
    if is_in_time { Ending::InTime } else { Ending::Late }
}
