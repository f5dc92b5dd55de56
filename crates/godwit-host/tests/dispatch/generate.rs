//! Tests of models that one server holds whole: resumption, refusals, deadlines and callers that disconnect.
//!
//! They guard against tokens that are missing or duplicated after a server crashed or fell silent, against a
//! non-idempotent request that runs twice, and against a result that claims more than the host knows.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use godwit_core::stream::DroppedPieces;
use godwit_core::{Code, Verdict};
use godwit_host::dispatch::{AttemptOutcome, Outcome, run_generate};
use godwit_host::{Clock, SystemClock};
use godwit_schema::engine::{EngineFaults, FinishReason, JournalAction};

use crate::engines::{
    TOKENS, address, executed_positions, expected_answer, generate_job, run, run_request,
    start_whole_engine,
};
use crate::support::{
    CLOSED_ADDRESS, DispatchFixture, ListSource, RecordingSink, claimed_request,
    claimed_request_until,
};

fn engine_faults(change: impl FnOnce(&mut EngineFaults)) -> EngineFaults {
    let mut faults = EngineFaults::default();
    change(&mut faults);
    faults
}

#[track_caller]
fn assert_answered<A: std::fmt::Debug>(outcome: &Outcome<A>) {
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
}

#[test]
fn generate_complete_answer() {
    let engine = start_whole_engine("s1");
    let fixture = DispatchFixture::new();
    let (run, tokens) = run(&fixture, &ListSource::new(&[("s1", &address(&engine))]));
    assert_answered(&run.outcome);
    assert_eq!(tokens, expected_answer());
    assert!(run.report.first_token_at.is_some());
    assert_eq!(fixture.recorder.outcomes(), [("s1".to_string(), AttemptOutcome::Completed)]);
}

#[test]
fn generate_resumes_after_crash() {
    let (first, second) = (start_whole_engine("s1"), start_whole_engine("s2"));
    first.set_faults(engine_faults(|faults| faults.die_at_position = Some(5))).unwrap();
    let servers = [("s1", address(&first)), ("s2", address(&second))];
    let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
    let fixture = DispatchFixture::new();
    let (run, tokens) = run(&fixture, &source);
    assert_answered(&run.outcome);
    assert_eq!(tokens, expected_answer());
    assert_eq!(executed_positions(&first), [0, 1, 2, 3, 4]);
    assert_eq!(executed_positions(&second), (5..TOKENS).collect::<Vec<_>>());
    assert_eq!(fixture.recorder.outcomes()[0], ("s1".to_string(), AttemptOutcome::Lost));
}

#[test]
fn generate_resumes_after_silence() {
    let (first, second) = (start_whole_engine("s1"), start_whole_engine("s2"));
    first.set_faults(engine_faults(|faults| faults.hang_at_position = Some(5))).unwrap();
    let servers = [("s1", address(&first)), ("s2", address(&second))];
    let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
    let fixture = DispatchFixture::new();
    let (run, tokens) = run(&fixture, &source);
    assert_answered(&run.outcome);
    assert_eq!(tokens, expected_answer());
    assert_eq!(executed_positions(&second), (5..TOKENS).collect::<Vec<_>>());
    assert_eq!(fixture.recorder.outcomes()[0], ("s1".to_string(), AttemptOutcome::Silent));
}

#[test]
fn generate_queued_request_is_not_abandoned() {
    let (first, second) = (start_whole_engine("s1"), start_whole_engine("s2"));
    first.set_faults(engine_faults(|faults| faults.slow_factor = 700.0)).unwrap();
    let servers = [("s1", address(&first)), ("s2", address(&second))];
    let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
    let fixture = DispatchFixture::new();
    let mut sink = RecordingSink { disconnect_after: Some(1), ..RecordingSink::default() };
    run_generate(
        claimed_request("r-1", TOKENS, false),
        &generate_job(),
        &fixture.context(&source),
        &mut sink,
    );
    // The first token takes longer than `silent_after_ms`, but the server answers probes.
    assert_eq!(sink.tokens, expected_answer()[..1]);
    assert!(second.journal().is_empty());
    assert_eq!(fixture.recorder.outcomes(), [("s1".to_string(), AttemptOutcome::Cancelled)]);
}

#[test]
fn generate_duplicate_tokens_are_dropped() {
    let engine = start_whole_engine("s1");
    engine.set_faults(engine_faults(|faults| faults.duplicate_tokens = true)).unwrap();
    let fixture = DispatchFixture::new();
    let (run, tokens) = run(&fixture, &ListSource::new(&[("s1", &address(&engine))]));
    assert_answered(&run.outcome);
    assert_eq!(tokens, expected_answer());
    let duplicate = u64::from(TOKENS);
    assert_eq!(run.report.dropped, DroppedPieces { duplicate, ..DroppedPieces::default() });
}

#[test]
fn generate_tries_next_server_after_refused_connection() {
    for non_idempotent in [false, true] {
        let engine = start_whole_engine("s2");
        let source = ListSource::new(&[("s1", CLOSED_ADDRESS), ("s2", &address(&engine))]);
        let fixture = DispatchFixture::new();
        let (run, tokens) = run_request(&fixture, &source, non_idempotent);
        assert_answered(&run.outcome);
        assert_eq!(tokens, expected_answer());
        assert_eq!(fixture.recorder.outcomes()[0], ("s1".to_string(), AttemptOutcome::Unreachable));
    }
}

