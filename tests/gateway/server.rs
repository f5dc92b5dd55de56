//! Stand-ins of backend servers, whose answers a test chooses.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Message, answer, serve_connections};

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// How a server answers a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Manner {
    /// Whole, with its name as the body.
    Answer,
    /// With this status, as run.
    Status(u16),
    /// Not run, since it is full.
    Full,
    /// The connection closes without an answer.
    CloseUnanswered,
    /// An answer to another request comes before.
    StrayFirst,
    /// The body ends before its length.
    CutBody,
    /// So many events, the last one cut in its middle if not whole.
    Stream { events: u64, is_whole: bool },
    /// Whole, but silent after so many events for a time or until an order takes the request over another path;
    /// meanwhile its reports name the second stage.
    Stall { events: u64, after: u64, silent: Duration },
}

/// What a server's own interface shows and was told.
struct OwnCalls {
    /// Stalled requests, each with the stage that it waits for.
    stalled: BTreeMap<String, String>,
    /// Status of the answers to orders.
    order_status: u16,
    /// Orders it was given.
    orders: Vec<Value>,
}

/// A backend server that keeps what it is asked.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    handled: Arc<Mutex<Vec<(Message, Manner)>>>,
    own: Arc<Mutex<OwnCalls>>,
}

impl Server {
    /// Starts a server that answers the n-th request in the n-th manner, and all later ones in the last.
    pub(crate) fn start(id: &str, manners: &[Manner]) -> Server {
        Server::start_with_orders(id, manners, 202)
    }

    /// Starts a server that answers orders with this status.
    pub(crate) fn start_with_orders(id: &str, manners: &[Manner], order_status: u16) -> Server {
        let own = OwnCalls { stalled: BTreeMap::new(), order_status, orders: Vec::new() };
        let own = Arc::new(Mutex::new(own));
        let handled: Arc<Mutex<Vec<(Message, Manner)>>> = Arc::default();
        let (kept, name, manners) = (handled.clone(), id.to_string(), manners.to_vec());
        let own_calls = own.clone();
        let address = serve_connections(move |request, stream| {
            if request.word(1).starts_with("/api/") {
                return own_call(&own_calls, request, stream);
            }
            let mut handled = kept.lock().expect("no panic");
            let manner = manners[handled.len().min(manners.len() - 1)];
            handled.push((request.clone(), manner));
            drop(handled);
            serve(&name, manner, &own_calls, request, stream)
        });
        Server { id: id.to_string(), address, handled, own }
    }

    /// What was sent to it, besides calls of its own interface.
    pub(crate) fn requests(&self) -> Vec<Message> {
        self.handled().into_iter().map(|(request, _)| request).collect()
    }

    /// What was sent to it, each with the manner of its answer.
    pub(crate) fn handled(&self) -> Vec<(Message, Manner)> {
        self.handled.lock().expect("no panic").clone()
    }

    /// Orders it was given.
    pub(crate) fn orders(&self) -> Vec<Value> {
        self.own.lock().expect("no panic").orders.clone()
    }

    /// Its entry in the store.
    pub(crate) fn entry(&self, service: &str, layers: Option<(u32, u32)>) -> Value {
        let layers = layers.map(|(from, to)| json!({"From": from, "To": to, "Version": 1}));
        json!({
            "Service": service, "Address": self.address.to_string(), "Zone": "hall-a", "Version": "v1",
            "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Kind": "l40s", "Layers": layers, "Sequence": 1
        })
    }
}

fn own_call(own: &Mutex<OwnCalls>, request: &Message, stream: &mut TcpStream) -> bool {
    let mut own = own.lock().expect("no panic");
    if request.word(0) == "POST" {
        own.orders.push(serde_json::from_slice(&request.body).expect("orders carry JSON"));
        return answer(stream, own.order_status, &[], b"");
    }
    let stalled = own.stalled.iter().map(|(id, address)| json!({"Id": id, "Address": address}));
    let stalled: Vec<Value> = stalled.collect();
    let report = json!({"Sequence": 0, "Busy": false, "pace": 1.0, "Stalled": stalled});
    answer(stream, 200, &[], report.to_string().as_bytes())
}

fn serve(
    name: &str,
    manner: Manner,
    own: &Mutex<OwnCalls>,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let id = request.header("godwitdeal-request-id").unwrap_or_default();
    let stamped = [("Godwitdeal-Request-Id", id), ("Godwitdeal-Response-Stamp", name)];
    match manner {
        Manner::Answer => answer(stream, 200, &stamped, name.as_bytes()),
        Manner::Status(status) => answer(stream, status, &stamped, name.as_bytes()),
        Manner::Full => {
            let headers = [("Godwitdeal-Request-Id", id), ("Godwitdeal-Not-Executed", "1")];
            answer(stream, 503, &headers, b"")
        }
        Manner::CloseUnanswered => false,
        Manner::StrayFirst => {
            let other = [("Godwitdeal-Request-Id", "other"), ("Godwitdeal-Response-Stamp", name)];
            answer(stream, 200, &other, b"of another")
                && answer(stream, 200, &stamped, name.as_bytes())
        }
        Manner::CutBody => {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 100\r\ngodwitdeal-request-id: {id}\r\n\
                 godwitdeal-response-stamp: {name}\r\n\r\nshort"
            );
            let _ = stream.write_all(head.as_bytes());
            false
        }
        Manner::Stream { events, is_whole } => {
            stream_events(name, request, events, is_whole, stream, |_| {})
        }
        Manner::Stall { events, after, silent } => {
            stream_events(name, request, events, true, stream, |number| {
                if number == after {
                    stall(own, request, silent);
                }
            })
        }
    }
}

/// Holds a stream back as a stage does whose successor is gone.
fn stall(own: &Mutex<OwnCalls>, request: &Message, silent: Duration) {
    let id = request.header("godwitdeal-request-id").unwrap_or_default();
    let second = request.header("godwitdeal-hop-count").and_then(|hops| hops.split(',').nth(1));
    let address = second.and_then(|hop| hop.split('=').next()).unwrap_or_default();
    own.lock().expect("no panic").stalled.insert(id.to_string(), address.to_string());
    let give_up = Instant::now() + silent;
    let is_moved = || {
        let own = own.lock().expect("no panic");
        own.order_status < 300 && own.orders.iter().any(|order| order["Id"] == id)
    };
    while Instant::now() < give_up && !is_moved() {
        std::thread::sleep(EVENT_PAUSE);
    }
    own.lock().expect("no panic").stalled.remove(id);
}

fn stream_events(
    name: &str,
    request: &Message,
    events: u64,
    is_whole: bool,
    stream: &mut TcpStream,
    before_event: impl Fn(u64),
) -> bool {
    let id = request.header("godwitdeal-request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n\
         godwitdeal-request-id: {id}\r\ngodwitdeal-response-stamp: {name}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0_u64);
    for number in last + 1..=events {
        before_event(number);
        let is_cut = number == events && !is_whole;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let event = if is_cut { &event[..event.len() / 2] } else { &event };
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() || is_cut {
            return false;
        }
        std::thread::sleep(EVENT_PAUSE);
    }
    is_whole && stream.write_all(b"0\r\n\r\n").is_ok()
}
