//! Order, shedding and outlook of a queue.

use godwit_core::UnixMs;
use godwit_core::queue::{
    DrainRate, Queue, QueueFull, QueuedRequest, Ticket, WaitClass, WaitEstimate,
};

fn waiting(ticket: u64, workspace: &str, priority: u8, deadline_ms: u64) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(ticket),
        workspace: workspace.to_string(),
        weight: 1,
        priority,
        class: WaitClass::Ordinary,
        deadline: UnixMs(deadline_ms),
        start_by: UnixMs(deadline_ms),
        cost_tokens: 1_000,
    }
}

fn queue_of(limit: usize, all: Vec<QueuedRequest>) -> Queue {
    let mut queue = Queue::new(limit);
    for waiting in all {
        assert_eq!(queue.push(waiting), Ok(None));
    }
    queue
}

fn grant_all(queue: &mut Queue) -> Vec<u64> {
    let mut granted = Vec::new();
    loop {
        let next = queue.grant_order().next().map(|next| next.ticket);
        let Some(ticket) = next else {
            return granted;
        };
        queue.grant(ticket);
        granted.push(ticket.0);
    }
}

#[test]
fn grants_go_by_priority_then_deadline() {
    let mut queue = queue_of(
        8,
        vec![
            waiting(1, "a", 1, 900),
            waiting(2, "a", 1, 500),
            waiting(3, "a", 9, 999),
            waiting(4, "b", 1, 700),
        ],
    );
    assert_eq!(grant_all(&mut queue), [3, 2, 4, 1]);
}

#[test]
fn grants_go_round_workspaces_by_weight() {
    let mut all = Vec::new();
    for n in 0..60 {
        all.push(waiting(n, "large", 1, 100 + n));
    }
    for n in 60..90 {
        all.push(QueuedRequest { weight: 2, ..waiting(n, "small", 1, 10_000 + n) });
    }
    let granted = grant_all(&mut queue_of(100, all));
    let of_small = granted[..36].iter().filter(|ticket| **ticket >= 60).count();
    assert!((21..=27).contains(&of_small), "two thirds of 36, but {of_small}");
}

#[test]
fn workspace_that_comes_back_has_no_credit() {
    let mut queue = queue_of(100, (0..40).map(|n| waiting(n, "busy", 1, 100)).collect());
    for _ in 0..20 {
        let next = queue.grant_order().next().expect("one waits").ticket;
        queue.grant(next);
    }
    for n in 40..60 {
        queue.push(waiting(n, "late", 1, 200)).expect("room");
    }
    let granted = grant_all(&mut queue);
    let of_late = granted[..20].iter().filter(|ticket| **ticket >= 40).count();
    assert!((8..=12).contains(&of_late), "{of_late}");
}

#[test]
fn full_queue_sheds_the_least_valuable() {
    let once = QueuedRequest { class: WaitClass::Once, ..waiting(2, "a", 1, 100) };
    let mut queue = queue_of(3, vec![waiting(1, "a", 1, 100), once, waiting(3, "a", 1, 900)]);
    assert_eq!(queue.push(waiting(4, "a", 0, 100)), Err(QueueFull));
    let shed = queue.push(waiting(5, "b", 9, 100)).expect("room by shedding");
    assert_eq!(shed.map(|shed| shed.ticket), Some(Ticket(3)), "the later of the ordinary ones");
    let shed = queue.push(waiting(6, "b", 9, 100)).expect("room by shedding");
    assert_eq!(shed.map(|shed| shed.ticket), Some(Ticket(1)));
    let shed = queue.push(waiting(7, "b", 9, 100)).expect("room by shedding");
    assert_eq!(shed.map(|shed| shed.ticket), Some(Ticket(2)), "what runs once goes last");
    assert_eq!(queue.push(waiting(8, "b", 9, 100)), Err(QueueFull));
}

#[test]
fn full_queue_makes_room_for_a_workspace_with_less_than_its_share() {
    let mut queue = queue_of(4, (0..4).map(|n| waiting(n, "large", 1, n)).collect());
    let shed = queue.push(waiting(9, "small", 1, 50)).expect("room by shedding");
    assert_eq!(shed.map(|shed| shed.ticket), Some(Ticket(3)));
    assert_eq!(queue.push(waiting(10, "large", 1, 0)), Err(QueueFull));
}

#[test]
fn outlook_gives_up_what_waits_behind_too_much() {
    let queue = queue_of(
        8,
        vec![waiting(1, "a", 1, 1_000), waiting(2, "a", 1, 2_000), waiting(3, "a", 1, 2_500)],
    );
    let mut rate = DrainRate::default();
    rate.set_share(500.0);
    let outlook = WaitEstimate::new(&queue, &rate, UnixMs(0));
    assert_eq!(outlook.late_requests(), [Ticket(3)]);
    assert!(outlook.can_start_in_time(&waiting(4, "b", 9, 0)));
    assert!(!outlook.can_start_in_time(&waiting(4, "b", 1, 2_600)));
    assert!(outlook.can_start_in_time(&waiting(4, "b", 1, 6_000)));
    assert_eq!(outlook.retry_at(), UnixMs(6_000));
}

#[test]
fn drain_rate_is_the_share_or_what_was_granted() {
    let mut rate = DrainRate::default();
    rate.set_share(100.0);
    assert_eq!(rate.tokens_per_ms(UnixMs(0)), 0.1);
    for at_ms in (0..20_000).step_by(100) {
        rate.record_grant(100, UnixMs(at_ms));
    }
    let granted = rate.tokens_per_ms(UnixMs(20_000));
    assert!((0.9..1.1).contains(&granted), "{granted}");
    assert_eq!(rate.tokens_per_ms(UnixMs(200_000)), 0.1);
}

#[test]
fn overdue_are_those_whose_start_has_passed() {
    let queue = queue_of(8, vec![waiting(1, "a", 1, 10), waiting(2, "b", 3, 20)]);
    assert_eq!(queue.overdue(UnixMs(10)), []);
    assert_eq!(queue.overdue(UnixMs(11)), [Ticket(1)]);
}
