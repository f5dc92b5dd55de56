//! Guards against requests that get the wrong route, service or workspace from the configuration.

use std::collections::BTreeMap;

use godwit_core::site::{CallerLimits, Configuration, Route, WeightedService, Work, Workspace};

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16_384,
    body_bytes: 1 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    let services = services.iter();
    Route {
        name: name.to_string(),
        host_name: "shop.example".to_string(),
        path_prefix: prefix.to_string(),
        work: Work::IdempotentCall,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: None,
        max_attempts: 2,
        priority: 1,
        is_public: false,
        services: services
            .map(|(service, weight)| WeightedService {
                service: service.to_string(),
                weight: *weight,
            })
            .collect(),
    }
}

fn configuration() -> Configuration {
    let routes = vec![
        route("all", "/", &[("s", 1)]),
        route("short", "/a/", &[("s", 1)]),
        route("long", "/a/b/", &[("s", 1)]),
    ];
    let workspace =
        Workspace { name: "bakery".to_string(), keys: vec!["k".to_string()], priority: None };
    Configuration::new(3, routes, BTreeMap::new(), LIMITS, vec![workspace])
}

fn route_name(host: &str, path: &str) -> Option<String> {
    configuration().route(host, path).map(|route| route.name.clone())
}

#[test]
fn route_matches_the_longest_prefix() {
    assert_eq!(route_name("shop.example", "/a/b/c"), Some("long".to_string()));
    assert_eq!(route_name("shop.example", "/a/bc"), Some("short".to_string()));
    assert_eq!(route_name("shop.example", "/ab"), Some("all".to_string()));
}

#[test]
fn route_ignores_the_query() {
    assert_eq!(route_name("shop.example", "/x?y=/a/b/"), Some("all".to_string()));
}

#[test]
fn route_matches_the_host_name_ignoring_case_and_port() {
    assert_eq!(route_name("Shop.Example:80", "/a/"), Some("short".to_string()));
    assert_eq!(route_name("other.example", "/a/"), None);
}

#[test]
fn service_for_follows_the_weights() {
    let route = route("split", "/", &[("s-1", 90), ("s-2", 10)]);
    let first_count = (0..1_000).filter(|draw| route.service_for(*draw) == "s-1").count();
    assert_eq!(first_count, 900);
}

#[test]
fn service_for_without_weight_returns_a_service() {
    assert_eq!(route("split", "/", &[("s-1", 0)]).service_for(9), "s-1");
}

#[test]
fn workspace_of_key_finds_the_workspace() {
    let configuration = configuration();
    let workspace = configuration.workspace_of_key("k").map(|found| found.name.as_str());
    assert_eq!(workspace, Some("bakery"));
    assert!(configuration.workspace_of_key("other").is_none());
}
