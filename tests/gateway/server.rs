//! Fake backend servers whose responses a test chooses.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

use crate::broken_answers::BrokenAnswer;
use crate::http::{Listener, Message, write_response};
use crate::malformed_answers::MalformedAnswer;
use crate::pauses::Pauses;

/// Time between two events of a stream, and between two checks of a stalled stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Last segment of the path of a request that ends each server on which it runs, before its response.
pub(crate) const END_SERVER: &str = "end-server";

/// Last segment of the path of a request that ends each server on which it runs, after it has run for [`RUN_BEFORE_END`].
pub(crate) const END_SERVER_AFTER_RUN: &str = "end-server-after-run";

/// Last segment of the path of a request that ends each server on which it runs, [`RUN_BEFORE_END`] after an error response.
pub(crate) const END_SERVER_AFTER_ERROR: &str = "end-server-after-error";

/// The same, with [`RUN_BEFORE_END`] before the error response as well.
pub(crate) const END_SERVER_AFTER_LATE_ERROR: &str = "end-server-after-late-error";

/// Last segment of the path of a request that runs for [`RUN_BEFORE_END`] before its response.
pub(crate) const RUN_FIRST: &str = "run-first";

/// Last segment of the path of a stream that ends each server on which it runs, [`RUN_BEFORE_END`] after the response head.
pub(crate) const END_SERVER_AFTER_HEAD: &str = "end-server-after-head";

/// Last segment of the path of a stream that ends each server on which it runs, in the middle of the stream.
pub(crate) const END_SERVER_IN_STREAM: &str = "end-server-in-stream";

/// Last segment of the path of a stream that ends each server that becomes the second stage of its path.
pub(crate) const END_SECOND_STAGE: &str = "end-second-stage";

/// Part of a prompt with which a stream ends each server that begins to write its response. Digits after it are the number
/// of events that the server writes before its end, or [`DEADLY_AT_RANDOM`].
pub(crate) const DEADLY_PART: &str = "dead0";

/// Digits after [`DEADLY_PART`] for a number of events that is drawn for each stream, below [`MAX_DEADLY_EVENTS`].
pub(crate) const DEADLY_AT_RANDOM: &str = "ff";

const MAX_DEADLY_EVENTS: u64 = 18;

/// Header with the parts of a prompt.
pub(crate) const PROMPT_PARTS_HEADER: &str = "godwitdeal-prompt-prefix";

/// Time for which a request runs before it ends its server, or before its response.
const RUN_BEFORE_END: Duration = Duration::from_millis(60);

/// Number of events that a stream sends before it ends its server.
const EVENTS_BEFORE_END: u64 = 3;

/// Number of accepted orders in reports that are malformed.
const FALSE_SEQUENCE: u64 = 7;

/// Time after which a server cuts a stream that waits for a stage that has ended; `stall_ms` of the settings.
const STALL_CUT: Duration = Duration::from_secs(3);

/// Header in which a server names the requests a second that it takes from all hosts together.
const LIMIT_HEADER: &str = "Server-Limit";

/// All fake servers that were started, by address.
static SERVERS_BY_ADDRESS: Mutex<BTreeMap<String, FakeServer>> = Mutex::new(BTreeMap::new());

/// How a fake server responds to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    /// A complete response with the server's id as the body.
    Respond,
    /// A complete response with this status; the request ran.
    Status(u16),
    /// A refusal that states that the request did not run, as a full server sends it.
    RejectNotRun,
    /// The same, with a time in seconds for which the server wants no requests of the host.
    RejectFor(u64),
    /// The connection closes without a response.
    CloseWithoutResponse,
    /// A response to another request precedes the response.
    StrayResponseFirst,
    /// A response without a length, whose connection ends after a pause, closed or reset.
    UntilClose { pause: Duration, is_reset: bool },
    /// The connection closes after this number of bytes of the head of a response; before its last one in any case.
    CutHead { framing: BodyFraming, bytes: usize },
    /// The connection closes before the body has its announced length.
    TruncateBody,
    /// A stream up to the event numbered `events`; if not complete, the connection closes in the middle of this event.
    Stream { events: u64, is_complete: bool },
    /// A complete stream that stalls before the event numbered `stall_before`, for `duration` or until an order moves
    /// the request to another path. Meanwhile the server's reports list the request with the second stage of its path.
    Stall { events: u64, stall_before: u64, duration: Duration },
    /// Bytes that belong to no answer, until the host closes the connection.
    Endless(EndlessBytes),
    /// An answer that ends or comes again where a sound one would not.
    Broken(BrokenAnswer),
    /// An answer with a fault in its head or framing.
    Malformed(MalformedAnswer),
    /// A response whose framing, content and end the test chooses.
    Scripted(Script),
}

