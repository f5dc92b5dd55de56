//! Tests of plain services: which calls are retried, and which result the caller gets for a call that is not.
//!
//! They guard against a non-idempotent call that runs twice, and against a result that claims more than the host knows
//! after a lost connection, a hanging server or a late answer.

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

use crate::scripted::responding_server;
use crate::support::{
    CLOSED_ADDRESS, DispatchFixture, ListSource, claimed_request, claimed_request_until,
};

const JOB: ServiceJob<'static> = ServiceJob {
    method: "POST",
    path: "/orders",
    headers: &[],
    body: b"{\"eggs\": 12}",
    fingerprint: 9,
};

fn start_service(name: &str) -> ServiceStandin {
    ServiceStandin::start(ServiceSettings::new("127.0.0.1:0".parse().unwrap(), name)).unwrap()
}

fn call_count(service: &ServiceStandin) -> usize {
    service.journal().iter().filter(|entry| entry.action == JournalAction::Call).count()
}

fn run_call(servers: &[(&str, &str)], non_idempotent: bool) -> Run<ServiceReply> {
    let fixture = DispatchFixture::new();
    let source = ListSource::new(servers);
    run_service(claimed_request("r-1", 1, non_idempotent), &JOB, &fixture.context(&source))
}

/// Runs a call against two services, the first with faults. Returns the code of the outcome and the number of calls
/// that each service ran.
fn call_with_faults(faults: ServiceFaults, non_idempotent: bool) -> (Option<Code>, usize, usize) {
    let (first, second) = (start_service("o1"), start_service("o2"));
    first.set_faults(faults);
    let (first_address, second_address) =
        (first.address().to_string(), second.address().to_string());
    let run = run_call(&[("o1", &first_address), ("o2", &second_address)], non_idempotent);
    (run.outcome.code(), call_count(&first), call_count(&second))
}

#[test]
fn service_answers_once() {
    let (code, first, second) = call_with_faults(ServiceFaults::default(), true);
    assert_eq!((code, first, second), (Some(Code::Ok), 1, 0));
}

#[test]
fn service_reset_before_run() {
    let faults = || ServiceFaults { reset_before_run: 1, ..ServiceFaults::default() };
    assert_eq!(call_with_faults(faults(), true), (Some(Code::OutcomeUnknown), 0, 0));
    assert_eq!(call_with_faults(faults(), false), (Some(Code::Ok), 0, 1));
}

#[test]
fn service_reset_after_run() {
    let faults = || ServiceFaults { reset_after_run: 1, ..ServiceFaults::default() };
    assert_eq!(call_with_faults(faults(), true), (Some(Code::OutcomeUnknown), 1, 0));
    assert_eq!(call_with_faults(faults(), false), (Some(Code::Ok), 1, 1));
}

#[test]
fn service_reset_in_answer() {
    let faults = || ServiceFaults { reset_in_answer: 1, ..ServiceFaults::default() };
    assert_eq!(call_with_faults(faults(), true), (Some(Code::OutcomeUnknown), 1, 0));
    assert_eq!(call_with_faults(faults(), false), (Some(Code::Ok), 1, 1));
}

#[test]
fn service_hangs_until_deadline() {
    let service = start_service("o1");
    service.set_faults(ServiceFaults { hang: true, ..ServiceFaults::default() });
    let fixture = DispatchFixture::new();
    let address = service.address().to_string();
    let source = ListSource::new(&[("o1", &address), ("o2", CLOSED_ADDRESS)]);
    let request = claimed_request_until("r-1", 1, true, SystemClock.now().plus_ms(300));
    let run = run_service(request, &JOB, &fixture.context(&source));
    assert!(matches!(run.outcome, Outcome::Unknown(_)), "{:?}", run.outcome);
    assert_eq!(run.outcome.code(), Some(Code::TimedOut));
}

#[test]
fn service_idempotent_call_is_retried_after_hang() {
    let (first, second) = (start_service("o1"), start_service("o2"));
    first.set_faults(ServiceFaults { hang: true, ..ServiceFaults::default() });
    let (first_address, second_address) =
        (first.address().to_string(), second.address().to_string());
    let fixture = DispatchFixture::new();
    let source = ListSource::new(&[("o1", &first_address), ("o2", &second_address)]);
    let request = claimed_request_until("r-1", 1, false, SystemClock.now().plus_ms(2_000));
    let run = run_service(request, &JOB, &fixture.context(&source));
    assert_eq!(run.outcome.code(), Some(Code::Ok), "{:?}", run.outcome);
    assert_eq!((call_count(&first), call_count(&second)), (1, 1));
}

