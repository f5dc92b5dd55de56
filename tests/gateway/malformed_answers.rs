//! Answers of servers in trouble, with a fault in the head or where the length of the body is told.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::Message;
use crate::links::LinkState;
use crate::lost_links::Site;
use crate::server::{Behavior, FakeServer};
use crate::store::AnswerFault;

/// Body of the answers, a whole event of a stream.
const BODY: &str = "id: 1\ndata: piece 1\n\n";

/// Length of [`BODY`], and the header line that tells it.
const LENGTH: &str = "content-length: 21\r\n";

const CHUNKED: &str = "transfer-encoding: chunked\r\n";
const OK: &str = "HTTP/1.1 200 OK";

/// Maximum number of calls until each server has had one.
const MAX_CALLS: usize = 3_000;

/// Pause between two bytes of an answer that is sent in pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// Distance between the answers of servers behind a detour, as each needs a link for each host.
const DETOUR_STEP: usize = 4;

/// An answer whose id and stamp are those of a sound one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MalformedAnswer {
    status_line: &'static str,
    /// Header lines beside the id and the stamp.
    lines: &'static [u8],
    body: &'static [u8],
    is_in_pieces: bool,
}

impl MalformedAnswer {
    const fn new(status_line: &'static str, lines: &'static [u8], body: &'static [u8]) -> Self {
        MalformedAnswer { status_line, lines, body, is_in_pieces: false }
    }

    /// Answer with a body of 21 bytes.
    const fn with_lines(lines: &'static [u8]) -> Self {
        MalformedAnswer::new(OK, lines, BODY.as_bytes())
    }

    const fn with_status_line(status_line: &'static str) -> Self {
        MalformedAnswer::new(status_line, LENGTH.as_bytes(), BODY.as_bytes())
    }

    const fn chunked(body: &'static [u8]) -> Self {
        MalformedAnswer::new(OK, CHUNKED.as_bytes(), body)
    }

    /// Sends the answer of the server called `name`, and returns whether the connection stays open.
    pub(crate) fn send(self, name: &str, id: &str, stream: &mut TcpStream) -> bool {
        let head = format!(
            "{}\r\ngodwitdeal-request-id: {id}\r\ngodwitdeal-response-stamp: {name}\r\n",
            self.status_line
        );
        let bytes = [head.as_bytes(), self.lines, b"\r\n", self.body].concat();
        if !self.is_in_pieces {
            return stream.write_all(&bytes).is_ok();
        }
        stream.set_nodelay(true).expect("the option is set");
        bytes.iter().all(|byte| {
            std::thread::sleep(PIECE_PAUSE);
            stream.write_all(&[*byte]).is_ok()
        })
    }
}

const ODD_STATUSES: &[MalformedAnswer] = &[
    MalformedAnswer::with_status_line("HTTP/1.1 000 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 001 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 020 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 099 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 600 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 999 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 0200 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 +20 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1 20 OK"),
    MalformedAnswer::with_status_line("HTTP/1.1"),
    MalformedAnswer::with_status_line("HTTP/1.1 OK"),
    MalformedAnswer::with_status_line("HTTP/9.1 200 OK"),
];

const ODD_LENGTHS: &[MalformedAnswer] = &[
    MalformedAnswer::with_lines(b"content-length: +21\r\n"),
    MalformedAnswer::with_lines(b"content-length: -21\r\n"),
    MalformedAnswer::with_lines(b"content-length: \r\n"),
    MalformedAnswer::with_lines(b"content-length: 0x15\r\n"),
    MalformedAnswer::with_lines(b"content-length: 2 1\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21 bytes\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21;\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21, 22\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21.0\r\n"),
    MalformedAnswer::with_lines(b"content-length: 18446744073709551616\r\n"),
    // A no-break space, an ideographic space and Arabic digits.
    MalformedAnswer::with_lines(b"content-length: \xc2\xa021\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21\xe3\x80\x80\r\n"),
    MalformedAnswer::with_lines(b"content-length: \xd9\xa2\xd9\xa1\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21\xff\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21\r\ncontent-length: 22\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21\r\ncontent-length: +21\r\n"),
];

