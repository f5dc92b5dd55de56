//! Tests of a request that crashes each engine that runs it, next to requests that do not.
//!
//! They guard against such a request being retried until it has crashed all servers, also through another host, and
//! against a quarantine or a loss of the other requests that ran on a crashed server.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use godwit_core::Code;
use godwit_core::quarantine::QuarantineStatus;
use godwit_host::dispatch::{DispatchContext, GenerateJob, Outcome, run_generate};
use godwit_host::{Clock, SystemClock};
use godwit_schema::engine::EngineFaults;
use godwit_standin::EngineStandin;

use crate::engines::{
    MODEL, TOKENS, address, executed_positions, expected_answer, generate_job, start_whole_engine,
};
use crate::support::{
    DispatchFixture, EmptyRetryBudget, ListSource, RecordingSink, claimed_request,
};

const CRASH_MARKER: &str = "divide by zero";
const CRASHING_FINGERPRINT: u64 = 1;

fn start_engines() -> Vec<EngineStandin> {
    let engines: Vec<EngineStandin> =
        ["s1", "s2", "s3"].iter().map(|name| start_whole_engine(name)).collect();
    for engine in &engines {
        let faults = EngineFaults {
            crash_marker: Some(CRASH_MARKER.to_string()),
            slow_factor: 5.0,
            ..EngineFaults::default()
        };
        engine.set_faults(faults).unwrap();
    }
    engines
}

fn list_source(engines: &[EngineStandin]) -> ListSource {
    let addresses_by_name: Vec<(String, String)> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| (format!("s{}", index + 1), address(engine)))
        .collect();
    let servers: Vec<(&str, &str)> =
        addresses_by_name.iter().map(|(s, a)| (s.as_str(), a.as_str())).collect();
    ListSource::new(&servers)
}

fn crashing_job() -> GenerateJob<'static> {
    GenerateJob { prompt: CRASH_MARKER, fingerprint: CRASHING_FINGERPRINT, ..generate_job() }
}

#[test]
fn crashing_request_loses_at_most_two_servers() {
    let engines = start_engines();
    let source = list_source(&engines);
    let fixture = DispatchFixture::new();
    let send = || {
        let mut sink = RecordingSink::default();
        run_generate(
            claimed_request("r-1", TOKENS, false),
            &crashing_job(),
            &fixture.context(&source),
            &mut sink,
        )
    };
    let first = send();
    assert!(matches!(first.outcome, Outcome::Incomplete { .. }), "{:?}", first.outcome);
    assert_eq!(first.report.attempts, [["s1"], ["s2"]]);
    assert!(engines[2].journal().is_empty(), "a third server ran the request");
    let again = send();
    match again.outcome {
        Outcome::NotRun { reply, .. } => assert_eq!(reply.code(), Code::Quarantined),
        other => panic!("{other:?}"),
    }
}

#[test]
fn crashing_request_retried_through_other_host() {
    let engines = start_engines();
    let source = list_source(&engines);
    let (mut first_host, mut second_host) = (DispatchFixture::new(), DispatchFixture::new());
    first_host.settings.max_attempts = 1;
    second_host.settings.max_attempts = 1;
    let send = |host: &DispatchFixture| {
        let mut sink = RecordingSink::default();
        run_generate(
            claimed_request("r-1", TOKENS, false),
            &crashing_job(),
            &host.context(&source),
            &mut sink,
        )
    };
    assert_eq!(send(&first_host).report.attempts, [["s1"]]);
    first_host.deliver_hints_to(&second_host);
    assert_eq!(send(&second_host).report.attempts, [["s2"]]);
    second_host.deliver_hints_to(&first_host);
    for host in [&first_host, &second_host] {
        assert_eq!(send(host).outcome.code(), Some(Code::Quarantined));
    }
    assert!(engines[2].journal().is_empty(), "a third server ran the request");
}

#[test]
fn crashing_request_leaves_batch_unaffected() {
    let engines = start_engines();
    let source = list_source(&engines);
    let fixture = DispatchFixture::new();
    let other_requests: Vec<(u64, String)> =
        (10..14).map(|number| (number, format!("slot of basket {number}"))).collect();
    thread::scope(|scope| {
        for (fingerprint, prompt) in &other_requests {
            let (fixture, source) = (&fixture, &source);
            scope.spawn(move || {
                let id = format!("r-{fingerprint}");
                let job = GenerateJob { prompt, fingerprint: *fingerprint, ..generate_job() };
                let mut sink = RecordingSink::default();
                let request = claimed_request(&id, TOKENS, false);
                let run = run_generate(request, &job, &fixture.context(source), &mut sink);
                assert!(matches!(run.outcome, Outcome::Answered { .. }), "{:?}", run.outcome);
                let expected = godwit_standin::expected_tokens(MODEL, prompt, TOKENS);
                assert_eq!(sink.tokens, expected);
            });
        }
        while executed_positions(&engines[0]).len() < other_requests.len() {
            thread::yield_now();
        }
        let mut sink = RecordingSink::default();
        let request = claimed_request("r-guilty", TOKENS, false);
        run_generate(request, &crashing_job(), &fixture.context(&source), &mut sink);
    });
    let now = SystemClock.now();
    assert_eq!(fixture.crash_guard.quarantined(now), [CRASHING_FINGERPRINT]);
    for (fingerprint, _) in &other_requests {
        assert_eq!(fixture.crash_guard.status(*fingerprint, now), QuarantineStatus::Clear);
    }
}

#[test]
fn killed_server_loses_no_stream() {
    const STREAMS: u64 = 24;
    let (first, others) =
        (start_whole_engine("s1"), [start_whole_engine("s2"), start_whole_engine("s3")]);
    let engines = [&first, &others[0], &others[1]];
    for engine in engines {
        engine.set_faults(EngineFaults { slow_factor: 10.0, ..EngineFaults::default() }).unwrap();
    }
    let addresses = engines.map(address);
    let servers = ["s1", "s2", "s3"];
    let source = ListSource::new(&[0, 1, 2].map(|i| (servers[i], addresses[i].as_str())));
    let fixture = DispatchFixture::new();
    let answered = AtomicU64::new(0);
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (fixture, source, answered) = (&fixture, &source, &answered);
            scope.spawn(move || {
                let job = GenerateJob { fingerprint: number, ..generate_job() };
                let mut sink = RecordingSink::default();
                let request = claimed_request(&format!("r-{number}"), TOKENS, false);
                let context =
                    DispatchContext { retry_budget: &EmptyRetryBudget, ..fixture.context(source) };
                let run = run_generate(request, &job, &context, &mut sink);
                assert!(matches!(run.outcome, Outcome::Answered { .. }), "{:?}", run.outcome);
                assert_eq!(sink.tokens, expected_answer());
                answered.fetch_add(1, Ordering::SeqCst);
            });
        }
        while executed_positions(&first).is_empty() {
            thread::yield_now();
        }
        first.set_faults(EngineFaults { dead: true, ..EngineFaults::default() }).unwrap();
    });
    assert_eq!(answered.load(Ordering::SeqCst), STREAMS);
    assert!(fixture.crash_guard.quarantined(SystemClock.now()).is_empty());
}
