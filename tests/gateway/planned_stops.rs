//! Planned stops of a host whose callers go on sending over connections that they keep.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::host::{API_KEY, Host, caller_headers};
use crate::http::{STEP_TIMEOUT, call, read_message, write_request};
use crate::server::{Behavior, FakeServer};

const CALLERS: usize = 24;

/// Longest idle time of the first connection of a caller, in steps, and length of a step.
const IDLE_STEPS: usize = 8;
const IDLE_STEP: Duration = Duration::from_millis(1_100);

/// Time for which a server works on an order.
const WORK: Duration = Duration::from_millis(400);

/// Time from the first order to the stop.
const TIME_BEFORE_STOP: Duration = Duration::from_millis(600);

/// Outcome of the orders of one caller.
#[derive(Default)]
struct Orders {
    answered: usize,
    /// Paths of the orders whose connection ended without an answer.
    cut: Vec<String>,
}

/// Sends orders over one connection after the other until the host is gone. The first connection is idle for a time, which
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
        loop {
            number += 1;
            let id = format!("order-{caller}-{number}");
            let path = format!("/order/{caller}-{number}");
            let headers = caller_headers(&id, &[("authorization", &authorization)]);
            let is_sent = write_request(&mut stream, "POST", &path, &headers, b"").is_ok();
            match read_message(&mut reader) {
                Ok(Some(_)) if is_sent => orders.answered += 1,
                Ok(_) | Err(_) => {
                    orders.cut.push(path);
                    break;
                }
            }
        }
    }
    orders
}

/// Stops a host beside a stream with a number of events, which it waits for, while callers send orders, and checks that each
/// order that a server has received is answered.
fn check_stop(events: u64) {
    let work = Behavior::UntilClose { pause: WORK, is_reset: false };
    let servers = ["s-1", "s-2"].map(|id| FakeServer::start(id, &[work]));
    let model = FakeServer::start("m-1", &[Behavior::Stream { events, is_complete: true }]);
    let mut entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry("api", None))).collect();
    entries.push((&model.id, model.entry("chat", Some((0, 16)))));
    let mut host = Host::start(&entries);
    let (address, is_over) = (host.caller_address(), AtomicBool::new(false));
    let orders: Vec<Orders> = std::thread::scope(|scope| {
        let is_over = &is_over;
        let authorization = format!("Bearer {API_KEY}");
        scope.spawn(move || {
            let headers = [("authorization", authorization.as_str())];
            let headers = caller_headers("stream", &headers);
            // The host ends a stream that outlasts its grace period.
            let _ = call(address, "POST", "/chat/1", &headers, b"");
        });
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || send_orders(address, caller, is_over)))
            .collect();
        std::thread::sleep(TIME_BEFORE_STOP);
        host.terminate();
        assert!(host.exits_successfully());
        is_over.store(true, Ordering::Relaxed);
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    let received = servers.iter().flat_map(FakeServer::requests);
    let received: BTreeSet<String> =
        received.map(|request| request.start_line_part(1).to_string()).collect();
    let cut = orders.iter().flat_map(|orders| &orders.cut);
    let lost: Vec<&String> = cut.filter(|path| received.contains(*path)).collect();
    assert_eq!(lost, [""; 0]);
    let answered: usize = orders.iter().map(|orders| orders.answered).sum();
    println!("{events} events: {answered} answered, {} received", received.len());
    assert!(answered >= CALLERS / IDLE_STEPS);
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