const ODD_ENCODINGS: &[MalformedAnswer] = &[
    MalformedAnswer::new(
        OK,
        b"transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        CHUNKED_BODY,
    ),
    MalformedAnswer::new(OK, b"transfer-encoding: chunked\r\ncontent-length: 21\r\n", CHUNKED_BODY),
    MalformedAnswer::new(OK, b"transfer-encoding: chunked, chunked\r\n", CHUNKED_BODY),
    MalformedAnswer::new(OK, b"transfer-encoding: chunked;\r\n", CHUNKED_BODY),
    MalformedAnswer::new(OK, b"transfer-encoding: \xc2\xa0chunked\r\n", CHUNKED_BODY),
    MalformedAnswer::new(OK, b"transfer-encoding: xchunked\r\n", CHUNKED_BODY),
    MalformedAnswer::new(OK, b"transfer-encoding: \r\n", CHUNKED_BODY),
    MalformedAnswer::new(OK, b"transfer-encoding: gzip\r\n", CHUNKED_BODY),
    MalformedAnswer::new(
        OK,
        b"transfer-encoding: identity\r\ncontent-length: 21\r\n",
        BODY.as_bytes(),
    ),
];

const CHUNKED_BODY: &[u8] = b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n";

const ODD_CHUNKS: &[MalformedAnswer] = &[
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n+0\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n-0\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n\xc2\xa00\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\xe3\x80\x80\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n 0\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n\x0b0\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0x0\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n;0\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0 0\r\n\r\n"),
    MalformedAnswer::chunked(b"+15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n"),
    MalformedAnswer::chunked(b"10000000000000015\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n0\r\n\r\n"),
];

const ODD_TRAILERS: &[MalformedAnswer] = &[
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\nno field\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\nx y: z\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n: z\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\nx\x01y: z\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\nx : z\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\nx: \x00\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\nx: y\r\n folded\r\n\r\n"),
    MalformedAnswer::chunked(b"15\r\nid: 1\ndata: piece 1\n\n\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n"),
];

/// A success without a body that tells the length of one.
const LENGTHS_WITHOUT_BODY: &[MalformedAnswer] = &[
    MalformedAnswer::new("HTTP/1.1 204 OK", b"content-length: 21\r\n", BODY.as_bytes()),
    MalformedAnswer::new("HTTP/1.1 204 OK", b"content-length: +0\r\n", b""),
    MalformedAnswer::new("HTTP/1.1 204 OK", CHUNKED.as_bytes(), CHUNKED_BODY),
];

