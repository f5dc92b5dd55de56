//! Tests of the ledgers of two hosts against the platform stand-in, over real sockets.
//!
//! They guard against an idempotency key that is granted twice, and against a key that stays blocked, after a write
//! whose answer is lost or late, an outage of the platform, or a preferred writer that does not answer.

use std::sync::{Arc, Mutex};

use godwit_core::UnixMs;
use godwit_core::ledger::Answer;
use godwit_host::ledger::{
    ClaimOutcome, ClaimRequest, EventStart, ForwardError, Forwarder, Grant, Ledger, LedgerSettings,
    NoForwarder, retained_until,
};
use godwit_host::{Clock, SystemClock};
use godwit_platform::{Platform, PlatformSettings};
use godwit_schema::platform::PlatformFaults;
use godwit_standin::PlatformStandin;
use serde_json::json;

const CLAIM_TIMEOUT_MS: u64 = 20_000;

fn start_platform() -> PlatformStandin {
    PlatformStandin::start(godwit_standin::PlatformSettings::new("127.0.0.1:0".parse().unwrap()))
        .unwrap()
}

fn start_ledger(standin: &PlatformStandin, host: &str, forwarder: Arc<dyn Forwarder>) -> Ledger {
    let platform = Platform::new(&standin.address().to_string(), PlatformSettings::default());
    let settings = LedgerSettings { host: host.to_string(), limits: Default::default() };
    Ledger::start(settings, &platform, forwarder, Arc::new(SystemClock)).unwrap()
}

fn start_single_ledger(standin: &PlatformStandin) -> Ledger {
    start_ledger(standin, "h1", Arc::new(NoForwarder))
}

fn request(key: &str, wait_ms: u64) -> ClaimRequest<'_> {
    let now = SystemClock.now();
    ClaimRequest {
        workspace: "farm",
        event: "friday",
        event_start: now.plus_ms(3_600_000),
        ledger_slices: 1,
        key,
        body: b"two eggs",
        deadline: now.plus_ms(wait_ms),
        run_deadline: now.plus_ms(wait_ms),
    }
}

fn claim(ledger: &Ledger, key: &str) -> ClaimOutcome {
    ledger.claim(&request(key, CLAIM_TIMEOUT_MS))
}

fn expect_granted(outcome: ClaimOutcome) -> Grant {
    match outcome {
        ClaimOutcome::Granted(grant) => grant,
        other => panic!("not granted: {}", other.label()),
    }
}

fn flush(ledger: &Ledger) {
    assert!(ledger.flush(SystemClock.now().plus_ms(CLAIM_TIMEOUT_MS)));
}

fn platform_faults(value: serde_json::Value) -> PlatformFaults {
    serde_json::from_value(value).unwrap()
}

#[test]
fn claim_of_done_key() {
    let standin = start_platform();
    let (first, second) = (start_single_ledger(&standin), start_single_ledger(&standin));
    let answer = Answer::new(200, 1000, "application/json", b"{\"slot\":4}");
    first.finish(expect_granted(claim(&first, "k")), answer.clone());
    flush(&first);
    assert!(matches!(claim(&second, "k"), ClaimOutcome::Done(stored) if stored == answer));
    let other_body = ClaimRequest { body: b"one egg", ..request("k", CLAIM_TIMEOUT_MS) };
    assert!(matches!(second.claim(&other_body), ClaimOutcome::KeyReused));
}

#[test]
fn claim_waits_for_release() {
    let standin = start_platform();
    let (first, second) = (start_single_ledger(&standin), start_single_ledger(&standin));
    let grant = expect_granted(claim(&first, "k"));
    assert!(matches!(second.claim(&request("k", 100)), ClaimOutcome::StartedElsewhere { .. }));
    let waiting = std::thread::spawn(move || expect_granted(claim(&second, "k")));
    first.release(grant);
    waiting.join().unwrap();
}

#[test]
fn claim_with_lost_answer() {
    let standin = start_platform();
    let ledger = start_single_ledger(&standin);
    standin.set_faults(platform_faults(json!({"lose_write_answers": 1})));
    expect_granted(claim(&ledger, "k"));
    assert_eq!(standin.counts().lost_answers, 1);
    assert_eq!(standin.counts().effects, 1);
}

