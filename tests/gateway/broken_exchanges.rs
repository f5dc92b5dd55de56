//! Exchanges drawn from a seed whose servers cut, join, repeat and frame their answers at random. Whatever they send, each
//! caller gets a prefix of it, complete only if it is all.
//!
//! `CASES=100000 FIRST_CASE=1000 cargo test --test gateway broken_exchanges -- --nocapture` plays other and more cases. The
//! cases share a host and its connections, so that one alone may not show what it shows beside the others.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use socket2::SockRef;

use crate::host::{API_KEY, Host, caller_headers};
use crate::http::{
    Listener, Message, STEP_TIMEOUT, read_body, read_head, write_request, write_response,
};
use crate::server::{BodyFraming, last_event_id, server_entry};

/// Cases of every test run.
const CASES: u64 = 400;

/// Cases that are played at the same time.
const PARALLEL_CASES: usize = 8;

/// Servers of each service; those that fail are not used for a while.
const SERVERS: usize = 24;

/// Largest number of events of a stream.
const MAX_EVENTS: u64 = 8;

/// Number of servers at which a request may run: `Attempts` of the routes.
const MAX_RUNS: usize = 2;

/// Largest number of violations that are printed in full.
const MAX_PRINTED: usize = 20;

/// Pause before a copy of a refusal that may come beside the next request of its connection.
const COPY_PAUSE: Duration = Duration::from_millis(3);

/// Separates the number of a case from the rest of its request's id.
const ID_PREFIX: &str = "case-";

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestKind {
    Stream,
    Read,
    Order,
}

impl RequestKind {
    fn of(case: u64) -> RequestKind {
        match case % 4 {
            0 => RequestKind::Read,
            1 => RequestKind::Order,
            _ => RequestKind::Stream,
        }
    }

    fn method_and_path(self, case: u64) -> (&'static str, String) {
        match self {
            RequestKind::Stream => ("POST", format!("/chat/{case}")),
            RequestKind::Read => ("GET", format!("/read/{case}")),
            RequestKind::Order => ("POST", format!("/order/{case}")),
        }
    }
}

/// What a server does to a sound answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Fault {
    None,
    /// The body ends at any byte, and its framing says that it ends there.
    EndBody,
    /// The connection ends at any byte of the head or body.
    Close,
    Reset,
    /// The head of another answer stands between any two bytes of the encoded body.
    HeadInBody,
    /// The text of an error stands between any two bytes of the body, and is part of it.
    TextInBody,
    /// A success of another content type.
    OtherType,
    /// A resumed run begins an event too late.
    BeginLate,
    /// A resumed run begins at its first event.
    BeginEarly,
    /// Interim responses precede the answer.
    Interim,
    /// An answer to another request precedes the answer.
    OtherFirst,
    /// The answer comes twice.
    Twice,
    /// The answer, a success or a failure, has no request id.
    WithoutId,
    /// A failure of a request that ran.
    Failure,
    /// A refusal of a request that did not run.
    Refuse,
    /// A refusal that is repeated with its request id.
    RefuseTwice,
    /// A refusal that is repeated without a request id.
    RefuseTwiceWithoutId,
    /// A refusal that is repeated without a request id after the next request of its connection has arrived.
    RefuseAgainBeforeNext,
}

const FAULTS: [Fault; 17] = [
    Fault::EndBody,
    Fault::Close,
    Fault::Reset,
    Fault::HeadInBody,
    Fault::TextInBody,
    Fault::OtherType,
    Fault::BeginLate,
    Fault::BeginEarly,
    Fault::Interim,
    Fault::OtherFirst,
    Fault::Twice,
    Fault::WithoutId,
    Fault::Failure,
    Fault::Refuse,
    Fault::RefuseTwice,
    Fault::RefuseTwiceWithoutId,
    Fault::RefuseAgainBeforeNext,
];

/// Share of the runs that are sound.
const SOUND_SHARE: f64 = 0.25;

/// Share of the runs that go on at a later event or that break off, of those that resume a stream.
const RESUMED_FAULT_SHARE: f64 = 0.3;

const NOT_RUN: &str = "godwitdeal-not-executed: 1\r\n";
const OTHER_ANSWER: &str = "HTTP/1.1 200 OK\r\ngodwitdeal-request-id: other\r\ngodwitdeal-response-stamp: other\r\n\
                            content-length: 5\r\n\r\nother";
