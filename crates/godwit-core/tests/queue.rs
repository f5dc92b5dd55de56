//! Grant order, load shedding and wait estimate of a queue.

use godwit_core::UnixMs;
use godwit_core::queue::{
    DrainRate, Queue, QueueFull, QueuedRequest, Ticket, WaitClass, WaitEstimate,
};

fn request(ticket: u64, workspace: &str, priority: u8, deadline_ms: u64) -> QueuedRequest {
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

fn queue_of(limit: usize, requests: Vec<QueuedRequest>) -> Queue {
    let mut queue = Queue::new(limit);
    for request in requests {
        assert_eq!(queue.push(request), Ok(None));
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
fn grant_order_is_by_priority_then_deadline() {
    let mut queue = queue_of(
        8,
        vec![
            request(1, "a", 1, 900),
            request(2, "a", 1, 500),
            request(3, "a", 9, 999),
            request(4, "b", 1, 700),
        ],
    );
    assert_eq!(grant_all(&mut queue), [3, 2, 4, 1]);
}

#[test]
fn grant_order_shares_by_workspace_weight() {
    let mut requests = Vec::new();
    for n in 0..60 {
        requests.push(request(n, "large", 1, 100 + n));
    }
    for n in 60..90 {
        requests.push(QueuedRequest { weight: 2, ..request(n, "small", 1, 10_000 + n) });
    }
    let granted = grant_all(&mut queue_of(100, requests));
    let small_count = granted[..36].iter().filter(|ticket| **ticket >= 60).count();
    assert!((21..=27).contains(&small_count), "two thirds of 36, but {small_count}");
}

#[test]
fn grant_order_gives_no_credit_for_time_without_requests() {
    let mut queue = queue_of(100, (0..40).map(|n| request(n, "busy", 1, 100)).collect());
    for _ in 0..20 {
        let next = queue.grant_order().next().expect("a request waits").ticket;
        queue.grant(next);
    }
    for n in 40..60 {
        queue.push(request(n, "late", 1, 200)).expect("queue has room");
    }
    let granted = grant_all(&mut queue);
    let late_count = granted[..20].iter().filter(|ticket| **ticket >= 40).count();
    assert!((8..=12).contains(&late_count), "{late_count}");
}

#[test]
fn push_to_full_queue_sheds_the_least_valuable() {
    let once = QueuedRequest { class: WaitClass::Once, ..request(2, "a", 1, 100) };
    let mut queue = queue_of(3, vec![request(1, "a", 1, 100), once, request(3, "a", 1, 900)]);
    assert_eq!(queue.push(request(4, "a", 0, 100)), Err(QueueFull));
    let shed = queue.push(request(5, "b", 9, 100)).expect("another request is shed");
    assert_eq!(
        shed.map(|shed| shed.ticket),
        Some(Ticket(3)),
        "the ordinary request with the later deadline"
    );
    let shed = queue.push(request(6, "b", 9, 100)).expect("another request is shed");
    assert_eq!(shed.map(|shed| shed.ticket), Some(Ticket(1)));
    let shed = queue.push(request(7, "b", 9, 100)).expect("another request is shed");
    assert_eq!(
        shed.map(|shed| shed.ticket),
        Some(Ticket(2)),
        "a request that runs once is shed last"
    );
    assert_eq!(queue.push(request(8, "b", 9, 100)), Err(QueueFull));
}

#[test]
fn push_to_full_queue_sheds_for_a_workspace_below_its_share() {
    let mut queue = queue_of(4, (0..4).map(|n| request(n, "large", 1, n)).collect());
    let shed = queue.push(request(9, "small", 1, 50)).expect("another request is shed");
    assert_eq!(shed.map(|shed| shed.ticket), Some(Ticket(3)));
    assert_eq!(queue.push(request(10, "large", 1, 0)), Err(QueueFull));
}

#[test]
fn wait_estimate_finds_requests_that_start_too_late() {
    let queue = queue_of(
        8,
        vec![request(1, "a", 1, 1_000), request(2, "a", 1, 2_000), request(3, "a", 1, 2_500)],
    );
    let mut rate = DrainRate::default();
    rate.set_share(500.0);
    let estimate = WaitEstimate::new(&queue, &rate, UnixMs(0));
    assert_eq!(estimate.late_requests(), [Ticket(3)]);
    assert!(estimate.can_start_in_time(&request(4, "b", 9, 0)));
    assert!(!estimate.can_start_in_time(&request(4, "b", 1, 2_600)));
    assert!(estimate.can_start_in_time(&request(4, "b", 1, 6_000)));
    assert_eq!(estimate.retry_at(), UnixMs(6_000));
}

#[test]
fn drain_rate_is_the_higher_of_share_and_grant_rate() {
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
fn overdue_returns_requests_past_their_latest_start() {
    let queue = queue_of(8, vec![request(1, "a", 1, 10), request(2, "b", 3, 20)]);
    assert_eq!(queue.overdue(UnixMs(10)), []);
    assert_eq!(queue.overdue(UnixMs(11)), [Ticket(1)]);
}