#[test]
fn service_slow_call_is_not_abandoned() {
    let (first, second) = (start_service("o1"), start_service("o2"));
    first.set_faults(ServiceFaults { delay_ms: 900, ..ServiceFaults::default() });
    let (first_address, second_address) =
        (first.address().to_string(), second.address().to_string());
    // The delay is longer than `silent_after_ms`, but the service answers probes.
    let run = run_call(&[("o1", &first_address), ("o2", &second_address)], false);
    assert_eq!(run.outcome.code(), Some(Code::Ok), "{:?}", run.outcome);
    assert_eq!((call_count(&first), call_count(&second)), (1, 0));
}

#[test]
fn service_partly_sent_body_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut first_bytes = [0; 16];
        stream.read_exact(&mut first_bytes).unwrap();
    });
    let second = start_service("o2");
    let body = vec![b'x'; 16 * 1024 * 1024];
    let fixture = DispatchFixture::new();
    let second_address = second.address().to_string();
    let source = ListSource::new(&[("o1", &address), ("o2", &second_address)]);
    let job = ServiceJob { body: &body, ..JOB };
    let run = run_service(claimed_request("r-1", 1, true), &job, &fixture.context(&source));
    assert_eq!(run.outcome.code(), Some(Code::OutcomeUnknown), "{:?}", run.outcome);
    assert_eq!(call_count(&second), 0);
}

#[test]
fn service_answer_that_is_cut_is_unknown() {
    let framings = [
        ("Content-Length: 2\r\n\r\n", "ok"),
        ("Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\n\r\n"),
    ];
    let code = |answer: &str| {
        let answer = answer.to_string();
        let address = responding_server(move |_| Some(answer.clone()));
        run_call(&[("o1", &address)], true).outcome.code()
    };
    for (framing, body) in framings {
        let answer = format!("HTTP/1.1 200 OK\r\n{framing}{body}");
        assert_eq!(code(&answer), Some(Code::Ok), "{answer:?}");
        for bytes in 0..answer.len() {
            let cut = &answer[..bytes];
            assert_eq!(code(cut), Some(Code::OutcomeUnknown), "{cut:?}");
        }
    }
    let head = "HTTP/1.1 200 OK\r\nX-Kind: order\r\n\r\n";
    for bytes in 0..head.len() {
        let cut = &head[..bytes];
        assert_eq!(code(cut), Some(Code::OutcomeUnknown), "{cut:?}");
    }
}

#[test]
fn service_refused_connection_tries_next_server() {
    let second = start_service("o2");
    let address = second.address().to_string();
    let run = run_call(&[("o1", CLOSED_ADDRESS), ("o2", &address)], true);
    assert_eq!(run.outcome.code(), Some(Code::Ok), "{:?}", run.outcome);
    assert_eq!(call_count(&second), 1);
}

#[test]
fn service_all_refused_is_not_run() {
    let run = run_call(&[("o1", CLOSED_ADDRESS), ("o2", CLOSED_ADDRESS)], true);
    match run.outcome {
        Outcome::NotRun { reply, .. } => assert_eq!(reply.code(), Code::ServersRefused),
        other => panic!("{other:?}"),
    }
}

/// Advances the clock past any deadline when an attempt ends.
struct ClockAdvancingObserver(Arc<ManualClock>);

impl AttemptObserver for ClockAdvancingObserver {
    fn attempt_ended(&self, _: &AttemptReport) {
        self.0.advance_ms(60_000);
    }
}

#[test]
fn service_answer_after_deadline_is_late() {
    let service = start_service("o1");
    let address = service.address().to_string();
    let source = ListSource::new(&[("o1", &address)]);
    let clock = Arc::new(ManualClock::new(UnixMs(1_000)));
    let observer = ClockAdvancingObserver(clock.clone());
    let fixture = DispatchFixture::new();
    let context =
        DispatchContext { clock: &*clock, observer: &observer, ..fixture.context(&source) };
    let run = run_service(claimed_request_until("r-1", 1, true, UnixMs(11_000)), &JOB, &context);
    assert_eq!(run.outcome.code(), Some(Code::LateAnswer), "{:?}", run.outcome);
    assert_eq!(call_count(&service), 1);
}
