//! Fake backend servers whose responses a test chooses.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Message, serve_connections, write_response};

/// Time between two events of a stream, and between two checks of a stalled stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// How a fake server responds to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    /// A complete response with the server's id as the body.
    Respond,
    /// A complete response with this status; the request ran.
    Status(u16),
    /// A refusal that states that the request did not run, as a full server sends it.
    RejectNotRun,
    /// The connection closes without a response.
    CloseWithoutResponse,
    /// A response to another request precedes the response.
    StrayResponseFirst,
    /// The connection closes before the body has its announced length.
    TruncateBody,
    /// A stream up to the event numbered `events`; if not complete, the connection closes in the middle of this event.
    Stream { events: u64, is_complete: bool },
    /// A complete stream that stalls before the event numbered `stall_before`, for `duration` or until an order moves
    /// the request to another path. Meanwhile the server's reports list the request with the second stage of its path.
    Stall { events: u64, stall_before: u64, duration: Duration },
}

/// State of a server's control interface (paths below `/api/`).
struct ControlState {
    /// Ids of the stalled requests, each with the address of the stage that it waits for.
    stalled: BTreeMap<String, String>,
    /// Status of the responses to orders.
    order_status: u16,
    /// Orders received.
    orders: Vec<Value>,
}

/// A fake backend server that records its requests.
#[derive(Clone)]
pub(crate) struct FakeServer {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    handled: Arc<Mutex<Vec<(Message, Behavior)>>>,
    control: Arc<Mutex<ControlState>>,
}

impl FakeServer {
    /// Starts a server that responds to the n-th request with the n-th behavior, and to all later ones with the last.
    pub(crate) fn start(id: &str, behaviors: &[Behavior]) -> FakeServer {
        FakeServer::start_with_orders(id, behaviors, 202)
    }

    /// Starts a server that responds to orders with a given status.
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

    /// Returns the requests received so far, except those of the control interface.
    pub(crate) fn requests(&self) -> Vec<Message> {
        self.handled().into_iter().map(|(request, _)| request).collect()
    }

    /// Returns the requests received so far, each with the behavior of its response.
    pub(crate) fn handled(&self) -> Vec<(Message, Behavior)> {
        self.handled.lock().expect("no panic").clone()
    }

    /// Returns the orders received so far.
    pub(crate) fn orders(&self) -> Vec<Value> {
        self.control.lock().expect("no panic").orders.clone()
    }

    /// Returns the entry that registers this server in the store.
    pub(crate) fn entry(&self, service: &str, layers: Option<(u32, u32)>) -> Value {
        let layers = layers.map(|(from, to)| json!({"From": from, "To": to, "Version": 1}));
        json!({
            "Service": service, "Address": self.address.to_string(), "Zone": "hall-a", "Version": "v1",
            "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Kind": "l40s", "Layers": layers, "Sequence": 1
        })
    }
}

/// Handles a request of the control interface: a `POST` is an order, any other method requests the report.
fn answer_control_request(
    control: &Mutex<ControlState>,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let mut control = control.lock().expect("no panic");
    if request.start_line_part(0) == "POST" {
        control.orders.push(serde_json::from_slice(&request.body).expect("an order is JSON"));
        return write_response(stream, control.order_status, &[], b"");
    }
    let stalled = control.stalled.iter().map(|(id, address)| json!({"Id": id, "Address": address}));
    let stalled: Vec<Value> = stalled.collect();
    let report = json!({"Sequence": 0, "Busy": false, "pace": 1.0, "Stalled": stalled});
    write_response(stream, 200, &[], report.to_string().as_bytes())
}

/// Responds according to `behavior` and returns whether the connection stays open.
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

/// Holds a stream back like a stage whose next stage is lost.
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

/// Sends a stream from the event after the request's `last-event-id`, and returns whether the connection stays open.
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
