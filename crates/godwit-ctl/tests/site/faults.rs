//! Tests of the guarantees of a whole site under faults, over real sockets. The stand-ins' journals show what ran.

use std::net::SocketAddr;
use std::time::Duration;

use godwit_core::config::{FLEET_OBJECT, workspace_object};
use godwit_ctl::site::{FirstPorts, Names, Site, SiteSettings};
use godwit_operator::OperatorClient;
use godwit_platform::{Platform, PlatformSettings, WriteError};
use godwit_schema::config::{Fleet, Workspace};
use godwit_schema::engine::{EngineFaults, JournalAction, JournalEntry};
use godwit_schema::operator::ServerState;
use godwit_schema::platform::{HostState, PlatformFaults};
use godwit_standin::expected_tokens;
use serde_json::{Value, json};

use crate::support::{NEVER_SILENT_MS, raw_exchange, request};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of polls for a condition, after which the test fails.
const MAX_POLLS: u32 = 3_000;

fn demo_site() -> Site {
    let demo = SiteSettings::demo(FirstPorts::default());
    Site::start(SiteSettings { silent_after_ms: NEVER_SILENT_MS, ..demo }).expect("site starts")
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for: {what}");
}

fn platform(site: &Site) -> Platform {
    let settings = PlatformSettings { call_timeout_ms: 30_000, ..PlatformSettings::default() };
    Platform::new(&site.platform.address().to_string(), settings)
}

fn order_request(key: &str, deadline_ms: Option<u64>) -> String {
    let deadline = deadline_ms.map(|ms| ms.to_string()).unwrap_or_default();
    let mut headers = vec![
        ("Godwit-Kind", Names::KIND_ONCE),
        ("Godwit-Event", Names::EVENT),
        ("Idempotency-Key", key),
    ];
    if deadline_ms.is_some() {
        headers.push(("Godwit-Deadline-Ms", &deadline));
    }
    request("POST", "/services/orders/confirmations", &headers, "{}")
}

fn note_request(prompt: &str, max_tokens: u32) -> String {
    let body = json!({"model": Names::MODEL, "prompt": prompt, "max_tokens": max_tokens});
    request("POST", "/v1/completions", &[("Godwit-Kind", Names::KIND)], &body.to_string())
}

fn response_code(address: SocketAddr, text: &str) -> u16 {
    let answer = raw_exchange(address, text.as_bytes());
    let line = answer.lines().find_map(|line| line.strip_prefix("Godwit-Code: "));
    line.and_then(|code| code.trim().parse().ok()).unwrap_or_else(|| panic!("no code: {answer}"))
}

fn response_verdict(address: SocketAddr, text: &str) -> String {
    let answer = raw_exchange(address, text.as_bytes());
    let line = answer.lines().find_map(|line| line.strip_prefix("Godwit-Verdict: "));
    line.unwrap_or_else(|| panic!("no verdict: {answer}")).to_string()
}

fn completion_text(answer: &str) -> String {
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    let body: Value = serde_json::from_str(body).unwrap_or_else(|_| panic!("no body: {answer}"));
    body["choices"][0]["text"].as_str().unwrap_or_default().to_string()
}

fn call_count(site: &Site, key: &str) -> usize {
    let is_call = |entry: &&JournalEntry| {
        entry.action == JournalAction::Call && entry.idempotency_key.as_deref() == Some(key)
    };
    site.service.journal().iter().filter(is_call).count()
}

fn now_unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

fn store_down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

#[test]
fn store_outage_serves_idempotent_requests_and_refuses_others() {
    let site = demo_site();
    let host = site.caller_addresses()[0];
    site.platform.set_faults(store_down());
    assert_eq!(response_code(host, &note_request("while the store is away", 4)), 1000);
    assert_eq!(
        response_verdict(host, &order_request("away-1", Some(now_unix_ms() + 700))),
        "not-run"
    );
    assert_eq!(call_count(&site, "away-1"), 0);
    site.platform.set_faults(PlatformFaults::default());
    wait_for("the request with the key runs once the store is back", || {
        response_code(host, &order_request("away-1", None)) == 1000
    });
    assert_eq!(call_count(&site, "away-1"), 1);
}

#[test]
fn lost_write_responses_run_once() {
    let site = demo_site();
    let hosts = site.caller_addresses();
    site.platform.set_faults(PlatformFaults { lose_write_answers: 3, ..PlatformFaults::default() });
    assert_eq!(response_code(hosts[0], &order_request("lost-1", None)), 1000);
    assert_eq!(response_code(hosts[1], &order_request("lost-1", None)), 1001);
    assert_eq!(call_count(&site, "lost-1"), 1);
}

#[test]
fn delayed_writes_run_once_and_release_the_key() {
    let site = demo_site();
    let hosts = site.caller_addresses();
    let late = PlatformFaults { delay_writes_ms: 1_500, ..PlatformFaults::default() };
    site.platform.set_faults(late);
    assert_eq!(
        response_verdict(hosts[0], &order_request("late-1", Some(now_unix_ms() + 600))),
        "not-run"
    );
    assert_eq!(call_count(&site, "late-1"), 0);
    site.platform.set_faults(PlatformFaults::default());
    wait_for("the key is released", || {
        response_code(hosts[1], &order_request("late-1", None)) == 1000
    });
    assert_eq!(call_count(&site, "late-1"), 1);
}

