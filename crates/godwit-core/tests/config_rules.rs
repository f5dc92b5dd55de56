//! Tests of admission by rules, validation of the configuration, and the configuration store.

use godwit_core::config::{
    AdmissionRequest, Severity, admit, check_fleet, check_workspace, check_workspace_change,
};
use godwit_core::replica::{AcceptOutcome, ObjectReplica};
use godwit_core::{Admission, Code, UnixMs};
use godwit_schema::config::{Fleet, KindRate, Workspace};
use serde_json::json;

const NOW: UnixMs = UnixMs(1_000_000);
const START_MS: u64 = 1_060_000;

fn fleet() -> Fleet {
    let server = json!({
        "name": "s1", "address": "127.0.0.1:1", "failure_domain": "hall-a", "role": "engine",
        "models": ["small"], "tokens_per_s": 10.0
    });
    let models = json!([{"name": "small", "layers": 4, "adapters": ["farm"]}]);
    serde_json::from_value(json!({"models": models, "servers": [server]})).unwrap()
}

fn workspace() -> Workspace {
    let rules = json!([
        {"name": "late", "when": {"kinds": ["note"], "time_left_below_ms": 30_000}, "refuse": {"reason": "closed"}},
        {"name": "once", "when": {"kinds": ["order"]},
         "admit": {"non_idempotent": true, "deadline_margin_ms": 10_000, "priority": 9}},
        {"name": "big", "when": {"kinds": ["note"], "prompt_at_least_bytes": 100}, "admit": {"max_tokens": 5}},
        {"name": "rest", "when": {"kinds": ["note"]}, "admit": {"timeout_ms": 2_000}}
    ]);
    let events = json!([{"name": "friday", "start_unix_ms": START_MS, "kinds": ["order", "note"]}]);
    let key = "0".repeat(64);
    serde_json::from_value(json!({
        "name": "farm", "key_sha256": [key], "kinds": ["order", "note"], "events": events, "rules": rules
    }))
    .unwrap()
}

fn request(kind: &str) -> AdmissionRequest<'_> {
    AdmissionRequest {
        kind,
        event: None,
        model: Some("small"),
        service: None,
        prompt_bytes: 10,
        path: "/v1/completions",
        deadline: None,
        max_tokens: Some(50),
        has_idempotency_key: false,
    }
}

fn admit_request(request: &AdmissionRequest<'_>, now: UnixMs) -> Result<Admission, Code> {
    admit(&workspace(), &fleet(), request, now).map_err(|refusal| refusal.code)
}

#[test]
fn admit_applies_first_matching_rule() {
    let large =
        admit_request(&AdmissionRequest { prompt_bytes: 100, ..request("note") }, NOW).unwrap();
    assert_eq!((large.rule.as_str(), large.max_tokens), ("big", 5));
    let rest = admit_request(&request("note"), NOW).unwrap();
    assert_eq!((rest.rule.as_str(), rest.deadline), ("rest", NOW.plus_ms(2_000)));
}

#[test]
fn admit_applies_rule_on_time_left() {
    let note = AdmissionRequest { event: Some("friday"), ..request("note") };
    assert_eq!(admit_request(&note, NOW).unwrap().rule, "rest");
    assert_eq!(admit_request(&note, UnixMs(START_MS - 29_999)), Err(Code::RefusedByRule));
}

#[test]
fn admit_deadline_keeps_margin() {
    let order =
        AdmissionRequest { event: Some("friday"), has_idempotency_key: true, ..request("order") };
    assert_eq!(admit_request(&order, NOW).unwrap().deadline, UnixMs(START_MS - 10_000));
    assert_eq!(admit_request(&order, UnixMs(START_MS - 10_000)), Err(Code::TooLate));
    assert_eq!(admit_request(&order, UnixMs(START_MS)), Err(Code::DeadlinePassed));
}

#[test]
fn admit_non_idempotent_needs_key_and_event() {
    assert_eq!(admit_request(&request("order"), NOW), Err(Code::IdempotencyKeyRequired));
    let keyed = AdmissionRequest { has_idempotency_key: true, ..request("order") };
    assert_eq!(admit_request(&keyed, NOW), Err(Code::EventRequired));
}

