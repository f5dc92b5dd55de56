//! Stage plans of split models. Guards against plans that omit layers, ignore the deadline, or use servers that are
//! full, drained, excluded or unreachable.

mod fleets;

use std::collections::BTreeSet;

use fleets::{
    MODEL, START, admission, choose, choose_with, engine, fleet, place_request, reading, rng,
};
use godwit_core::placement::{PlaceOutcome, Placer};
use godwit_core::route::{Choice, DispatchOutcome, Router};
use godwit_core::{Admission, Code, Target};
use godwit_schema::config::{BackendServer, Fleet, Model};

const LAYERS: u32 = 10;

fn stage(name: &str, failure_domain: &str, layer_from: u32, layer_to: u32) -> BackendServer {
    let mut server = engine(name, failure_domain);
    server.layer_from = Some(layer_from);
    server.layer_to = Some(layer_to);
    server
}

fn split_fleet(servers: Vec<BackendServer>) -> Fleet {
    let model = Model { name: MODEL.to_string(), layers: LAYERS, adapters: Vec::new() };
    Fleet { models: vec![model], ..fleet(servers) }
}

/// Returns two servers for each half of the layers.
fn halves() -> Vec<BackendServer> {
    vec![
        stage("front-0", "hall-a", 0, 5),
        stage("front-1", "hall-a", 0, 5),
        stage("back-0", "hall-a", 5, 10),
        stage("back-1", "hall-a", 5, 10),
    ]
}

fn router(servers: Vec<BackendServer>) -> Router {
    fleets::router(&split_fleet(servers))
}

fn plan_of(choice: &Choice) -> Vec<(&str, u32, u32)> {
    let Choice::Start { stages, .. } = choice else {
        return Vec::new();
    };
    stages.iter().map(|s| (s.server.as_str(), s.layer_from, s.layer_to)).collect()
}

#[test]
fn plan_covers_all_layers_once() {
    let choice = choose(&mut router(halves()), &admission(), START);
    let plan = plan_of(&choice);
    assert_eq!(plan.iter().map(|stage| (stage.1, stage.2)).collect::<Vec<_>>(), [(0, 5), (5, 10)]);
    let Choice::Start { server, estimate, .. } = &choice else { panic!("not started") };
    assert_eq!(server, plan[0].0);
    let two_stages_ms = 2_000.0..2_010.0;
    assert!(two_stages_ms.contains(&estimate.finish_ms), "{estimate:?}");
}

#[test]
fn plan_avoids_full_drained_and_excluded_servers() {
    let mut fleet = split_fleet(halves());
    fleet.drained_servers = vec!["back-1".to_string()];
    let mut router = fleets::router(&fleet);
    router.observe_reading(&reading("front-0", START, 4, 0), START);
    let choice = choose(&mut router, &admission(), START);
    assert_eq!(plan_of(&choice), [("front-1", 0, 5), ("back-0", 5, 10)]);
    let choice = choose_with(&mut router, &admission(), &[], &["back-0"], START);
    assert_eq!(choice, Choice::Refuse { code: Code::ServersRefused });
}

#[test]
fn plan_refusal_reports_missing_or_unreachable_stages() {
    let mut servers = halves();
    servers.truncate(2);
    let no_back = choose(&mut router(servers.clone()), &admission(), START);
    assert_eq!(no_back, Choice::Refuse { code: Code::NoServer });
    servers.push(stage("back-0", "hall-b", 5, 10));
    let mut router = router(servers);
    assert_eq!(plan_of(&choose(&mut router, &admission(), START)).len(), 2);
    router.set_unreachable_domains(BTreeSet::from(["hall-b".to_string()]));
    let cut_off = choose(&mut router, &admission(), START);
    assert_eq!(cut_off, Choice::Refuse { code: Code::ShutOutByDomain });
}

#[test]
fn plan_that_cannot_finish_in_time_is_refused() {
    let mut router = router(halves());
    let late = Admission { deadline: START.plus_ms(1_999), ..admission() };
    assert_eq!(choose(&mut router, &late, START), Choice::Refuse { code: Code::TooLate });
    let in_time = Admission { deadline: START.plus_ms(2_010), ..admission() };
    assert_eq!(plan_of(&choose(&mut router, &in_time, START)).len(), 2);
}

#[test]
fn plan_waits_for_a_slot_on_every_stage() {
    let mut router = router(halves());
    for back in ["back-0", "back-1"] {
        router.observe_reading(&reading(back, START, 4, 0), START);
    }
    let choice = choose(&mut router, &admission(), START);
    let Choice::Wait { start_by } = choice else { panic!("{choice:?}") };
    assert!((57_990..=58_000).contains(&start_by.since_ms(START)), "{start_by:?}");
}

#[test]
fn waiting_request_starts_when_each_stage_has_a_slot() {
    let mut servers = halves();
    servers.iter_mut().for_each(|server| server.slots = 1);
    let router = Router::new("hall-a", Default::default(), 1);
    let mut placer = Placer::new(router, rng());
    placer.apply_fleet(&split_fleet(servers), START);
    let mut grant = || match placer.place(place_request(admission()), START) {
        PlaceOutcome::Granted(granted) => granted,
        other => panic!("{other:?}"),
    };
    let (first, _second) = (grant(), grant());
    let third = placer.place(place_request(admission()), START);
    assert!(matches!(third, PlaceOutcome::Queued(_)), "{third:?}");
    let done = DispatchOutcome::Done { tokens: 100, took_ms: 2_000 };
    let dispatches = &first.dispatches;
    placer.record_end(&dispatches[0], done, START);
    assert_eq!(placer.take_decisions(), [], "one stage of two is not enough");
    placer.record_end(&dispatches[1], done, START);
    let decisions = placer.take_decisions();
    let granted = decisions[0].outcome.as_ref().expect("granted");
    assert_eq!(granted.dispatches.len(), 2);
    assert_eq!(placer.waiting_count(), 0);
}

#[test]
fn capacity_is_limited_by_the_layer_with_the_fewest_slots() {
    let mut servers = halves();
    servers.pop();
    let target = Target::Model { model: MODEL.to_string(), adapter: None };
    let capacity = router(servers).capacity_per_s(&target, START);
    assert_eq!(capacity.round(), 4.0 * 50.0);
}

#[test]
fn stages_are_spread_over_their_servers() {
    let mut servers: Vec<BackendServer> =
        (0..8).map(|n| stage(&format!("front-{n}"), "hall-a", 0, 5)).collect();
    servers.extend((0..8).map(|n| stage(&format!("back-{n}"), "hall-a", 5, 10)));
    let mut router = router(servers);
    let mut rng = rng();
    let (admission, excluded) = (admission(), BTreeSet::new());
    let request = godwit_core::route::RouteRequest {
        admission: &admission,
        prefixes: &[],
        excluded: &excluded,
        backlog: false,
    };
    let mut used = BTreeSet::new();
    for _ in 0..64 {
        let choice = router.choose(request, START, &mut rng);
        used.extend(plan_of(&choice).iter().map(|stage| stage.0.to_string()));
    }
    assert_eq!(used.len(), 16);
}
