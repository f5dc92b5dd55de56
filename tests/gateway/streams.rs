//! Streams of events of a model whose layers may be split over several servers.

use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use crate::host::{API_KEY, Host, caller_headers};
use crate::http::write_request;
use crate::server::{Behavior, FakeServer};

const EVENT_COUNT: u64 = 40;
const COMPLETE_STREAM: Behavior = Behavior::Stream { events: EVENT_COUNT, is_complete: true };
const TRUNCATED_STREAM: Behavior = Behavior::Stream { events: 7, is_complete: false };

fn stall_behavior(duration: Duration) -> Behavior {
    Behavior::Stall { events: EVENT_COUNT, stall_before: 5, duration }
}

fn entries<'a>(servers: &[(&'a FakeServer, (u32, u32))]) -> Vec<(&'a str, Value)> {
    let entry = |(server, layers): &(&'a FakeServer, (u32, u32))| {
        (server.id.as_str(), server.entry("chat", Some(*layers)))
    };
    servers.iter().map(entry).collect()
}

/// Returns the orders that moved running requests to another path.
fn move_orders(server: &FakeServer) -> Vec<Value> {
    server.orders().into_iter().filter(|order| order["Operation"] == "repath").collect()
}

/// Returns the numbers of the pieces in a response, in order.
fn piece_numbers(text: &str) -> Vec<u64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: piece "));
    lines.map(|number| number.parse().expect("a number")).collect()
}

#[test]
fn stream_sends_path_to_first_server() {
    let first = FakeServer::start("s-1", &[COMPLETE_STREAM]);
    let second = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    let host = Host::start(&entries(&[(&first, (0, 8)), (&second, (8, 16))]));
    let response = host.call("POST", "/chat/1", b"hello").expect("answered");
    assert_eq!(piece_numbers(&response.text()), (1..=EVENT_COUNT).collect::<Vec<_>>());
    let path = format!("{}=0-8,{}=8-16", first.address, second.address);
    assert_eq!(first.requests()[0].header("godwitdeal-hop-count"), Some(path.as_str()));
    assert!(second.requests().is_empty());
}

#[test]
fn stream_cut_within_event_resumes_at_another_server() {
    let truncating = FakeServer::start("s-1", &[TRUNCATED_STREAM]);
    let complete = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    let host = Host::start(&entries(&[(&truncating, (0, 16)), (&complete, (0, 16))]));
    host.wait_for("a truncated stream", || {
        let response = host.call("POST", "/chat/1", b"hello").expect("a complete response");
        assert_eq!(piece_numbers(&response.text()), (1..=EVENT_COUNT).collect::<Vec<_>>());
        !truncating.requests().is_empty()
    });
    let resumed = complete
        .requests()
        .into_iter()
        .filter_map(|received| received.headers.get("last-event-id").cloned());
    assert_eq!(resumed.collect::<Vec<_>>(), ["6"]);
}

#[test]
fn stream_cut_waits_for_server_to_resume() {
    let truncating = FakeServer::start("s-1", &[TRUNCATED_STREAM]);
    let added_server = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    let host = Host::start(&entries(&[(&truncating, (0, 16))]));
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| host.call("POST", "/chat/1", b"hello"));
        host.wait_for("the first run", || !truncating.requests().is_empty());
        std::thread::sleep(Duration::from_millis(300));
        host.store.put("servers", "s-2", added_server.entry("chat", Some((0, 16))));
        caller.join().expect("no panic")
    });
    assert_eq!(
        piece_numbers(&response.expect("a complete response").text()),
        (1..=EVENT_COUNT).collect::<Vec<_>>()
    );
}

#[test]
fn stream_resume_carries_the_time_that_is_left() {
    let truncating = FakeServer::start("s-1", &[TRUNCATED_STREAM]);
    let added_server = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    let host = Host::start(&entries(&[(&truncating, (0, 16))]));
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| host.call("POST", "/chat/1", b"hello"));
        host.wait_for("the first run", || !truncating.requests().is_empty());
        std::thread::sleep(Duration::from_millis(500));
        host.store.put("servers", "s-2", added_server.entry("chat", Some((0, 16))));
        caller.join().expect("no panic").expect("a complete response");
    });
    let left_ms = |server: &FakeServer| {
        let request = server.requests().remove(0);
        let value = request.header("godwitdeal-deadline-ms").map(str::to_string);
        value.and_then(|value| value.parse::<u64>().ok()).expect("a number")
    };
    assert!(left_ms(&added_server) + 500 <= left_ms(&truncating));
}