#[test]
fn check_workspace_reports_all_errors() {
    let mut broken = workspace();
    broken.kinds.push("note".to_string());
    broken.rules[1].when.kinds = vec!["cake".to_string()];
    broken.rules[2].refuse = broken.rules[0].refuse.clone();
    broken.events[0].ledger_slices = 0;
    let findings = check_workspace(&broken, Some(&fleet()));
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error);
    let paths: Vec<&str> = errors.map(|finding| finding.path.as_str()).collect();
    assert_eq!(
        paths,
        ["kinds[2]", "events[0].ledger_slices", "rules[1].when.kinds[0]", "rules[2]"]
    );
}

#[test]
fn check_workspace_rejects_bad_kind_rates() {
    let mut broken = workspace();
    let rate = |kind: &str, requests_per_s| KindRate { kind: kind.to_string(), requests_per_s };
    let kind = broken.kinds[0].clone();
    broken.kind_rates = vec![rate(&kind, 1.0), rate("unheard", 1.0), rate(&kind, 0.0)];
    let findings = check_workspace(&broken, Some(&fleet()));
    let paths: Vec<&str> = findings.iter().map(|finding| finding.path.as_str()).collect();
    assert_eq!(paths, ["kind_rates[1].kind", "kind_rates[2].requests_per_s"]);
}

#[test]
fn check_workspace_warns_of_unreachable_rules() {
    let mut covered = workspace();
    let rest = covered.rules.remove(3);
    covered.rules.insert(0, rest);
    let findings = check_workspace(&covered, Some(&fleet()));
    let warned: Vec<&str> = findings.iter().map(|finding| finding.path.as_str()).collect();
    assert_eq!(warned, ["rules[1]", "rules[3]"]);
}

#[test]
fn check_workspace_change_protects_started_events() {
    let old = workspace();
    let mut moved = old.clone();
    moved.events[0].start_unix_ms += 1;
    assert!(check_workspace_change(&old, &moved, NOW).is_empty());
    assert_eq!(check_workspace_change(&old, &moved, UnixMs(START_MS)).len(), 1);
    let mut removed = old.clone();
    removed.events.clear();
    assert_eq!(check_workspace_change(&old, &removed, UnixMs(START_MS)).len(), 1);
    assert!(check_workspace_change(&old, &removed, UnixMs(START_MS + 3_600_000)).is_empty());
}

#[test]
fn check_fleet_rejects_bad_layers() {
    let mut fleet = fleet();
    fleet.servers[0].layer_from = Some(2);
    fleet.servers[0].layer_to = Some(9);
    fleet.drained_servers.push("s9".to_string());
    let findings = check_fleet(&fleet);
    let paths: Vec<&str> = findings.iter().map(|finding| finding.path.as_str()).collect();
    assert_eq!(paths, ["drained_servers[0]", "servers[0].layer_to"]);
}

#[test]
fn config_store_rejects_deleted_object_it_never_held() {
    let mut store = ObjectReplica::default();
    store.accept_listing(2, &[]);
    store.mark_complete(2, &[]);
    assert_eq!(store.accept("config/workspaces/w", 1, Some(&json!({}))), AcceptOutcome::Older);
    assert_eq!(store.accept("config/workspaces/w", 3, Some(&json!({}))), AcceptOutcome::Newer);
}

#[test]
fn config_store_incomplete_after_concurrent_object() {
    let mut store = ObjectReplica::default();
    let seen = store.heads();
    store.accept("config/workspaces/w", 1, Some(&json!({})));
    store.mark_complete(2, &seen);
    assert_eq!(store.complete_revision(), 0);
}

#[test]
fn config_store_reports_deletion_to_stale_neighbour() {
    let mut complete = ObjectReplica::default();
    complete.mark_complete(2, &[]);
    let mut old = ObjectReplica::default();
    old.accept("config/workspaces/w", 1, Some(&json!({})));
    for stored in complete.objects_newer_than(&old.heads()) {
        old.accept_stored(stored);
    }
    assert_eq!(old.digest(), complete.digest());
}