#[test]
fn concurrent_requests_with_one_key_run_once() {
    let site = demo_site();
    let hosts = site.caller_addresses();
    let codes: Vec<u16> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|number| {
                let host = hosts[number % hosts.len()];
                scope.spawn(move || response_code(host, &order_request("many-1", None)))
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    assert_eq!(call_count(&site, "many-1"), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| **code == 1000).count(), 1, "{codes:?}");
    assert!(codes.iter().all(|code| matches!(code, 1000 | 1001)), "{codes:?}");
}

#[test]
fn one_key_on_two_paths_runs_once() {
    let site = demo_site();
    let host = site.caller_addresses()[0];
    assert_eq!(response_code(host, &order_request("paths-1", None)), 1000);
    let other_path = order_request("paths-1", None).replace("/confirmations", "/cancellations");
    assert_eq!(response_code(host, &other_path), 2015);
    assert_eq!(call_count(&site, "paths-1"), 1);
}

#[test]
fn stored_answer_survives_a_killed_host() {
    let mut site = demo_site();
    let hosts = site.caller_addresses();
    assert_eq!(response_code(hosts[0], &order_request("kept-1", None)), 1000);
    let stored = || {
        let objects = platform(&site).list("ledger/").expect("the store answers").objects;
        objects.iter().any(|head| {
            let object = platform(&site).read(&head.name).expect("the store answers");
            object.is_some_and(|object| object.value.to_string().contains("\"status\":200"))
        })
    };
    wait_for("the answer is recorded", stored);
    drop(site.nodes.remove("hall-a-entry-1"));
    assert_eq!(response_code(hosts[1], &order_request("kept-1", None)), 1001);
    assert_eq!(call_count(&site, "kept-1"), 1);
}

fn whole_model_engines<'a>(site: &'a Site, domain: &'a str) -> impl Iterator<Item = &'a str> {
    let engines = site.engines.iter();
    let holds_whole_model = move |engine: &godwit_ctl::site::RunningEngine| {
        engine.spec.failure_domain == domain && engine.spec.layers.is_none()
    };
    engines.filter(move |(_, engine)| holds_whole_model(engine)).map(|(name, _)| name.as_str())
}

fn kill_engine(site: &Site, engine: &str) {
    let dead = EngineFaults { dead: true, ..EngineFaults::default() };
    site.engines[engine].standin.set_faults(dead).expect("fault is set");
}

#[test]
fn domain_without_engines_uses_other_domains() {
    let site = demo_site();
    let host = site.caller_addresses()[0];
    for engine in whole_model_engines(&site, "hall-a") {
        kill_engine(&site, engine);
    }
    let expected = expected_tokens(Names::MODEL, "from elsewhere", 8).concat();
    let answer = raw_exchange(host, note_request("from elsewhere", 8).as_bytes());
    assert_eq!(completion_text(&answer), expected, "{answer}");
}

#[test]
fn server_killed_during_requests_keeps_responses_complete() {
    let site = demo_site();
    let hosts = site.caller_addresses();
    let answers: Vec<(String, String)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..9)
            .map(|number| {
                let host = hosts[number % hosts.len()];
                scope.spawn(move || {
                    let prompt = format!("note {number}");
                    let answer = raw_exchange(host, note_request(&prompt, 40).as_bytes());
                    (prompt, answer)
                })
            })
            .collect();
        let is_busy = || {
            let journal = site.engines["hall-a-fast"].standin.journal();
            journal.iter().any(|entry| entry.action == JournalAction::Token)
        };
        wait_for("the engine runs", is_busy);
        kill_engine(&site, "hall-a-fast");
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    for (prompt, answer) in answers {
        let expected = expected_tokens(Names::MODEL, &prompt, 40).concat();
        assert_eq!(completion_text(&answer), expected, "{answer}");
    }
}

fn server_states(site: &Site, server: &str) -> Vec<ServerState> {
    let states = site.nodes.values().map(|node| {
        let status = OperatorClient::new(&node.operator_address().to_string()).status();
        let status = status.expect("the host answers");
        status.servers.iter().find(|entry| entry.server == server).map(|entry| entry.state)
    });
    states.flatten().collect()
}

fn accepted_count(site: &Site, server: &str) -> usize {
    let journal = site.engines[server].standin.journal();
    journal.iter().filter(|entry| entry.action == JournalAction::Accepted).count()
}

fn assert_no_new_requests(site: &Site, server: &str) {
    let before = accepted_count(site, server);
    for (number, host) in site.caller_addresses().into_iter().cycle().take(18).enumerate() {
        assert_eq!(response_code(host, &note_request(&format!("after {number}"), 2)), 1000);
    }
    assert_eq!(accepted_count(site, server), before);
}

