//! Planned stops of a host whose callers go on sending over connections that they keep.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::host::{API_KEY, Host, caller_headers};
use crate::http::{STEP_TIMEOUT, call, read_message, write_request};
use crate::links::LinkState;
use crate::lost_links::Site;
use crate::server::{Behavior, FakeServer};

const CALLERS: usize = 24;

/// Longest idle time of the first connection of a caller, in steps, and length of a step.
const IDLE_STEPS: usize = 8;
const IDLE_STEP: Duration = Duration::from_millis(1_100);

/// Time for which a server works on an order, and what it does.
const WORK: Duration = Duration::from_millis(400);
const WORKER: Behavior = Behavior::UntilClose { pause: WORK, is_reset: false };

/// Time from the first order to the stop.
const TIME_BEFORE_STOP: Duration = Duration::from_millis(600);

/// Outcome of the orders of one caller.
#[derive(Default)]
struct Orders {
    answered: usize,
    /// Paths of the orders that were answered without telling whether they ran.
    unknown: Vec<String>,
    /// Paths of the orders whose connection ended without an answer.
    cut: Vec<String>,
}

/// Sends orders over one connection after the other until the stop is over. The first connection is idle for a time, which
/// differs between callers.
fn send_orders(address: SocketAddr, caller: usize, is_over: &AtomicBool) -> Orders {
    let mut orders = Orders::default();
    let authorization = format!("Bearer {API_KEY}");
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { break };
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a timeout can be set");
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        if number == 0 {
            std::thread::sleep(IDLE_STEP * (caller % IDLE_STEPS) as u32);
        }
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("order-{caller}-{number}");
            let path = format!("/order/{caller}-{number}");
            let headers = caller_headers(&id, &[("authorization", &authorization)]);
            let is_sent = write_request(&mut stream, "POST", &path, &headers, b"").is_ok();
            match read_message(&mut reader) {
                Ok(Some(answer)) if is_sent => {
                    orders.answered += 1;
                    orders.unknown.extend(matches!(answer.status(), 502 | 504).then_some(path));
                }
                Ok(_) | Err(_) => {
                    orders.cut.push(path);
                    break;
                }
            }
        }
    }
    orders
}

/// Stops a host beside a stream, which it waits for, while callers send orders to a host, and checks that each order that a
/// server has received is answered with its outcome.
fn check_orders_during_stop(address: SocketAddr, stopping: &mut Host, servers: &[FakeServer]) {
    let is_over = AtomicBool::new(false);
    let stream_address = stopping.caller_address();
    let orders: Vec<Orders> = std::thread::scope(|scope| {
        let is_over = &is_over;
        let authorization = format!("Bearer {API_KEY}");
        scope.spawn(move || {
            let headers = [("authorization", authorization.as_str())];
            let headers = caller_headers("stream", &headers);
            // The host ends a stream that outlasts its grace period.
            let _ = call(stream_address, "POST", "/chat/1", &headers, b"");
        });
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || send_orders(address, caller, is_over)))
            .collect();
        std::thread::sleep(TIME_BEFORE_STOP);
        stopping.terminate();
        assert!(stopping.exits_successfully());
        is_over.store(true, Ordering::Relaxed);
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    let received = servers.iter().flat_map(FakeServer::requests);
    let received: BTreeSet<String> =
        received.map(|request| request.start_line_part(1).to_string()).collect();
    let failed = orders.iter().flat_map(|orders| orders.cut.iter().chain(&orders.unknown));
    let failed: Vec<&String> = failed.filter(|path| received.contains(*path)).collect();
    let answered: usize = orders.iter().map(|orders| orders.answered).sum();
    println!("{answered} answered, {} received", received.len());
    assert_eq!(failed, [""; 0]);
    assert!(answered >= CALLERS / IDLE_STEPS);
}

/// Stops a host with links of its own beside a stream with a number of events.
fn check_stop(events: u64) {
    let servers = ["s-1", "s-2"].map(|id| FakeServer::start(id, &[WORKER]));
    let model = FakeServer::start("m-1", &[Behavior::Stream { events, is_complete: true }]);
    let mut entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry("api", None))).collect();
    entries.push((&model.id, model.entry("chat", Some((0, 16)))));
    let mut host = Host::start(&entries);
    check_orders_during_stop(host.caller_address(), &mut host, &servers);
}

/// Stops one of three hosts, of which the first has no links, beside a stream with a number of events, while callers send
/// orders to the first.
fn check_stop_over_detour(stopping: usize, events: u64) {
    let stream = Behavior::Stream { events, is_complete: true };
    let servers = [("api-0", WORKER), ("api-1", WORKER), ("chat-0", stream)];
    let servers = servers.map(|(id, behavior)| FakeServer::start(id, &[behavior])).to_vec();
    let mut site = Site::start_with(servers, 1);
    site.set_links(&[0], LinkState::Refusing);
    let address = site.hosts[0].caller_address();
    check_orders_during_stop(address, &mut site.hosts[stopping], &site.servers);
    site.check_orders_ran_once();
}

#[test]
fn stop_answers_every_order_that_it_passed_on() {
    check_stop(1);
}

#[test]
fn stop_answers_orders_beside_stream_that_ends_late_in_the_grace_period() {
    check_stop(700);
}

#[test]
fn stop_answers_orders_beside_stream_that_outlasts_the_grace_period() {
    check_stop(1_500);
}

#[test]
fn stop_of_host_without_links_answers_orders_beside_stream_that_ends_late_in_the_grace_period() {
    check_stop_over_detour(0, 700);
}

#[test]
fn stop_of_host_with_links_answers_orders_of_host_without_links() {
    check_stop_over_detour(2, 700);
}

#[test]
fn stop_of_host_with_links_beside_endless_stream_answers_orders_of_host_without_links() {
    check_stop_over_detour(2, 1_500);
}
