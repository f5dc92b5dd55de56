//! Models held whole: resume, refusals, deadlines, callers that go.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use godwit_core::stream::DroppedPieces;
use godwit_core::{Code, Verdict};
use godwit_host::dispatch::{AttemptOutcome, Outcome, run_generate};
use godwit_host::{Clock, SystemClock};
use godwit_schema::engine::{EngineFaults, FinishReason, JournalAction};

use crate::engines::{TOKENS, address, expected, job, positions, run, run_life, whole};
use crate::support::{Bench, CLOSED_ADDRESS, ListSource, Sink, life, life_until};

fn faults(change: impl FnOnce(&mut EngineFaults)) -> EngineFaults {
    let mut faults = EngineFaults::default();
    change(&mut faults);
    faults
}

#[track_caller]
fn assert_whole<A: std::fmt::Debug>(outcome: &Outcome<A>) {
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
}

#[test]
fn generate_whole_answer() {
    let engine = whole("s1");
    let bench = Bench::new();
    let (run, tokens) = run(&bench, &ListSource::new(&[("s1", &address(&engine))]));
    assert_whole(&run.outcome);
    assert_eq!(tokens, expected());
    assert!(run.report.first_token_at.is_some());
    assert_eq!(bench.recorder.endings(), [("s1".to_string(), AttemptOutcome::Completed)]);
}

#[test]
fn generate_resumes_after_death() {
    let (first, second) = (whole("s1"), whole("s2"));
    first.set_faults(faults(|f| f.die_at_position = Some(5))).unwrap();
    let servers = [("s1", address(&first)), ("s2", address(&second))];
    let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
    let bench = Bench::new();
    let (run, tokens) = run(&bench, &source);
    assert_whole(&run.outcome);
    assert_eq!(tokens, expected());
    assert_eq!(positions(&first), [0, 1, 2, 3, 4]);
    assert_eq!(positions(&second), (5..TOKENS).collect::<Vec<_>>());
    assert_eq!(bench.recorder.endings()[0], ("s1".to_string(), AttemptOutcome::Lost));
}

#[test]
fn generate_resumes_after_silence() {
    let (first, second) = (whole("s1"), whole("s2"));
    first.set_faults(faults(|f| f.hang_at_position = Some(5))).unwrap();
    let servers = [("s1", address(&first)), ("s2", address(&second))];
    let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
    let bench = Bench::new();
    let (run, tokens) = run(&bench, &source);
    assert_whole(&run.outcome);
    assert_eq!(tokens, expected());
    assert_eq!(positions(&second), (5..TOKENS).collect::<Vec<_>>());
    assert_eq!(bench.recorder.endings()[0], ("s1".to_string(), AttemptOutcome::Silent));
}

#[test]
fn generate_queued_request_is_not_given_up() {
    let (first, second) = (whole("s1"), whole("s2"));
    first.set_faults(faults(|f| f.slow_factor = 700.0)).unwrap();
    let servers = [("s1", address(&first)), ("s2", address(&second))];
    let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
    let bench = Bench::new();
    let mut sink = Sink { gone_after: Some(1), ..Sink::default() };
    run_generate(life("r-1", TOKENS, false), &job(), &bench.context(&source), &mut sink);
    // The first token takes longer than the silent bound, but the server answers probes.
    assert_eq!(sink.tokens, expected()[..1]);
    assert!(second.journal().is_empty());
    assert_eq!(bench.recorder.endings(), [("s1".to_string(), AttemptOutcome::Cancelled)]);
}

#[test]
fn generate_doubled_tokens_are_dropped() {
    let engine = whole("s1");
    engine.set_faults(faults(|f| f.duplicate_tokens = true)).unwrap();
    let bench = Bench::new();
    let (run, tokens) = run(&bench, &ListSource::new(&[("s1", &address(&engine))]));
    assert_whole(&run.outcome);
    assert_eq!(tokens, expected());
    let duplicate = u64::from(TOKENS);
    assert_eq!(run.report.dropped, DroppedPieces { duplicate, ..DroppedPieces::default() });
}

#[test]
fn generate_takes_next_server_after_refused_connection() {
    for non_idempotent in [false, true] {
        let engine = whole("s2");
        let source = ListSource::new(&[("s1", CLOSED_ADDRESS), ("s2", &address(&engine))]);
        let bench = Bench::new();
        let (run, tokens) = run_life(&bench, &source, non_idempotent);
        assert_whole(&run.outcome);
        assert_eq!(tokens, expected());
        assert_eq!(bench.recorder.endings()[0], ("s1".to_string(), AttemptOutcome::Unreachable));
    }
}