/// How the end of a scripted body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    Length,
    Chunked,
    UntilClose,
}

impl BodyFraming {
    /// Returns the header line that tells the framing of a body.
    fn header_line(self, length_bytes: usize) -> String {
        match self {
            BodyFraming::Length => format!("content-length: {length_bytes}\r\n"),
            BodyFraming::Chunked => "transfer-encoding: chunked\r\n".to_string(),
            BodyFraming::UntilClose => "connection: close\r\n".to_string(),
        }
    }
}

/// A response with status 200 that is complete by its framing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Script {
    pub(crate) framing: BodyFraming,
    pub(crate) content_type: Option<&'static str>,
    /// Number of events that are due and left out at the start.
    pub(crate) skipped: u64,
    /// Number of the last event, none of which is sent if it is 0.
    pub(crate) events: u64,
    /// Whether the body ends in the middle of the last event.
    pub(crate) ends_in_event: bool,
    /// Text after the events.
    pub(crate) text: &'static str,
    /// Whether the server ends with the body, before it closes the connection.
    pub(crate) ends_server: bool,
}

impl Script {
    /// Returns a sound stream of events.
    pub(crate) fn stream(framing: BodyFraming, events: u64) -> Script {
        Script {
            framing,
            content_type: Some("text/event-stream"),
            skipped: 0,
            events,
            ends_in_event: false,
            text: "",
            ends_server: false,
        }
    }

    /// Sends the response from the event after the request's `last-event-id`, and returns whether the connection stays
    /// open.
    fn send(self, name: &str, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("godwitdeal-request-id").unwrap_or_default();
        let first = last_event_id(request) + 1 + self.skipped;
        let mut pieces: Vec<String> = (first..=self.events).map(event).collect();
        if let Some(last) = pieces.last_mut().filter(|_| self.ends_in_event) {
            last.truncate(last.len() / 2);
        }
        pieces.push(self.text.to_string());
        pieces.retain(|piece| !piece.is_empty());
        let content_type = self.content_type.map(|value| format!("content-type: {value}\r\n"));
        let framing = self.framing.header_line(pieces.iter().map(String::len).sum());
        if self.framing == BodyFraming::Chunked {
            pieces =
                pieces.iter().map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len())).collect();
            pieces.push("0\r\n\r\n".to_string());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{framing}{}godwitdeal-request-id: {id}\r\n\
             godwitdeal-response-stamp: {name}\r\n\r\n",
            content_type.unwrap_or_default()
        );
        pieces.insert(0, head);
        let is_sent = pieces.iter().all(|piece| {
            std::thread::sleep(EVENT_INTERVAL);
            stream.write_all(piece.as_bytes()).is_ok()
        });
        is_sent && self.framing != BodyFraming::UntilClose
    }
}

/// What a server sends until its connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndlessBytes {
    /// Bytes of another protocol in place of a head.
    OtherProtocol,
    /// A header without an end.
    Header,
    /// Headers without an end of the head.
    Headers,
    /// Interim responses.
    InterimResponses,
    /// A chunk size without an end.
    ChunkSize,
    /// Chunks.
    Chunks,
    /// Trailers after the last chunk.
    Trailers,
    /// A body without a length.
    Body,
    /// Bytes after a complete answer.
    AfterAnswer,
    /// Responses to other requests.
    StrayResponses,
    /// An event without an end.
    Event,
    /// The first event of a stream, again and again.
    SameEvent,
    /// An event of which a byte is sent now and then.
    SlowEvent,
    /// A body without a length, of which many connections have a part at the same time.
    PacedBody,
}

/// Length of the body that a head of [`Behavior::CutHead`] announces, in bytes.
const CUT_BODY_BYTES: usize = 15;

/// Pause between two bytes of [`EndlessBytes::SlowEvent`].
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(150);

