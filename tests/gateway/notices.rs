//! What servers say of themselves in their responses: that they leave, and when they want work again.

use std::time::Duration;

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
