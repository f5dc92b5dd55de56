//! Failures at every point of a call, against a call that may have run but is reported as never sent, and against an
//! incomplete answer that is accepted.

use std::io::{Read, Write};
use std::net::TcpListener;

use crate::fake::{CLOSED_ADDRESS, FakeService, FullListener, read_request};
use godwit_core::UnixMs;
use godwit_service::{ServiceCall, ServiceError, ServiceReply, forward};

const LONG_DEADLINE: UnixMs = UnixMs(10_000);
const SHORT_DEADLINE: UnixMs = UnixMs(100);
const START: UnixMs = UnixMs(0);
const ANSWER_LIMIT_BYTES: u64 = 64;

fn call(body: &[u8]) -> ServiceCall<'_> {
    ServiceCall {
        method: "POST",
        path: "/orders",
        headers: &[],
        body,
        answer_limit_bytes: ANSWER_LIMIT_BYTES,
    }
}

fn send(address: &str) -> Result<ServiceReply, ServiceError> {
    forward(&call(b"{}"), address, LONG_DEADLINE, START)
}

fn call_answered_with(answer: &'static [u8]) -> Result<ServiceReply, ServiceError> {
    send(&FakeService::answer(answer).address)
}

#[track_caller]
fn assert_may_have_run(result: Result<ServiceReply, ServiceError>) {
    match result {
        Ok(reply) => panic!("accepted as complete: {reply:?}"),
        Err(ServiceError::NeverSent { message, .. }) => panic!("reported as never sent: {message}"),
        Err(_) => {}
    }
}

#[test]
fn connect_refused_is_never_sent() {
    let result = send(CLOSED_ADDRESS);
    assert!(matches!(result, Err(ServiceError::NeverSent { .. })), "{result:?}");
}

#[test]
fn connect_timeout_is_never_sent() {
    let full = FullListener::new();
    let result = send(&full.address);
    assert!(matches!(result, Err(ServiceError::NeverSent { .. })), "{result:?}");
}

#[test]
fn connection_reset_at_once_may_have_run() {
    let fake = FakeService::run(|_| Vec::new());
    assert_may_have_run(send(&fake.address));
}

#[test]
fn partly_written_body_may_have_run() {
    let fake = FakeService::run(|stream| {
        let mut prefix = [0; 16];
        stream.read_exact(&mut prefix).unwrap();
        Vec::new()
    });
    let body = vec![b'x'; 16 * 1024 * 1024];
    assert_may_have_run(forward(&call(&body), &fake.address, LONG_DEADLINE, START));
}

#[test]
fn closed_before_answer_may_have_run() {
    assert_may_have_run(call_answered_with(b""));
}

#[test]
fn silent_service_times_out() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let fake = FakeService::run(move |stream| {
        let request = read_request(stream);
        // Keeps the connection open until the test has its result.
        let _ = released.recv();
        request
    });
    let result = forward(&call(b"{}"), &fake.address, SHORT_DEADLINE, START);
    drop(release);
    assert!(matches!(result, Err(ServiceError::TimedOut)), "{result:?}");
}

#[test]
fn answer_truncated_in_status_line_may_have_run() {
    assert_may_have_run(call_answered_with(b"HTTP/1.1 20"));
}