/// Pause between two pieces of [`EndlessBytes::PacedBody`], and their size.
const PACED_PIECE_INTERVAL: Duration = Duration::from_millis(20);
const PACED_PIECE_BYTES: usize = 64 << 10;

/// Sends endless bytes until the connection is closed.
fn send_endless(kind: EndlessBytes, id: &str, name: &str, stream: &mut TcpStream) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\ngodwitdeal-request-id: {id}\r\ngodwitdeal-response-stamp: {name}\r\n"
    );
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let event = "id: 1\ndata: piece 1\n\n";
    let event_chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let data_chunk = format!("1000\r\n{}\r\n", "x".repeat(4096));
    let (start, repeated) = match kind {
        EndlessBytes::OtherProtocol => (String::new(), "\u{1}binary".repeat(512)),
        EndlessBytes::Header => (format!("{head}x-endless: "), "y".repeat(4096)),
        EndlessBytes::Headers => (head, "x-more: yes\r\n".repeat(64)),
        EndlessBytes::InterimResponses => {
            (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(64))
        }
        EndlessBytes::ChunkSize => (chunked, "0".repeat(4096)),
        EndlessBytes::Chunks => (chunked, data_chunk),
        EndlessBytes::Trailers => (format!("{chunked}0\r\n"), "x-trailer: yes\r\n".repeat(64)),
        EndlessBytes::Body => (format!("{head}connection: close\r\n\r\n"), "z".repeat(4096)),
        EndlessBytes::AfterAnswer => {
            (format!("{head}content-length: {}\r\n\r\n{name}", name.len()), "more".repeat(1024))
        }
        EndlessBytes::StrayResponses => {
            let stray = "HTTP/1.1 200 OK\r\ngodwitdeal-request-id: other\r\n\
                         godwitdeal-response-stamp: s\r\ncontent-length: 1\r\n\r\nx";
            (String::new(), stray.repeat(16))
        }
        EndlessBytes::Event => (format!("{chunked}{event_chunk}"), data_chunk),
        EndlessBytes::SameEvent => (chunked, event_chunk),
        EndlessBytes::SlowEvent => (format!("{chunked}{event_chunk}"), "1\r\nx\r\n".to_string()),
        EndlessBytes::PacedBody => {
            (format!("{head}connection: close\r\n\r\n"), "z".repeat(PACED_PIECE_BYTES))
        }
    };
    if stream.write_all(start.as_bytes()).is_err() {
        return false;
    }
    while stream.write_all(repeated.as_bytes()).is_ok() {
        match kind {
            EndlessBytes::SlowEvent => std::thread::sleep(SLOW_BYTE_INTERVAL),
            EndlessBytes::PacedBody => std::thread::sleep(PACED_PIECE_INTERVAL),
            _ => {}
        }
    }
    false
}

/// State of a server's control interface (paths below `/api/`).
struct ControlState {
    /// Ids of the stalled requests, each with the address of the stage that it waits for.
    stalled: BTreeMap<String, String>,
    /// Status of the responses to orders.
    order_status: u16,
    /// Orders received.
    orders: Vec<Value>,
    /// Values of the header with which the server names its limit in each response.
    limits: Vec<String>,
    /// Further headers of each response, also of the control interface.
    notices: Vec<(&'static str, &'static str)>,
    /// Head of the reports in place of a sound one; `LENGTH` stands for the length of the body.
    report_head: Option<&'static str>,
}

/// A request that a server received.
#[derive(Clone)]
pub(crate) struct HandledRequest {
    pub(crate) request: Message,
    pub(crate) behavior: Behavior,
    pub(crate) received_at: Instant,
    /// Whether the connection had carried a request before.
    pub(crate) is_on_kept_connection: bool,
}

thread_local! {
    /// Whether a connection has carried a request. Each connection has its own thread.
    static HAS_CARRIED: Cell<bool> = const { Cell::new(false) };
}

/// What a server does for a time in place of its behavior, to all requests or to those whose path ends with a segment.
#[derive(Clone, Copy)]
struct Fault {
    behavior: Behavior,
    last_segment: Option<&'static str>,
}

