//! A request that crashes each engine which runs it, among innocent ones.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use godwit_core::Code;
use godwit_core::quarantine::QuarantineStatus;
use godwit_host::dispatch::{DispatchContext, GenerateJob, Outcome, run_generate};
use godwit_host::{Clock, SystemClock};
use godwit_schema::engine::EngineFaults;
use godwit_standin::EngineStandin;

use crate::engines::{MODEL, TOKENS, address, expected, job, positions, whole};
use crate::support::{Bench, ListSource, OnlyFreeRetries, Sink, life};

const MARKER: &str = "divide by zero";
const GUILTY: u64 = 1;

fn engines() -> Vec<EngineStandin> {
    let engines: Vec<EngineStandin> = ["s1", "s2", "s3"].iter().map(|name| whole(name)).collect();
    for engine in &engines {
        let faults = EngineFaults {
            crash_marker: Some(MARKER.to_string()),
            slow_factor: 5.0,
            ..EngineFaults::default()
        };
        engine.set_faults(faults).unwrap();
    }
    engines
}

fn source(engines: &[EngineStandin]) -> ListSource {
    let named: Vec<(String, String)> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| (format!("s{}", index + 1), address(engine)))
        .collect();
    let servers: Vec<(&str, &str)> = named.iter().map(|(s, a)| (s.as_str(), a.as_str())).collect();
    ListSource::new(&servers)
}

fn guilty_job() -> GenerateJob<'static> {
    GenerateJob { prompt: MARKER, fingerprint: GUILTY, ..job() }
}

#[test]
fn crashing_request_costs_two_servers() {
    let engines = engines();
    let source = source(&engines);
    let bench = Bench::new();
    let send = || {
        let mut sink = Sink::default();
        run_generate(life("r-1", TOKENS, false), &guilty_job(), &bench.context(&source), &mut sink)
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
fn crashing_request_sent_again_through_other_host() {
    let engines = engines();
    let source = source(&engines);
    let (mut here, mut there) = (Bench::new(), Bench::new());
    here.settings.max_attempts = 1;
    there.settings.max_attempts = 1;
    let send = |host: &Bench| {
        let mut sink = Sink::default();
        run_generate(life("r-1", TOKENS, false), &guilty_job(), &host.context(&source), &mut sink)
    };
    assert_eq!(send(&here).report.attempts, [["s1"]]);
    here.tell(&there);
    assert_eq!(send(&there).report.attempts, [["s2"]]);
    there.tell(&here);
    for host in [&here, &there] {
        assert_eq!(send(host).outcome.code(), Some(Code::Quarantined));
    }
    assert!(engines[2].journal().is_empty(), "a third server ran the request");
}

#[test]
fn crashing_request_spares_its_batch() {
    let engines = engines();
    let source = source(&engines);
    let bench = Bench::new();
    let innocents: Vec<(u64, String)> =
        (10..14).map(|number| (number, format!("slot of basket {number}"))).collect();
    thread::scope(|scope| {
        for (fingerprint, prompt) in &innocents {
            let (bench, source) = (&bench, &source);
            scope.spawn(move || {
                let id = format!("r-{fingerprint}");
                let job = GenerateJob { prompt, fingerprint: *fingerprint, ..job() };
                let mut sink = Sink::default();
                let life = life(&id, TOKENS, false);
                let run = run_generate(life, &job, &bench.context(source), &mut sink);
                assert!(matches!(run.outcome, Outcome::Answered { .. }), "{:?}", run.outcome);
                let expected = godwit_standin::expected_tokens(MODEL, prompt, TOKENS);
                assert_eq!(sink.tokens, expected);
            });
        }
        while positions(&engines[0]).len() < innocents.len() {
            thread::yield_now();
        }
        let mut sink = Sink::default();
        let life = life("r-guilty", TOKENS, false);
        run_generate(life, &guilty_job(), &bench.context(&source), &mut sink);
    });
    let now = SystemClock.now();
    assert_eq!(bench.crash_guard.quarantined(now), [GUILTY]);
    for (fingerprint, _) in &innocents {
        assert_eq!(bench.crash_guard.status(*fingerprint, now), QuarantineStatus::Clear);
    }
}

#[test]
fn killed_server_full_of_streams_loses_none() {
    const STREAMS: u64 = 24;
    let (first, others) = (whole("s1"), [whole("s2"), whole("s3")]);
    let engines = [&first, &others[0], &others[1]];
    for engine in engines {
        engine.set_faults(EngineFaults { slow_factor: 10.0, ..EngineFaults::default() }).unwrap();
    }
    let addresses = engines.map(address);
    let servers = ["s1", "s2", "s3"];
    let source = ListSource::new(&[0, 1, 2].map(|i| (servers[i], addresses[i].as_str())));
    let bench = Bench::new();
    let answered = AtomicU64::new(0);
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (bench, source, answered) = (&bench, &source, &answered);
            scope.spawn(move || {
                let job = GenerateJob { fingerprint: number, ..job() };
                let mut sink = Sink::default();
                let life = life(&format!("r-{number}"), TOKENS, false);
                let context =
                    DispatchContext { retry_budget: &OnlyFreeRetries, ..bench.context(source) };
                let run = run_generate(life, &job, &context, &mut sink);
                assert!(matches!(run.outcome, Outcome::Answered { .. }), "{:?}", run.outcome);
                assert_eq!(sink.tokens, expected());
                answered.fetch_add(1, Ordering::SeqCst);
            });
        }
        while positions(&first).is_empty() {
            thread::yield_now();
        }
        first.set_faults(EngineFaults { dead: true, ..EngineFaults::default() }).unwrap();
    });
    assert_eq!(answered.load(Ordering::SeqCst), STREAMS);
    assert!(bench.crash_guard.quarantined(SystemClock.now()).is_empty());
}
