//! A few requests of each kind, and what became of each.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use godwit_core::Code;
use godwit_schema::engine::{JournalAction, JournalEntry};
use godwit_standin::expected_tokens;
use serde_json::json;

use super::request::{Answer, Sent, send};
use crate::error::CtlError;
use crate::site::{Names, Site};

struct Stop<'a> {
    name: &'static str,
    host: SocketAddr,
    sent: Sent<'a>,
    expected: Code,
}

/// Sends the tour's requests and prints what became of each.
pub(super) fn run(site: &Site) -> Result<(), CtlError> {
    let hosts = site.caller_addresses();
    let host = |index: usize| hosts[index % hosts.len()];
    let mut wrong = Vec::new();
    for stop in stops(&host) {
        let answer = send(stop.host, &stop.sent)?;
        let as_told = answer.code == stop.expected.number() && is_whole(&stop, &answer);
        print(site, &stop, &answer, as_told);
        if !as_told {
            wrong.push(stop.name);
        }
    }
    let runs = site.service.journal().iter().filter(|e| e.action == JournalAction::Call).count();
    println!("check=service_runs expected=1 seen={runs}");
    if runs != 1 {
        wrong.push("service_runs");
    }
    if wrong.is_empty() {
        println!("tour=done");
        return Ok(());
    }
    Err(CtlError::Failed(format!("not as told: {}", wrong.join(", "))))
}

fn stops<'a>(host: &impl Fn(usize) -> SocketAddr) -> Vec<Stop<'a>> {
    let once = Sent {
        path: "/services/orders/confirmations",
        event: Some(Names::EVENT),
        idempotency_key: Some("order-17"),
        body: json!({"order": 17}),
        ..Sent::chat("", Names::KIND_ONCE, "", false)
    };
    let other_body = Sent { body: json!({"order": 18}), ..once.clone() };
    let no_key = Sent { idempotency_key: None, ..once.clone() };
    let model = |kind, is_stream| Sent::chat(Names::MODEL, kind, "When can I collect?", is_stream);
    let split = Sent::chat(Names::SPLIT_MODEL, Names::KIND, "Write the weekly produce note.", true);
    let late = Sent { deadline_unix_ms: Some(1), ..model(Names::KIND, false) };
    let stranger = Sent { key: "nobody", ..model(Names::KIND, false) };
    let stop = |name, index, sent, expected| Stop { name, host: host(index), sent, expected };
    vec![
        stop("chat", 0, model(Names::KIND, false), Code::Ok),
        stop("chat_streamed", 1, model(Names::KIND, true), Code::Streaming),
        stop("lookup", 2, model(Names::KIND_LOOKUP, false), Code::Ok),
        stop("split_streamed", 0, split, Code::Streaming),
        stop("order_once", 0, once.clone(), Code::Ok),
        stop("order_again_elsewhere", 1, once, Code::StoredAnswer),
        stop("order_other_body", 2, other_body, Code::KeyReused),
        stop("order_without_key", 2, no_key, Code::IdempotencyKeyRequired),
        stop("deadline_past", 1, late, Code::DeadlinePassed),
        stop("unknown_key", 2, stranger, Code::UnknownKey),
    ]
}

/// Whether a streamed answer holds every token that the model gives, in order.
fn is_whole(stop: &Stop<'_>, answer: &Answer) -> bool {
    let Some(model) = stop.sent.body.get("model").and_then(|model| model.as_str()) else {
        return true;
    };
    if stop.expected != Code::Ok && stop.expected != Code::Streaming {
        return true;
    }
    let prompt = stop.sent.body["messages"][0]["content"].as_str().unwrap_or_default();
    let expected = expected_tokens(model, &format!("user: {prompt}\n"), 24).concat();
    text_of(answer) == expected
}

fn text_of(answer: &Answer) -> String {
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

fn print(site: &Site, stop: &Stop<'_>, answer: &Answer, as_told: bool) {
    println!(
        "request={} host={} status={} code={} verdict={} first_byte_ms={} whole_ms={} ran_on={} as_told={as_told}",
        stop.name,
        stop.host,
        answer.status,
        answer.code,
        answer.verdict,
        answer.first_byte_ms,
        answer.whole_ms,
        ran_on(site, &answer.request_id)
    );
}

fn ran_on(site: &Site, request_id: &str) -> String {
    let ran = |entry: &JournalEntry| {
        let is_run = matches!(
            entry.action,
            JournalAction::Token | JournalAction::Step | JournalAction::Call
        );
        is_run && entry.request_id.as_deref() == Some(request_id)
    };
    let mut places = BTreeSet::new();
    for (name, unit) in &site.engines {
        if let Some(entry) = unit.standin.journal().iter().find(|entry| ran(entry)) {
            let layers: Vec<String> = entry.layers.iter().map(u32::to_string).collect();
            places.insert(format!("{name}[{}]", layers.join("..")));
        }
    }
    if site.service.journal().iter().any(ran) {
        places.insert("orders-1".to_string());
    }
    if places.is_empty() {
        "-".to_string()
    } else {
        places.into_iter().collect::<Vec<_>>().join("+")
    }
}