/// A fake backend server that records its requests.
#[derive(Clone)]
pub(crate) struct FakeServer {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    listener: Arc<OnceLock<Listener>>,
    ended_at: Arc<Mutex<Option<Instant>>>,
    /// Whether requests no longer end the server.
    is_robust: Arc<AtomicBool>,
    /// Whether another process goes on listening at the address after the end, and closes its connections.
    keeps_listening: Arc<AtomicBool>,
    /// Time for which the server works on each request before it answers, in milliseconds.
    work_ms: Arc<AtomicU64>,
    handled: Arc<Mutex<Vec<HandledRequest>>>,
    control: Arc<Mutex<ControlState>>,
    repeats: Arc<Mutex<Repeats>>,
    fault: Arc<Mutex<Option<Fault>>>,
    pub(crate) pauses: Arc<Pauses>,
}

impl Behavior {
    /// Whether the response states that the request did not run.
    pub(crate) fn is_not_run(self) -> bool {
        match self {
            Behavior::RejectNotRun | Behavior::RejectFor(_) => true,
            Behavior::Broken(answer) => answer.is_not_run(),
            _ => false,
        }
    }
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
        let control = ControlState {
            stalled: BTreeMap::new(),
            order_status,
            orders: Vec::new(),
            limits: Vec::new(),
            notices: Vec::new(),
            report_head: None,
        };
        let mut server = FakeServer {
            id: id.to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            listener: Arc::default(),
            ended_at: Arc::default(),
            is_robust: Arc::default(),
            keeps_listening: Arc::default(),
            work_ms: Arc::default(),
            handled: Arc::default(),
            control: Arc::new(Mutex::new(control)),
            repeats: Arc::default(),
            fault: Arc::default(),
            pauses: Arc::default(),
        };
        let (shared, behaviors) = (server.clone(), behaviors.to_vec());
        let listener =
            Listener::start(move |request, stream| shared.serve(&behaviors, request, stream));
        server.address = listener.address;
        let is_first = server.listener.set(listener).is_ok();
        assert!(is_first, "a server has one listener");
        let mut servers = SERVERS_BY_ADDRESS.lock().expect("no panic");
        servers.insert(server.address.to_string(), server.clone());
        server
    }

    /// Makes the server work on each request for a time from now on.
    pub(crate) fn answer_after(&self, work_time: Duration) {
        self.work_ms.store(work_time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Makes the server respond to requests at once with a behavior, all or those whose path ends with a segment; none ends
    /// it.
    pub(crate) fn fail(&self, behavior: Option<Behavior>, last_segment: Option<&'static str>) {
        let fault = behavior.map(|behavior| Fault { behavior, last_segment });
        *self.fault.lock().expect("no panic") = fault;
    }

    /// Serves one request and returns whether the connection stays open.
    fn serve(&self, behaviors: &[Behavior], request: &Message, stream: &mut TcpStream) -> bool {
        if self.ended_at().is_some() {
            return false;
        }
        if request.start_line_part(1).starts_with("/api/") {
            return answer_control_request(&self.control, request, stream);
        }
        let repeat = self.repeats.lock().expect("no panic").repeat;
        if let Some(repeat) = repeat {
            return self.serve_with_repeats(repeat, request, stream);
        }
        let mut handled = self.handled.lock().expect("no panic");
        let fault = *self.fault.lock().expect("no panic");
        let last_segment = request.start_line_part(1).rsplit('/').next();
        let fault = fault.filter(|it| it.last_segment.is_none() || it.last_segment == last_segment);
        let behavior = fault.map(|fault| fault.behavior);
        let behavior = behavior.unwrap_or(behaviors[handled.len().min(behaviors.len() - 1)]);
        let received_at = Instant::now();
        let is_on_kept_connection = HAS_CARRIED.replace(true);
        let request_copy = request.clone();
        handled.push(HandledRequest {
            request: request_copy,
            behavior,
            received_at,
            is_on_kept_connection,
        });
        drop(handled);
        if fault.is_none() {
            std::thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::Relaxed)));
        }
        let parts = request.header(PROMPT_PARTS_HEADER).unwrap_or_default();
        let mut parts = parts.split([',', ':']);
        let deadly = parts.find_map(|part| part.strip_prefix(DEADLY_PART));
        if let Some(digits) = deadly.filter(|_| !self.is_robust.load(Ordering::Relaxed)) {
            let events = match digits {
                DEADLY_AT_RANDOM => rand::random_range(0..MAX_DEADLY_EVENTS),
                digits => digits.parse().unwrap_or_default(),
            };
            return match (events, behavior) {
                (0, _) => self.end_after_head(request, stream),
                (_, Behavior::Stream { events: all, .. }) => {
                    self.end_after_events(events, all, request, stream)
                }
                _ => self.end(),
            };
        }
        if let Behavior::Broken(answer) = behavior {
            let stays_open = answer.send(&self.id, request, stream);
            if answer.ends_process() && !self.is_robust.load(Ordering::Relaxed) {
                self.end();
            }
            return stays_open;
        }
        let last_segment = request.start_line_part(1).rsplit('/').next();
        match last_segment.filter(|_| !self.is_robust.load(Ordering::Relaxed)) {
            Some(END_SERVER) => self.end(),
            Some(END_SERVER_AFTER_RUN) => {
                std::thread::sleep(RUN_BEFORE_END);
                self.end()
            }
            Some(END_SERVER_AFTER_ERROR) => self.end_after_error(request, stream),
            Some(END_SERVER_AFTER_LATE_ERROR) => {
                std::thread::sleep(RUN_BEFORE_END);
                self.end_after_error(request, stream)
            }
            Some(RUN_FIRST) => {
                std::thread::sleep(RUN_BEFORE_END);
                respond(&self.id, behavior, &self.control, request, stream)
            }
            Some(END_SERVER_AFTER_HEAD) => self.end_after_head(request, stream),
            Some(END_SERVER_IN_STREAM) => {
                send_events(&self.id, &self.control, request, u64::MAX, true, stream, |number| {
                    let first = 1 + last_event_id(request);
                    if number == first + EVENTS_BEFORE_END {
                        self.end();
                    }
                })
            }
            Some(END_SECOND_STAGE) => {
                send_events(&self.id, &self.control, request, u64::MAX, true, stream, |_| {
                    self.end_second_stages(request);
                })
            }
            _ => {
                if let Some(stays_open) = self.pauses.serve(&self.id, request, stream) {
                    return stays_open;
                }
                let stays_open = respond(&self.id, behavior, &self.control, request, stream);
                match behavior {
                    Behavior::Scripted(script) if script.ends_server => self.end(),
                    _ => stays_open,
                }
            }
        }
    }

    /// Names a limit in each response from now on, in one header for each value; none ends it.
    pub(crate) fn name_limit(&self, values: &[&str]) {
        let values = values.iter().map(ToString::to_string).collect();
        self.control.lock().expect("no panic").limits = values;
    }

    /// Adds headers to each response from now on, also of the control interface.
    pub(crate) fn add_notices(&self, notices: &[(&'static str, &'static str)]) {
        self.control.lock().expect("no panic").notices = notices.to_vec();
    }

    /// Sends reports behind another head from now on, which count orders that the server has not accepted.
    pub(crate) fn send_malformed_reports(&self, head: &'static str) {
        self.control.lock().expect("no panic").report_head = Some(head);
    }

    /// Makes the server answer the requests that otherwise end it.
    pub(crate) fn make_robust(&self) {
        self.is_robust.store(true, Ordering::Relaxed);
    }

    /// Lets another process listen at the address after the end of the server.
    pub(crate) fn keep_listening(&self) {
        self.keeps_listening.store(true, Ordering::Relaxed);
    }

    /// Ends the server like the end of its process. Returns false, as the connections are closed.
    pub(crate) fn end(&self) -> bool {
        self.ended_at.lock().expect("no panic").get_or_insert_with(Instant::now);
        if !self.keeps_listening.load(Ordering::Relaxed) {
            self.listener.get().expect("the server has started").close();
        }
        false
    }

    /// Sends the head of a stream and ends [`RUN_BEFORE_END`] later.
    fn end_after_head(&self, request: &Message, stream: &mut TcpStream) -> bool {
        send_events(&self.id, &self.control, request, u64::MAX, true, stream, |_| {
            std::thread::sleep(RUN_BEFORE_END);
            self.end();
        })
    }

    /// Writes a whole stream of `all` events, but ends after the given number of them, if there are as many left to write.
    fn end_after_events(
        &self,
        events: u64,
        all: u64,
        request: &Message,
        stream: &mut TcpStream,
    ) -> bool {
        let end_before = last_event_id(request) + events + 1;
        // An end after the last event comes ahead of that of the response.
        let last = all.max(end_before);
        send_events(&self.id, &self.control, request, last, true, stream, |number| {
            if number == end_before {
                self.end();
            }
        })
    }

    /// Answers with an error and ends [`RUN_BEFORE_END`] later.
    fn end_after_error(&self, request: &Message, stream: &mut TcpStream) -> bool {
        respond(&self.id, Behavior::Status(504), &self.control, request, stream);
        std::thread::sleep(RUN_BEFORE_END);
        self.end()
    }

    /// Ends the second stage of a request's path, and of each path to which the request is moved. Ends this server's
    /// connections if the request is not moved in time.
    fn end_second_stages(&self, request: &Message) {
        let id = request.header("godwitdeal-request-id").unwrap_or_default();
        let mut path = request.header("godwitdeal-hop-count").unwrap_or_default().to_string();
        let mut moves = 0;
        loop {
            let stage = path.split(',').nth(1).and_then(|hop| hop.split('=').next());
            let address = stage.unwrap_or_default().to_string();
            let ended = SERVERS_BY_ADDRESS.lock().expect("no panic").get(&address).cloned();
            if let Some(server) = ended {
                server.end();
            }
            self.control.lock().expect("no panic").stalled.insert(id.to_string(), address);
            let deadline = Instant::now() + STALL_CUT;
            let next_path = loop {
                let orders = self.orders();
                let mut moved = orders.iter().filter(|order| order["Id"] == id);
                if let Some(order) = moved.nth(moves) {
                    break order["Path"].as_str().map(str::to_string);
                }
                if Instant::now() > deadline {
                    break None;
                }
                std::thread::sleep(EVENT_INTERVAL);
            };
            self.control.lock().expect("no panic").stalled.remove(id);
            match next_path {
                Some(next_path) => path = next_path,
                None => {
                    self.end();
                    return;
                }
            }
            moves += 1;
        }
    }

    /// Returns when the server ended, none while it runs.
    pub(crate) fn ended_at(&self) -> Option<Instant> {
        *self.ended_at.lock().expect("no panic")
    }

    /// Returns the requests received so far, except those of the control interface.
    pub(crate) fn requests(&self) -> Vec<Message> {
        self.handled().into_iter().map(|handled| handled.request).collect()
    }

    /// Returns the requests received so far, each with the behavior of its response.
    pub(crate) fn handled(&self) -> Vec<HandledRequest> {
        self.handled.lock().expect("no panic").clone()
    }

    /// Returns the orders received so far.
    pub(crate) fn orders(&self) -> Vec<Value> {
        self.control.lock().expect("no panic").orders.clone()
    }

    /// Returns the entry that registers this server in the store.
    pub(crate) fn entry(&self, service: &str, layers: Option<(u32, u32)>) -> Value {
        server_entry(self.address, service, layers)
    }
}

