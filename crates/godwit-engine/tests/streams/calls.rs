//! Calls with a single answer: load reports, orders and probes.

use godwit_core::UnixMs;
use godwit_engine::{EngineError, Probe, load, order, probe};
use godwit_schema::engine::{EngineOrder, OrderAction, RefusalReason};

use crate::fake::{CLOSED_ADDRESS, FakeEngine};

const DEADLINE: UnixMs = UnixMs(10_000);
const START: UnixMs = UnixMs(0);
const PROBE_TIMEOUT_MS: u64 = 2_000;
const LOAD: &str = r#"{"measured_at_unix_ms":5,"started_at_unix_ms":1,"slots":4,"running":1,"waiting":0,"pending_tokens":9,"tokens_per_s":20.0}"#;

fn with_length(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn load_returns_report() {
    let fake = FakeEngine::answer(&with_length("200 OK", LOAD));
    assert_eq!(load(&fake.address, DEADLINE, START).unwrap().pending_tokens, 9);
    assert_eq!(fake.requests.recv().unwrap().0, "GET /v1/load HTTP/1.1");
}

#[test]
fn load_truncated_is_lost() {
    let complete = with_length("200 OK", LOAD);
    let fake = FakeEngine::answer(&complete[..complete.len() - 1]);
    assert!(matches!(load(&fake.address, DEADLINE, START), Err(EngineError::Lost { .. })));
    let fake = FakeEngine::answer("");
    assert!(matches!(load(&fake.address, DEADLINE, START), Err(EngineError::Lost { .. })));
}

#[test]
fn load_refused_connection_is_unreachable() {
    let result = load(CLOSED_ADDRESS, DEADLINE, START);
    assert!(matches!(result, Err(EngineError::Unreachable { .. })), "{result:?}");
}

#[test]
fn order_with_stale_fencing_number_is_refused() {
    let body = r#"{"reason":"stale_fencing_number","message":"7 was seen"}"#;
    let fake = FakeEngine::answer(&with_length("409 Conflict", body));
    let load_model = EngineOrder {
        order_id: "o-1".to_string(),
        fencing_number: 6,
        action: OrderAction::LoadModel,
        target: "m".to_string(),
    };
    match order(&fake.address, &load_model, DEADLINE, START) {
        Err(EngineError::Refused { refusal, .. }) => {
            assert_eq!(refusal.reason, RefusalReason::StaleFencingNumber);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn probe_distinguishes_live_from_dead() {
    let live = FakeEngine::answer(&with_length("200 OK", LOAD));
    let broken = FakeEngine::answer("");
    let addresses = [live.address.as_str(), CLOSED_ADDRESS, broken.address.as_str()];
    assert_eq!(probe(&addresses, PROBE_TIMEOUT_MS), [Probe::Answered, Probe::Dead, Probe::Dead]);
}
