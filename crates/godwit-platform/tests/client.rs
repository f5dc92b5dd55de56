//! Platform client against the platform stand-in over real sockets: each failure must tell whether a write took effect.

use std::net::TcpListener;

use godwit_core::store_budget::{CallClass, StoreBudgetLimits};
use godwit_platform::{Platform, PlatformSettings, ReadError, WriteError};
use godwit_schema::platform::PlatformFaults;
use godwit_standin::PlatformStandin;
use serde_json::json;

fn standin(writes_per_s: Option<u32>) -> PlatformStandin {
    let mut settings = godwit_standin::PlatformSettings::new("127.0.0.1:0".parse().unwrap());
    settings.writes_per_s = writes_per_s;
    PlatformStandin::start(settings).unwrap()
}

fn client(standin: &PlatformStandin) -> Platform {
    let settings = PlatformSettings { call_timeout_ms: 5_000, ..PlatformSettings::default() };
    Platform::new(&standin.address().to_string(), settings)
}

#[test]
fn write_read_list_delete() {
    let standin = standin(None);
    let platform = client(&standin);
    let name = "ledger/farm shop/friday~1?&%/0";
    assert_eq!(platform.read(name), Ok(None));
    let version = platform.write(name, 0, &json!({"eggs": 2})).unwrap();
    let object = platform.read(name).unwrap().unwrap();
    assert_eq!(
        (object.name.as_str(), object.version, object.value),
        (name, version, json!({"eggs": 2}))
    );
    let listed = platform.list("ledger/farm shop/").unwrap().objects;
    assert_eq!(listed.iter().map(|head| head.name.as_str()).collect::<Vec<_>>(), [name]);
    platform.delete(name, version).unwrap();
    assert_eq!(platform.read(name), Ok(None));
}

#[test]
fn write_conflict_returns_current_version() {
    let standin = standin(None);
    let platform = client(&standin);
    let version = platform.write("a", 0, &json!(1)).unwrap();
    assert_eq!(platform.write("a", 0, &json!(2)), Err(WriteError::Conflict { current: version }));
    assert_eq!(platform.delete("b", 7), Err(WriteError::Conflict { current: 0 }));
}

#[test]
fn write_answer_lost() {
    let standin = standin(None);
    let platform = client(&standin);
    standin.set_faults(PlatformFaults { lose_write_answers: 1, ..no_faults() });
    let error = platform.write("a", 0, &json!(1)).unwrap_err();
    assert!(matches!(error, WriteError::Unknown { .. }), "{error}");
    assert_eq!(platform.read("a").unwrap().unwrap().value, json!(1));
}

#[test]
fn write_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let platform = Platform::new(&address, PlatformSettings::default());
    let error = platform.write("a", 0, &json!(1)).unwrap_err();
    assert!(matches!(error, WriteError::NotSent { .. }), "{error}");
}

#[test]
fn read_while_down() {
    let standin = standin(None);
    let platform = client(&standin);
    standin.set_faults(PlatformFaults { down: true, ..no_faults() });
    assert!(matches!(platform.read("a"), Err(ReadError::NoAnswer { .. })));
}

#[test]
fn write_above_platform_rate() {
    let standin = standin(Some(1));
    let platform = client(&standin);
    let results: Vec<_> = (0..4).map(|n| platform.write(&n.to_string(), 0, &json!(n))).collect();
    assert!(
        results.iter().any(|result| matches!(result, Err(WriteError::Limited { .. }))),
        "{results:?}"
    );
}

#[test]
fn write_above_own_budget() {
    let standin = standin(None);
    let budget = StoreBudgetLimits { reads_per_s: 1, writes_per_s: 1, burst_s: 2 };
    let settings = PlatformSettings { budget, ..PlatformSettings::default() };
    let platform = Platform::new(&standin.address().to_string(), settings);
    platform.write("a", 0, &json!(1)).unwrap();
    assert!(matches!(platform.write("b", 0, &json!(1)), Err(WriteError::Limited { .. })));
    platform.with_class(CallClass::Confirmation).write("c", 0, &json!(1)).unwrap();
    assert_eq!(standin.counts().writes, 2);
}

#[test]
fn watch_returns_change() {
    let standin = standin(None);
    let platform = client(&standin);
    let revision = platform.list("").unwrap().revision;
    let version = platform.write("a", 0, &json!(1)).unwrap();
    let reply = platform.watch("a", revision, 2_000).unwrap();
    assert_eq!(reply.changes[0].version, version);
}

fn no_faults() -> PlatformFaults {
    serde_json::from_value(json!({})).unwrap()
}
