//! What servers say of themselves in their responses: that they leave, and when they want work again.

use std::time::{Duration, Instant};

use crate::host::{API_KEY, Host, caller_headers, configuration};
use crate::http::call;
use crate::server::{Behavior, FakeServer, RUN_FIRST};
use crate::store::FakeStore;

pub(crate) const LEAVING: (&str, &str) = ("Server-Leaving", "1");

/// Time within which a host hears of an entry in the store.
const ENTRY_TIME: Duration = Duration::from_millis(300);

/// Time for which an impatient caller waits, shorter than a run.
const SHORT_WAIT: Duration = Duration::from_millis(30);

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

/// A response that nobody waits for binds the host all the same.
#[test]
fn server_that_holds_off_after_the_caller_has_left_gets_no_call() {
    let server =
        FakeServer::start("s-1", &[Behavior::RejectFor(HOLD_OFF.as_secs()), Behavior::Respond]);
    let host = start_host(&[&server], "api", None);
    let path = format!("/order/{RUN_FIRST}");
    host.call_until(Instant::now() + SHORT_WAIT, "POST", &path, b"");
    host.wait_for("the request", || server.requests().len() == 1);
    std::thread::sleep(HOLD_OFF / 10);
    let refused = host.call("POST", "/order/1", b"").expect("answered");
    assert_eq!((refused.status(), server.requests().len()), (503, 1));
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

/// A time for which a server wanted no requests of a host, and those that it got in it.
pub(crate) struct HoldOff {
    pub(crate) host: usize,
    pub(crate) asked_at: Instant,
    pub(crate) arrivals: Vec<Instant>,
}

impl HoldOff {
    /// Whether the server got more requests than may have been under way.
    pub(crate) fn is_broken(&self) -> bool {
        self.arrivals.len() > MAX_HELD_OFF
    }
}

/// Returns all times for which a server wanted no requests of a host. `host_of` returns the host of a request by its id.
pub(crate) fn hold_offs(
    server: &FakeServer,
    host_of: impl Fn(&str) -> Option<usize>,
) -> Vec<HoldOff> {
    let arrivals: Vec<(Instant, usize, Behavior)> = server
        .handled()
        .iter()
        .filter_map(|handled| {
            let id = handled.request.header("godwitdeal-request-id").unwrap_or_default();
            Some((handled.received_at, host_of(id)?, handled.behavior))
        })
        .collect();
    let mut hold_offs = Vec::new();
    for (asked_at, host, behavior) in &arrivals {
        let Behavior::RejectFor(seconds) = behavior else { continue };
        let from = *asked_at + HOLD_OFF_GRACE;
        let until = *asked_at + Duration::from_secs(*seconds);
        let of_host = arrivals.iter().filter(|(_, other, _)| other == host);
        let times = of_host.map(|(at, _, _)| *at).filter(|at| *at > from && *at < until);
        hold_offs.push(HoldOff { host: *host, asked_at: *asked_at, arrivals: times.collect() });
    }
    hold_offs
}

/// Number of requests that may reach a server later than [`HOLD_OFF_GRACE`] after it has asked for none for a time.
pub(crate) const MAX_HELD_OFF: usize = 2;
const HOLD_OFF_GRACE: Duration = Duration::from_millis(500);

/// Time for which servers ask for no requests.
pub(crate) const HOLD_OFF: Duration = Duration::from_secs(3);
pub(crate) const WORK_LATER: (&str, &str) = ("Retry-After", "3");

/// Returns the number of requests that reached a server while it wanted none.
pub(crate) fn held_off_requests(server: &FakeServer) -> usize {
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

/// Number of hosts before servers that shed, and the time for which their callers send.
const SHEDDING_HOSTS: usize = 3;
const SHEDDING_TIME: Duration = Duration::from_secs(6);

/// Two of three servers refuse everything, and say so with a time to one request of several; the third one serves.
fn check_shedding(service: &str, served: Behavior, method: &'static str, path: &'static str) {
    let shed = [Behavior::RejectFor(3), Behavior::RejectNotRun, Behavior::RejectNotRun];
    let behaviors = shed.repeat(400);
    let layers = (service == "chat").then_some((0, 16));
    let servers = [&behaviors[..], &behaviors[..], &[served]];
    let servers: Vec<FakeServer> = (0..)
        .zip(servers)
        .map(|(index, behaviors)| FakeServer::start(&format!("s-{index}"), behaviors))
        .collect();
    let store = FakeStore::start();
    store.put("config", "main", configuration(1));
    for server in &servers {
        store.put("servers", &server.id, server.entry(service, layers));
    }
    let hosts: Vec<Host> = (0..SHEDDING_HOSTS)
        .map(|index| Host::start_with_name(store.clone(), &format!("front-hall-a-{index}")))
        .collect();
    hosts.iter().for_each(Host::wait_until_ready);
    let until = Instant::now() + SHEDDING_TIME;
    std::thread::scope(|scope| {
        for (index, host) in hosts.iter().enumerate() {
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() > until {
                        return;
                    }
                    let id = format!("{index}/{number}");
                    let key = format!("Bearer {API_KEY}");
                    let headers = caller_headers(&id, &[("authorization", key.as_str())]);
                    let answer = call(host.caller_address(), method, path, &headers, b"");
                    assert_eq!(answer.expect("answered").status(), 200, "{id}");
                    std::thread::sleep(Duration::from_millis(30));
                }
            });
        }
    });
    let host_of = |id: &str| id.split_once('/')?.0.parse().ok();
    let all = servers.iter().flat_map(|server| hold_offs(server, host_of));
    let counts: Vec<usize> = all.map(|hold_off| hold_off.arrivals.len()).collect();
    println!("requests in each time: {counts:?}");
    assert!(counts.len() >= 2 * SHEDDING_HOSTS, "the servers named a time {} times", counts.len());
    assert!(counts.iter().all(|count| *count <= MAX_HELD_OFF), "{counts:?}");
}

#[test]
fn servers_that_shed_get_no_call_in_the_time_that_they_name() {
    check_shedding("api", Behavior::Respond, "POST", "/order/1");
}

#[test]
fn servers_that_shed_get_no_stream_in_the_time_that_they_name() {
    let stream = Behavior::Stream { events: 3, is_complete: true };
    check_shedding("chat", stream, "POST", "/chat/1");
}
