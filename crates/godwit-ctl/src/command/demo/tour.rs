//! The tour: example requests of each kind, each checked against the expected result.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use godwit_core::Code;
use godwit_schema::engine::{JournalAction, JournalEntry};
use godwit_standin::expected_tokens;
use serde_json::json;

use super::request::{DemoRequest, DemoResponse, send};
use crate::error::CtlError;
use crate::site::{Names, Site};

struct TourStep<'a> {
    name: &'static str,
    host: SocketAddr,
    request: DemoRequest<'a>,
    expected: Code,
}

/// Sends the requests of the tour and prints the result of each.
///
/// # Errors
/// When a request cannot be sent, or a result is not as expected.
pub(super) fn run(site: &Site) -> Result<(), CtlError> {
    let hosts = site.caller_addresses();
    let host = |index: usize| hosts[index % hosts.len()];
    let mut unexpected = Vec::new();
    for step in steps(&host) {
        let answer = send(step.host, &step.request)?;
        let is_as_expected =
            answer.code == step.expected.number() && has_expected_text(&step, &answer);
        print(site, &step, &answer, is_as_expected);
        if !is_as_expected {
            unexpected.push(step.name);
        }
    }
    let runs =
        site.service.journal().iter().filter(|entry| entry.action == JournalAction::Call).count();
    println!("check=service_runs expected=1 seen={runs}");
    if runs != 1 {
        unexpected.push("service_runs");
    }
    if unexpected.is_empty() {
        println!("tour=done");
        return Ok(());
    }
    Err(CtlError::Failed(format!("unexpected results: {}", unexpected.join(", "))))
}

fn steps<'a>(host: &impl Fn(usize) -> SocketAddr) -> Vec<TourStep<'a>> {
    let once = DemoRequest {
        path: "/services/orders/confirmations",
        event: Some(Names::EVENT),
        idempotency_key: Some("order-17"),
        body: json!({"order": 17}),
        ..DemoRequest::chat("", Names::KIND_ONCE, "", false)
    };
    let other_body = DemoRequest { body: json!({"order": 18}), ..once.clone() };
    let no_key = DemoRequest { idempotency_key: None, ..once.clone() };
    let model =
        |kind, is_stream| DemoRequest::chat(Names::MODEL, kind, "When can I collect?", is_stream);
    let split =
        DemoRequest::chat(Names::SPLIT_MODEL, Names::KIND, "Write the weekly produce note.", true);
    let late = DemoRequest { deadline_unix_ms: Some(1), ..model(Names::KIND, false) };
    let stranger = DemoRequest { key: "nobody", ..model(Names::KIND, false) };
    let step =
        |name, index, request, expected| TourStep { name, host: host(index), request, expected };
    vec![
        step("chat", 0, model(Names::KIND, false), Code::Ok),
        step("chat_streamed", 1, model(Names::KIND, true), Code::Streaming),
        step("lookup", 2, model(Names::KIND_LOOKUP, false), Code::Ok),
        step("split_streamed", 0, split, Code::Streaming),
        step("order_once", 0, once.clone(), Code::Ok),
        step("order_again_elsewhere", 1, once, Code::StoredAnswer),
        step("order_other_body", 2, other_body, Code::KeyReused),
        step("order_without_key", 2, no_key, Code::IdempotencyKeyRequired),
        step("deadline_past", 1, late, Code::DeadlinePassed),
        step("unknown_key", 2, stranger, Code::UnknownKey),
    ]
}

/// Whether the response to a model request contains every token that the model generates, in order; true for all other
/// requests.
fn has_expected_text(step: &TourStep<'_>, answer: &DemoResponse) -> bool {
    let Some(model) = step.request.body.get("model").and_then(|model| model.as_str()) else {
        return true;
    };
    if step.expected != Code::Ok && step.expected != Code::Streaming {
        return true;
    }
    let prompt = step.request.body["messages"][0]["content"].as_str().unwrap_or_default();
    let expected = expected_tokens(model, &format!("user: {prompt}\n"), 24).concat();
    text_of(answer) == expected
}

fn text_of(answer: &DemoResponse) -> String {
    let lines = answer.body.lines().filter_map(|line| line.strip_prefix("data: "));
    let contents = lines.filter_map(|line| {
        let event: serde_json::Value = serde_json::from_str(line).ok()?;
        Some(event["choices"][0]["delta"]["content"].as_str()?.to_string())
    });
    let streamed: String = contents.collect();
    if !streamed.is_empty() {
        return streamed;
    }
    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
    body["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_string()
}

fn print(site: &Site, step: &TourStep<'_>, answer: &DemoResponse, is_as_expected: bool) {
    println!(
        "request={} host={} status={} code={} verdict={} first_byte_ms={} whole_ms={} ran_on={} as_told={is_as_expected}",
        step.name,
        step.host,
        answer.status,
        answer.code,
        answer.verdict,
        answer.first_byte_ms,
        answer.whole_ms,
        servers_that_ran(site, &answer.request_id)
    );
}

fn servers_that_ran(site: &Site, request_id: &str) -> String {
    let ran = |entry: &JournalEntry| {
        let is_run = matches!(
            entry.action,
            JournalAction::Token | JournalAction::Step | JournalAction::Call
        );
        is_run && entry.request_id.as_deref() == Some(request_id)
    };
    let mut servers = BTreeSet::new();
    for (name, engine) in &site.engines {
        if let Some(entry) = engine.standin.journal().iter().find(|entry| ran(entry)) {
            let layers: Vec<String> = entry.layers.iter().map(u32::to_string).collect();
            servers.insert(format!("{name}[{}]", layers.join("..")));
        }
    }
    if site.service.journal().iter().any(ran) {
        servers.insert("orders-1".to_string());
    }
    if servers.is_empty() {
        "-".to_string()
    } else {
        servers.into_iter().collect::<Vec<_>>().join("+")
    }
}
