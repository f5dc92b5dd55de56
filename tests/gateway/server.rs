//! Stand-ins of backend servers, whose answers a test chooses.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
}

/// A backend server that keeps what it is asked.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<Message>>>,
}

impl Server {
    /// Starts a server that answers the n-th request in the n-th manner, and all later ones in the last.
    pub(crate) fn start(id: &str, manners: &[Manner]) -> Server {
        let requests: Arc<Mutex<Vec<Message>>> = Arc::default();
        let (kept, name, manners) = (requests.clone(), id.to_string(), manners.to_vec());
        let address = serve_connections(move |request, stream| {
            if request.word(1).starts_with("/api/") {
                return own_call(request, stream);
            }
            let mut requests = kept.lock().expect("no panic");
            let manner = manners[requests.len().min(manners.len() - 1)];
            requests.push(request.clone());
            drop(requests);
            serve(&name, manner, request, stream)
        });
        Server { id: id.to_string(), address, requests }
    }

    /// What was sent to it, besides calls of its own interface.
    pub(crate) fn requests(&self) -> Vec<Message> {
        self.requests.lock().expect("no panic").clone()
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

fn own_call(request: &Message, stream: &mut TcpStream) -> bool {
    if request.word(0) == "POST" {
        return answer(stream, 202, &[], b"");
    }
    let report = json!({"Sequence": 0, "Busy": false, "pace": 1.0, "Stalled": []});
    answer(stream, 200, &[], report.to_string().as_bytes())
}

fn serve(name: &str, manner: Manner, request: &Message, stream: &mut TcpStream) -> bool {
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
            stream_events(name, id, request, events, is_whole, stream)
        }
    }
}

fn stream_events(
    name: &str,
    id: &str,
    request: &Message,
    events: u64,
    is_whole: bool,
    stream: &mut TcpStream,
) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n\
         godwitdeal-request-id: {id}\r\ngodwitdeal-response-stamp: {name}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0_u64);
    for number in last + 1..=events {
        let is_cut = number == events && !is_whole;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let event = if is_cut { &event[..event.len() / 2] } else { &event };
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() || is_cut {
            return false;
        }
        std::thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}
