//! What servers say of themselves in their responses: that they leave, and when they want work again.

use std::time::{Duration, Instant};

use crate::host::Host;
use crate::server::{Behavior, FakeServer};

const LEAVING: (&str, &str) = ("Server-Leaving", "1");

/// Time within which a host hears of an entry in the store.
const ENTRY_TIME: Duration = Duration::from_millis(300);

/// Number of requests that are sent after a notice.
const REQUESTS: usize = 20;

fn start_host(servers: &[&FakeServer], service: &str, layers: Option<(u32, u32)>) -> Host {
    let entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry(service, layers))).collect();
    Host::start(&entries)
}

/// Checks that a server that says in a response that it leaves gets no further request: first there is no other server, then
/// another one gets all requests.
fn check_leaving(behavior: Behavior, service: &str, method: &str, path: &str) {
    let layers = (service == "chat").then_some((0, 16));
    let leaving = FakeServer::start("s-1", &[behavior]);
    leaving.add_notices(&[LEAVING]);
    let host = start_host(&[&leaving], service, layers);
    host.call(method, path, b"").expect("answered");
    let refused = host.call(method, path, b"").expect("answered");
    assert_eq!((refused.status(), leaving.requests().len()), (503, 1));
    assert!(refused.header("retry-after").is_some());
    let is_stream = matches!(behavior, Behavior::Stream { .. });
    let staying_behavior = if is_stream { behavior } else { Behavior::Respond };
    let staying = FakeServer::start("s-2", &[staying_behavior]);
    host.store.put("servers", "s-2", staying.entry(service, layers));
    let is_served = || host.call(method, path, b"").is_ok_and(|it| it.status() == 200);
    host.wait_for("the other server", is_served);
    // The entry in the store still says that the server is ready, and is written again.
    host.store.put("servers", "s-1", leaving.entry(service, layers));
    std::thread::sleep(ENTRY_TIME);
    assert!((0..REQUESTS).all(|_| is_served()));
    assert_eq!(leaving.requests().len(), 1, "its entry made it usable again");
}

#[test]
fn server_that_leaves_says_so_in_a_success_and_gets_no_call() {
    check_leaving(Behavior::Respond, "api", "GET", "/read/1");
}

#[test]
fn server_that_leaves_says_so_in_a_failure_and_gets_no_call() {
    check_leaving(Behavior::Status(404), "api", "GET", "/read/1");
}

#[test]
fn server_that_leaves_says_so_in_a_refusal_and_gets_no_call() {
    check_leaving(Behavior::RejectNotRun, "api", "POST", "/order/1");
}

#[test]
fn server_that_leaves_says_so_in_the_head_of_a_stream_and_gets_no_stream() {
    let stream = Behavior::Stream { events: 3, is_complete: true };
    check_leaving(stream, "chat", "POST", "/chat/1");
}

/// The next server at the address of one that left has another id.
#[test]
fn next_server_after_one_that_left_gets_requests() {
    let server = FakeServer::start("s-1", &[Behavior::Respond]);
    server.add_notices(&[LEAVING]);
    let host = start_host(&[&server], "api", None);
    assert_eq!(host.call("GET", "/read/1", b"").expect("answered").status(), 200);
    host.store.remove("servers", "s-1");
    host.store.put("servers", "s-2", server.entry("api", None));
    host.wait_for("the next server", || {
        host.call("GET", "/read/1", b"").is_ok_and(|response| response.status() == 200)
    });
}

/// Number of requests that may reach a server later than [`HOLD_OFF_GRACE`] after it has asked for none for a time.
const MAX_HELD_OFF: usize = 2;
const HOLD_OFF_GRACE: Duration = Duration::from_millis(500);

/// Time for which servers ask for no requests.
const HOLD_OFF: Duration = Duration::from_secs(3);
const WORK_LATER: (&str, &str) = ("Retry-After", "3");

/// Returns the number of requests that reached a server while it wanted none.
fn held_off_requests(server: &FakeServer) -> usize {
    let handled = server.handled();
    let asked_at = handled[0].received_at;
    let times = handled.iter().map(|handled| handled.received_at);
    times.filter(|at| *at > asked_at + HOLD_OFF_GRACE && *at < asked_at + HOLD_OFF).count()
}

/// Checks that a server that turns a request away with a time gets nothing until then, and works again afterwards.
fn check_hold_off(refusal: Behavior, service: &str, method: &str, path: &str) {
    let layers = (service == "chat").then_some((0, 16));
    let served = if service == "chat" {
        Behavior::Stream { events: 3, is_complete: true }
    } else {
        Behavior::Respond
    };
    let busy = FakeServer::start("s-1", &[refusal, served]);
    busy.add_notices(&[WORK_LATER]);
    let host = start_host(&[&busy], service, layers);
    host.call(method, path, b"").expect("answered");
    let asked_at = Instant::now();
    let mut refused = 0;
    while asked_at.elapsed() < HOLD_OFF {
        let response = host.call(method, path, b"").expect("answered");
        if response.status() == 503 && response.text().contains("servers_hold_off") {
            let wait_s: f64 =
                response.header("retry-after").and_then(|it| it.parse().ok()).expect("a time");
            assert!(wait_s <= HOLD_OFF.as_secs_f64() + 1.0, "{wait_s}");
            refused += 1;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(held_off_requests(&busy) <= MAX_HELD_OFF, "{} requests", held_off_requests(&busy));
    assert!(refused > REQUESTS, "{refused} requests were refused at once");
    host.wait_for("the server", || host.call(method, path, b"").is_ok_and(|it| it.status() == 200));
}

#[test]
fn server_that_refuses_for_a_time_gets_no_call_until_then() {
    check_hold_off(Behavior::RejectNotRun, "api", "GET", "/read/1");
}

#[test]
fn server_that_fails_for_a_time_gets_no_call_until_then() {
    check_hold_off(Behavior::Status(503), "api", "POST", "/order/1");
}

#[test]
fn server_that_refuses_for_a_time_gets_no_stream_until_then() {
    check_hold_off(Behavior::RejectNotRun, "chat", "POST", "/chat/1");
}

/// Only a 503 holds off, and other servers go on serving.
#[test]
fn server_that_answers_with_a_time_is_used_on() {
    let server = FakeServer::start("s-1", &[Behavior::Respond]);
    server.add_notices(&[WORK_LATER]);
    let host = start_host(&[&server], "api", None);
    let is_served = || host.call("GET", "/read/1", b"").is_ok_and(|it| it.status() == 200);
    assert!((0..REQUESTS).all(|_| is_served()));
}
