//! Tests that each kind of bad input gets its own code and never reaches a backend server.

use crate::support::{Transcript, request, small_site};
use godwit_ctl::site::{Names, Site, WORKSPACE_KEY};
use godwit_schema::engine::{JournalAction, JournalEntry};

const CHAT: &str = "/v1/chat/completions";

/// Counts the journal entries that show that a server ran a request or a part of it.
fn run_count(entries: &[JournalEntry]) -> usize {
    let is_run = |entry: &&JournalEntry| {
        matches!(
            entry.action,
            JournalAction::Accepted
                | JournalAction::Token
                | JournalAction::Step
                | JournalAction::Call
        )
    };
    entries.iter().filter(is_run).count()
}

fn site_run_count(site: &Site) -> usize {
    let engines = site.engines.values().map(|engine| run_count(&engine.standin.journal()));
    engines.sum::<usize>() + run_count(&site.service.journal())
}

fn chat_request(body: &str) -> String {
    request("POST", CHAT, &[("Godwit-Kind", Names::KIND)], body)
}

fn raw_service_request(head: &str, rest: &str) -> String {
    format!(
        "POST /services/orders/x HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\
         Authorization: Bearer {WORKSPACE_KEY}\r\nGodwit-Kind: {}\r\n{head}\r\n\r\n{rest}",
        Names::KIND
    )
}

#[test]
fn bad_input_every_code() {
    let site = small_site();
    let mut transcript = Transcript::default();
    let good = r#"{"model":"assistant-small","messages":[{"role":"user","content":"x"}]}"#;
    let long = format!("{{\"model\":\"{}\",\"prompt\":\"{}\"}}", Names::MODEL, "x".repeat(600_000));
    let over_long = request("POST", "/v1/completions", &[("Godwit-Kind", Names::KIND)], &long);
    let cases = [
        ("no key", chat_request(good).replace("Authorization", "X-Other")),
        ("unknown key", chat_request(good).replace(WORKSPACE_KEY, "nobody")),
        ("no kind", request("POST", CHAT, &[], good)),
        ("unknown kind", request("POST", CHAT, &[("Godwit-Kind", "x")], good)),
        (
            "unknown event",
            request("POST", CHAT, &[("Godwit-Kind", "note"), ("Godwit-Event", "x")], good),
        ),
        ("unknown model", chat_request(&good.replace("assistant-small", "x"))),
        ("unknown adapter", chat_request(&good.replace("assistant-small", "assistant-small:x"))),
        ("malformed JSON", chat_request("{\"model\":")),
        ("no messages", chat_request(r#"{"model":"assistant-small","messages":[]}"#)),
        (
            "no tokens wanted",
            chat_request(&good.replace("\"model\"", "\"max_tokens\":0,\"model\"")),
        ),
        (
            "deadline not a number",
            request("POST", CHAT, &[("Godwit-Kind", "note"), ("Godwit-Deadline-Ms", "soon")], good),
        ),
        (
            "non-idempotent without key",
            request("POST", CHAT, &[("Godwit-Kind", "confirmation")], good),
        ),
        (
            "non-idempotent without event",
            request(
                "POST",
                CHAT,
                &[("Godwit-Kind", "confirmation"), ("Idempotency-Key", "k")],
                good,
            ),
        ),
        ("unknown path", request("POST", "/v2/x", &[("Godwit-Kind", "note")], good)),
        ("wrong method", request("GET", CHAT, &[("Godwit-Kind", "note")], "")),
        ("unknown service", request("POST", "/services/x/y", &[("Godwit-Kind", "note")], "")),
        ("kind given twice", chat_request(good).replace("Host:", "Godwit-Kind: lookup\r\nHost:")),
        ("two lengths", raw_service_request("Content-Length: 2\r\nContent-Length: 4", "abcd")),
        (
            "length and chunks",
            raw_service_request("Content-Length: 4\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        ),
        ("length not a number", raw_service_request("Content-Length: +4", "abcd")),
        ("short body", raw_service_request("Content-Length: 40", "abcd")),
        (
            "broken chunk",
            raw_service_request("Transfer-Encoding: chunked", "zz\r\nabcd\r\n0\r\n\r\n"),
        ),
        ("cut chunk", raw_service_request("Transfer-Encoding: chunked", "8\r\nabcd")),
        (
            "cut chunk of JSON",
            request("POST", CHAT, &[], good)
                .replace(
                    &format!("Content-Length: {}\r\n\r\n{good}", good.len()),
                    &format!("Godwit-Kind: note\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n{good}"),
                )
                .replace("]}", ""),
        ),
        ("body too long", raw_service_request("Content-Length: 9000000", "")),
    ];
    for (name, text) in &cases {
        transcript.exchange(&site, name, text);
        assert_eq!(site_run_count(&site), 0, "{name}");
    }
    let answer = crate::support::raw_exchange(site.caller_addresses()[0], over_long.as_bytes());
    assert!(answer.contains("Godwit-Code: 2010"), "{}", &answer[..200.min(answer.len())]);
    assert_eq!(site_run_count(&site), 0);
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn bad_input_long_header() {
    let site = small_site();
    let good = r#"{"model":"assistant-small","messages":[{"role":"user","content":"x"}]}"#;
    let long = format!("X-Long: {}\r\nHost:", "x".repeat(20_000));
    let text = chat_request(good).replace("Host:", &long);
    let answer = crate::support::raw_exchange(site.caller_addresses()[0], text.as_bytes());
    assert!(answer.contains("Godwit-Code: 2009"), "{answer}");
    assert_eq!(site_run_count(&site), 0);
}
