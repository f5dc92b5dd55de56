//! Events of complete streams and of streams broken at each point, against a broken stream that ends as done.

use std::io::Write;
use std::time::Duration;

use godwit_core::UnixMs;
use godwit_engine::{Generation, LossCause, NoEvent, StreamEvent, generate};
use godwit_schema::engine::{FinishReason, GenerateRequest, RefusalReason};

use crate::fake::{CLOSED_ADDRESS, FakeEngine, FullListener, STREAM_HEAD, chunk, request, token};

const DEADLINE: UnixMs = UnixMs(10_000);
const START: UnixMs = UnixMs(0);
const TIMEOUT_MS: u64 = 5_000;
const SILENCE_TIMEOUT_MS: u64 = 50;
const DONE: &str = r#"{"kind":"done","attempt":3,"position":2,"finish_reason":"stop"}"#;

fn start(address: &str) -> Generation {
    generate(&request(), address, DEADLINE, START)
}

/// All events of the stream that the engine sends as `answer`.
fn events(answer: &str) -> Vec<StreamEvent> {
    let fake = FakeEngine::answer(answer);
    let mut generation = start(&fake.address);
    let mut events = Vec::new();
    loop {
        let event = generation.next(TIMEOUT_MS).unwrap();
        let is_last = event.is_last();
        events.push(event);
        if is_last {
            return events;
        }
    }
}

#[track_caller]
fn assert_lost_after(answer: &str, tokens: usize) {
    let events = events(answer);
    assert_eq!(events.len(), tokens + 1, "{events:?}");
    assert!(matches!(events.last(), Some(StreamEvent::Lost(_))), "{events:?}");
}

#[test]
fn stream_complete_yields_tokens_and_done() {
    let answer = format!("{STREAM_HEAD}{}{}{}0\r\n\r\n", token(3, 0), token(3, 1), chunk(DONE));
    let events = events(&answer);
    assert!(
        matches!(&events[0], StreamEvent::Token { attempt: 3, position: 0, token } if token == "t0")
    );
    assert!(matches!(&events[1], StreamEvent::Token { position: 1, .. }));
    let done = StreamEvent::Done { attempt: 3, count: 2, finish_reason: FinishReason::Stop };
    assert_eq!(events[2], done);
}

#[test]
fn connect_refused_is_never_sent() {
    let event = start(CLOSED_ADDRESS).next(TIMEOUT_MS).unwrap();
    assert!(matches!(event, StreamEvent::Unreachable { .. }), "{event:?}");
}

#[test]
fn connect_timeout_is_never_sent_for_non_idempotent() {
    let full = FullListener::new();
    let non_idempotent = GenerateRequest { idempotency_key: Some("k-1".to_string()), ..request() };
    let event = generate(&non_idempotent, &full.address, DEADLINE, START).next(TIMEOUT_MS).unwrap();
    assert!(matches!(event, StreamEvent::Unreachable { .. }), "{event:?}");
}

