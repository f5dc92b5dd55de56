//! Calls of plain services.

use std::io::Write;
use std::net::TcpStream;

use serde_json::json;

use crate::host::{HOST_NAME, Host, KEY, configuration, read_rest};
use crate::http::STEP_TIMEOUT;
use crate::server::{Manner, Server};
use crate::store::Store;

fn host_before(servers: &[&Server]) -> Host {
    let entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry("api", None))).collect();
    Host::start(&entries)
}

#[test]
fn call_is_answered_unchanged() {
    let server = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&server]);
    let answer = host.call("POST", "/order/7?x=1", b"two crates").expect("answered");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "s-1"));
    assert_eq!(answer.header("godwitdeal-response-stamp"), Some("s-1"));
    let seen = &server.requests()[0];
    assert_eq!(seen.line, "POST /order/7?x=1 HTTP/1.1");
    assert_eq!(seen.body, b"two crates");
    assert_eq!(seen.header("godwitdeal-target-instance"), Some("s-1"));
}

#[test]
fn call_carries_the_workspace_and_not_the_key() {
    let server = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&server]);
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("godwitdeal-tenant", "forged")];
    host.call_with("GET", "/read/1", &headers, b"").expect("answered");
    let seen = &server.requests()[0];
    assert_eq!(seen.header("godwitdeal-tenant"), Some("farm"));
    assert_eq!(seen.header("authorization"), None);
    let left_ms: u64 =
        seen.header("godwitdeal-deadline-ms").expect("is set").parse().expect("a number");
    assert!(left_ms <= 3_000, "no more than the route's time: {left_ms}");
}

#[test]
fn call_with_an_unknown_key_or_route_is_rejected() {
    let server = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&server]);
    let unknown = host.call_with("GET", "/read/1", &[("authorization", "Bearer x")], b"");
    assert_eq!(unknown.expect("answered").status(), 401);
    assert_eq!(host.call("GET", "/nowhere", b"").expect("answered").status(), 404);
    assert!(server.requests().is_empty());
}

#[test]
fn call_with_a_long_body_is_rejected() {
    let server = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&server]);
    assert_eq!(host.call("POST", "/order/1", &[b'x'; 1001]).expect("answered").status(), 413);
    assert!(server.requests().is_empty());
}

#[test]
fn call_that_a_full_server_did_not_run_goes_to_another() {
    let full = Server::start("s-1", &[Manner::Full]);
    let free = Server::start("s-2", &[Manner::Answer]);
    let host = host_before(&[&full, &free]);
    for _ in 0..4 {
        assert_eq!(host.call("POST", "/order/1", b"").expect("answered").text(), "s-2");
    }
}

#[test]
fn call_refused_by_all_servers_is_told_as_not_run() {
    let full = Server::start("s-1", &[Manner::Full]);
    let host = host_before(&[&full]);
    let answer = host.call("POST", "/order/1", b"").expect("answered");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(answer.header("godwitdeal-response-stamp"), None);
}

#[test]
fn non_idempotent_call_without_an_answer_is_never_run_again() {
    let broken = Server::start("s-1", &[Manner::CloseUnanswered]);
    let other = Server::start("s-2", &[Manner::CloseUnanswered]);
    let host = host_before(&[&broken, &other]);
    assert_eq!(host.call("POST", "/order/1", b"").expect("answered").status(), 502);
    assert_eq!(broken.requests().len() + other.requests().len(), 1);
}

#[test]
fn idempotent_call_without_an_answer_runs_at_another_server() {
    let broken = Server::start("s-1", &[Manner::CloseUnanswered]);
    let other = Server::start("s-2", &[Manner::Answer]);
    let host = host_before(&[&broken, &other]);
    for _ in 0..3 {
        assert_eq!(host.call("GET", "/read/1", b"").expect("answered").text(), "s-2");
    }
}

#[test]
fn idempotent_call_that_a_server_fails_runs_at_another() {
    let failing = Server::start("s-1", &[Manner::Status(500)]);
    let other = Server::start("s-2", &[Manner::Answer]);
    let host = host_before(&[&failing, &other]);
    for _ in 0..3 {
        assert_eq!(host.call("GET", "/read/1", b"").expect("answered").text(), "s-2");
    }
}