#[test]
fn answer_truncated_in_headers_may_have_run() {
    assert_may_have_run(call_answered_with(b"HTTP/1.1 200 OK\r\nContent-Length: 0"));
    assert_may_have_run(call_answered_with(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"));
}

#[test]
fn answer_truncated_in_body_may_have_run() {
    assert_may_have_run(call_answered_with(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345"));
}

#[test]
fn answer_truncated_in_chunks_may_have_run() {
    for answer in [
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n12345\r\n0\r\n\r\n",
    ] {
        assert_may_have_run(call_answered_with(answer));
    }
}

#[test]
fn answer_without_framing_is_rejected() {
    assert_may_have_run(call_answered_with(b"HTTP/1.1 200 OK\r\n\r\nhello"));
}

#[test]
fn answer_with_contradictory_framing_is_rejected() {
    assert_may_have_run(call_answered_with(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12",
    ));
    assert_may_have_run(call_answered_with(
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ));
}

#[test]
fn answer_with_status_that_does_not_exist_is_rejected() {
    for status in ["000", "001", "099", "600", "999", "20", "+20", "2000"] {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\nok");
        assert_may_have_run(call_answered_with(answer.leak().as_bytes()));
    }
}

#[test]
fn answer_with_length_that_is_no_number_is_rejected() {
    for length in ["+2", "-2", "", "0x2", "2 2", "2,3", "2;", "\u{a0}2", "2\u{3000}", "\u{662}"] {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nok");
        assert_may_have_run(call_answered_with(answer.leak().as_bytes()));
    }
}

#[test]
fn answer_with_encoding_other_than_chunked_once_is_rejected() {
    for encodings in [
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: \u{a0}chunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding:",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{encodings}\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        assert_may_have_run(call_answered_with(answer.leak().as_bytes()));
    }
}

#[test]
fn answer_with_chunk_size_that_is_no_number_is_rejected() {
    for size in ["+0", "-0", "", " 0", "0x0", "0 0", "\u{a0}0", "0\u{3000}", "\u{b}0", "\n0", ";0"]
    {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n{size}\r\n\r\n"
        );
        assert_may_have_run(call_answered_with(answer.leak().as_bytes()));
    }
}

#[test]
fn answer_with_trailer_that_is_no_field_is_rejected() {
    for trailer in ["no field", "x y: z", ": z", "x\u{1}y: z", "HTTP/1.1 200 OK"] {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n{trailer}\r\n\r\n"
        );
        assert_may_have_run(call_answered_with(answer.leak().as_bytes()));
    }
}

#[test]
fn answer_with_line_that_is_no_field_is_rejected() {
    for line in [
        "no field",
        ": z",
        "x y: z",
        "x : z",
        " x: z",
        "x\u{1}y: z",
        "x: \u{0}",
        "Content-Length 2",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 2\r\n\r\nok");
        assert_may_have_run(call_answered_with(answer.leak().as_bytes()));
    }
}

#[test]
fn success_without_body_that_tells_a_length_is_rejected() {
    for line in ["Content-Length: 2", "Content-Length: +0", "Transfer-Encoding: chunked"] {
        let answer = format!("HTTP/1.1 204 OK\r\n{line}\r\n\r\nok");
        assert_may_have_run(call_answered_with(answer.leak().as_bytes()));
    }
}

#[test]
fn answer_above_limit_is_rejected() {
    assert_may_have_run(call_answered_with(b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n"));
    assert_may_have_run(call_answered_with(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
          41\r\n12345678901234567890123456789012345678901234567890123456789012345\r\n0\r\n\r\n",
    ));
}

#[test]
fn complete_answers_are_accepted() {
    let length =
        call_answered_with(b"HTTP/1.1 201 Created\r\nContent-Length: 5\r\nX-Slot: 7\r\n\r\n12345");
    let reply = length.unwrap();
    assert_eq!((reply.status, reply.body.as_slice()), (201, &b"12345"[..]));
    assert_eq!(reply.headers.len(), 1, "{:?}", reply.headers);
    let chunked = call_answered_with(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n3;x=y\r\n345\r\n0\r\n\r\n",
    );
    assert_eq!(chunked.unwrap().body, b"12345");
    let interim = call_answered_with(
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\nX-Slot: 7\r\n\r\n",
    );
    assert_eq!(interim.unwrap().status, 204);
}

#[test]
fn answer_written_twice_answers_no_other_call() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for status in [503, 201] {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream);
            let answer = format!("HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n\r\nok");
            stream.write_all(answer.repeat(2).as_bytes()).unwrap();
            kept.push(stream);
        }
    });
    assert_eq!(send(&address).unwrap().status, 503);
    assert_eq!(send(&address).unwrap().status, 201);
}

#[test]
fn past_deadline_is_never_sent() {
    let result = forward(&call(b"{}"), "127.0.0.1:9", START, START);
    assert!(matches!(result, Err(ServiceError::NeverSent { .. })));
}
