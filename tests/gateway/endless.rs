//! Servers that send bytes without end, in each place of an answer.

use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::Message;
use crate::server::{Behavior, EndlessBytes, FakeServer};

/// Time after the route's timeout within which a caller has its final answer, as the platform's rules state.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Timeout of the routes for calls, and of the one for streams.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
const STREAM_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Memory of the smallest hosts, in KiB.
const MEMORY_LIMIT_KIB: u64 = 160 * 1024;

/// Number of requests that get endless bytes at the same time.
const CALLERS: usize = 8;

const IN_CALLS: [EndlessBytes; 9] = [
    EndlessBytes::OtherProtocol,
    EndlessBytes::Header,
    EndlessBytes::Headers,
    EndlessBytes::InterimResponses,
    EndlessBytes::ChunkSize,
    EndlessBytes::Chunks,
    EndlessBytes::Trailers,
    EndlessBytes::Body,
    EndlessBytes::StrayResponses,
];

const IN_STREAMS: [EndlessBytes; 9] = [
    EndlessBytes::OtherProtocol,
    EndlessBytes::Header,
    EndlessBytes::InterimResponses,
    EndlessBytes::ChunkSize,
    EndlessBytes::Trailers,
    EndlessBytes::StrayResponses,
    EndlessBytes::Event,
    EndlessBytes::SameEvent,
    EndlessBytes::SlowEvent,
];

/// Sends requests to a host whose servers send endless bytes. Returns the answers, and checks that they come in time and
/// that the host's memory stays within its limit.
fn answers(host: &Host, path: &str, timeout: Duration) -> Vec<std::io::Result<Message>> {
    let started = Instant::now();
    let (answers, peak_kib) = std::thread::scope(|scope| {
        let call = |index: usize| host.call("POST", &format!("{path}{index}"), b"hello");
        let callers: Vec<_> = (0..CALLERS).map(|index| scope.spawn(move || call(index))).collect();
        let mut peak_kib = 0;
        while !callers.iter().all(std::thread::ScopedJoinHandle::is_finished) {
            peak_kib = peak_kib.max(host.memory_kib());
            std::thread::sleep(Duration::from_millis(20));
        }
        let answers = callers.into_iter().map(|caller| caller.join().expect("no panic"));
        (answers.collect(), peak_kib)
    });
    let took = started.elapsed();
    assert!(took <= timeout + ANSWER_MARGIN, "the answers took {took:?}");
    assert!(peak_kib <= MEMORY_LIMIT_KIB, "the host took {peak_kib} KiB");
    answers
}

/// The request may have run, so that it must neither look successful nor promise that it did not run.
fn assert_is_unknown(kind: EndlessBytes, answer: &std::io::Result<Message>) {
    let status = answer.as_ref().map_or(0, Message::status);
    assert!(matches!(status, 502 | 504), "{kind:?}: {answer:?}");
}

#[test]
fn call_with_endless_answer_fails_in_time() {
    for kind in IN_CALLS {
        let server = FakeServer::start("s-1", &[Behavior::Endless(kind)]);
        let host = Host::start(&[("s-1", server.entry("api", None))]);
        for answer in answers(&host, "/order/", CALL_TIMEOUT) {
            if server.requests().is_empty() {
                continue;
            }
            // One that came after the server was left out has not run.
            let is_not_run = answer.as_ref().is_ok_and(|answer| answer.status() == 503);
            if !is_not_run {
                assert_is_unknown(kind, &answer);
            }
        }
        assert!(!server.requests().is_empty(), "{kind:?} reached no server");
        let failures = host.metrics();
        let failures = failures.lines().find(|line| line.starts_with("server_failures_total"));
        assert!(failures.is_some(), "{kind:?} does not count against the server");
    }
}

#[test]
fn call_that_may_run_again_is_answered_beside_endless_answers() {
    for kind in IN_CALLS {
        let endless = FakeServer::start("s-1", &[Behavior::Endless(kind)]);
        let sound = FakeServer::start("s-2", &[Behavior::Respond]);
        let entries = [("s-1", endless.entry("api", None)), ("s-2", sound.entry("api", None))];
        let host = Host::start(&entries);
        let answers = answers(&host, "/read/", CALL_TIMEOUT);
        let is_sound = |answer: &&std::io::Result<Message>| {
            answer.as_ref().is_ok_and(|answer| answer.status() == 200)
        };
        for answer in answers.iter().filter(is_sound) {
            assert_eq!(answer.as_ref().expect("sound").body, b"s-2", "{kind:?}");
        }
        assert!(answers.iter().any(|answer| is_sound(&answer)), "{kind:?}: {answers:?}");
    }
}

#[test]
fn answer_before_endless_bytes_is_delivered_and_its_connection_closed() {
    let server = FakeServer::start("s-1", &[Behavior::Endless(EndlessBytes::AfterAnswer)]);
    let host = Host::start(&[("s-1", server.entry("api", None))]);
    for _ in 0..3 {
        for answer in answers(&host, "/order/", CALL_TIMEOUT) {
            let answer = answer.expect("an answer");
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"s-1"[..]));
        }
    }
}

#[test]
fn stream_with_endless_bytes_ends_in_time() {
    for kind in IN_STREAMS {
        let server = FakeServer::start("s-1", &[Behavior::Endless(kind)]);
        let host = Host::start(&[("s-1", server.entry("chat", Some((0, 16))))]);
        for answer in answers(&host, "/chat/", STREAM_TIMEOUT) {
            // A stream whose events have begun ends without its last chunk, which is an error here.
            let is_complete = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
            assert!(!is_complete, "{kind:?}: {answer:?}");
        }
        assert!(!server.requests().is_empty(), "{kind:?} reached no server");
    }
}

#[test]
fn stream_that_may_resume_completes_beside_endless_bytes() {
    const EVENTS: u64 = 20;
    for kind in IN_STREAMS {
        let endless = FakeServer::start("s-1", &[Behavior::Endless(kind)]);
        let sound =
            FakeServer::start("s-2", &[Behavior::Stream { events: EVENTS, is_complete: true }]);
        let layers = Some((0, 16));
        let entries =
            [("s-1", endless.entry("chat", layers)), ("s-2", sound.entry("chat", layers))];
        let host = Host::start(&entries);
        let answers = answers(&host, "/chat/", STREAM_TIMEOUT);
        let complete = answers.iter().filter(|answer| {
            answer.as_ref().is_ok_and(|answer| {
                let text = answer.text();
                let pieces = text.lines().filter(|line| line.starts_with("data: piece "));
                answer.status() == 200 && pieces.count() as u64 == EVENTS
            })
        });
        assert!(complete.count() > 0, "{kind:?}: {answers:?}");
    }
}