const ERROR_TEXT: &str = "{\"error\":\"overloaded\"}";

/// How the connection of an answer goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Open,
    Close,
    Reset,
}

/// A request that reached a server, and what the server sent.
#[derive(Clone, Debug)]
struct Run {
    server: String,
    fault: Fault,
    /// What the server had done before on the connection.
    earlier_fault: Option<Fault>,
    is_not_run: bool,
    /// Number of the event that is due.
    due: u64,
    sent: Vec<u8>,
    end: End,
}

/// How a body has ended by the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyEnd {
    Complete,
    /// A body without a length whose connection was closed: complete or broken off.
    Closed,
    Broken,
}

/// What a run has answered, read as the protocol has it.
struct Answer {
    status: u16,
    body: Vec<u8>,
    end: BodyEnd,
    is_stream: bool,
}

/// What a caller got.
struct Received {
    response: Option<Message>,
    is_complete: bool,
}

/// Servers that draw their answers from the case of a request and the number of its run.
#[derive(Default)]
struct Servers {
    runs: Mutex<BTreeMap<String, Vec<Run>>>,
}

thread_local! {
    /// What was done on a connection, and what is due on it before its next answer. Each connection has its own thread.
    static EARLIER: Cell<Option<(Fault, Vec<u8>)>> = const { Cell::new(None) };
}

/// Returns the length of a line's content and that of the line with its ending, a line feed, a carriage return or both.
fn line_end(text: &[u8]) -> Option<(usize, usize)> {
    let end = text.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let ending = if text[end..].starts_with(b"\r\n") { 2 } else { 1 };
    Some((end, end + ending))
}

/// Splits a body into its whole events, each with the empty line at its end; the second part is what follows them.
fn split_events(body: &[u8]) -> (Vec<&[u8]>, &[u8]) {
    let (mut events, mut rest, mut read) = (Vec::new(), body, 0);
    while let Some((content, line)) = line_end(&rest[read..]) {
        read += line;
        if content == 0 {
            let (event, next) = rest.split_at(read);
            events.push(event);
            (rest, read) = (next, 0);
        }
    }
    (events, rest)
}

fn event_number(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok())
}

fn event(case: u64, number: u64) -> String {
    format!("id: {number}\ndata: piece {number} of {case}\n\n")
}

/// Encodes a body, in random chunks if it has any.
fn encode_body(random: &mut SmallRng, framing: BodyFraming, body: &[u8]) -> Vec<u8> {
    if framing != BodyFraming::Chunked {
        return body.to_vec();
    }
    let (mut encoded, mut rest) = (Vec::new(), body);
    while !rest.is_empty() {
        let (chunk, next) = rest.split_at(random.random_range(1..=rest.len()));
        encoded.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        encoded.extend([chunk, b"\r\n"].concat());
        rest = next;
    }
    encoded.extend(b"0\r\n\r\n");
    encoded
}

fn draw_fault(random: &mut SmallRng, kind: RequestKind, is_resumed: bool) -> Fault {
    if is_resumed && random.random_bool(RESUMED_FAULT_SHARE) {
        let faults = [Fault::BeginLate, Fault::BeginEarly, Fault::OtherType];
        return faults[random.random_range(0..faults.len())];
    }
    if random.random_bool(SOUND_SHARE) {
        return Fault::None;
    }
    let fault = FAULTS[random.random_range(0..FAULTS.len())];
    let needs_stream = matches!(fault, Fault::BeginLate | Fault::BeginEarly | Fault::OtherType);
    if needs_stream && (kind != RequestKind::Stream || !is_resumed && fault != Fault::OtherType) {
        return Fault::EndBody;
    }
    fault
}

