//! Guards against requests that get the wrong route, service or workspace from the configuration.

use std::collections::BTreeMap;

use godwit_core::site::{
    CallerLimits, Configuration, Mismatch, Route, Service, UnreadableEntry, WeightedService, Work,
    Workspace,
};

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

fn lost_route(host_name: Option<&str>, path_prefix: Option<&str>) -> UnreadableEntry {
    UnreadableEntry::Route {
        name: None,
        host_name: host_name.map(str::to_string),
        path_prefix: path_prefix.map(str::to_string),
    }
}

/// Returns the name of a request's route, or what is refused, where some entries cannot be read.
fn found(unreadable: &[UnreadableEntry], host: &str, path: &str) -> String {
    let configuration = configuration().with_unreadable(unreadable.to_vec());
    match configuration.match_request(host, path, Some("k"), 0) {
        Ok(matched) => matched.route.name.clone(),
        Err(Mismatch::Unreadable(entry)) => entry.to_string(),
        Err(mismatch) => format!("{mismatch:?}"),
    }
}

#[test]
fn route_that_cannot_be_read_takes_its_own_requests_only() {
    let lost = [lost_route(Some("Shop.example:80"), Some("/a/c/"))];
    assert_eq!(found(&lost, "shop.example", "/a/c/1"), "route:?@Shop.example:80:/a/c/");
    assert_eq!(found(&lost, "shop.example", "/a/b/1"), "long");
    assert_eq!(found(&lost, "shop.example", "/a/1"), "short");
    assert_eq!(found(&lost, "other.example", "/a/c/1"), "UnknownPath");
}

#[test]
fn route_that_cannot_be_read_goes_before_one_for_the_same_requests() {
    let lost = [lost_route(Some("shop.example"), Some("/a/"))];
    assert_eq!(found(&lost, "shop.example", "/a/1"), "route:?@shop.example:/a/");
    assert_eq!(found(&lost, "shop.example", "/a/b/1"), "long");
}

/// The requests below a longer prefix may be those of a service that is not known.
#[test]
fn route_without_a_host_takes_what_matches_only_shorter_prefixes() {
    let lost = [lost_route(None, Some("/a/b/c/")), lost_route(None, Some("/a/"))];
    assert_eq!(found(&lost, "shop.example", "/a/b/c/1"), "route:?@?:/a/b/c/");
    assert_eq!(found(&lost, "shop.example", "/a/b/1"), "long");
    assert_eq!(found(&lost, "shop.example", "/a/1"), "short", "the same prefix");
    assert_eq!(found(&lost, "other.example", "/a/1"), "route:?@?:/a/");
    assert_eq!(found(&lost, "other.example", "/b/1"), "UnknownPath");
}

#[test]
fn route_without_a_prefix_takes_what_matches_no_other() {
    let lost = [lost_route(Some("other.example"), None)];
    assert_eq!(found(&lost, "other.example:80", "/a/1"), "route:?@other.example:?");
    assert_eq!(found(&lost, "third.example", "/a/1"), "UnknownPath");
    let lost = [lost_route(Some("shop.example"), None), lost_route(None, None)];
    assert_eq!(found(&lost, "shop.example", "/a/b/1"), "long");
    assert_eq!(found(&lost, "third.example", "/a/1"), "route:?@?:?");
}

/// The route whose prefix is lost may be public.
#[test]
fn key_is_not_unknown_where_the_prefix_of_a_route_is_lost() {
    for lost in [lost_route(Some("shop.example"), None), lost_route(None, None)] {
        let configuration = configuration().with_unreadable(vec![lost.clone()]);
        let found = configuration.match_request("shop.example:80", "/a/1", Some("other"), 0);
        assert_eq!(found, Err(Mismatch::Unreadable(&lost)));
    }
    let elsewhere = vec![lost_route(Some("other.example"), None)];
    let configuration = configuration().with_unreadable(elsewhere);
    let found = configuration.match_request("shop.example", "/a/1", Some("other"), 0);
    assert_eq!(found, Err(Mismatch::UnknownKey));
}

#[test]
fn route_of_the_same_requests_is_the_last_one() {
    let routes = vec![route("first", "/a/", &[("s", 1)]), route("last", "/a/", &[("s", 1)])];
    let configuration = Configuration::new(3, routes, BTreeMap::new(), LIMITS, Vec::new());
    let route = configuration.route("shop.example", "/a/1");
    assert_eq!(route.map(|route| route.name.as_str()), Some("last"));
}

#[test]
fn workspace_of_the_same_key_is_the_last_one() {
    let workspace = |name: &str| Workspace {
        name: name.to_string(),
        keys: vec!["k".to_string()],
        priority: None,
    };
    let workspaces = vec![workspace("first"), workspace("last")];
    let configuration = Configuration::new(3, Vec::new(), BTreeMap::new(), LIMITS, workspaces);
    let workspace = configuration.workspace_of_key("k");
    assert_eq!(workspace.map(|workspace| workspace.name.as_str()), Some("last"));
}

#[test]
fn service_that_cannot_be_read_goes_before_one_of_the_same_name() {
    let service = Service { health_path: String::new(), max_connections: 1, model: None };
    let services = BTreeMap::from([("s".to_string(), service)]);
    let routes = vec![route("all", "/", &[("s", 1)])];
    let configuration = Configuration::new(3, routes, services, LIMITS, Vec::new());
    let matched = |configuration: &Configuration| {
        configuration.match_request("shop.example", "/1", None, 0).is_ok()
    };
    assert!(matched(&configuration));
    let other = UnreadableEntry::Service { name: Some("t".to_string()) };
    let nameless = UnreadableEntry::Service { name: None };
    assert!(matched(&configuration.clone().with_unreadable(vec![other, nameless])));
    let same = UnreadableEntry::Service { name: Some("s".to_string()) };
    assert!(!matched(&configuration.with_unreadable(vec![same])));
}

/// Guards against a comparison of each segment of the path with each entry.
#[test]
fn route_beside_many_entries_that_cannot_be_read_is_found_in_time() {
    let lost: Vec<UnreadableEntry> =
        (0..100_000).map(|number| lost_route(None, Some(&format!("/{number}/x/")))).collect();
    let configuration = configuration().with_unreadable(lost);
    let path = "/".repeat(16_384);
    let started = std::time::Instant::now();
    let route = configuration.route("shop.example", &path);
    assert_eq!(route.map(|route| route.name.as_str()), Some("all"));
    assert!(started.elapsed() < std::time::Duration::from_secs(20), "{:?}", started.elapsed());
}