#[test]
fn generate_all_refused_is_not_run() {
    for non_idempotent in [false, true] {
        let source = ListSource::new(&[("s1", CLOSED_ADDRESS), ("s2", CLOSED_ADDRESS)]);
        let (run, _) = run_request(&DispatchFixture::new(), &source, non_idempotent);
        match run.outcome {
            Outcome::NotRun { reply, .. } => assert_eq!(reply.code(), Code::ServersRefused),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn generate_lost_then_refused_is_incomplete() {
    let engine = start_whole_engine("s1");
    engine.set_faults(engine_faults(|faults| faults.die_at_position = Some(0))).unwrap();
    let source = ListSource::new(&[("s1", &address(&engine)), ("s2", CLOSED_ADDRESS)]);
    let (run, _) = run(&DispatchFixture::new(), &source);
    match run.outcome {
        Outcome::Incomplete { reply, delivered_tokens, .. } => {
            assert_eq!(reply.code(), Code::AnswerIncomplete);
            assert_eq!(delivered_tokens, 0);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn generate_lost_non_idempotent_is_not_retried() {
    for position in [0, 5] {
        let (first, second) = (start_whole_engine("s1"), start_whole_engine("s2"));
        first.set_faults(engine_faults(|faults| faults.die_at_position = Some(position))).unwrap();
        let servers = [("s1", address(&first)), ("s2", address(&second))];
        let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
        let (run, _) = run_request(&DispatchFixture::new(), &source, true);
        match run.outcome {
            Outcome::Unknown(reply) => assert_eq!(reply.code(), Code::OutcomeUnknown),
            other => panic!("{other:?}"),
        }
        assert!(second.journal().is_empty());
    }
}

#[test]
fn generate_deadline_has_unknown_verdict() {
    for non_idempotent in [false, true] {
        let engine = start_whole_engine("s1");
        engine.set_faults(engine_faults(|faults| faults.hang_at_position = Some(3))).unwrap();
        let source = ListSource::new(&[("s1", &address(&engine))]);
        let mut fixture = DispatchFixture::new();
        fixture.settings.silent_after_ms = 60_000;
        let claimed =
            claimed_request_until("r-1", TOKENS, non_idempotent, SystemClock.now().plus_ms(300));
        let run = run_generate(
            claimed,
            &generate_job(),
            &fixture.context(&source),
            &mut RecordingSink::default(),
        );
        assert_eq!(run.outcome.code(), Some(Code::TimedOut), "{:?}", run.outcome);
        assert_eq!(Code::TimedOut.verdict(), Verdict::Unknown);
    }
}

#[test]
fn generate_past_deadline_is_not_run() {
    let engine = start_whole_engine("s1");
    let source = ListSource::new(&[("s1", &address(&engine))]);
    let fixture = DispatchFixture::new();
    let claimed = claimed_request_until("r-1", TOKENS, false, SystemClock.now());
    let run = run_generate(
        claimed,
        &generate_job(),
        &fixture.context(&source),
        &mut RecordingSink::default(),
    );
    assert_eq!(run.outcome.code(), Some(Code::TooLate));
    assert!(engine.journal().is_empty());
}

#[test]
fn generate_disconnected_caller_cancels_idempotent() {
    let engine = start_whole_engine("s1");
    engine.set_faults(engine_faults(|faults| faults.slow_factor = 50.0)).unwrap();
    let source = ListSource::new(&[("s1", &address(&engine))]);
    let fixture = DispatchFixture::new();
    let mut sink = RecordingSink { disconnect_after: Some(2), ..RecordingSink::default() };
    let run = run_generate(
        claimed_request("r-1", TOKENS, false),
        &generate_job(),
        &fixture.context(&source),
        &mut sink,
    );
    assert!(matches!(run.outcome, Outcome::CallerDisconnected), "{:?}", run.outcome);
    let cancelled =
        || engine.journal().iter().any(|entry| entry.action == JournalAction::Cancelled);
    for _ in 0..200 {
        if cancelled() {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(cancelled(), "{:?}", engine.journal());
}

#[test]
fn generate_disconnected_caller_keeps_non_idempotent_running() {
    let engine = start_whole_engine("s1");
    let source = ListSource::new(&[("s1", &address(&engine))]);
    let fixture = DispatchFixture::new();
    let mut sink = RecordingSink { disconnect_after: Some(2), ..RecordingSink::default() };
    let run = run_generate(
        claimed_request("r-1", TOKENS, true),
        &generate_job(),
        &fixture.context(&source),
        &mut sink,
    );
    assert_answered(&run.outcome);
    assert_eq!(executed_positions(&engine), (0..TOKENS).collect::<Vec<_>>());
}

#[test]
fn generate_missing_end_after_all_tokens_is_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let mut request = [0; 4096];
        // For a non-idempotent request, the client first opens a connection and closes it without sending anything.
        let mut stream = loop {
            let (mut stream, _) = listener.accept().unwrap();
            if stream.read(&mut request).unwrap() > 0 {
                break stream;
            }
        };
        let mut answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
        for position in 0..TOKENS {
            let line = format!(
                "{{\"kind\":\"token\",\"attempt\":1,\"position\":{position},\"token\":\"x\"}}\n"
            );
            answer.push_str(&format!("{:x}\r\n{line}\r\n", line.len()));
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let (run, tokens) =
        run_request(&DispatchFixture::new(), &ListSource::new(&[("s1", &address)]), true);
    match run.outcome {
        Outcome::Answered { answer, .. } => {
            assert_eq!(answer.finish_reason, FinishReason::Length);
            assert_eq!(answer.tokens, tokens);
        }
        other => panic!("{other:?}"),
    }
}
