use std::collections::BTreeSet;

use godwit_core::site::{BackendServer, ServerState, plan_layout, plan_moves};

use crate::support::{empty_fleet, laid_out, missing_layers, model, server};

fn refs(fleet: &[BackendServer]) -> Vec<&BackendServer> {
    fleet.iter().collect()
}

#[test]
fn layout_of_an_empty_fleet_makes_each_domain_whole() {
    let fleet = laid_out(empty_fleet());
    for domain in ["a", "b", "c"] {
        assert_eq!(missing_layers(&fleet, domain), Vec::<u32>::new(), "{domain}");
    }
}

#[test]
fn layout_never_exceeds_the_memory_of_a_server() {
    let model = model();
    for server in laid_out(empty_fleet()) {
        let layers = server.layers.expect("all are placed").len();
        let memory_mb = model.kinds[&server.kind].memory_mb;
        assert!(f64::from(layers) * model.layer_mb < memory_mb, "{} holds {layers}", server.id);
    }
}

#[test]
fn layout_has_common_boundaries() {
    let ranges = laid_out(empty_fleet()).into_iter().filter_map(|server| server.layers);
    let boundaries: BTreeSet<u32> = ranges.flat_map(|range| [range.from, range.to]).collect();
    assert!(boundaries.iter().all(|boundary| boundary % 8 == 0), "{boundaries:?}");
}

#[test]
fn layout_leaves_holders_where_they_are() {
    let mut fleet = laid_out(empty_fleet());
    fleet[0].layers = None;
    let plan = plan_layout(&model(), &refs(&fleet));
    assert_eq!(plan.len(), 1);
    assert_eq!(plan[0].server_id, fleet[0].id);
}

#[test]
fn layout_gives_a_returning_server_what_its_domain_lacks() {
    let mut fleet = laid_out(empty_fleet());
    let at = fleet.iter().position(|server| server.id == "c-large-1").expect("is there");
    let before = fleet[at].layers;
    fleet[at].layers = None;
    let plan = plan_layout(&model(), &refs(&fleet));
    assert_eq!(Some(plan[0].range), before);
}

#[test]
fn layout_ignores_servers_of_an_unknown_kind() {
    let fleet = [server("x", "a", "unheard-of", None)];
    assert!(plan_layout(&model(), &refs(&fleet)).is_empty());
}

#[test]
fn moves_close_the_gap_of_a_domain() {
    let mut fleet = laid_out(empty_fleet());
    let holds_first = |server: &BackendServer| server.layers.is_some_and(|range| range.from == 0);
    fleet.retain(|server| server.failure_domain != "a" || !holds_first(server));
    assert!(!missing_layers(&fleet, "a").is_empty());
    for placement in plan_moves(&model(), &refs(&fleet)) {
        let moved = fleet.iter_mut().find(|server| server.id == placement.server_id);
        moved.expect("is there").layers = Some(placement.range);
    }
    assert_eq!(missing_layers(&fleet, "a"), Vec::<u32>::new());
}

#[test]
fn moves_open_no_other_gap() {
    let fleet = laid_out(empty_fleet());
    for lost in fleet.iter().map(|server| server.id.clone()) {
        let mut rest = fleet.clone();
        rest.retain(|server| server.id != lost);
        let held_before: Vec<Vec<u32>> =
            ["a", "b", "c"].iter().map(|domain| missing_layers(&rest, domain)).collect();
        for placement in plan_moves(&model(), &refs(&rest)) {
            let moved = rest.iter_mut().find(|server| server.id == placement.server_id);
            moved.expect("is there").layers = Some(placement.range);
        }
        for (domain, before) in ["a", "b", "c"].iter().zip(held_before) {
            let after = missing_layers(&rest, domain);
            assert!(after.iter().all(|layer| before.contains(layer)), "{lost}: {domain}");
        }
    }
}

#[test]
fn moves_count_a_draining_server_as_gone() {
    let mut fleet = laid_out(empty_fleet());
    let draining = fleet.iter_mut().find(|server| server.id == "b-middle-2").expect("is there");
    draining.state = ServerState::Draining;
    for placement in plan_moves(&model(), &refs(&fleet)) {
        assert_ne!(placement.server_id, "b-middle-2");
    }
}

#[test]
fn moves_of_a_whole_fleet_are_none() {
    assert!(plan_moves(&model(), &refs(&laid_out(empty_fleet()))).is_empty());
}

#[test]
fn missing_layers_are_counted_by_domain() {
    let mut leaving = server("s-3", "b", "large", Some((40, 80)));
    leaving.state = ServerState::Draining;
    let fleet = [
        server("s-1", "a", "large", Some((0, 50))),
        server("s-2", "a", "large", Some((40, 80))),
        leaving,
        server("s-4", "b", "large", Some((0, 30))),
        server("s-5", "c", "large", None),
    ];
    let refs: Vec<&BackendServer> = fleet.iter().collect();
    let missing = godwit_core::site::missing_layers(80, &refs);
    let expected = [("a", 0), ("b", 50), ("c", 80)].map(|(name, count)| (name.to_string(), count));
    assert_eq!(missing, expected.into());
}