#[test]
fn non_idempotent_failure_of_a_server_is_passed_on() {
    let failing = Server::start("s-1", &[Manner::Status(500)]);
    let host = host_before(&[&failing]);
    let answer = host.call("POST", "/order/1", b"").expect("answered");
    assert_eq!((answer.status(), answer.header("godwitdeal-response-stamp")), (500, Some("s-1")));
    assert_eq!(failing.requests().len(), 1);
}

#[test]
fn answer_to_another_request_is_skipped() {
    let server = Server::start("s-1", &[Manner::StrayFirst, Manner::Answer]);
    let host = host_before(&[&server]);
    for _ in 0..2 {
        assert_eq!(host.call("POST", "/order/1", b"").expect("answered").text(), "s-1");
    }
}

#[test]
fn answer_cut_short_is_not_passed_on_as_whole() {
    let server = Server::start("s-1", &[Manner::CutBody]);
    let host = host_before(&[&server]);
    let answer = host.call("POST", "/order/1", b"").expect("answered");
    assert_eq!((answer.status(), answer.header("godwitdeal-response-stamp")), (502, None));
}

#[test]
fn conflicting_lengths_are_refused() {
    let server = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&server]);
    let mut stream = TcpStream::connect(host.callers()).expect("connected");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("can be set");
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nhost: {HOST_NAME}\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 4\r\ncontent-length: 40\r\n\r\nsmug"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let rest = read_rest(&mut stream);
    assert!(!rest.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&rest));
    assert!(server.requests().is_empty());
}

#[test]
fn draining_server_gets_no_new_calls() {
    let leaving = Server::start("s-1", &[Manner::Answer]);
    let staying = Server::start("s-2", &[Manner::Answer]);
    let host = host_before(&[&leaving, &staying]);
    let mut entry = leaving.entry("api", None);
    entry["State"] = json!("draining");
    host.store.put("servers", "s-1", entry);
    host.store.put("servers", "s-3", json!("an entry of another writer"));
    let mut in_row = 0;
    host.wait_for("the drain", || {
        let is_other = host.call("GET", "/read/1", b"").expect("answered").text() == "s-2";
        in_row = if is_other { in_row + 1 } else { 0 };
        in_row == 10
    });
    let before = leaving.requests().len();
    (0..10).for_each(|_| drop(host.call("GET", "/read/1", b"")));
    assert_eq!(leaving.requests().len(), before);
}

#[test]
fn removed_server_gets_no_new_calls() {
    let gone = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&gone]);
    host.store.remove("servers", "s-1");
    host.wait_for("the refusal", || {
        host.call("GET", "/read/1", b"").expect("answered").status() == 503
    });
}

#[test]
fn configuration_never_goes_back() {
    let server = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&server]);
    let mut newer = configuration(5);
    newer["Routes"][0]["PathPrefix"] = json!("/moved/");
    host.store.put("config", "main", newer);
    host.wait_for("the new version", || {
        host.call("GET", "/moved/1", b"").expect("answered").status() == 200
    });
    host.store.put("config", "main", configuration(4));
    host.store.put("config", "main", json!({"Version": 6, "Routes": "unreadable"}));
    for _ in 0..20 {
        assert_eq!(host.call("GET", "/moved/1", b"").expect("answered").status(), 200);
        assert_eq!(host.call("GET", "/read/1", b"").expect("answered").status(), 404);
    }
}

#[test]
fn host_without_a_configuration_answers_503() {
    let host = Host::start_on(Store::start());
    assert_eq!(host.readiness(), 503);
    let answer = host.call("GET", "/read/1", b"").expect("answered");
    assert_eq!(answer.status(), 503);
}

#[test]
fn metrics_count_answers_and_refusals() {
    let server = Server::start("s-1", &[Manner::Answer]);
    let host = host_before(&[&server]);
    host.call("GET", "/read/1", b"").expect("answered");
    host.call("GET", "/nowhere", b"").expect("answered");
    let metrics = host.metrics();
    assert!(metrics.contains("answered_total{status=\"200\"} 1"), "{metrics}");
    assert!(metrics.contains("refused_total{code=\"unknown_path\"} 1"), "{metrics}");
}
