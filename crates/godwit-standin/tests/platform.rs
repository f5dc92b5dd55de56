//! Platform stand-in: conditional updates, watches, host list, rate limits and faults.

mod common;

use common::{call, get, loopback_any_port};
use godwit_schema::platform::{
    ConflictReply, HostListReply, HostRole, HostState, ListReply, ListedHost, ObjectHead,
    ObjectReply, PlatformFaults, WatchReply, WriteReply,
};
use godwit_standin::{CallCounts, PlatformSettings, PlatformStandin};
use serde_json::json;

fn start() -> PlatformStandin {
    PlatformStandin::start(PlatformSettings::new(loopback_any_port())).expect("platform starts")
}

fn host(name: &str, state: HostState) -> ListedHost {
    ListedHost {
        name: name.to_string(),
        role: HostRole::Entry,
        address: "127.0.0.1:7000".to_string(),
        operator_address: None,
        failure_domain: "hall-a".to_string(),
        state,
    }
}

#[test]
fn objects_conditional_updates() {
    let platform = start();
    let address = platform.address();
    let put = |version: u64, value: serde_json::Value| {
        call("PUT", address, &format!("/objects/config/farm?if_version={version}"), &value).unwrap()
    };
    assert_eq!(get(address, "/objects/config/farm").unwrap().status, 404);
    assert_eq!(put(0, json!({"a": 1})).json::<WriteReply>().version, 1);
    let conflict = put(0, json!({"a": 2}));
    assert_eq!(conflict.status, 409);
    assert_eq!(conflict.json::<ConflictReply>().version, 1);
    assert_eq!(put(1, json!({"a": 3})).json::<WriteReply>().version, 2);
    let object: ObjectReply = get(address, "/objects/config/farm").unwrap().json();
    assert_eq!((object.version, object.value), (2, json!({"a": 3})));
    let deleted = call("DELETE", address, "/objects/config/farm?if_version=2", &"").unwrap();
    assert_eq!(deleted.json::<WriteReply>().version, 3);
    assert_eq!(put(0, json!(null)).json::<WriteReply>().version, 4);
}

#[test]
fn objects_bad_writes() {
    let platform = start();
    let address = platform.address();
    let long = "x".repeat(1024 * 1024);
    assert_eq!(call("PUT", address, "/objects/a?if_version=0", &long).unwrap().status, 413);
    assert_eq!(call("PUT", address, "/objects/a", &"x").unwrap().status, 400);
    let broken = minreq::put(format!("http://{address}/objects/a?if_version=0")).with_body("{");
    assert_eq!(broken.send().unwrap().status_code, 400);
    assert_eq!(platform.counts().effects, 0);
}

#[test]
fn watch_reports_changes_and_deletions() {
    let platform = start();
    let address = platform.address();
    call("PUT", address, "/objects/config/a?if_version=0", &1).unwrap();
    call("PUT", address, "/objects/ledger/b?if_version=0", &2).unwrap();
    let list: ListReply = get(address, "/objects?prefix=config/").unwrap().json();
    assert_eq!(list.objects, [ObjectHead { name: "config/a".to_string(), version: 1 }]);
    let watch = format!("/watch?prefix=config/&after={}&wait_ms=20000", list.revision);
    std::thread::scope(|scope| {
        let watching = scope.spawn(|| get(address, &watch).unwrap().json::<WatchReply>());
        while platform.counts().waiting_watches == 0 {
            std::thread::yield_now();
        }
        call("DELETE", address, "/objects/config/a?if_version=1", &"").unwrap();
        let reply = watching.join().unwrap();
        assert_eq!(reply.changes, [ObjectHead { name: "config/a".to_string(), version: 0 }]);
        assert_eq!(reply.revision, 3);
    });
}

#[test]
fn watch_reports_changes_only_after_stall() {
    let platform = start();
    let address = platform.address();
    platform.set_faults(PlatformFaults { stall_watches: true, ..Default::default() });
    call("PUT", address, "/objects/a?if_version=0", &1).unwrap();
    let reply: WatchReply = get(address, "/watch?prefix=&after=0&wait_ms=1").unwrap().json();
    assert_eq!((reply.revision, reply.changes.len()), (0, 0));
    platform.set_faults(PlatformFaults::default());
    let reply: WatchReply = get(address, "/watch?prefix=&after=0&wait_ms=1").unwrap().json();
    assert_eq!((reply.revision, reply.changes.len()), (1, 1));
}

#[test]
fn faults_write_response_lost() {
    let platform = start();
    let address = platform.address();
    platform.set_faults(PlatformFaults { lose_write_answers: 1, ..Default::default() });
    assert!(call("PUT", address, "/objects/a?if_version=0", &1).is_none());
    let object: ObjectReply = get(address, "/objects/a").unwrap().json();
    assert_eq!((object.version, object.value), (1, json!(1)));
    assert_eq!(call("PUT", address, "/objects/a?if_version=1", &2).unwrap().status, 200);
}

#[test]
fn faults_delayed_write_applies_after_client_timeout() {
    let platform = start();
    let address = platform.address();
    platform.set_faults(PlatformFaults { delay_writes_ms: 1_500, ..Default::default() });
    let write = minreq::put(format!("http://{address}/objects/a?if_version=0")).with_body("1");
    assert!(write.with_timeout(1).send().is_err());
    while get(address, "/objects/a").unwrap().status != 200 {
        std::thread::yield_now();
    }
}

#[test]
fn faults_down_and_recovery_by_control_port() {
    let platform = start();
    let down = PlatformFaults { down: true, ..Default::default() };
    let set = |faults| call("PUT", platform.control_address(), "/faults", &faults).unwrap().status;
    assert_eq!(set(down), 200);
    assert!(get(platform.address(), "/hosts").is_none());
    assert_eq!(set(PlatformFaults::default()), 200);
    assert_eq!(get(platform.address(), "/hosts").unwrap().status, 200);
}

#[test]
fn rate_limits_by_kind() {
    let mut settings = PlatformSettings::new(loopback_any_port());
    settings.writes_per_s = Some(0);
    settings.weights_per_s = Some(0);
    let platform = PlatformStandin::start(settings).unwrap();
    let refused = call("PUT", platform.address(), "/objects/a?if_version=0", &1).unwrap();
    assert_eq!(refused.status, 429);
    assert_eq!(get(platform.address(), "/weights/barley").unwrap().status, 429);
    assert_eq!(get(platform.address(), "/objects?prefix=").unwrap().status, 200);
    let counts: CallCounts = get(platform.control_address(), "/journal").unwrap().json();
    assert_eq!((counts.writes, counts.weights, counts.over_rate, counts.effects), (1, 1, 2, 0));
}

#[test]
fn host_list_frozen() {
    let platform = start();
    platform.set_hosts(vec![host("entry-2", HostState::Live), host("entry-1", HostState::Live)]);
    let seen: HostListReply = get(platform.address(), "/hosts").unwrap().json();
    let names: Vec<&str> = seen.hosts.iter().map(|host| host.name.as_str()).collect();
    assert_eq!(names, ["entry-1", "entry-2"]);
    platform.set_faults(PlatformFaults { freeze_host_list: true, ..Default::default() });
    let leaving =
        HostListReply { as_of_unix_ms: 0, hosts: vec![host("entry-1", HostState::Leaving)] };
    assert_eq!(call("PUT", platform.address(), "/hosts", &leaving).unwrap().status, 200);
    assert_eq!(platform.hosts().hosts, seen.hosts);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(platform.hosts().hosts, leaving.hosts);
}