/// Callers ask for bodies without an encoding.
const ENCODED_BODIES: &[MalformedAnswer] = &[
    MalformedAnswer::with_lines(b"content-encoding: gzip\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"Content-Encoding: br\r\ncontent-length: 21\r\n"),
    MalformedAnswer::new(
        OK,
        b"transfer-encoding: chunked\r\ncontent-encoding: gzip\r\n",
        CHUNKED_BODY,
    ),
    MalformedAnswer::new(OK, b"content-encoding: gzip\r\nconnection: close\r\n", BODY.as_bytes()),
];

const ODD_LINES: &[MalformedAnswer] = &[
    MalformedAnswer::with_lines(b"no field\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21\r\nno-field\r\n"),
    MalformedAnswer::with_lines(b": value\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"content-length 21\r\n"),
    MalformedAnswer::with_lines(b"content-length : 21\r\n"),
    MalformedAnswer::with_lines(b"content length: 21\r\n"),
    MalformedAnswer::with_lines(b" content-length: 21\r\n"),
    MalformedAnswer::with_lines(b"\tcontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"content\tlength: 21\r\n"),
    MalformedAnswer::with_lines(b"content\x01length: 21\r\n"),
    MalformedAnswer::with_lines(b"content-length\x00: 21\r\n"),
    MalformedAnswer::with_lines(b"content-length\x7f: 21\r\n"),
    MalformedAnswer::with_lines(b"content-length: 2\x001\r\n"),
    MalformedAnswer::with_lines(b"x-odd: a\x01b\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"x-odd: a\rb\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"x-odd: a\r\n folded\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"x(odd): a\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"x-\xc3\xa9: a\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"HTTP/1.1 200 OK\r\ncontent-length: 21\r\n"),
    MalformedAnswer::with_lines(b"content-length: 21\r\n\r\x01"),
];

/// Starts a server of a service for each answer.
fn start_servers(
    service: &str,
    answers: &[MalformedAnswer],
    is_in_pieces: bool,
) -> Vec<FakeServer> {
    let start = |(index, answer): (usize, &MalformedAnswer)| {
        let behavior = Behavior::Malformed(MalformedAnswer { is_in_pieces, ..*answer });
        FakeServer::start(&format!("{service}-{index}"), &[behavior])
    };
    answers.iter().enumerate().map(start).collect()
}

fn start_host(service: &str, servers: &[FakeServer]) -> Host {
    let layers = (service == "chat").then_some((0, 16));
    let entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry(service, layers))).collect();
    Host::start(&entries)
}

/// Checks that an answer is one of the host itself.
fn assert_is_no_answer(answer: &std::io::Result<Message>) {
    // A stream that is broken off ends without its last chunk, which is an error here.
    let Ok(answer) = answer else { return };
    assert!(matches!(answer.status(), 502..=504), "{answer:?}");
    assert_eq!(answer.header("godwitdeal-response-stamp"), None, "{answer:?}");
    assert!(!answer.text().contains("piece 1"), "{answer:?}");
}

/// Calls until each server has had a request, and checks that no caller gets what it sent, nor the promise that an order which
/// a server has did not run.
fn check_calls(host: &Host, servers: &[FakeServer], path: &str) {
    let requests = || servers.iter().map(|server| server.requests().len()).sum::<usize>();
    for _ in 0..MAX_CALLS {
        let before = requests();
        let answer = host.call("POST", path, b"");
        assert_is_no_answer(&answer);
        let is_refused = answer.as_ref().is_ok_and(|answer| answer.status() == 503);
        let is_order = path.starts_with("/order/");
        assert!(!is_order || !is_refused || requests() == before, "{answer:?}");
        if servers.iter().all(|server| !server.requests().is_empty()) {
            return;
        }
    }
    let unused = servers.iter().filter(|server| server.requests().is_empty());
    panic!("no request reached {:?}", unused.map(|server| &server.id).collect::<Vec<_>>());
}

/// Checks answers of calls and streams, sent whole and in pieces, on new and on kept connections, and over detours.
fn check_answers(answers: &[MalformedAnswer]) {
    for is_in_pieces in [false, true] {
        for (service, path) in [("api", "/order/1"), ("chat", "/chat/1")] {
            let servers = start_servers(service, answers, is_in_pieces);
            check_calls(&start_host(service, &servers), &servers, path);
        }
    }
    check_on_kept_connections(answers);
    check_is_retried(answers);
    check_over_detours(answers);
}

fn check_on_kept_connections(answers: &[MalformedAnswer]) {
    for answer in answers {
        let behaviors = [Behavior::Respond, Behavior::Malformed(*answer)];
        let server = FakeServer::start("s-1", &behaviors);
        let host = Host::start(&[("s-1", server.entry("api", None))]);
        let sound = host.call("POST", "/order/1", b"").expect("answered");
        assert_eq!((sound.status(), sound.text().as_str()), (200, "s-1"));
        let malformed = host.call("POST", "/order/2", b"").expect("answered");
        assert_eq!(malformed.status(), 502, "{answer:?}");
        assert_is_no_answer(&Ok(malformed));
        let handled = server.handled();
        assert_eq!(handled.len(), 2, "an order is not repeated");
        assert!(handled[1].is_on_kept_connection);
    }
}

fn check_is_retried(answers: &[MalformedAnswer]) {
    for answer in answers {
        let odd = FakeServer::start("s-1", &[Behavior::Malformed(*answer)]);
        let sound = FakeServer::start("s-2", &[Behavior::Respond]);
        let host =
            Host::start(&[("s-1", odd.entry("api", None)), ("s-2", sound.entry("api", None))]);
        let is_reached = || !odd.requests().is_empty();
        for _ in 0..MAX_CALLS {
            let read = host.call("GET", "/read/1", b"").expect("answered");
            assert_eq!((read.status(), read.text().as_str()), (200, "s-2"), "{answer:?}");
            if is_reached() {
                break;
            }
        }
        assert!(is_reached(), "{answer:?}");
    }
}

fn check_over_detours(answers: &[MalformedAnswer]) {
    for (service, path) in [("api", "/order/1"), ("chat", "/chat/1")] {
        let some: Vec<MalformedAnswer> = answers.iter().step_by(DETOUR_STEP).copied().collect();
        let site = Site::start_with(start_servers(service, &some, true), 1);
        site.set_links(&[0, 1], LinkState::Refusing);
        check_calls(&site.hosts[0], &site.servers, path);
        site.check_orders_ran_once();
    }
}

#[test]
fn status_that_is_none_is_no_answer() {
    check_answers(ODD_STATUSES);
}

#[test]
fn length_that_is_no_number_is_no_answer() {
    check_answers(ODD_LENGTHS);
}

#[test]
fn encoding_other_than_chunked_once_is_no_answer() {
    check_answers(ODD_ENCODINGS);
}

#[test]
fn chunk_size_that_is_no_number_is_no_answer() {
    check_answers(ODD_CHUNKS);
}

#[test]
fn trailer_that_is_no_field_is_no_answer() {
    check_answers(ODD_TRAILERS);
}

#[test]
fn success_without_body_that_tells_a_length_is_no_answer() {
    check_answers(LENGTHS_WITHOUT_BODY);
}

#[test]
fn success_with_encoded_body_is_no_answer() {
    check_answers(ENCODED_BODIES);
}

/// Of a length and the bytes behind it, one is wrong. Another server settles that where a request may run again; otherwise
/// the length counts.
#[test]
fn read_whose_answer_is_longer_than_its_length_is_retried() {
    let answers = [
        MalformedAnswer::with_lines(b"content-length: 2\r\n"),
        MalformedAnswer::with_lines(b"content-length: 20\r\n"),
        MalformedAnswer::with_lines(b"content-length: 0\r\n"),
        MalformedAnswer::chunked(b"2\r\nid\r\n0\r\n\r\n: 1\ndata: piece 1\n\n"),
    ];
    check_is_retried(&answers);
    let server = FakeServer::start("s-1", &[Behavior::Malformed(answers[0])]);
    let host = Host::start(&[("s-1", server.entry("api", None))]);
    for path in ["/order/1", "/read/1"] {
        let answer = host.call("POST", path, b"").expect("answered");
        assert_eq!(answer.status(), 200, "{path}");
        assert_eq!(answer.text(), "id", "{path}");
    }
}

#[test]
fn line_that_is_no_field_is_no_answer() {
    check_answers(ODD_LINES);
}

#[test]
fn answer_with_the_largest_keep_alive_is_delivered() {
    let server = FakeServer::start("s-1", &[Behavior::Respond]);
    server.add_notices(&[("keep-alive", "timeout=18446744073709551615")]);
    let host = Host::start(&[("s-1", server.entry("api", None))]);
    for _ in 0..3 {
        let answer = host.call("POST", "/order/1", b"").expect("answered");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "s-1"));
    }
}