/// Draws an answer: the bytes that are sent, what follows them on the connection and when, and how it goes on.
fn draw_answer(
    random: &mut SmallRng,
    fault: Fault,
    kind: RequestKind,
    case: u64,
    server: &str,
    last: u64,
) -> (Vec<u8>, End) {
    let framings = [BodyFraming::Chunked, BodyFraming::Length, BodyFraming::UntilClose];
    let framing = match framings[random.random_range(0..framings.len())] {
        // What follows a body without a length is part of it.
        BodyFraming::UntilClose if fault == Fault::Twice => BodyFraming::Length,
        framing => framing,
    };
    let total = SmallRng::seed_from_u64(case).random_range(1..=MAX_EVENTS);
    let first = match fault {
        Fault::BeginLate => last + 2,
        Fault::BeginEarly => 1,
        _ => last + 1,
    };
    let is_stream = kind == RequestKind::Stream && fault != Fault::OtherType;
    let mut body = match kind {
        _ if fault == Fault::OtherType => ERROR_TEXT.as_bytes().to_vec(),
        RequestKind::Stream => {
            (first..=total).map(|number| event(case, number)).collect::<String>().into_bytes()
        }
        _ => format!("{server} answers case {case}").into_bytes(),
    };
    let at = random.random_range(0..=body.len());
    match fault {
        Fault::EndBody => body.truncate(at),
        Fault::TextInBody => drop(body.splice(at..at, ERROR_TEXT.bytes())),
        _ => {}
    }
    let is_failure =
        fault == Fault::Failure || fault == Fault::WithoutId && random.random_bool(0.5);
    let status = if is_failure { 500 } else { 200 };
    let content_type = if is_stream { "text/event-stream" } else { "text/plain" };
    let id = match fault {
        Fault::WithoutId => String::new(),
        _ => format!("godwitdeal-request-id: {ID_PREFIX}{case}\r\n"),
    };
    let framing_header = match framing {
        BodyFraming::Chunked => "transfer-encoding: chunked\r\n".to_string(),
        BodyFraming::Length => format!("content-length: {}\r\n", body.len()),
        BodyFraming::UntilClose => "connection: close\r\n".to_string(),
    };
    let head = format!(
        "HTTP/1.1 {status} X\r\n{framing_header}content-type: {content_type}\r\n{id}godwitdeal-response-stamp: {server}\r\n\r\n"
    );
    let mut sent = [head.as_bytes(), &encode_body(random, framing, &body)].concat();
    let mut end = if framing == BodyFraming::UntilClose { End::Close } else { End::Open };
    match fault {
        Fault::Close | Fault::Reset => {
            sent.truncate(random.random_range(0..=sent.len()));
            end = if fault == Fault::Close { End::Close } else { End::Reset };
        }
        Fault::HeadInBody => {
            let at = random.random_range(head.len()..=sent.len());
            sent.splice(at..at, OTHER_ANSWER.bytes());
        }
        Fault::Interim => {
            let interim =
                ["HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"];
            let count = random.random_range(1..3);
            let before = interim[random.random_range(0..interim.len())].repeat(count);
            sent.splice(0..0, before.into_bytes());
        }
        Fault::OtherFirst => drop(sent.splice(0..0, OTHER_ANSWER.bytes())),
        Fault::Twice => sent.extend(sent.clone()),
        _ => {}
    }
    (sent, end)
}

fn refusal(case: Option<u64>) -> Vec<u8> {
    let id = case.map(|case| format!("godwitdeal-request-id: {ID_PREFIX}{case}\r\n"));
    let id = id.unwrap_or_default();
    format!("HTTP/1.1 503 X\r\ncontent-length: 0\r\n{id}{NOT_RUN}\r\n").into_bytes()
}

