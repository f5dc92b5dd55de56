//! Promises under faults, over a whole site with real sockets; the stand-ins' journals are the oracle.

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

const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Looks until the condition is reached; a test whose condition never is fails.
const MOST_LOOKS: u32 = 3_000;

fn site() -> Site {
    let demo = SiteSettings::demo(FirstPorts::default());
    Site::start(SiteSettings { silent_after_ms: NEVER_SILENT_MS, ..demo }).expect("site starts")
}

fn wait_for(what: &str, mut is_reached: impl FnMut() -> bool) {
    for _ in 0..MOST_LOOKS {
        if is_reached() {
            return;
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
    panic!("never: {what}");
}

fn platform(site: &Site) -> Platform {
    let settings = PlatformSettings { call_timeout_ms: 30_000, ..PlatformSettings::default() };
    Platform::new(&site.platform.address().to_string(), settings)
}

fn order(key: &str, deadline_ms: Option<u64>) -> String {
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

fn note(prompt: &str, max_tokens: u32) -> String {
    let body = json!({"model": Names::MODEL, "prompt": prompt, "max_tokens": max_tokens});
    request("POST", "/v1/completions", &[("Godwit-Kind", Names::KIND)], &body.to_string())
}

fn code(address: SocketAddr, text: &str) -> u16 {
    let answer = raw_exchange(address, text.as_bytes());
    let line = answer.lines().find_map(|line| line.strip_prefix("Godwit-Code: "));
    line.and_then(|code| code.trim().parse().ok()).unwrap_or_else(|| panic!("no code: {answer}"))
}

fn verdict(address: SocketAddr, text: &str) -> String {
    let answer = raw_exchange(address, text.as_bytes());
    let line = answer.lines().find_map(|line| line.strip_prefix("Godwit-Verdict: "));
    line.unwrap_or_else(|| panic!("no verdict: {answer}")).to_string()
}

fn text_of(answer: &str) -> String {
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    let body: Value = serde_json::from_str(body).unwrap_or_else(|_| panic!("no body: {answer}"));
    body["choices"][0]["text"].as_str().unwrap_or_default().to_string()
}

fn calls(site: &Site, key: &str) -> usize {
    let is_call = |entry: &&JournalEntry| {
        entry.action == JournalAction::Call && entry.idempotency_key.as_deref() == Some(key)
    };
    site.service.journal().iter().filter(is_call).count()
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

fn down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

#[test]
fn store_away_idempotent_goes_on_and_the_rest_is_not_run() {
    let site = site();
    let host = site.caller_addresses()[0];
    site.platform.set_faults(down());
    assert_eq!(code(host, &note("while the store is away", 4)), 1000);
    assert_eq!(verdict(host, &order("away-1", Some(unix_ms() + 700))), "not-run");
    assert_eq!(calls(&site, "away-1"), 0);
    site.platform.set_faults(PlatformFaults::default());
    wait_for("the key runs once the store is back", || code(host, &order("away-1", None)) == 1000);
    assert_eq!(calls(&site, "away-1"), 1);
}

#[test]
fn lost_write_answers_run_once() {
    let site = site();
    let hosts = site.caller_addresses();
    site.platform.set_faults(PlatformFaults { lose_write_answers: 3, ..PlatformFaults::default() });
    assert_eq!(code(hosts[0], &order("lost-1", None)), 1000);
    assert_eq!(code(hosts[1], &order("lost-1", None)), 1001);
    assert_eq!(calls(&site, "lost-1"), 1);
}

#[test]
fn late_writes_run_once_and_free_the_key() {
    let site = site();
    let hosts = site.caller_addresses();
    let late = PlatformFaults { delay_writes_ms: 1_500, ..PlatformFaults::default() };
    site.platform.set_faults(late);
    assert_eq!(verdict(hosts[0], &order("late-1", Some(unix_ms() + 600))), "not-run");
    assert_eq!(calls(&site, "late-1"), 0);
    site.platform.set_faults(PlatformFaults::default());
    wait_for("the key is free again", || code(hosts[1], &order("late-1", None)) == 1000);
    assert_eq!(calls(&site, "late-1"), 1);
}

#[test]
fn many_callers_of_one_key_through_all_hosts_run_once() {
    let site = site();
    let hosts = site.caller_addresses();
    let codes: Vec<u16> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|number| {
                let host = hosts[number % hosts.len()];
                scope.spawn(move || code(host, &order("many-1", None)))
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    assert_eq!(calls(&site, "many-1"), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| **code == 1000).count(), 1, "{codes:?}");
    assert!(codes.iter().all(|code| matches!(code, 1000 | 1001)), "{codes:?}");
}

#[test]
fn one_key_on_two_paths_runs_once() {
    let site = site();
    let host = site.caller_addresses()[0];
    assert_eq!(code(host, &order("paths-1", None)), 1000);
    let elsewhere = order("paths-1", None).replace("/confirmations", "/cancellations");
    assert_eq!(code(host, &elsewhere), 2015);
    assert_eq!(calls(&site, "paths-1"), 1);
}

#[test]
fn host_killed_its_answers_are_kept() {
    let mut site = site();
    let hosts = site.caller_addresses();
    assert_eq!(code(hosts[0], &order("kept-1", None)), 1000);
    let stored = || {
        let objects = platform(&site).list("ledger/").expect("the store answers").objects;
        objects.iter().any(|head| {
            let object = platform(&site).read(&head.name).expect("the store answers");
            object.is_some_and(|object| object.value.to_string().contains("\"status\":200"))
        })
    };
    wait_for("the answer is recorded", stored);
    drop(site.nodes.remove("hall-a-entry-1"));
    assert_eq!(code(hosts[1], &order("kept-1", None)), 1001);
    assert_eq!(calls(&site, "kept-1"), 1);
}

fn whole_engines<'a>(site: &'a Site, domain: &'a str) -> impl Iterator<Item = &'a str> {
    let engines = site.engines.iter();
    let is_there = move |unit: &godwit_ctl::site::RunningEngine| {
        unit.spec.failure_domain == domain && unit.spec.layers.is_none()
    };
    engines.filter(move |(_, unit)| is_there(unit)).map(|(name, _)| name.as_str())
}

fn set_dead(site: &Site, engine: &str) {
    let dead = EngineFaults { dead: true, ..EngineFaults::default() };
    site.engines[engine].standin.set_faults(dead).expect("fault is set");
}

#[test]
fn domain_without_engines_is_served_by_the_others() {
    let site = site();
    let host = site.caller_addresses()[0];
    for engine in whole_engines(&site, "hall-a") {
        set_dead(&site, engine);
    }
    let expected = expected_tokens(Names::MODEL, "from elsewhere", 8).concat();
    let answer = raw_exchange(host, note("from elsewhere", 8).as_bytes());
    assert_eq!(text_of(&answer), expected, "{answer}");
}

#[test]
fn server_killed_in_the_middle_answers_stay_whole() {
    let site = site();
    let hosts = site.caller_addresses();
    let answers: Vec<(String, String)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..9)
            .map(|number| {
                let host = hosts[number % hosts.len()];
                scope.spawn(move || {
                    let prompt = format!("note {number}");
                    let answer = raw_exchange(host, note(&prompt, 40).as_bytes());
                    (prompt, answer)
                })
            })
            .collect();
        let is_busy = || {
            let journal = site.engines["hall-a-fast"].standin.journal();
            journal.iter().any(|entry| entry.action == JournalAction::Token)
        };
        wait_for("the engine runs", is_busy);
        set_dead(&site, "hall-a-fast");
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    for (prompt, answer) in answers {
        let expected = expected_tokens(Names::MODEL, &prompt, 40).concat();
        assert_eq!(text_of(&answer), expected, "{answer}");
    }
}

fn state_of(site: &Site, server: &str) -> Vec<ServerState> {
    let states = site.nodes.values().map(|node| {
        let status = OperatorClient::new(&node.operator_address().to_string()).status();
        let status = status.expect("the host answers");
        status.servers.iter().find(|entry| entry.server == server).map(|entry| entry.state)
    });
    states.flatten().collect()
}

fn accepted(site: &Site, server: &str) -> usize {
    let journal = site.engines[server].standin.journal();
    journal.iter().filter(|entry| entry.action == JournalAction::Accepted).count()
}

fn no_new_work(site: &Site, server: &str) {
    let before = accepted(site, server);
    for (number, host) in site.caller_addresses().into_iter().cycle().take(18).enumerate() {
        assert_eq!(code(host, &note(&format!("after {number}"), 2)), 1000);
    }
    assert_eq!(accepted(site, server), before);
}

#[test]
fn drained_server_gets_nothing_new_and_finishes_what_it_has() {
    let site = site();
    let host = site.caller_addresses()[0];
    let (answer, drained) = std::thread::scope(|scope| {
        let running = scope.spawn(|| raw_exchange(host, note("before the drain", 120).as_bytes()));
        let runs_on = || {
            let is_whole = |name: &&String| site.engines[*name].spec.layers.is_none();
            let mut names = site.engines.keys().filter(is_whole);
            names.find(|name| accepted(&site, name) > 0).cloned()
        };
        wait_for("the note runs", || runs_on().is_some());
        let server = runs_on().expect("the note runs");
        drain(&site, &server);
        let is_drained = || state_of(&site, &server).iter().all(|s| *s == ServerState::Drained);
        wait_for("the drain is in force on every host", is_drained);
        no_new_work(&site, &server);
        (running.join().expect("no panic"), server)
    });
    let expected = expected_tokens(Names::MODEL, "before the drain", 120).concat();
    assert_eq!(text_of(&answer), expected, "{drained}");
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
fn leaving_server_gets_nothing_new() {
    let site = site();
    let mut listed = site.platform.hosts().hosts;
    let leaving = listed.iter_mut().find(|host| host.name == "hall-b-fast").expect("it is listed");
    leaving.state = HostState::Leaving;
    site.platform.set_hosts(listed);
    let own = || {
        let node = &site.nodes["hall-b-entry-1"];
        let status = OperatorClient::new(&node.operator_address().to_string()).status().unwrap();
        let found = status.servers.iter().find(|entry| entry.server == "hall-b-fast");
        found.map(|entry| entry.state) == Some(ServerState::Leaving)
    };
    wait_for("its own domain knows", own);
    let everywhere =
        || state_of(&site, "hall-b-fast").iter().all(|state| *state == ServerState::Leaving);
    wait_for("every host knows", everywhere);
    no_new_work(&site, "hall-b-fast");
}

fn change_workspace(platform: &Platform) -> u64 {
    let name = workspace_object(Names::WORKSPACE);
    let object = platform.read(&name).unwrap().unwrap();
    let mut workspace: Workspace = serde_json::from_value(object.value).unwrap();
    workspace.share_weight += 1;
    platform.write(&name, object.version, &serde_json::to_value(&workspace).unwrap()).unwrap()
}

fn revisions(site: &Site) -> Vec<u64> {
    let ask = |node: &godwit_host::Node| {
        let status = OperatorClient::new(&node.operator_address().to_string()).status();
        status.expect("the host answers").configuration_revision
    };
    site.nodes.values().map(ask).collect()
}

#[test]
fn stalled_watch_does_not_hold_up_a_change() {
    let site = site();
    site.platform.set_faults(PlatformFaults { stall_watches: true, ..PlatformFaults::default() });
    let version = change_workspace(&platform(&site));
    wait_for("the change is in force", || revisions(&site).iter().all(|seen| *seen >= version));
}

#[test]
fn host_started_without_the_store_takes_its_neighbours_configuration() {
    let mut site = site();
    let version = change_workspace(&platform(&site));
    wait_for("the change is in force", || revisions(&site).iter().all(|seen| *seen >= version));
    site.platform.set_faults(down());
    site.start_node("hall-a-entry-9", "hall-a", 9).expect("host starts");
    wait_for("the new host is ready", || site.nodes["hall-a-entry-9"].is_ready());
    assert!(revisions(&site).iter().all(|seen| *seen >= version));
    let host = site.nodes["hall-a-entry-9"].caller_address();
    assert_eq!(code(host, &note("through the new host", 3)), 1000);
}

#[test]
fn two_operators_race_one_is_told() {
    let site = site();
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
    let version = write(&first).expect("the first write is taken");
    assert!(matches!(write(&second), Err(WriteError::Conflict { current }) if current == version));
}