/// Heads of answers of the store and of reports of servers, in which `LENGTH` stands for the length of the body.
const ODD_HEADS: [&str; 10] = [
    "HTTP/1.1 500 X\r\ncontent-length: LENGTH\r\n\r\n",
    "HTTP/1.1 000 OK\r\ncontent-length: LENGTH\r\n\r\n",
    "HTTP/1.1 600 OK\r\ncontent-length: LENGTH\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: +LENGTH\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: LENGTH\u{3000}\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: LENGTH\r\ncontent-length: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: LENGTH\r\nno field\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: LENGTH\r\nx y: z\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: LENGTH\r\nx\u{1}y: z\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
];

/// Time in which the answers of the store are malformed; a host lists the servers several times in it.
const FAULT_TIME: Duration = Duration::from_millis(1_200);

#[test]
fn malformed_answer_of_the_store_takes_no_server_away() {
    for head in ODD_HEADS {
        let server = FakeServer::start("s-1", &[Behavior::Respond]);
        let host = Host::start(&[("s-1", server.entry("api", None))]);
        let is_served =
            || host.call("GET", "/read/1", b"").is_ok_and(|answer| answer.status() == 200);
        let fault = AnswerFault::MalformServerLists(head);
        host.store.disturb(&[host.store.address], &fault, FAULT_TIME);
        host.store.forget_history();
        let deadline = Instant::now() + FAULT_TIME;
        while Instant::now() < deadline {
            assert!(is_served(), "{head:?}");
        }
        assert!(host.store.faulty_answers() > 0, "{head:?}");
        let late = FakeServer::start("s-2", &[Behavior::Respond]);
        host.store.put("servers", "s-2", late.entry("api", None));
        host.wait_for("a later server", || is_served() && !late.requests().is_empty());
    }
}

/// Number of orders after which a count from a malformed report would have been used.
const ORDERS: usize = 3;

/// An order names the number of orders that the server has accepted, which its report corrects after a conflict.
#[test]
fn malformed_report_says_nothing_of_a_server() {
    let start = |(index, head): (usize, &&'static str)| {
        let server =
            FakeServer::start_with_orders(&format!("s-{index}"), &[Behavior::Respond], 409);
        server.send_malformed_reports(head);
        server
    };
    let servers: Vec<FakeServer> = ODD_HEADS.iter().enumerate().map(start).collect();
    let entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry("chat", None))).collect();
    let host = Host::start(&entries);
    host.wait_for("orders", || servers.iter().all(|server| server.orders().len() >= ORDERS));
    for (server, head) in servers.iter().zip(ODD_HEADS) {
        let is_expected = |order: &serde_json::Value| order["Expect"] == 0;
        assert!(server.orders().iter().all(is_expected), "{head:?}: {:?}", server.orders());
    }
}