/// Retries and resumes count together: counted apart, they let a stream run at three servers where its route allowed
/// two.
#[test]
fn stream_cut_at_every_server_is_incomplete() {
    let only = FakeServer::start("s-1", &[TRUNCATED_STREAM]);
    let other = FakeServer::start("s-2", &[TRUNCATED_STREAM]);
    let host = Host::start(&entries(&[(&only, (0, 16)), (&other, (0, 16))]));
    assert!(host.call("POST", "/chat/1", b"hello").is_err());
    assert!(
        only.requests().len() + other.requests().len() <= 2,
        "runs at most as often as the route allows"
    );
}

#[test]
fn stream_with_missing_layers_is_refused() {
    let partial = FakeServer::start("s-1", &[COMPLETE_STREAM]);
    let host = Host::start(&entries(&[(&partial, (0, 8))]));
    assert_eq!(host.call("POST", "/chat/1", b"hello").expect("answered").status(), 503);
    assert!(partial.requests().is_empty());
}

#[test]
fn stop_lets_stream_complete() {
    let long_stream = Behavior::Stream { events: 300, is_complete: true };
    let server = FakeServer::start("s-1", &[long_stream]);
    let mut host = Host::start(&entries(&[(&server, (0, 16))]));
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| host.call("POST", "/chat/1", b"hello"));
        host.wait_for("the stream", || !server.requests().is_empty());
        host.terminate();
        host.wait_for("the end of readiness", || host.readiness_status() != 200);
        caller.join().expect("no panic")
    });
    assert_eq!(piece_numbers(&response.expect("a complete response").text()).len(), 300);
    assert!(host.exits_successfully());
}

#[test]
fn stream_stalled_is_moved_by_one_order() {
    let stalling = stall_behavior(Duration::from_secs(5));
    let first = FakeServer::start("s-1", &[stalling]);
    let second = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    let third = FakeServer::start("s-3", &[COMPLETE_STREAM]);
    let host = Host::start(&entries(&[(&first, (0, 8)), (&second, (8, 16)), (&third, (8, 16))]));
    let response = host.call("POST", "/chat/1", b"hello").expect("a complete response");
    assert_eq!(piece_numbers(&response.text()), (1..=EVENT_COUNT).collect::<Vec<_>>());
    let requests = first.requests();
    assert_eq!(requests.len(), 1, "the request runs once at the first server");
    let path = requests[0].header("godwitdeal-hop-count").expect("a path");
    let orders = move_orders(&first);
    assert_eq!(orders.len(), 1);
    let new_path = orders[0]["Path"].as_str().expect("a path");
    assert_ne!(new_path, path);
    assert!(new_path.starts_with(&format!("{}=0-8,", first.address)));
}

/// A stalled stream was once ended although no path was found to resume it. The stalled run must be kept until another
/// has begun, so that the caller receives all events either way.
#[test]
fn stream_stalled_completes_if_move_is_refused() {
    let stalling = stall_behavior(Duration::from_secs(3));
    let first = FakeServer::start_with_orders("s-1", &[stalling, COMPLETE_STREAM], 404);
    let second = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    let third = FakeServer::start("s-3", &[COMPLETE_STREAM]);
    let host = Host::start(&entries(&[(&first, (0, 8)), (&second, (8, 16)), (&third, (8, 16))]));
    let response = host.call("POST", "/chat/1", b"hello").expect("a complete response");
    assert_eq!(piece_numbers(&response.text()), (1..=EVENT_COUNT).collect::<Vec<_>>());
}

#[test]
fn stream_caller_disconnect_is_counted() {
    let long_stream = Behavior::Stream { events: 2_000, is_complete: true };
    let server = FakeServer::start("s-1", &[long_stream]);
    let host = Host::start(&entries(&[(&server, (0, 16))]));
    let mut caller = TcpStream::connect(host.caller_address()).expect("connected");
    let authorization = format!("Bearer {API_KEY}");
    let headers = caller_headers("leaving", &[("authorization", &authorization)]);
    write_request(&mut caller, "POST", "/chat/1", &headers, b"hello").expect("sent");
    host.wait_for("the stream", || !server.requests().is_empty());
    drop(caller);
    host.wait_for("the count of the disconnect", || {
        host.metrics().contains("callers_left_total 1")
    });
}