impl Servers {
    /// Answers a request and returns whether the connection stays open.
    fn serve(&self, server: &str, request: &Message, stream: &mut TcpStream) -> bool {
        if request.start_line_part(1).starts_with("/api/") {
            let report = json!({"Sequence": 0, "Busy": false, "pace": 1.0, "Stalled": []});
            return write_response(stream, 200, &[], report.to_string().as_bytes());
        }
        let id = request.header("godwitdeal-request-id").unwrap_or_default();
        let Some(case) = id.strip_prefix(ID_PREFIX).and_then(|case| case.parse::<u64>().ok())
        else {
            return write_response(stream, 404, &[("godwitdeal-request-id", id)], b"");
        };
        let last = last_event_id(request);
        let (earlier_fault, before) = EARLIER.take().unzip();
        let mut runs = self.runs.lock().expect("no panic");
        let of_case = runs.entry(id.to_string()).or_default();
        let mut random = SmallRng::seed_from_u64(case * 64 + of_case.len() as u64);
        let kind = RequestKind::of(case);
        let fault = draw_fault(&mut random, kind, last > 0);
        let is_not_run = fault >= Fault::Refuse;
        let (sent, end) = if is_not_run {
            (refusal(Some(case)), End::Open)
        } else {
            draw_answer(&mut random, fault, kind, case, server, last)
        };
        let mut run = Run {
            server: server.to_string(),
            fault,
            earlier_fault,
            is_not_run,
            due: last + 1,
            sent,
            end,
        };
        if run.end == End::Open && !is_not_run && run.answer().end == BodyEnd::Broken {
            run.end = End::Close;
        }
        let (sent, end) = (run.sent.clone(), run.end);
        of_case.push(run);
        drop(runs);
        let due_next =
            if fault == Fault::RefuseAgainBeforeNext { refusal(None) } else { Vec::new() };
        EARLIER.set(Some((fault, due_next)));
        let bytes = [before.unwrap_or_default(), sent].concat();
        if stream.write_all(&bytes).is_err() {
            return false;
        }
        let copy = match fault {
            Fault::RefuseTwice => refusal(Some(case)),
            Fault::RefuseTwiceWithoutId => refusal(None),
            _ => Vec::new(),
        };
        if !copy.is_empty() {
            std::thread::sleep(COPY_PAUSE * random.random_range(0..2));
        }
        if end == End::Reset {
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        stream.write_all(&copy).is_ok() && end == End::Open
    }
}

impl Run {
    /// Returns what the caller of the request was answered, read as the protocol has it.
    fn answer(&self) -> Answer {
        let mut reader = self.sent.as_slice();
        let broken =
            |status, body, is_stream| Answer { status, body, end: BodyEnd::Broken, is_stream };
        loop {
            let Some(mut head) = read_head(&mut reader) else {
                return broken(0, Vec::new(), false);
            };
            let status = head.status();
            if (100..200).contains(&status) {
                continue;
            }
            let id = head.header("godwitdeal-request-id").map(str::to_string);
            let is_own = id.as_ref().is_some_and(|id| id.starts_with(ID_PREFIX));
            let is_stream = head.header("content-type") == Some("text/event-stream");
            let has_length = head.header("transfer-encoding").is_some()
                || head.header("content-length").is_some();
            if !has_length {
                let end = if self.end == End::Close { BodyEnd::Closed } else { BodyEnd::Broken };
                return match is_own {
                    true => Answer { status, body: reader.to_vec(), end, is_stream },
                    false => broken(0, Vec::new(), is_stream),
                };
            }
            let rest = reader;
            let is_read = read_body(&mut reader, &mut head).is_ok();
            match (is_own, is_read) {
                (true, true) => {
                    return Answer { status, body: head.body, end: BodyEnd::Complete, is_stream };
                }
                (true, false) => return broken(status, partial_body(&head, rest), is_stream),
                (false, true) if id.is_some() => {}
                (false, _) => return broken(0, Vec::new(), is_stream),
            }
        }
    }
}

/// Returns the part of a broken body that its framing counts as body.
fn partial_body(head: &Message, encoded: &[u8]) -> Vec<u8> {
    if head.header("transfer-encoding").is_none() {
        return encoded.to_vec();
    }
    let (mut body, mut rest) = (Vec::new(), encoded);
    while let Some(at) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&rest[..at]).ok();
        let size = size.and_then(|size| usize::from_str_radix(size, 16).ok());
        let Some(size) = size.filter(|size| *size > 0) else { break };
        rest = &rest[at + 2..];
        body.extend(&rest[..size.min(rest.len())]);
        match rest.get(size..size + 2) {
            Some(b"\r\n") => rest = &rest[size + 2..],
            _ => break,
        }
    }
    body
}

/// Returns the whole events of a run that are due, and whether nothing but them is in its body. A run that begins later has
/// none.
fn due_events<'a>(run: &Run, answer: &'a Answer) -> (Vec<&'a [u8]>, bool) {
    let (mut events, rest) = split_events(&answer.body);
    if run.due == 1 {
        return (events, rest.is_empty());
    }
    let is_known = |event: &&[u8]| event_number(event).is_some_and(|number| number < run.due);
    events.drain(..events.iter().take_while(|event| is_known(event)).count());
    let begins_late = events.first().is_some_and(|event| event_number(event) > Some(run.due));
    if begins_late {
        events.clear();
    }
    (events, rest.is_empty() && !begins_late)
}