#[test]
fn claim_after_outage() {
    let standin = start_platform();
    let ledger = start_single_ledger(&standin);
    standin.set_faults(platform_faults(json!({"down": true})));
    assert!(matches!(ledger.claim(&request("k", 200)), ClaimOutcome::Unavailable));
    standin.set_faults(platform_faults(json!({})));
    expect_granted(claim(&ledger, "k"));
    flush(&ledger);
}

#[test]
fn claim_after_late_write() {
    let standin = start_platform();
    let ledger = start_single_ledger(&standin);
    standin.set_faults(platform_faults(json!({"delay_writes_ms": 300})));
    assert!(matches!(ledger.claim(&request("k", 100)), ClaimOutcome::Unavailable));
    standin.set_faults(platform_faults(json!({})));
    flush(&ledger);
    expect_granted(claim(&ledger, "k"));
}

#[test]
fn claim_after_event_start() {
    let standin = start_platform();
    let ledger = start_single_ledger(&standin);
    let request_after_start =
        ClaimRequest { event_start: UnixMs(1), ..request("k", CLAIM_TIMEOUT_MS) };
    assert!(matches!(ledger.claim(&request_after_start), ClaimOutcome::Unavailable));
    assert_eq!(standin.counts().writes, 0);
}

/// Passes calls to another ledger of this process; without one, every call gets no answer.
#[derive(Default)]
struct LocalForwarder(Mutex<Option<Ledger>>);

impl Forwarder for LocalForwarder {
    fn forward(&self, writer: &str, payload: &[u8], _: UnixMs) -> Result<Vec<u8>, ForwardError> {
        assert_eq!(writer, "h2");
        let other = self.0.lock().unwrap().clone();
        other.map(|ledger| ledger.handle_forwarded(payload)).ok_or(ForwardError::NoAnswer)
    }
}

#[test]
fn claim_through_preferred_writer() {
    let standin = start_platform();
    let forwarder = Arc::new(LocalForwarder::default());
    let first = start_ledger(&standin, "h1", forwarder.clone());
    first.set_hosts(&["h2".to_string()]);
    first.release(expect_granted(claim(&first, "lost on the wire")));
    flush(&first);
    let writer = start_ledger(&standin, "h2", Arc::new(NoForwarder));
    *forwarder.0.lock().unwrap() = Some(writer.clone());
    let grant = expect_granted(claim(&first, "k"));
    first.finish(grant, Answer::new(204, 1000, "", b""));
    flush(&first);
    flush(&writer);
    assert!(matches!(claim(&writer, "k"), ClaimOutcome::Done(_)));
    assert_eq!(first.handle_forwarded(b"not a call"), writer.handle_forwarded(b""));
}

#[test]
fn collect_garbage_of_past_events() {
    let standin = start_platform();
    let ledger = start_single_ledger(&standin);
    expect_granted(claim(&ledger, "k"));
    let platform = Platform::new(&standin.address().to_string(), PlatformSettings::default());
    let expired_start = UnixMs(SystemClock.now().0 - retained_until(UnixMs(0)).0);
    let value = json!({"event_start_unix_ms": expired_start.0, "entries": {}});
    platform.write("ledger/farm/thursday/0", 0, &value).unwrap();
    platform.write("ledger/farm/moved/0", 0, &value).unwrap();
    let moved = EventStart { workspace: "farm", event: "moved", start: SystemClock.now() };
    ledger.collect_garbage(&[moved]).unwrap();
    let remaining = platform.list("ledger/").unwrap().objects;
    let names: Vec<&str> = remaining.iter().map(|head| head.name.as_str()).collect();
    assert_eq!(names, ["ledger/farm/friday/0", "ledger/farm/moved/0"]);
}

#[test]
fn collect_garbage_beside_an_unreadable_object() {
    let standin = start_platform();
    let ledger = start_single_ledger(&standin);
    let platform = Platform::new(&standin.address().to_string(), PlatformSettings::default());
    let nested = format!("{}{}", "[".repeat(127), "]".repeat(127));
    let nested: serde_json::Value = serde_json::from_str(&nested).unwrap();
    platform.write("ledger/farm/odd/0", 0, &nested).unwrap();
    let value = json!({"event_start_unix_ms": 0, "entries": {}});
    platform.write("ledger/farm/thursday/0", 0, &value).unwrap();
    ledger.collect_garbage(&[]).unwrap();
    let remaining = platform.list("ledger/").unwrap().objects;
    let names: Vec<&str> = remaining.iter().map(|head| head.name.as_str()).collect();
    assert_eq!(names, ["ledger/farm/odd/0"]);
}
