//! Streams of events over a split model.

use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use crate::host::{Host, KEY, caller_headers};
use crate::http::write_request;
use crate::server::{Manner, Server};

const EVENTS: u64 = 40;
const WHOLE: Manner = Manner::Stream { events: EVENTS, is_whole: true };
const CUT: Manner = Manner::Stream { events: 7, is_whole: false };

fn stall(silent: Duration) -> Manner {
    Manner::Stall { events: EVENTS, after: 5, silent }
}

fn entries<'a>(servers: &[(&'a Server, (u32, u32))]) -> Vec<(&'a str, Value)> {
    let entry = |(server, layers): &(&'a Server, (u32, u32))| {
        (server.id.as_str(), server.entry("chat", Some(*layers)))
    };
    servers.iter().map(entry).collect()
}

/// Orders by which running requests took another path.
fn moves(server: &Server) -> Vec<Value> {
    server.orders().into_iter().filter(|order| order["Operation"] == "repath").collect()
}

/// The pieces that a caller gets, in order.
fn pieces(text: &str) -> Vec<u64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: piece "));
    lines.map(|number| number.parse().expect("a number")).collect()
}

#[test]
fn stream_names_its_path_to_the_first_server() {
    let first = Server::start("s-1", &[WHOLE]);
    let second = Server::start("s-2", &[WHOLE]);
    let host = Host::start(&entries(&[(&first, (0, 8)), (&second, (8, 16))]));
    let answer = host.call("POST", "/chat/1", b"hello").expect("answered");
    assert_eq!(pieces(&answer.text()), (1..=EVENTS).collect::<Vec<_>>());
    let path = format!("{}=0-8,{}=8-16", first.address, second.address);
    assert_eq!(first.requests()[0].header("godwitdeal-hop-count"), Some(path.as_str()));
    assert!(second.requests().is_empty());
}

#[test]
fn stream_cut_in_an_event_goes_on_at_another_server() {
    let cutting = Server::start("s-1", &[CUT]);
    let sound = Server::start("s-2", &[WHOLE]);
    let host = Host::start(&entries(&[(&cutting, (0, 16)), (&sound, (0, 16))]));
    host.wait_for("a stream that is cut", || {
        let answer = host.call("POST", "/chat/1", b"hello").expect("whole");
        assert_eq!(pieces(&answer.text()), (1..=EVENTS).collect::<Vec<_>>());
        !cutting.requests().is_empty()
    });
    let resumed =
        sound.requests().into_iter().filter_map(|seen| seen.headers.get("last-event-id").cloned());
    assert_eq!(resumed.collect::<Vec<_>>(), ["6"]);
}

#[test]
fn cut_stream_waits_for_a_server_that_may_go_on() {
    let cutting = Server::start("s-1", &[CUT]);
    let later = Server::start("s-2", &[WHOLE]);
    let host = Host::start(&entries(&[(&cutting, (0, 16))]));
    let answer = std::thread::scope(|scope| {
        let caller = scope.spawn(|| host.call("POST", "/chat/1", b"hello"));
        host.wait_for("the first run", || !cutting.requests().is_empty());
        std::thread::sleep(Duration::from_millis(300));
        host.store.put("servers", "s-2", later.entry("chat", Some((0, 16))));
        caller.join().expect("no panic")
    });
    assert_eq!(pieces(&answer.expect("whole").text()), (1..=EVENTS).collect::<Vec<_>>());
}

#[test]
fn stream_cut_at_each_server_never_looks_complete() {
    let only = Server::start("s-1", &[CUT]);
    let other = Server::start("s-2", &[CUT]);
    let host = Host::start(&entries(&[(&only, (0, 16)), (&other, (0, 16))]));
    assert!(host.call("POST", "/chat/1", b"hello").is_err());
    assert!(
        only.requests().len() + other.requests().len() <= 2,
        "no more runs than the route allows"
    );
}

#[test]
fn stream_over_a_layer_that_nobody_holds_is_refused_at_once() {
    let part = Server::start("s-1", &[WHOLE]);
    let host = Host::start(&entries(&[(&part, (0, 8))]));
    assert_eq!(host.call("POST", "/chat/1", b"hello").expect("answered").status(), 503);
    assert!(part.requests().is_empty());
}

#[test]
fn stop_lets_a_stream_end_whole() {
    let long = Manner::Stream { events: 300, is_whole: true };
    let server = Server::start("s-1", &[long]);
    let mut host = Host::start(&entries(&[(&server, (0, 16))]));
    let answer = std::thread::scope(|scope| {
        let caller = scope.spawn(|| host.call("POST", "/chat/1", b"hello"));
        host.wait_for("the stream", || !server.requests().is_empty());
        host.terminate();
        host.wait_for("the end of readiness", || host.readiness() != 200);
        caller.join().expect("no panic")
    });
    assert_eq!(pieces(&answer.expect("whole").text()).len(), 300);
    assert!(host.has_ended_cleanly());
}

#[test]
fn stalled_stream_is_moved_by_one_order() {
    let stalling = stall(Duration::from_secs(5));
    let first = Server::start("s-1", &[stalling]);
    let second = Server::start("s-2", &[WHOLE]);
    let third = Server::start("s-3", &[WHOLE]);
    let host = Host::start(&entries(&[(&first, (0, 8)), (&second, (8, 16)), (&third, (8, 16))]));
    let answer = host.call("POST", "/chat/1", b"hello").expect("whole");
    assert_eq!(pieces(&answer.text()), (1..=EVENTS).collect::<Vec<_>>());
    let requests = first.requests();
    assert_eq!(requests.len(), 1, "it is not run again");
    let hops = requests[0].header("godwitdeal-hop-count").expect("a path");
    let orders = moves(&first);
    assert_eq!(orders.len(), 1);
    let new_path = orders[0]["Path"].as_str().expect("a path");
    assert_ne!(new_path, hops);
    assert!(new_path.starts_with(&format!("{}=0-8,", first.address)));
}

#[test]
fn stalled_stream_keeps_its_run_where_no_other_path_is_left() {
    let stalling = stall(Duration::from_secs(3));
    let first = Server::start_with_orders("s-1", &[stalling, WHOLE], 404);
    let second = Server::start("s-2", &[WHOLE]);
    let third = Server::start("s-3", &[WHOLE]);
    let host = Host::start(&entries(&[(&first, (0, 8)), (&second, (8, 16)), (&third, (8, 16))]));
    let answer = host.call("POST", "/chat/1", b"hello").expect("whole");
    assert_eq!(pieces(&answer.text()), (1..=EVENTS).collect::<Vec<_>>());
}

#[test]
fn caller_that_leaves_is_told_of() {
    let long = Manner::Stream { events: 2_000, is_whole: true };
    let server = Server::start("s-1", &[long]);
    let host = Host::start(&entries(&[(&server, (0, 16))]));
    let mut caller = TcpStream::connect(host.callers()).expect("connected");
    let authorization = format!("Bearer {KEY}");
    let headers = caller_headers("leaving", &[("authorization", &authorization)]);
    write_request(&mut caller, "POST", "/chat/1", &headers, b"hello").expect("sent");
    host.wait_for("the stream", || !server.requests().is_empty());
    drop(caller);
    host.wait_for("the leaving", || host.metrics().contains("callers_left_total 1"));
}
