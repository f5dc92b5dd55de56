use std::collections::BTreeSet;

use godwit_core::site::{
    BackendServer, Hop, Load, LoadTable, Path, PathError, PathRequest, ServerState, find_path,
};
use proptest::prelude::*;

use crate::support::{SERVICE, empty_fleet, laid_out, model, server};

struct Search {
    fleet: Vec<BackendServer>,
    loads: LoadTable,
    avoided: BTreeSet<String>,
    start: Option<Hop>,
    home: &'static str,
    slow: Option<(&'static str, f64)>,
    cut: Option<(&'static str, &'static str)>,
}

impl Search {
    fn new(fleet: Vec<BackendServer>) -> Search {
        Search {
            fleet,
            loads: LoadTable::new(1_000),
            avoided: BTreeSet::new(),
            start: None,
            home: "a",
            slow: None,
            cut: None,
        }
    }

    fn find(&self, seed: u64) -> Result<Path, PathError> {
        let slowdown = |id: &str| match self.slow {
            Some((slow, factor)) if slow == id => factor,
            _ => 1.0,
        };
        let is_open = |one: &str, other: &str| {
            self.cut != Some((one, other)) && self.cut != Some((other, one))
        };
        let request = PathRequest {
            service: SERVICE,
            prompt_tokens: 774,
            answer_tokens: 200,
            home_domain: self.home,
            start: self.start.as_ref(),
            excluded: &self.avoided,
            slowdown: &slowdown,
            is_reachable: &is_open,
            seed,
        };
        find_path(&model(), self.fleet.iter(), &self.loads, &request)
    }
}

fn domains(fleet: &[BackendServer], path: &Path) -> BTreeSet<String> {
    let domain = |id: &str| {
        let server = fleet.iter().find(|server| server.id == id);
        server.expect("is there").failure_domain.clone()
    };
    path.hops.iter().map(|hop| domain(&hop.server_id)).collect()
}

fn assert_whole(path: &Path) {
    let mut next = 0;
    for hop in &path.hops {
        assert_eq!(hop.range.from, next, "{path:?}");
        next = hop.range.to;
    }
    assert_eq!(next, 80, "{path:?}");
    let ids: BTreeSet<&str> = path.hops.iter().map(|hop| hop.server_id.as_str()).collect();
    assert_eq!(ids.len(), path.hops.len(), "a server twice: {path:?}");
}

#[test]
fn path_stays_in_one_domain() {
    let search = Search::new(laid_out(empty_fleet()));
    let path = search.find(1).expect("there is one");
    assert_whole(&path);
    assert_eq!(domains(&search.fleet, &path).len(), 1, "{path:?}");
}

#[test]
fn path_leaves_out_avoided_and_draining_servers() {
    let mut search = Search::new(laid_out(empty_fleet()));
    search.avoided.insert("a-large-0".to_string());
    search.fleet[1].state = ServerState::Draining;
    let draining = search.fleet[1].id.clone();
    let path = search.find(1).expect("there is one");
    assert_whole(&path);
    assert!(path.hops.iter().all(|hop| hop.server_id != "a-large-0"));
    assert!(path.hops.iter().all(|hop| hop.server_id != draining));
}

#[test]
fn path_goes_around_a_slow_server() {
    let mut search = Search::new(laid_out(empty_fleet()));
    search.home = "b";
    search.slow = Some(("b-large-0", 12.0));
    let path = search.find(1).expect("there is one");
    assert!(path.hops.iter().all(|hop| hop.server_id != "b-large-0"), "{path:?}");
}

#[test]
fn path_never_crosses_a_cut() {
    let mut search = Search::new(laid_out(empty_fleet()));
    search.fleet.retain(|server| server.failure_domain != "a" || server.kind == "small");
    search.cut = Some(("a", "b"));
    let path = search.find(1).expect("there is one");
    let domains = domains(&search.fleet, &path);
    assert!(!domains.contains("b"), "{domains:?}");
}

#[test]
fn path_without_a_layer_is_missing() {
    let mut search = Search::new(laid_out(empty_fleet()));
    search.fleet.retain(|server| server.layers.is_some_and(|range| range.from > 0));
    assert_eq!(search.find(1), Err(PathError::LayerMissing));
}

#[test]
fn path_over_full_servers_is_refused() {
    let mut search = Search::new(vec![server("s", "a", "large", Some((0, 80)))]);
    search.fleet[0].layers = Some(godwit_core::site::LayerRange { from: 0, to: 80 });
    assert_eq!(search.find(1), Err(PathError::NoRoom));
}

#[test]
fn path_avoids_a_server_without_room() {
    let mut search = Search::new(laid_out(empty_fleet()));
    let full = Load { requests: 80, kv_tokens: 200_000 };
    search.loads.start("a-large-0", full);
    let path = search.find(1).expect("there is one");
    assert!(path.hops.iter().all(|hop| hop.server_id != "a-large-0"), "{path:?}");
}

#[test]
fn path_of_a_loaded_domain_moves_to_another() {
    let mut search = Search::new(laid_out(empty_fleet()));
    for server in search.fleet.iter().filter(|server| server.failure_domain == "a") {
        search.loads.start(&server.id, Load { requests: 70, kv_tokens: 60_000 });
    }
    let path = search.find(1).expect("there is one");
    assert!(!domains(&search.fleet, &path).contains("a"), "{path:?}");
}

#[test]
fn path_goes_on_from_the_stage_where_a_request_runs() {
    let mut search = Search::new(laid_out(empty_fleet()));
    let whole = search.find(1).expect("there is one");
    search.start = Some(whole.hops[0].clone());
    search.avoided.insert(whole.hops[1].server_id.clone());
    let path = search.find(2).expect("there is one");
    assert_whole(&path);
    assert_eq!(path.hops[0], whole.hops[0]);
    assert!(path.hops.iter().all(|hop| hop.server_id != whole.hops[1].server_id));
}

#[test]
fn path_does_not_cross_a_link_that_is_used_up() {
    let mut search = Search::new(laid_out(empty_fleet()));
    search.fleet.retain(|server| server.failure_domain != "a" || server.kind == "small");
    search.fleet.retain(|server| server.failure_domain != "c");
    let crossing = Load { requests: 90, kv_tokens: 90_000 };
    search.loads.start(&godwit_core::site::link_key("b", "a"), crossing);
    let path = search.find(1).expect("there is one");
    assert!(path.crossings.is_empty(), "{path:?}");
}

proptest! {
    #[test]
    fn path_runs_every_layer_once(seed: u64, lost in prop::collection::btree_set(0_usize..33, 0..8)) {
        let mut search = Search::new(laid_out(empty_fleet()));
        for index in lost {
            search.avoided.insert(search.fleet[index].id.clone());
        }
        if let Ok(path) = search.find(seed) {
            assert_whole(&path);
            prop_assert!(path.hops.iter().all(|hop| !search.avoided.contains(&hop.server_id)));
        }
    }

    #[test]
    fn path_keeps_to_what_servers_hold(seed: u64, slow in 1.0_f64..20.0) {
        let mut search = Search::new(laid_out(empty_fleet()));
        search.slow = Some(("a-middle-0", slow));
        let path = search.find(seed).expect("there is one");
        for hop in &path.hops {
            let server = search.fleet.iter().find(|server| server.id == hop.server_id);
            let held = server.expect("is there").layers.expect("holds layers");
            prop_assert!(held.from <= hop.range.from && hop.range.to <= held.to);
        }
    }
}