#[test]
fn refusal_is_never_sent() {
    let body = r#"{"reason":"busy","message":"queue is full"}"#;
    let answer = format!("HTTP/1.1 503 Busy\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let events = events(&answer);
    let reason = RefusalReason::Busy;
    assert!(
        matches!(&events[0], StreamEvent::Refused { reason: found, .. } if *found == reason),
        "{events:?}"
    );
}

#[test]
fn refusal_of_later_stage_may_have_run() {
    let body = r#"{"reason":"stage_failed","failed_server":"s2","message":"lost"}"#;
    let answer = format!("HTTP/1.1 502 Failed\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let events = events(&answer);
    assert!(
        matches!(&events[0], StreamEvent::Failed { failed_server: Some(server), .. } if server == "s2"),
        "{events:?}"
    );
}

#[test]
fn refusal_truncated_may_have_run() {
    assert_lost_after("HTTP/1.1 503 Busy\r\nContent-Length: 40\r\n\r\n{\"reason\":\"busy\"", 0);
}

#[test]
fn refusal_without_its_status_may_have_run() {
    let body = r#"{"reason":"busy","message":"queue is full"}"#;
    for status_line in ["garbled", "HTTP/1.1 Busy", "HTTP/1.1 202 Accepted"] {
        let length = body.len();
        assert_lost_after(&format!("{status_line}\r\nContent-Length: {length}\r\n\r\n{body}"), 0);
    }
}

#[test]
fn response_without_refusal_is_malformed_if_complete() {
    let complete = "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nfault";
    let malformed =
        |event: &StreamEvent| matches!(event, StreamEvent::Lost(LossCause::Malformed(_)));
    assert!(malformed(&events(complete)[0]));
    // The response of a server that ends must still count as the loss of the server.
    for length in 0..complete.len() {
        let event = &events(&complete[..length])[0];
        assert!(matches!(event, StreamEvent::Lost(LossCause::Closed(_))), "{length}: {event:?}");
    }
}

#[test]
fn connection_closed_before_answer_is_lost() {
    assert_lost_after("", 0);
}

#[test]
fn connection_closed_in_head_is_lost() {
    assert_lost_after("HTTP/1.1 200 OK\r\nTransfer-Enc", 0);
}

#[test]
fn stream_closed_between_tokens_is_lost() {
    assert_lost_after(&format!("{STREAM_HEAD}{}", token(3, 0)), 1);
    assert_lost_after(&format!("{STREAM_HEAD}{}0\r\n\r\n", token(3, 0)), 1);
}

#[test]
fn stream_truncated_in_line_is_lost() {
    let truncated_line = "3f\r\n{\"kind\":\"done\",\"attempt\":3,\"position\":1,";
    assert_lost_after(&format!("{STREAM_HEAD}{}{truncated_line}", token(3, 0)), 1);
    // The line parses, but its newline is missing.
    let unterminated = r#"{"kind":"done","attempt":3,"position":1}"#;
    let chunk = format!("{:x}\r\n{unterminated}\r\n", unterminated.len());
    assert_lost_after(&format!("{STREAM_HEAD}{}{chunk}", token(3, 0)), 1);
}

#[test]
fn stream_malformed_line_is_lost() {
    let events = events(&format!("{STREAM_HEAD}{}0\r\n\r\n", chunk("{\"kind\":\"toke")));
    assert!(matches!(&events[0], StreamEvent::Lost(LossCause::Malformed(_))), "{events:?}");
}

#[test]
fn stream_error_event_names_server() {
    let error =
        r#"{"kind":"error","attempt":3,"position":1,"failed_server":"s2","message":"lost"}"#;
    let events = events(&format!("{STREAM_HEAD}{}{}0\r\n\r\n", token(3, 0), chunk(error)));
    assert!(
        matches!(&events[1], StreamEvent::Failed { failed_server: Some(server), .. } if server == "s2"),
        "{events:?}"
    );
}

#[test]
fn stream_of_silent_engine_is_cancelled() {
    let (release, released) = flume::bounded::<()>(0);
    let fake = FakeEngine::run(vec![
        Box::new(move |stream| {
            stream.write_all(format!("{STREAM_HEAD}{}", token(3, 0)).as_bytes()).unwrap();
            // Keeps the connection open until the test drops `release`.
            let _ = released.recv();
        }),
        Box::new(|stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").unwrap();
        }),
    ]);
    let mut generation = start(&fake.address);
    assert!(matches!(generation.next(TIMEOUT_MS), Ok(StreamEvent::Token { .. })));
    assert_eq!(
        generation.next(SILENCE_TIMEOUT_MS),
        Err(NoEvent::Silent { waited_ms: SILENCE_TIMEOUT_MS })
    );
    drop(generation);
    drop(release);
    let (generate_line, _) = fake.requests.recv().unwrap();
    assert_eq!(generate_line, "POST /v1/generate HTTP/1.1");
    let cancel = fake.requests.recv_timeout(Duration::from_millis(TIMEOUT_MS)).unwrap();
    assert_eq!(cancel.0, "POST /v1/cancel HTTP/1.1");
    assert_eq!(cancel.1, r#"{"attempt":3,"request_id":"r-1"}"#);
}

#[test]
fn refusal_written_twice_answers_no_other_call() {
    let body = r#"{"reason":"busy","message":"queue is full"}"#;
    let refusal = format!("HTTP/1.1 503 Busy\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (release, released) = flume::bounded::<()>(0);
    let fake = FakeEngine::run(vec![
        Box::new(move |stream| {
            stream.write_all(refusal.repeat(2).as_bytes()).unwrap();
            // The next connection is accepted although this one stays open.
            let kept = stream.try_clone().unwrap();
            std::thread::spawn(move || {
                let _ = released.recv();
                drop(kept);
            });
        }),
        Box::new(|stream| {
            let answer = format!("{STREAM_HEAD}{}{}0\r\n\r\n", token(3, 0), chunk(DONE));
            stream.write_all(answer.as_bytes()).unwrap();
        }),
    ]);
    let refused = start(&fake.address).next(TIMEOUT_MS).unwrap();
    assert!(matches!(refused, StreamEvent::Refused { .. }), "{refused:?}");
    let streamed = start(&fake.address).next(TIMEOUT_MS).unwrap();
    assert!(matches!(streamed, StreamEvent::Token { position: 0, .. }), "{streamed:?}");
    drop(release);
}
