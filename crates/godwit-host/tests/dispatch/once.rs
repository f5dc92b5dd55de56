//! Plain services: what may be called again, and what is said when it may not.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use godwit_core::{Code, UnixMs};
use godwit_host::dispatch::{
    AttemptObserver, AttemptReport, DispatchContext, Outcome, Run, ServiceJob, run_service,
};
use godwit_host::{Clock, ManualClock, SystemClock};
use godwit_schema::engine::{JournalAction, ServiceFaults};
use godwit_service::ServiceReply;
use godwit_standin::{ServiceSettings, ServiceStandin};

use crate::support::{Bench, CLOSED_ADDRESS, ListSource, life, life_until};

const JOB: ServiceJob<'static> = ServiceJob {
    method: "POST",
    path: "/orders",
    headers: &[],
    body: b"{\"eggs\": 12}",
    fingerprint: 9,
};

fn service(name: &str) -> ServiceStandin {
    ServiceStandin::start(ServiceSettings::new("127.0.0.1:0".parse().unwrap(), name)).unwrap()
}

fn calls(service: &ServiceStandin) -> usize {
    service.journal().iter().filter(|entry| entry.action == JournalAction::Call).count()
}

fn call(servers: &[(&str, &str)], non_idempotent: bool) -> Run<ServiceReply> {
    let bench = Bench::new();
    let source = ListSource::new(servers);
    run_service(life("r-1", 1, non_idempotent), &JOB, &bench.context(&source))
}

/// Breaks the first of two services, calls, and gives the outcome's code and the calls that each ran.
fn broken(faults: ServiceFaults, non_idempotent: bool) -> (Option<Code>, usize, usize) {
    let (first, second) = (service("o1"), service("o2"));
    first.set_faults(faults);
    let (a, b) = (first.address().to_string(), second.address().to_string());
    let run = call(&[("o1", &a), ("o2", &b)], non_idempotent);
    (run.outcome.code(), calls(&first), calls(&second))
}

#[test]
fn service_answers_once() {
    let (code, first, second) = broken(ServiceFaults::default(), true);
    assert_eq!((code, first, second), (Some(Code::Ok), 1, 0));
}

#[test]
fn service_reset_before_run() {
    let faults = || ServiceFaults { reset_before_run: 1, ..ServiceFaults::default() };
    assert_eq!(broken(faults(), true), (Some(Code::OutcomeUnknown), 0, 0));
    assert_eq!(broken(faults(), false), (Some(Code::Ok), 0, 1));
}

#[test]
fn service_reset_after_run() {
    let faults = || ServiceFaults { reset_after_run: 1, ..ServiceFaults::default() };
    assert_eq!(broken(faults(), true), (Some(Code::OutcomeUnknown), 1, 0));
    assert_eq!(broken(faults(), false), (Some(Code::Ok), 1, 1));
}

#[test]
fn service_reset_in_answer() {
    let faults = || ServiceFaults { reset_in_answer: 1, ..ServiceFaults::default() };
    assert_eq!(broken(faults(), true), (Some(Code::OutcomeUnknown), 1, 0));
    assert_eq!(broken(faults(), false), (Some(Code::Ok), 1, 1));
}

#[test]
fn service_hangs_until_deadline() {
    let service = service("o1");
    service.set_faults(ServiceFaults { hang: true, ..ServiceFaults::default() });
    let bench = Bench::new();
    let address = service.address().to_string();
    let source = ListSource::new(&[("o1", &address), ("o2", CLOSED_ADDRESS)]);
    let life = life_until("r-1", 1, true, SystemClock.now().plus_ms(300));
    let run = run_service(life, &JOB, &bench.context(&source));
    assert!(matches!(run.outcome, Outcome::Unknown(_)), "{:?}", run.outcome);
    assert_eq!(run.outcome.code(), Some(Code::TimedOut));
}

#[test]
fn service_idempotent_leaves_hanging_server() {
    let (first, second) = (service("o1"), service("o2"));
    first.set_faults(ServiceFaults { hang: true, ..ServiceFaults::default() });
    let (a, b) = (first.address().to_string(), second.address().to_string());
    let bench = Bench::new();
    let source = ListSource::new(&[("o1", &a), ("o2", &b)]);
    let life = life_until("r-1", 1, false, SystemClock.now().plus_ms(2_000));
    let run = run_service(life, &JOB, &bench.context(&source));
    assert_eq!(run.outcome.code(), Some(Code::Ok), "{:?}", run.outcome);
    assert_eq!((calls(&first), calls(&second)), (1, 1));
}

#[test]
fn service_slow_call_is_waited_for() {
    let (first, second) = (service("o1"), service("o2"));
    first.set_faults(ServiceFaults { delay_ms: 900, ..ServiceFaults::default() });
    let (a, b) = (first.address().to_string(), second.address().to_string());
    // The delay is longer than the silent bound, but the service answers probes.
    let run = call(&[("o1", &a), ("o2", &b)], false);
    assert_eq!(run.outcome.code(), Some(Code::Ok), "{:?}", run.outcome);
    assert_eq!((calls(&first), calls(&second)), (1, 0));
}

#[test]
fn service_half_written_body_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut some = [0; 16];
        stream.read_exact(&mut some).unwrap();
    });
    let second = service("o2");
    let body = vec![b'x'; 16 * 1024 * 1024];
    let bench = Bench::new();
    let other = second.address().to_string();
    let source = ListSource::new(&[("o1", &address), ("o2", &other)]);
    let job = ServiceJob { body: &body, ..JOB };
    let run = run_service(life("r-1", 1, true), &job, &bench.context(&source));
    assert_eq!(run.outcome.code(), Some(Code::OutcomeUnknown), "{:?}", run.outcome);
    assert_eq!(calls(&second), 0);
}

#[test]
fn service_refused_connection_goes_on() {
    let second = service("o2");
    let address = second.address().to_string();
    let run = call(&[("o1", CLOSED_ADDRESS), ("o2", &address)], true);
    assert_eq!(run.outcome.code(), Some(Code::Ok), "{:?}", run.outcome);
    assert_eq!(calls(&second), 1);
}

#[test]
fn service_all_refused_is_not_run() {
    let run = call(&[("o1", CLOSED_ADDRESS), ("o2", CLOSED_ADDRESS)], true);
    match run.outcome {
        Outcome::NotRun { reply, .. } => assert_eq!(reply.code(), Code::ServersRefused),
        other => panic!("{other:?}"),
    }
}

/// Moves the clock past any deadline when an attempt ends.
struct LateReports(Arc<ManualClock>);

impl AttemptObserver for LateReports {
    fn attempt_ended(&self, _: &AttemptReport) {
        self.0.advance_ms(60_000);
    }
}

#[test]
fn service_late_answer_counts_as_late() {
    let service = service("o1");
    let address = service.address().to_string();
    let source = ListSource::new(&[("o1", &address)]);
    let clock = Arc::new(ManualClock::new(UnixMs(1_000)));
    let reports = LateReports(clock.clone());
    let bench = Bench::new();
    let context = DispatchContext { clock: &*clock, observer: &reports, ..bench.context(&source) };
    let run = run_service(life_until("r-1", 1, true, UnixMs(11_000)), &JOB, &context);
    assert_eq!(run.outcome.code(), Some(Code::LateAnswer), "{:?}", run.outcome);
    assert_eq!(calls(&service), 1);
}
