//! Snapshots of whole sessions with a site over real sockets.

use crate::support::{Transcript, request, small_site};
use godwit_core::config::workspace_object;
use godwit_ctl::site::{Names, Site};
use godwit_schema::config::{Refuse, Rule, When, Workspace};
use godwit_schema::engine::{JournalAction, JournalEntry};
use serde_json::json;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn chat_body(model: &str, prompt: &str, is_stream: bool) -> String {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"model": model, "messages": messages, "stream": is_stream, "max_tokens": 6}).to_string()
}

fn note_request(body: &str) -> String {
    request("POST", "/v1/chat/completions", &[("Godwit-Kind", Names::KIND)], body)
}

#[test]
fn session_streamed() {
    let site = small_site();
    let mut transcript = Transcript::default();
    transcript.exchange(&site, "whole", &note_request(&chat_body(Names::MODEL, "slots?", false)));
    transcript.exchange(&site, "streamed", &note_request(&chat_body(Names::MODEL, "slots?", true)));
    let completion =
        json!({"model": Names::MODEL, "prompt": "slots?", "stream": true, "max_tokens": 3});
    let kind = [("Godwit-Kind", Names::KIND_LOOKUP)];
    let completion = request("POST", "/v1/completions", &kind, &completion.to_string());
    transcript.exchange(&site, "completion streamed", &completion);
    transcript.exchange(&site, "models", &request("GET", "/v1/models", &[], ""));
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn session_split_model() {
    let site = small_site();
    let mut transcript = Transcript::default();
    let body = chat_body(Names::SPLIT_MODEL, "the weekly note", true);
    transcript.exchange(&site, "split", &note_request(&body));
    transcript.journal("stage-1", &journal_with_done(&site, "stage-1"));
    transcript.journal("stage-2", &site.engines["stage-2"].standin.journal());
    insta::assert_snapshot!(transcript.text());
}

/// Returns the journal of an engine once it has the end of a run, which the engine notes after it has sent the end.
fn journal_with_done(site: &Site, engine: &str) -> Vec<JournalEntry> {
    for _ in 0..1_000 {
        let journal = site.engines[engine].standin.journal();
        if journal.iter().any(|entry| entry.action == JournalAction::Done) {
            return journal;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("the run at {engine} does not end");
}

fn order_request(key: &str, body: &str) -> String {
    let headers = [
        ("Godwit-Kind", Names::KIND_ONCE),
        ("Godwit-Event", Names::EVENT),
        ("Idempotency-Key", key),
        ("Content-Type", "application/json"),
    ];
    request("POST", "/services/orders/confirmations?shop=7", &headers, body)
}

#[test]
fn session_plain_service() {
    let site = small_site();
    let mut transcript = Transcript::default();
    transcript.exchange(&site, "order", &order_request("order-1", r#"{"crate":1}"#));
    transcript.exchange(&site, "same order again", &order_request("order-1", r#"{"crate":1}"#));
    transcript.exchange(&site, "same key, other body", &order_request("order-1", r#"{"crate":2}"#));
    transcript.exchange(&site, "other order", &order_request("order-2", r#"{"crate":2}"#));
    transcript.journal("orders-1", &site.service.journal());
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn session_model_once() {
    let site = small_site();
    let mut transcript = Transcript::default();
    let headers = [
        ("Godwit-Kind", Names::KIND_ONCE),
        ("Godwit-Event", Names::EVENT),
        ("Idempotency-Key", "answer-1"),
    ];
    let whole = chat_body(Names::MODEL, "confirm order 7", false);
    let first = request("POST", "/v1/chat/completions", &headers, &whole);
    transcript.exchange(&site, "first", &first);
    transcript.exchange(&site, "again", &first);
    transcript.journal("whole-1", &journal_with_done(&site, "whole-1"));
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn session_refused_late() {
    let site = small_site();
    let mut transcript = Transcript::default();
    let body = chat_body(Names::MODEL, "slots?", false);
    let past = [("Godwit-Kind", Names::KIND), ("Godwit-Deadline-Ms", "1")];
    let past = request("POST", "/v1/chat/completions", &past, &body);
    transcript.exchange(&site, "deadline in the past", &past);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let soon = (now.as_millis() + 300).to_string();
    let long = json!({"model": Names::MODEL, "prompt": "long", "max_tokens": 5_000}).to_string();
    let soon = [("Godwit-Kind", Names::KIND), ("Godwit-Deadline-Ms", soon.as_str())];
    let soon = request("POST", "/v1/completions", &soon, &long);
    transcript.exchange(&site, "cannot finish before its deadline", &soon);
    transcript.journal("whole-1", &site.engines["whole-1"].standin.journal());
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn session_rule_change() {
    let site = small_site();
    let mut transcript = Transcript::default();
    let note = note_request(&chat_body(Names::MODEL, "slots?", false));
    transcript.exchange(&site, "before", &note);
    refuse_notes(&site);
    transcript.remark("an operator puts a rule that refuses notes first");
    wait_for_refusal(&site, &note);
    transcript.exchange(&site, "after", &note);
    let lookup = [("Godwit-Kind", Names::KIND_LOOKUP)];
    let lookup =
        request("POST", "/v1/chat/completions", &lookup, &chat_body(Names::MODEL, "slots?", false));
    transcript.exchange(&site, "lookups go on", &lookup);
    insta::assert_snapshot!(transcript.text());
}

fn refuse_notes(site: &Site) {
    let platform = godwit_platform::Platform::new(
        &site.platform.address().to_string(),
        godwit_platform::PlatformSettings::default(),
    );
    let name = workspace_object(Names::WORKSPACE);
    let object = platform.read(&name).unwrap().unwrap();
    let mut workspace: Workspace = serde_json::from_value(object.value).unwrap();
    let when = When { kinds: vec![Names::KIND.to_string()], ..When::default() };
    let refuse = Refuse { reason: "the shop is closed".to_string() };
    let rule = Rule { name: "closed".to_string(), when, admit: None, refuse: Some(refuse) };
    workspace.rules.insert(0, rule);
    let value = serde_json::to_value(&workspace).unwrap();
    platform.write(&name, object.version, &value).unwrap();
}

/// Sends the request until the host refuses it by the new rule. The test fails if the host never does.
fn wait_for_refusal(site: &Site, note: &str) {
    let address = site.caller_addresses()[0];
    for _ in 0..1_000 {
        if crate::support::raw_exchange(address, note.as_bytes()).contains("Godwit-Code: 3000") {
            return;
        }
    }
    panic!("the host does not apply the new rule");
}
