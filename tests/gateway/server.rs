//! Stand-ins of backend servers, whose answers a test chooses.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Message, serve_connections, write_response};

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// How a server answers a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    /// Whole, with its name as the body.
    Respond,
    /// With this status, as run.
    Status(u16),
    /// Not run, since it is full.
    RejectNotRun,
    /// The connection closes without an answer.
    CloseWithoutResponse,
    /// An answer to another request comes before.
    StrayResponseFirst,
    /// The body ends before its length.
    TruncateBody,
    /// So many events, the last one cut in its middle if not whole.
    Stream { events: u64, is_complete: bool },
    /// Whole, but silent after so many events for a time or until an order takes the request over another path;
    /// meanwhile its reports name the second stage.
    Stall { events: u64, stall_before: u64, duration: Duration },
}

/// What a server's own interface shows and was told.
struct ControlState {
    /// Stalled requests, each with the stage that it waits for.
    stalled: BTreeMap<String, String>,
    /// Status of the answers to orders.
    order_status: u16,
    /// Orders it was given.
    orders: Vec<Value>,
}

/// A backend server that keeps what it is asked.
#[derive(Clone)]
pub(crate) struct FakeServer {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    handled: Arc<Mutex<Vec<(Message, Behavior)>>>,
    control: Arc<Mutex<ControlState>>,
}

impl FakeServer {
    /// Starts a server that answers the n-th request in the n-th manner, and all later ones in the last.
    pub(crate) fn start(id: &str, behaviors: &[Behavior]) -> FakeServer {
        FakeServer::start_with_orders(id, behaviors, 202)
    }

    /// Starts a server that answers orders with this status.
    pub(crate) fn start_with_orders(
        id: &str,
        behaviors: &[Behavior],
        order_status: u16,
    ) -> FakeServer {
        let control = ControlState { stalled: BTreeMap::new(), order_status, orders: Vec::new() };
        let control = Arc::new(Mutex::new(control));
        let handled: Arc<Mutex<Vec<(Message, Behavior)>>> = Arc::default();
        let (shared_handled, name, behaviors) =
            (handled.clone(), id.to_string(), behaviors.to_vec());
        let shared_control = control.clone();
        let address = serve_connections(move |request, stream| {
            if request.start_line_part(1).starts_with("/api/") {
                return answer_control_request(&shared_control, request, stream);
            }
            let mut handled = shared_handled.lock().expect("no panic");
            let behavior = behaviors[handled.len().min(behaviors.len() - 1)];
            handled.push((request.clone(), behavior));
            drop(handled);
            respond(&name, behavior, &shared_control, request, stream)
        });
        FakeServer { id: id.to_string(), address, handled, control }
    }

    /// What was sent to it, besides calls of its own interface.
    pub(crate) fn requests(&self) -> Vec<Message> {
        self.handled().into_iter().map(|(request, _)| request).collect()
    }

    /// What was sent to it, each with the manner of its answer.
    pub(crate) fn handled(&self) -> Vec<(Message, Behavior)> {
        self.handled.lock().expect("no panic").clone()
    }

    /// Orders it was given.
    pub(crate) fn orders(&self) -> Vec<Value> {
        self.control.lock().expect("no panic").orders.clone()
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

fn answer_control_request(
    control: &Mutex<ControlState>,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let mut control = control.lock().expect("no panic");
    if request.start_line_part(0) == "POST" {
        control.orders.push(serde_json::from_slice(&request.body).expect("orders carry JSON"));
        return write_response(stream, control.order_status, &[], b"");
    }
    let stalled = control.stalled.iter().map(|(id, address)| json!({"Id": id, "Address": address}));
    let stalled: Vec<Value> = stalled.collect();
    let report = json!({"Sequence": 0, "Busy": false, "pace": 1.0, "Stalled": stalled});
    write_response(stream, 200, &[], report.to_string().as_bytes())
}

fn respond(
    name: &str,
    behavior: Behavior,
    control: &Mutex<ControlState>,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let id = request.header("godwitdeal-request-id").unwrap_or_default();
    let stamp_headers = [("Godwitdeal-Request-Id", id), ("Godwitdeal-Response-Stamp", name)];
    match behavior {
        Behavior::Respond => write_response(stream, 200, &stamp_headers, name.as_bytes()),
        Behavior::Status(status) => write_response(stream, status, &stamp_headers, name.as_bytes()),
        Behavior::RejectNotRun => {
            let headers = [("Godwitdeal-Request-Id", id), ("Godwitdeal-Not-Executed", "1")];
            write_response(stream, 503, &headers, b"")
        }
        Behavior::CloseWithoutResponse => false,
        Behavior::StrayResponseFirst => {
            let stray_headers =
                [("Godwitdeal-Request-Id", "other"), ("Godwitdeal-Response-Stamp", name)];
            write_response(stream, 200, &stray_headers, b"of another")
                && write_response(stream, 200, &stamp_headers, name.as_bytes())
        }
        Behavior::TruncateBody => {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 100\r\ngodwitdeal-request-id: {id}\r\n\
                 godwitdeal-response-stamp: {name}\r\n\r\nshort"
            );
            let _ = stream.write_all(head.as_bytes());
            false
        }
        Behavior::Stream { events, is_complete } => {
            send_events(name, request, events, is_complete, stream, |_| {})
        }
        Behavior::Stall { events, stall_before, duration } => {
            send_events(name, request, events, true, stream, |number| {
                if number == stall_before {
                    stall(control, request, duration);
                }
            })
        }
    }
}

/// Holds a stream back as a stage does whose successor is gone.
fn stall(control: &Mutex<ControlState>, request: &Message, duration: Duration) {
    let id = request.header("godwitdeal-request-id").unwrap_or_default();
    let second_hop = request.header("godwitdeal-hop-count").and_then(|hops| hops.split(',').nth(1));
    let address = second_hop.and_then(|hop| hop.split('=').next()).unwrap_or_default();
    control.lock().expect("no panic").stalled.insert(id.to_string(), address.to_string());
    let deadline = Instant::now() + duration;
    let is_moved = || {
        let control = control.lock().expect("no panic");
        control.order_status < 300 && control.orders.iter().any(|order| order["Id"] == id)
    };
    while Instant::now() < deadline && !is_moved() {
        std::thread::sleep(EVENT_INTERVAL);
    }
    control.lock().expect("no panic").stalled.remove(id);
}

fn send_events(
    name: &str,
    request: &Message,
    events: u64,
    is_complete: bool,
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
    let last_event_id =
        request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0_u64);
    for number in last_event_id + 1..=events {
        before_event(number);
        let is_truncated = number == events && !is_complete;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let event = if is_truncated { &event[..event.len() / 2] } else { &event };
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() || is_truncated {
            return false;
        }
        std::thread::sleep(EVENT_INTERVAL);
    }
    is_complete && stream.write_all(b"0\r\n\r\n").is_ok()
}