#[test]
fn generate_all_refused_is_not_run() {
    for non_idempotent in [false, true] {
        let source = ListSource::new(&[("s1", CLOSED_ADDRESS), ("s2", CLOSED_ADDRESS)]);
        let (run, _) = run_life(&Bench::new(), &source, non_idempotent);
        match run.outcome {
            Outcome::NotRun { reply, .. } => assert_eq!(reply.code(), Code::ServersRefused),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn generate_lost_then_refused_is_not_called_not_run() {
    let engine = whole("s1");
    engine.set_faults(faults(|f| f.die_at_position = Some(0))).unwrap();
    let source = ListSource::new(&[("s1", &address(&engine)), ("s2", CLOSED_ADDRESS)]);
    let (run, _) = run(&Bench::new(), &source);
    match run.outcome {
        Outcome::Incomplete { reply, delivered_tokens, .. } => {
            assert_eq!(reply.code(), Code::AnswerIncomplete);
            assert_eq!(delivered_tokens, 0);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn generate_non_idempotent_lost_is_not_run_again() {
    for position in [0, 5] {
        let (first, second) = (whole("s1"), whole("s2"));
        first.set_faults(faults(|f| f.die_at_position = Some(position))).unwrap();
        let servers = [("s1", address(&first)), ("s2", address(&second))];
        let source = ListSource::new(&servers.each_ref().map(|(s, a)| (*s, a.as_str())));
        let (run, _) = run_life(&Bench::new(), &source, true);
        match run.outcome {
            Outcome::Unknown(reply) => assert_eq!(reply.code(), Code::OutcomeUnknown),
            other => panic!("{other:?}"),
        }
        assert!(second.journal().is_empty());
    }
}

#[test]
fn generate_deadline_ends_at_once_and_untold() {
    for non_idempotent in [false, true] {
        let engine = whole("s1");
        engine.set_faults(faults(|f| f.hang_at_position = Some(3))).unwrap();
        let source = ListSource::new(&[("s1", &address(&engine))]);
        let mut bench = Bench::new();
        bench.settings.silent_after_ms = 60_000;
        let life = life_until("r-1", TOKENS, non_idempotent, SystemClock.now().plus_ms(300));
        let run = run_generate(life, &job(), &bench.context(&source), &mut Sink::default());
        assert_eq!(run.outcome.code(), Some(Code::TimedOut), "{:?}", run.outcome);
        assert_eq!(Code::TimedOut.verdict(), Verdict::Unknown);
    }
}

#[test]
fn generate_past_deadline_is_not_run() {
    let engine = whole("s1");
    let source = ListSource::new(&[("s1", &address(&engine))]);
    let bench = Bench::new();
    let life = life_until("r-1", TOKENS, false, SystemClock.now());
    let run = run_generate(life, &job(), &bench.context(&source), &mut Sink::default());
    assert_eq!(run.outcome.code(), Some(Code::TooLate));
    assert!(engine.journal().is_empty());
}

#[test]
fn generate_gone_caller_cancels_idempotent() {
    let engine = whole("s1");
    engine.set_faults(faults(|f| f.slow_factor = 50.0)).unwrap();
    let source = ListSource::new(&[("s1", &address(&engine))]);
    let bench = Bench::new();
    let mut sink = Sink { gone_after: Some(2), ..Sink::default() };
    let run = run_generate(life("r-1", TOKENS, false), &job(), &bench.context(&source), &mut sink);
    assert!(matches!(run.outcome, Outcome::CallerDisconnected), "{:?}", run.outcome);
    let cancelled = || engine.journal().iter().any(|e| e.action == JournalAction::Cancelled);
    for _ in 0..200 {
        if cancelled() {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(cancelled(), "{:?}", engine.journal());
}

#[test]
fn generate_gone_caller_leaves_non_idempotent_running() {
    let engine = whole("s1");
    let source = ListSource::new(&[("s1", &address(&engine))]);
    let bench = Bench::new();
    let mut sink = Sink { gone_after: Some(2), ..Sink::default() };
    let run = run_generate(life("r-1", TOKENS, true), &job(), &bench.context(&source), &mut sink);
    assert_whole(&run.outcome);
    assert_eq!(positions(&engine), (0..TOKENS).collect::<Vec<_>>());
}

#[test]
fn generate_lost_end_after_all_tokens_is_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let mut request = [0; 4096];
        // A non-idempotent request opens a connection without sending first.
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
    let (run, tokens) = run_life(&Bench::new(), &ListSource::new(&[("s1", &address)]), true);
    match run.outcome {
        Outcome::Answered { answer, .. } => {
            assert_eq!(answer.finish_reason, FinishReason::Length);
            assert_eq!(answer.tokens, tokens);
        }
        other => panic!("{other:?}"),
    }
}
