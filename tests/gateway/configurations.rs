//! Configurations that another encoder wrote, or with entries that cannot be read.

use serde_json::{Value, json};

use crate::host::{API_KEY, Host, ROUTE_HOST, configuration, configuration_with_prefix};
use crate::server::{Behavior, FakeServer};

/// Calls by which the shares of a split are counted.
const SPLIT_CALLS: usize = 400;

fn status(host: &Host, path: &str) -> u16 {
    host.call("GET", path, b"").expect("answered").status()
}

fn status_with_key(host: &Host, path: &str, key: &str) -> u16 {
    let authorization = format!("Bearer {key}");
    let answer = host.call_with("GET", path, &[("authorization", &authorization)], b"");
    answer.expect("answered").status()
}

fn push(list: &mut Value, entry: Value) {
    list.as_array_mut().expect("a list").push(entry);
}

/// Puts a configuration of which only the first route tells that it is in force, and waits until it is.
fn put_and_wait(host: &Host, configuration: Value) {
    host.store.put("config", "main", configuration);
    host.wait_for("the new version", || status(host, "/second/1") == 200);
}

/// Returns the metric of the entries that cannot be read.
fn unreadable_entries(host: &Host) -> Option<String> {
    let metrics = host.metrics();
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("configuration_entries_unreadable "));
    value.map(str::to_string)
}

/// Writes a value as an encoder does that has only fractional numbers, sorts fields from the last to the first, writes
/// null for what is absent and adds fields that this build does not know.
fn respelled(value: &Value) -> String {
    match value {
        Value::Number(number) if number.is_u64() => format!("{number}.0"),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(respelled).collect();
            format!("[{}]", items.join(","))
        }
        Value::Object(fields) => {
            let known = fields.iter().rev().map(|(name, field)| {
                format!("{}: {}", Value::from(name.as_str()), respelled(field))
            });
            let known: Vec<String> = known.collect();
            let absent = ["TrafficSplit", "Engine", "Tenants", "ApiKeys", "Priority", "Attempts"];
            let absent = absent.iter().filter(|name| !fields.contains_key(**name));
            let absent: String = absent.map(|name| format!(",\"{name}\":null")).collect();
            format!("{{{}{absent},\n\"Novelty\":[1e3,{{}}]}}", known.join(" ,"))
        }
        other => other.to_string(),
    }
}

#[test]
fn configuration_of_another_encoder_is_served() {
    let server = FakeServer::start("s-1", &[Behavior::Respond]);
    let host = Host::start(&[("s-1", server.entry("api", None))]);
    let text = respelled(&configuration_with_prefix(2, "/second/"));
    host.store.put_raw("config", "main", text.into_bytes());
    host.wait_for("the new version", || status(&host, "/second/1") == 200);
    assert_eq!(status(&host, "/read/1"), 404);
    assert_eq!(status_with_key(&host, "/second/1", "other-key"), 401);
    assert_eq!(unreadable_entries(&host), Some("0".to_string()));
}

#[test]
fn route_of_an_unknown_kind_leaves_the_others_in_force() {
    let server = FakeServer::start("s-1", &[Behavior::Respond]);
    let host = Host::start(&[("s-1", server.entry("api", None))]);
    let mut newer = configuration_with_prefix(2, "/second/");
    let mut unknown = newer["Routes"][0].clone();
    unknown["Kind"] = json!("bidirectional");
    unknown["PathPrefix"] = json!("/second/new/");
    push(&mut newer["Routes"], unknown);
    put_and_wait(&host, newer);
    let ran = server.requests().len();
    let answer = host.call("GET", "/second/new/1", b"").expect("answered");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(server.requests().len(), ran, "nothing ran");
    assert_eq!(status(&host, "/read/1"), 404, "what the version dropped stays dropped");
    let metrics = host.metrics();
    assert!(metrics.contains("refused_total{code=\"configuration_unreadable\"} 1"), "{metrics}");
    assert_eq!(unreadable_entries(&host), Some("1".to_string()));
    put_and_wait(&host, configuration_with_prefix(3, "/second/"));
    host.wait_for("the third version", || status(&host, "/second/new/1") == 200);
    assert_eq!(unreadable_entries(&host), Some("0".to_string()));
}