/// Whether `got` is made of whole events of the runs in their order, and whether it may then be complete.
fn is_made_of(got: &[u8], is_complete: bool, runs: &[&Run]) -> bool {
    let Some((run, later)) = runs.split_first() else { return got.is_empty() && !is_complete };
    let answer = run.answer();
    if answer.status != 200 {
        return is_made_of(got, is_complete, later);
    }
    if !answer.is_stream {
        let is_whole = got == answer.body && answer.end != BodyEnd::Broken;
        let is_answer = run.due == 1 && (is_whole || !is_complete && answer.body.starts_with(got));
        return is_answer || is_made_of(got, is_complete, later);
    }
    let (events, are_all_due) = due_events(run, &answer);
    let may_be_complete = are_all_due && answer.end != BodyEnd::Broken;
    let mut end = 0;
    for count in 0..=events.len() {
        let is_whole = may_be_complete && count == events.len();
        let ends_here = got.len() == end && (!is_complete || is_whole);
        if ends_here || is_made_of(&got[end..], is_complete, later) {
            return true;
        }
        let Some(event) = events.get(count) else { return false };
        if !got[end..].starts_with(event) {
            return false;
        }
        end += event.len();
    }
    false
}

/// Whether the numbers of events rise by one each.
fn is_consecutive(body: &[u8]) -> bool {
    let numbers = split_events(body).0.into_iter().filter_map(event_number);
    let numbers: Vec<u64> = numbers.collect();
    numbers.iter().zip(1..).all(|(number, expected)| *number == expected)
}

/// Returns what a caller may not have got, or a server may not have run.
fn find_violations(case: u64, received: &Received, runs: &[Run]) -> Vec<&'static str> {
    let mut violations = Vec::new();
    let mut expect = |is_met: bool, invariant: &'static str| {
        if !is_met {
            violations.push(invariant);
        }
    };
    let kind = RequestKind::of(case);
    let ran: Vec<&Run> = runs.iter().filter(|run| !run.is_not_run).collect();
    expect(ran.len() <= MAX_RUNS, "runs at no more servers than the route allows");
    expect(kind != RequestKind::Order || ran.len() <= 1, "runs at most once");
    let status = received.response.as_ref().map_or(0, Message::status);
    if let [Run { fault: Fault::None, earlier_fault: None, .. }] = runs
        && runs[0].answer().end == BodyEnd::Complete
    {
        expect(status == 200 && received.is_complete, "a sound answer is passed on");
    }
    let Some(response) = &received.response else { return violations };
    if kind == RequestKind::Order && matches!(status, 408 | 421 | 429 | 503) {
        expect(ran.is_empty(), "a refused request did not run");
    }
    let stamp = response.header("godwitdeal-response-stamp");
    let stamped: Vec<&&Run> = ran.iter().filter(|run| Some(run.server.as_str()) == stamp).collect();
    if status != 200 {
        let is_servers = stamped.iter().any(|run| run.answer().status == status);
        expect(stamp.is_none() || is_servers, "a failure is that of the stamping server");
        return violations;
    }
    expect(!stamped.is_empty(), "a success is that of a server that ran the request");
    if kind == RequestKind::Stream {
        let body = &response.body;
        expect(
            is_made_of(body, received.is_complete, &ran),
            "a stream is made of whole events of its runs, complete only with all",
        );
        let changes_events =
            |run: &&Run| matches!(run.fault, Fault::HeadInBody | Fault::TextInBody);
        let is_in_order = ran.iter().any(changes_events) || is_consecutive(body);
        expect(is_in_order, "events are in order, none missing");
        return violations;
    }
    let is_answer = |run: &&&Run| {
        let answer = run.answer();
        let is_whole = answer.body == response.body && answer.end != BodyEnd::Broken;
        answer.status == 200 && (is_whole || !received.is_complete)
    };
    expect(stamped.iter().any(is_answer), "a body is the whole body of its run");
    violations
}

/// Sends the request of a case and reads its response as far as it comes.
fn call(host: &Host, case: u64) -> Received {
    let (method, path) = RequestKind::of(case).method_and_path(case);
    let (id, authorization) = (format!("{ID_PREFIX}{case}"), format!("Bearer {API_KEY}"));
    let headers = caller_headers(&id, &[("authorization", &authorization)]);
    let mut stream = TcpStream::connect(host.caller_address()).expect("the host listens");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
    write_request(&mut stream, method, &path, &headers, b"").expect("the host reads");
    let mut reader = BufReader::new(stream);
    let mut response = read_head(&mut reader);
    let is_complete =
        response.as_mut().is_some_and(|response| read_body(&mut reader, response).is_ok());
    Received { response, is_complete }
}

