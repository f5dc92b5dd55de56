//! Grant order of requests for different models on the same server. Guards against an order that holds only
//! within the queue of each model.

mod fleets;

use fleets::{START, admission, engine, fleet, place_request, rng};
use godwit_core::placement::{PlaceOutcome, Placer};
use godwit_core::queue::Ticket;
use godwit_core::route::{DispatchOutcome, Policy, Router};
use godwit_core::{Admission, Target};

fn admission_for(model: &str, priority: u8, time_left_ms: u64) -> Admission {
    let target = Target::Model { model: model.to_string(), adapter: None };
    Admission { target, priority, deadline: START.plus_ms(time_left_ms), ..admission() }
}

fn enqueue(placer: &mut Placer, admission: Admission) -> Ticket {
    match placer.place(place_request(admission), START) {
        PlaceOutcome::Queued(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn record_end_grants_by_priority_and_deadline_over_all_models() {
    let mut server = engine("engine-0", "hall-a");
    server.slots = 1;
    server.models = vec!["avocet".to_string(), "bittern".to_string()];
    let mut placer = Placer::new(Router::new("hall-a", Policy::EarliestFinish, 1), rng());
    placer.apply_fleet(&fleet(vec![server]), START);
    let first = placer.place(place_request(admission_for("avocet", 1, 60_000)), START);
    let PlaceOutcome::Granted(mut running) = first else { panic!("{first:?}") };
    let late = enqueue(&mut placer, admission_for("avocet", 1, 50_000));
    let early = enqueue(&mut placer, admission_for("bittern", 1, 40_000));
    let urgent = enqueue(&mut placer, admission_for("bittern", 9, 60_000));
    let mut order = Vec::new();
    for _ in 0..3 {
        placer.record_end(&running.dispatches[0], DispatchOutcome::Cancelled, START);
        let decision = placer.take_decisions().remove(0);
        order.push(decision.ticket);
        running = decision.outcome.expect("granted");
    }
    assert_eq!(order, [urgent, early, late]);
}
