//! Every point at which a call can break, and what is said about it.

use std::io::Read;

use crate::fake::{CLOSED_ADDRESS, Fake, FullListener, read_request};
use godwit_core::UnixMs;
use godwit_service::{ServiceCall, ServiceError, ServiceReply, forward};

const LONG: UnixMs = UnixMs(10_000);
const SHORT: UnixMs = UnixMs(100);
const START: UnixMs = UnixMs(0);
const LIMIT_BYTES: u64 = 64;

fn call(body: &[u8]) -> ServiceCall<'_> {
    ServiceCall {
        method: "POST",
        path: "/orders",
        headers: &[],
        body,
        answer_limit_bytes: LIMIT_BYTES,
    }
}

fn send(address: &str) -> Result<ServiceReply, ServiceError> {
    forward(&call(b"{}"), address, LONG, START)
}

fn answered(answer: &'static [u8]) -> Result<ServiceReply, ServiceError> {
    send(&Fake::answer(answer).address)
}

#[track_caller]
fn assert_may_have_run(result: Result<ServiceReply, ServiceError>) {
    match result {
        Ok(reply) => panic!("taken as whole: {reply:?}"),
        Err(ServiceError::NeverSent { message, .. }) => panic!("said never sent: {message}"),
        Err(_) => {}
    }
}

#[test]
fn connect_refused_is_never_sent() {
    let result = send(CLOSED_ADDRESS);
    assert!(matches!(result, Err(ServiceError::NeverSent { .. })), "{result:?}");
}

#[test]
fn connect_not_answered_is_never_sent() {
    let full = FullListener::new();
    let result = send(&full.address);
    assert!(matches!(result, Err(ServiceError::NeverSent { .. })), "{result:?}");
}

#[test]
fn connection_reset_at_once_may_have_run() {
    let fake = Fake::play(|_| Vec::new());
    assert_may_have_run(send(&fake.address));
}

#[test]
fn half_written_body_may_have_run() {
    let fake = Fake::play(|stream| {
        let mut some = [0; 16];
        stream.read_exact(&mut some).unwrap();
        Vec::new()
    });
    let body = vec![b'x'; 16 * 1024 * 1024];
    assert_may_have_run(forward(&call(&body), &fake.address, LONG, START));
}

#[test]
fn closed_before_answer_may_have_run() {
    assert_may_have_run(answered(b""));
}

#[test]
fn silent_service_times_out() {
    let (let_go, held) = std::sync::mpsc::channel::<()>();
    let fake = Fake::play(move |stream| {
        let request = read_request(stream);
        // Holds the connection open until the test has its result.
        let _ = held.recv();
        request
    });
    let result = forward(&call(b"{}"), &fake.address, SHORT, START);
    drop(let_go);
    assert!(matches!(result, Err(ServiceError::TimedOut)), "{result:?}");
}

#[test]
fn answer_cut_in_status_line_may_have_run() {
    assert_may_have_run(answered(b"HTTP/1.1 20"));
}

#[test]
fn answer_cut_in_headers_may_have_run() {
    assert_may_have_run(answered(b"HTTP/1.1 200 OK\r\nContent-Length: 0"));
    assert_may_have_run(answered(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"));
}

#[test]
fn answer_cut_in_body_may_have_run() {
    assert_may_have_run(answered(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345"));
}

#[test]
fn answer_cut_in_chunks_may_have_run() {
    for answer in [
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n12345\r\n0\r\n\r\n",
    ] {
        assert_may_have_run(answered(answer));
    }
}

#[test]
fn answer_without_framing_is_not_taken() {
    assert_may_have_run(answered(b"HTTP/1.1 200 OK\r\n\r\nhello"));
}

#[test]
fn answer_with_contradictory_framing_is_not_taken() {
    assert_may_have_run(answered(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12",
    ));
    assert_may_have_run(answered(
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ));
}

#[test]
fn answer_over_limit_is_not_taken() {
    assert_may_have_run(answered(b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n"));
    assert_may_have_run(answered(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
          41\r\n12345678901234567890123456789012345678901234567890123456789012345\r\n0\r\n\r\n",
    ));
}

#[test]
fn whole_answers_are_taken() {
    let length = answered(b"HTTP/1.1 201 Created\r\nContent-Length: 5\r\nX-Slot: 7\r\n\r\n12345");
    let reply = length.unwrap();
    assert_eq!((reply.status, reply.body.as_slice()), (201, &b"12345"[..]));
    assert_eq!(reply.headers.len(), 1, "{:?}", reply.headers);
    let chunked = answered(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n3;x=y\r\n345\r\n0\r\n\r\n",
    );
    assert_eq!(chunked.unwrap().body, b"12345");
    let interim =
        answered(b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\nX-Slot: 7\r\n\r\n");
    assert_eq!(interim.unwrap().status, 204);
}

#[test]
fn past_deadline_is_never_sent() {
    let result = forward(&call(b"{}"), "127.0.0.1:9", START, START);
    assert!(matches!(result, Err(ServiceError::NeverSent { .. })));
}