fn number_of(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().map(|text| text.parse().expect("a number"))
}

#[test]
fn callers_get_prefixes_of_what_servers_sent() {
    let servers: Arc<Servers> = Arc::default();
    let all = (0..2 * SERVERS).map(|number| {
        let id = format!("s-{number}");
        let (shared, name) = (servers.clone(), id.clone());
        let listener = Listener::start(move |request, stream| shared.serve(&name, request, stream));
        let is_chat = number % 2 == 0;
        let (service, layers) = if is_chat { ("chat", Some((0, 16))) } else { ("api", None) };
        (id, server_entry(listener.address, service, layers))
    });
    let all: Vec<_> = all.collect();
    let entries: Vec<_> = all.iter().map(|(id, entry)| (id.as_str(), entry.clone())).collect();
    let host = Host::start(&entries);
    let first = number_of("FIRST_CASE").unwrap_or(0);
    let (next, end) = (AtomicU64::new(first), first + number_of("CASES").unwrap_or(CASES));
    let violations: Mutex<Vec<String>> = Mutex::default();
    let counts: Mutex<BTreeMap<String, Count>> = Mutex::default();
    let unreached = AtomicU64::new(0);
    let play = || {
        loop {
            let case = next.fetch_add(1, Ordering::Relaxed);
            if case >= end {
                return;
            }
            let received = call(&host, case);
            let id = format!("{ID_PREFIX}{case}");
            let runs = servers.runs.lock().expect("no panic").remove(&id).unwrap_or_default();
            let found = find_violations(case, &received, &runs);
            let names = runs.iter().map(|run| match run.earlier_fault {
                Some(earlier) if earlier >= Fault::Refuse => {
                    format!("{:?} after {earlier:?}", run.fault)
                }
                _ => format!("{:?}", run.fault),
            });
            let names: Vec<String> = names.collect();
            let mut counts = counts.lock().expect("no panic");
            for class in found.iter().map(ToString::to_string).chain([names.join(", ")]) {
                let count =
                    counts.entry(format!("{:?}: {class}", RequestKind::of(case))).or_default();
                count.cases += 1;
                count.broken += usize::from(!found.is_empty());
            }
            drop(counts);
            if runs.is_empty() {
                unreached.fetch_add(1, Ordering::Relaxed);
            }
            if !found.is_empty() {
                let line = describe(case, &found, &received, &runs);
                violations.lock().expect("no panic").push(line);
            }
        }
    };
    std::thread::scope(|scope| (0..PARALLEL_CASES).for_each(|_| drop(scope.spawn(play))));
    let violations = violations.into_inner().expect("no panic");
    let counts = counts.into_inner().expect("no panic");
    let unreached = unreached.into_inner();
    println!("cases {first} to {}, of which {unreached} reached no server", end - 1);
    assert!(unreached * 2 < end - first, "hardly a case reached a server");
    for (class, Count { cases, broken }) in counts.iter().filter(|(_, it)| it.broken > 0) {
        println!("{class}: {broken} of {cases}");
    }
    let printed = &violations[..violations.len().min(MAX_PRINTED)];
    assert!(violations.is_empty(), "{} cases\n{}", violations.len(), printed.join("\n"));
}

/// Number of the cases of a class, and of those that break an invariant.
#[derive(Default)]
struct Count {
    cases: usize,
    broken: usize,
}

fn describe(case: u64, found: &[&str], received: &Received, runs: &[Run]) -> String {
    let found: BTreeSet<&&str> = found.iter().collect();
    let response = received.response.as_ref();
    let (status, text) = response.map(|it| (it.status(), it.text())).unwrap_or_default();
    let runs = runs.iter().map(|run| {
        let sent = String::from_utf8_lossy(&run.sent).into_owned();
        format!("\n  {} {:?} after {:?}: {sent:?}", run.server, run.fault, run.earlier_fault)
    });
    let runs: String = runs.collect();
    let end = if received.is_complete { "complete" } else { "broken off" };
    format!(
        "case {case} {:?}: {found:?}: status {status}, {end}: {text:?}{runs}",
        RequestKind::of(case)
    )
}
