//! Service stand-in: calls, journal and faults.

mod common;

use common::{call, get, loopback_any_port};
use godwit_schema::engine::{JournalAction, LoadReport, ServiceFaults};
use godwit_standin::{ServiceReply, ServiceSettings, ServiceStandin};

fn start() -> ServiceStandin {
    ServiceStandin::start(ServiceSettings::new(loopback_any_port(), "orders-1"))
        .expect("service starts")
}

#[test]
fn call_is_recorded_in_journal() {
    let service = start();
    let response = minreq::post(format!("http://{}/orders?shop=7", service.address()))
        .with_header("Godwit-Request-Id", "r1")
        .with_header("Idempotency-Key", "k1")
        .with_body("{}")
        .send()
        .unwrap();
    let reply: ServiceReply = serde_json::from_slice(response.as_bytes()).unwrap();
    assert_eq!((reply.service.as_str(), reply.call, reply.body_bytes), ("orders-1", 1, 2));
    let journal = service.journal();
    assert_eq!(journal.len(), 1);
    assert_eq!(journal[0].action, JournalAction::Call);
    assert_eq!(journal[0].request_id.as_deref(), Some("r1"));
    assert_eq!(journal[0].idempotency_key.as_deref(), Some("k1"));
    assert_eq!(journal[0].detail.as_deref(), Some("POST /orders?shop=7"));
    let load: LoadReport = get(service.address(), "/v1/load").unwrap().json();
    assert_eq!((load.slots, load.running, service.journal().len()), (32, 0, 1));
}

#[test]
fn faults_reset_at_each_point() {
    let service = start();
    let address = service.address();
    let journal_len_after = |faults: ServiceFaults| {
        assert_eq!(call("PUT", address, "/faults", &faults).unwrap().status, 200);
        assert!(call("POST", address, "/orders", &1).is_none());
        service.journal().len()
    };
    assert_eq!(journal_len_after(ServiceFaults { reset_before_run: 1, ..Default::default() }), 0);
    assert_eq!(journal_len_after(ServiceFaults { reset_after_run: 1, ..Default::default() }), 1);
    assert_eq!(journal_len_after(ServiceFaults { reset_in_answer: 1, ..Default::default() }), 2);
    assert_eq!(call("POST", address, "/orders", &1).unwrap().status, 200);
}

#[test]
fn faults_dead_and_recovery_by_control_port() {
    let service = start();
    service.set_faults(ServiceFaults { dead: true, ..Default::default() });
    assert!(call("POST", service.address(), "/orders", &1).is_none());
    let faults = ServiceFaults::default();
    assert_eq!(call("PUT", service.control_address(), "/faults", &faults).unwrap().status, 200);
    assert_eq!(call("POST", service.address(), "/orders", &1).unwrap().status, 200);
    assert_eq!(service.journal().len(), 1);
}