#[test]
fn routes_that_cannot_be_told_are_not_refused_for_good() {
    let server = FakeServer::start("s-1", &[Behavior::Respond]);
    let host = Host::start(&[("s-1", server.entry("api", None))]);
    let cases = [
        (json!({"Host": ROUTE_HOST, "PathPrefix": 7}), "/new/1"),
        (json!({"Host": 7, "PathPrefix": "/new/"}), "/new/1"),
        (json!("a route"), "/new/1"),
        (Value::Null, "/new/1"),
    ];
    for (version, (entry, path)) in (2..).zip(cases) {
        let mut newer = configuration_with_prefix(version, "/second/");
        push(&mut newer["Routes"], entry.clone());
        host.store.put("config", "main", newer);
        host.wait_for("the new version", || {
            status(&host, "/second/1") == 200 && status(&host, path) == 503
        });
    }
}

#[test]
fn service_that_cannot_be_read_gets_nothing() {
    let servers = ["s-1", "s-2"].map(|name| FakeServer::start(name, &[Behavior::Respond]));
    let entries = [servers[0].entry("api", None), servers[1].entry("lost", None)];
    let host = Host::start(&[("s-1", entries[0].clone()), ("s-2", entries[1].clone())]);
    let mut newer = configuration_with_prefix(2, "/second/");
    newer["Routes"][1]["Service"] = json!("lost");
    newer["Routes"][1]["Kind"] = json!("idempotent");
    push(&mut newer["Services"], json!({"Name": "lost", "MaxConnections": -1}));
    put_and_wait(&host, newer);
    assert_eq!(status(&host, "/order/1"), 503);
    assert_eq!(servers[1].requests().len(), 0);
}

#[test]
fn workspace_whose_keys_cannot_be_read_is_not_refused_for_good() {
    let server = FakeServer::start("s-1", &[Behavior::Respond]);
    let host = Host::start(&[("s-1", server.entry("api", None))]);
    let mut newer = configuration_with_prefix(2, "/second/");
    newer["Tenants"] = json!([
        {"Name": "mill", "ApiKeys": ["mill-key", 7]},
        {"Name": "farm", "ApiKeys": "a list"}
    ]);
    host.store.put("config", "main", newer);
    host.wait_for("the new version", || status_with_key(&host, "/second/1", "mill-key") == 200);
    assert_eq!(status_with_key(&host, "/second/1", API_KEY), 503, "the old key");
    assert_eq!(status_with_key(&host, "/second/1", "other-key"), 503);
    assert!(
        server.requests().iter().all(|request| {
            request.header("godwitdeal-tenant").is_some_and(|name| name == "mill")
        })
    );
}

#[test]
fn fractional_shares_are_split_in_proportion() {
    let servers = ["s-1", "s-2"].map(|name| FakeServer::start(name, &[Behavior::Respond]));
    let entries = [servers[0].entry("api", None), servers[1].entry("web", None)];
    let host = Host::start(&[("s-1", entries[0].clone()), ("s-2", entries[1].clone())]);
    let mut newer = configuration(2);
    push(&mut newer["Services"], json!({"Name": "web", "HealthPath": "/health"}));
    newer["Routes"][0]["PathPrefix"] = json!("/second/");
    newer["Routes"][0]["Service"] = Value::Null;
    newer["Routes"][0]["TrafficSplit"] =
        json!([{"Service": "api", "Weight": 0.7}, {"Service": "web", "Weight": 0.3}]);
    put_and_wait(&host, newer);
    let before = servers.each_ref().map(|server| server.requests().len());
    let served = (0..SPLIT_CALLS).filter(|_| status(&host, "/second/1") == 200).count();
    assert_eq!(served, SPLIT_CALLS);
    let counts = [0, 1].map(|index| servers[index].requests().len() - before[index]);
    assert!((220..340).contains(&counts[0]) && counts[1] > 60, "{counts:?}");
}
