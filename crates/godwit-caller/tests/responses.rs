//! Responses read from the socket: handlers that do not finish their response, and bodies at the limits of the parser.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use godwit_caller::{Call, CallerServer, CallerSettings, Finish, Handler, Limits, Responder};
use godwit_core::{Code, UnixMs};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Nesting that `serde_json` still accepts below a message's `content`.
const MAX_NESTING: usize = 120;

/// Streams one token, then ends as its argument says.
struct OneToken(fn(Responder));

impl Handler for OneToken {
    fn serve(&self, _: &Call, mut responder: Responder) {
        responder.push_token("eggs").unwrap();
        (self.0)(responder);
    }

    fn now(&self) -> UnixMs {
        UnixMs(1_000)
    }
}

fn start(end: fn(Responder)) -> CallerServer {
    let settings = CallerSettings {
        bind: "127.0.0.1:0".parse().unwrap(),
        limits: Limits::default(),
        id_prefix: "test".to_string(),
    };
    CallerServer::start(settings, Arc::new(OneToken(end))).unwrap()
}

fn finish_whole(responder: Responder) {
    let finish = Finish::Whole { code: Code::Ok, finish_reason: "stop".to_string() };
    responder.finish(&finish).unwrap();
}

/// Whether the calls of [`finish_when_released`] may finish.
static IS_RELEASED: AtomicBool = AtomicBool::new(false);

fn finish_when_released(responder: Responder) {
    while !IS_RELEASED.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(1));
    }
    finish_whole(responder);
}

/// Waits until a server has a number of calls in progress.
fn wait_for_live_calls(server: &CallerServer, count: usize) {
    while server.live_calls() != count {
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn post_request(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one request and returns the whole response as text.
fn exchange(server: &CallerServer, body: &str) -> String {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let request = post_request("Connection: close\r\n", body);
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

fn stream_request() -> &'static str {
    r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"Hello"}]}"#
}

#[test]
fn stream_finished_ends_with_done() {
    let response = exchange(&start(finish_whole), stream_request());
    assert!(response.contains("data: [DONE]\n\n"), "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

#[test]
fn stream_left_by_its_handler_ends_with_an_error() {
    let ends: [fn(Responder); 2] = [drop, |_responder| panic!("fault of the handler")];
    for end in ends {
        let response = exchange(&start(end), stream_request());
        assert!(!response.contains("[DONE]"), "{response}");
        assert!(response.contains("\"error\""), "ends like a complete stream: {response}");
    }
}

#[test]
fn body_nested_to_the_limit_is_refused() {
    let nested = format!("{}{}", "[".repeat(MAX_NESTING), "]".repeat(MAX_NESTING));
    let server = start(finish_whole);
    let body = format!(r#"{{"model":"m","messages":[{{"role":"user","content":{nested}}}]}}"#);
    let response = exchange(&server, &body);
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    let response = exchange(&server, stream_request());
    assert!(response.contains("data: [DONE]\n\n"), "{response}");
}

#[test]
fn drain_waits_for_calls_that_began_before_it_only() {
    let server = start(finish_when_released);
    std::thread::scope(|scope| {
        let before = scope.spawn(|| exchange(&server, stream_request()));
        wait_for_live_calls(&server, 1);
        server.drain();
        assert_eq!(server.calls_to_finish(), 1);
        scope.spawn(|| exchange(&server, stream_request()));
        wait_for_live_calls(&server, 2);
        assert_eq!(server.calls_to_finish(), 1);
        IS_RELEASED.store(true, Ordering::SeqCst);
        assert!(before.join().unwrap().contains("data: [DONE]\n\n"));
    });
    wait_for_live_calls(&server, 0);
    assert_eq!(server.calls_to_finish(), 0);
}

mod connections {
    use super::*;

    /// Connections that are opened at once, and the number of times.
    const CONNECTIONS: usize = 9;
    const ROUNDS: usize = 20;

    /// Time within which a connection is read although the others stay open.
    const READ_TIMEOUT: Duration = Duration::from_secs(3);

    fn send_keeping_open(server: &CallerServer) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(server.address())?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(post_request("", stream_request()).as_bytes())?;
        stream.read_exact(&mut [0])?;
        Ok(stream)
    }

    #[test]
    fn opened_at_once_are_all_read() {
        let mut unread = 0;
        for _ in 0..ROUNDS {
            let server = start(finish_whole);
            std::thread::scope(|scope| {
                let callers: Vec<_> =
                    (0..CONNECTIONS).map(|_| scope.spawn(|| send_keeping_open(&server))).collect();
                let streams: Vec<_> =
                    callers.into_iter().map(|caller| caller.join().unwrap()).collect();
                unread += streams.iter().filter(|stream| stream.is_err()).count();
            });
        }
        assert_eq!(unread, 0, "of {}", ROUNDS * CONNECTIONS);
    }
}