/// Returns the entry that registers the server at an address in the store.
pub(crate) fn server_entry(
    address: SocketAddr,
    service: &str,
    layers: Option<(u32, u32)>,
) -> Value {
    let layers = layers.map(|(from, to)| json!({"From": from, "To": to, "Version": 1}));
    json!({
        "Service": service, "Address": address.to_string(), "Zone": "hall-a", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Kind": "l40s", "Layers": layers, "Sequence": 1
    })
}

/// Handles a request of the control interface: a `POST` is an order, any other method requests the report.
fn answer_control_request(
    control: &Mutex<ControlState>,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let mut control = control.lock().expect("no panic");
    let notices = control.notices.clone();
    if request.start_line_part(0) == "POST" {
        control.orders.push(serde_json::from_slice(&request.body).expect("an order is JSON"));
        return write_response(stream, control.order_status, &notices, b"");
    }
    let stalled = control.stalled.iter().map(|(id, address)| json!({"Id": id, "Address": address}));
    let stalled: Vec<Value> = stalled.collect();
    let mut report = json!({"Sequence": 0, "Busy": false, "pace": 1.0, "Stalled": stalled});
    if let Some(head) = control.report_head {
        report["Sequence"] = json!(FALSE_SEQUENCE);
        let body = report.to_string();
        let head = head.replace("LENGTH", &body.len().to_string());
        return stream.write_all((head + &body).as_bytes()).is_ok();
    }
    write_response(stream, 200, &notices, report.to_string().as_bytes())
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
    let (limits, notices) = {
        let control = control.lock().expect("no panic");
        (control.limits.clone(), control.notices.clone())
    };
    let limit_headers = limits.iter().map(|value| (LIMIT_HEADER, value.as_str())).chain(notices);
    let mut stamp_headers =
        vec![("Godwitdeal-Request-Id", id), ("Godwitdeal-Response-Stamp", name)];
    stamp_headers.extend(limit_headers.clone());
    match behavior {
        Behavior::Respond => write_response(stream, 200, &stamp_headers, name.as_bytes()),
        Behavior::Status(status) => write_response(stream, status, &stamp_headers, name.as_bytes()),
        Behavior::RejectNotRun => {
            let mut headers = vec![("Godwitdeal-Request-Id", id), ("Godwitdeal-Not-Executed", "1")];
            headers.extend(limit_headers);
            write_response(stream, 503, &headers, b"")
        }
        Behavior::RejectFor(seconds) => {
            let seconds = seconds.to_string();
            let mut headers = vec![("Godwitdeal-Request-Id", id), ("Godwitdeal-Not-Executed", "1")];
            headers.push(("Retry-After", &seconds));
            headers.extend(limit_headers);
            write_response(stream, 503, &headers, b"")
        }
        Behavior::CloseWithoutResponse => false,
        Behavior::Endless(kind) => send_endless(kind, id, name, stream),
        Behavior::Scripted(script) => script.send(name, request, stream),
        Behavior::Broken(answer) => answer.send(name, request, stream),
        Behavior::Malformed(answer) => answer.send(name, id, stream),
        Behavior::StrayResponseFirst => {
            let stray_headers =
                [("Godwitdeal-Request-Id", "other"), ("Godwitdeal-Response-Stamp", name)];
            write_response(stream, 200, &stray_headers, b"of another")
                && write_response(stream, 200, &stamp_headers, name.as_bytes())
        }
        Behavior::UntilClose { pause, is_reset } => {
            let head = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ngodwitdeal-request-id: {id}\r\n\
                 godwitdeal-response-stamp: {name}\r\n\r\n{name}"
            );
            let _ = stream.write_all(head.as_bytes());
            std::thread::sleep(pause);
            if is_reset {
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            }
            false
        }
        Behavior::CutHead { framing, bytes } => {
            let framing = framing.header_line(CUT_BODY_BYTES);
            let head = format!(
                "HTTP/1.1 200 OK\r\ngodwitdeal-request-id: {id}\r\n\
                 godwitdeal-response-stamp: {name}\r\n{framing}\r\n"
            );
            let _ = stream.write_all(&head.as_bytes()[..bytes.min(head.len() - 1)]);
            false
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
            send_events(name, control, request, events, is_complete, stream, |_| {})
        }
        Behavior::Stall { events, stall_before, duration } => {
            send_events(name, control, request, events, true, stream, |number| {
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

pub(crate) fn last_event_id(request: &Message) -> u64 {
    request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0)
}

/// Returns the event with a number, as every run of a stream sends it.
pub(crate) fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Sends a stream from the event after the request's `last-event-id`, and returns whether the connection stays open.
fn send_events(
    name: &str,
    control: &Mutex<ControlState>,
    request: &Message,
    events: u64,
    is_complete: bool,
    stream: &mut TcpStream,
    before_event: impl Fn(u64),
) -> bool {
    let id = request.header("godwitdeal-request-id").unwrap_or_default();
    let (limits, notices) = {
        let control = control.lock().expect("no panic");
        (control.limits.clone(), control.notices.clone())
    };
    let limits = limits.iter().map(|value| (LIMIT_HEADER, value.as_str())).chain(notices);
    let limits: String = limits.map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let head = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n{limits}\
         godwitdeal-request-id: {id}\r\ngodwitdeal-response-stamp: {name}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in last_event_id(request) + 1..=events {
        before_event(number);
        let is_truncated = number == events && !is_complete;
        let event = event(number);
        let event = if is_truncated { &event[..event.len() / 2] } else { &event };
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() || is_truncated {
            return false;
        }
        std::thread::sleep(EVENT_INTERVAL);
    }
    is_complete && stream.write_all(b"0\r\n\r\n").is_ok()
}

/// When a server writes a refusal once more on the connection on which it was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RepeatTime {
    /// After a pause of up to [`MAX_REPEAT_PAUSE`], so that it may cross the next request.
    BeforeNextRequest,
    /// Before the answer to the next request.
    DuringNextRequest,
}

/// A refusal that a server writes once more, without the id of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RepeatedRefusal {
    pub(crate) status: u16,
    /// Whether the refusal itself has the id of its request.
    pub(crate) is_named: bool,
    pub(crate) time: RepeatTime,
}

/// State of a server that repeats refusals.
#[derive(Default)]
struct Repeats {
    repeat: Option<RepeatedRefusal>,
    /// Number of each connection and of the requests received on it, by its peer.
    connections: BTreeMap<SocketAddr, (usize, u32)>,
    /// Refusals so far.
    refusals: u32,
    /// Paths of the requests that ran.
    runs: Vec<String>,
}

/// Longest pause before the copy of a refusal, and the number of different pauses.
const MAX_REPEAT_PAUSE: Duration = Duration::from_millis(2);
const REPEAT_PAUSES: u32 = 16;

/// Time for which a request runs on a server that repeats refusals.
const REPEATER_RUN_TIME: Duration = Duration::from_millis(3);

/// Number of events of the streams of a server that repeats refusals.
pub(crate) const REPEATER_EVENTS: u64 = 3;

impl RepeatedRefusal {
    fn write(self, id: Option<&str>, stream: &mut TcpStream) -> bool {
        let mut headers = vec![("Godwitdeal-Not-Executed", "1")];
        headers.extend(id.map(|id| ("Godwitdeal-Request-Id", id)));
        write_response(stream, self.status, &headers, b"")
    }
}

impl FakeServer {
    /// Makes the server refuse requests and write each refusal once more on its connection. Where refusals have an id,
    /// one of three requests on a connection is refused, otherwise the first one on every other connection.
    pub(crate) fn repeat_refusals(&self, repeat: RepeatedRefusal) {
        self.repeats.lock().expect("no panic").repeat = Some(repeat);
    }

    /// Returns the paths of the requests that ran while the server repeated refusals.
    pub(crate) fn runs(&self) -> Vec<String> {
        self.repeats.lock().expect("no panic").runs.clone()
    }

    fn serve_with_repeats(
        &self,
        repeat: RepeatedRefusal,
        request: &Message,
        stream: &mut TcpStream,
    ) -> bool {
        let id = request.header("godwitdeal-request-id");
        let path = request.start_line_part(1);
        let peer = stream.peer_addr().expect("the connection is open");
        let mut repeats = self.repeats.lock().expect("no panic");
        let number = repeats.connections.len();
        let (connection, requests) = repeats.connections.entry(peer).or_insert((number, 0));
        *requests += 1;
        let (is_refused, is_after_refusal) = if repeat.is_named {
            (*requests % 3 == 2, *requests > 2 && *requests % 3 == 0)
        } else {
            (*connection % 2 == 0 && *requests == 1, *connection % 2 == 0 && *requests == 2)
        };
        if is_refused {
            repeats.refusals += 1;
            let pause = MAX_REPEAT_PAUSE * (repeats.refusals % REPEAT_PAUSES) / REPEAT_PAUSES;
            drop(repeats);
            if !repeat.write(id.filter(|_| repeat.is_named), stream) {
                return false;
            }
            if repeat.time == RepeatTime::BeforeNextRequest {
                std::thread::sleep(pause);
                return repeat.write(None, stream);
            }
            return true;
        }
        repeats.runs.push(path.to_string());
        drop(repeats);
        let repeats_now = is_after_refusal && repeat.time == RepeatTime::DuringNextRequest;
        if repeats_now && !repeat.write(None, stream) {
            return false;
        }
        std::thread::sleep(REPEATER_RUN_TIME);
        if path.starts_with("/chat/") {
            return send_events(
                &self.id,
                &self.control,
                request,
                REPEATER_EVENTS,
                true,
                stream,
                |_| {},
            );
        }
        let mut headers = vec![("Godwitdeal-Response-Stamp", self.id.as_str())];
        headers.extend(id.map(|id| ("Godwitdeal-Request-Id", id)));
        write_response(stream, 200, &headers, path.as_bytes())
    }
}