#[test]
fn drained_server_finishes_its_requests_and_gets_no_new_ones() {
    let site = demo_site();
    let host = site.caller_addresses()[0];
    let (answer, drained) = std::thread::scope(|scope| {
        let running =
            scope.spawn(|| raw_exchange(host, note_request("before the drain", 120).as_bytes()));
        let busy_engine = || {
            let is_whole = |name: &&String| site.engines[*name].spec.layers.is_none();
            let mut names = site.engines.keys().filter(is_whole);
            names.find(|name| accepted_count(&site, name) > 0).cloned()
        };
        wait_for("the request runs", || busy_engine().is_some());
        let server = busy_engine().expect("the request runs");
        drain(&site, &server);
        let is_drained =
            || server_states(&site, &server).iter().all(|state| *state == ServerState::Drained);
        wait_for("the drain is active on every host", is_drained);
        assert_no_new_requests(&site, &server);
        (running.join().expect("no panic"), server)
    });
    let expected = expected_tokens(Names::MODEL, "before the drain", 120).concat();
    assert_eq!(completion_text(&answer), expected, "{drained}");
}

fn drain(site: &Site, server: &str) {
    let platform = platform(site);
    let object = platform.read(FLEET_OBJECT).unwrap().unwrap();
    let mut fleet: Fleet = serde_json::from_value(object.value).unwrap();
    fleet.drained_servers.push(server.to_string());
    let value = serde_json::to_value(&fleet).unwrap();
    platform.write(FLEET_OBJECT, object.version, &value).unwrap();
}

#[test]
fn leaving_server_gets_no_new_requests() {
    let site = demo_site();
    let mut listed = site.platform.hosts().hosts;
    let leaving = listed.iter_mut().find(|host| host.name == "hall-b-fast").expect("it is listed");
    leaving.state = HostState::Leaving;
    site.platform.set_hosts(listed);
    let is_leaving_in_own_domain = || {
        let node = &site.nodes["hall-b-entry-1"];
        let status = OperatorClient::new(&node.operator_address().to_string()).status().unwrap();
        let found = status.servers.iter().find(|entry| entry.server == "hall-b-fast");
        found.map(|entry| entry.state) == Some(ServerState::Leaving)
    };
    wait_for("the host of its own domain reports it as leaving", is_leaving_in_own_domain);
    let is_leaving_everywhere =
        || server_states(&site, "hall-b-fast").iter().all(|state| *state == ServerState::Leaving);
    wait_for("every host reports it as leaving", is_leaving_everywhere);
    assert_no_new_requests(&site, "hall-b-fast");
}

fn change_workspace(platform: &Platform) -> u64 {
    let name = workspace_object(Names::WORKSPACE);
    let object = platform.read(&name).unwrap().unwrap();
    let mut workspace: Workspace = serde_json::from_value(object.value).unwrap();
    workspace.share_weight += 1;
    platform.write(&name, object.version, &serde_json::to_value(&workspace).unwrap()).unwrap()
}

fn configuration_revisions(site: &Site) -> Vec<u64> {
    let revision = |node: &godwit_host::Node| {
        let status = OperatorClient::new(&node.operator_address().to_string()).status();
        status.expect("the host answers").configuration_revision
    };
    site.nodes.values().map(revision).collect()
}

#[test]
fn stalled_watch_does_not_delay_a_configuration_change() {
    let site = demo_site();
    site.platform.set_faults(PlatformFaults { stall_watches: true, ..PlatformFaults::default() });
    let version = change_workspace(&platform(&site));
    wait_for("the change is active on every host", || {
        configuration_revisions(&site).iter().all(|seen| *seen >= version)
    });
}

#[test]
fn host_started_during_a_store_outage_uses_its_neighbours_configuration() {
    let mut site = demo_site();
    let version = change_workspace(&platform(&site));
    wait_for("the change is active on every host", || {
        configuration_revisions(&site).iter().all(|seen| *seen >= version)
    });
    site.platform.set_faults(store_down());
    site.start_node("hall-a-entry-9", "hall-a", 9).expect("host starts");
    wait_for("the new host is ready", || site.nodes["hall-a-entry-9"].is_ready());
    assert!(configuration_revisions(&site).iter().all(|seen| *seen >= version));
    let host = site.nodes["hall-a-entry-9"].caller_address();
    assert_eq!(response_code(host, &note_request("through the new host", 3)), 1000);
}

#[test]
fn concurrent_operator_writes_conflict() {
    let site = demo_site();
    let platform = platform(&site);
    let name = workspace_object(Names::WORKSPACE);
    let object = platform.read(&name).unwrap().unwrap();
    let mut first: Workspace = serde_json::from_value(object.value.clone()).unwrap();
    let mut second = first.clone();
    first.share_weight = 7;
    second.rules.reverse();
    let write = |workspace: &Workspace| {
        platform.write(&name, object.version, &serde_json::to_value(workspace).unwrap())
    };
    let version = write(&first).expect("the first write succeeds");
    assert!(matches!(write(&second), Err(WriteError::Conflict { current }) if current == version));
}
