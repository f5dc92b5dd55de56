//! Poll schedule of a host. Guards against servers that no host or several hosts poll, and against silent servers that
//! are not reported.

use godwit_core::cluster_state::{Notice, POLL_INTERVAL_MS, PollResult, PollSchedule, PollTarget};
use godwit_core::{Reading, UnixMs};

fn targets(count: u16) -> Vec<PollTarget> {
    let target = |number| PollTarget {
        server: format!("assistant-{number:02}"),
        address: ([10, 0, 0, 1], number).into(),
        has_cache_events: true,
    };
    (1..=count).map(target).collect()
}

fn schedule(host: &str, hosts: &[&str], servers: u16) -> PollSchedule {
    let mut schedule = PollSchedule::new(host);
    schedule.set_targets(targets(servers));
    schedule.set_hosts(hosts, UnixMs(0));
    schedule
}

fn reading(server: &str, measured_at: UnixMs) -> Reading {
    Reading {
        server: server.to_string(),
        measured_at,
        started_at: UnixMs(1),
        slots: 1,
        running: 0,
        waiting: 0,
        pending_tokens: 0,
        tokens_per_s: 1.0,
    }
}

fn notices(results: &[PollResult]) -> Vec<Notice> {
    let notice = |result: &PollResult| match result {
        PollResult::Notice(notice) => Some(notice.notice),
        PollResult::Reading(_) => None,
    };
    results.iter().filter_map(notice).collect()
}

#[test]
fn share_covers_each_server_once() {
    let hosts = ["entry-1", "entry-2", "entry-3"];
    let mut polled: Vec<PollTarget> = Vec::new();
    for host in hosts {
        let schedule = schedule(host, &hosts, 30);
        assert!(schedule.share().count() > 0);
        polled.extend(schedule.share().cloned());
    }
    polled.sort();
    assert_eq!(polled, targets(30));
}

#[test]
fn set_hosts_moves_only_servers_of_a_removed_host() {
    let before = schedule("entry-1", &["entry-1", "entry-2", "entry-3"], 30);
    let mut after = before.clone();
    after.set_hosts(&["entry-1", "entry-3"], UnixMs(1_000));
    let kept: Vec<_> = after.share().collect();
    assert!(before.share().all(|target| kept.contains(&target)));
    assert!(kept.len() > before.share().count());
}

#[test]
fn take_due_returns_each_server_once_per_interval() {
    let mut schedule = schedule("entry-1", &["entry-1"], 20);
    for round in 1..=3 {
        let from = (round - 1) * POLL_INTERVAL_MS;
        let times = (from + 1..=from + POLL_INTERVAL_MS).map(UnixMs);
        let mut polled: Vec<_> = times.flat_map(|now| schedule.take_due(now)).collect();
        polled.sort();
        assert_eq!(polled, targets(20), "round {round}");
    }
}

#[test]
fn record_reports_silence_after_two_failures() {
    let mut schedule = schedule("entry-1", &["entry-1"], 1);
    let server = "assistant-01";
    assert_eq!(schedule.record(server, None, UnixMs(1)), []);
    assert_eq!(notices(&schedule.record(server, None, UnixMs(2))), [Notice::Silent]);
    // The notice is repeated only after an interval, for hosts that missed it.
    assert_eq!(schedule.record(server, None, UnixMs(3)), []);
    assert_eq!(notices(&schedule.record(server, None, UnixMs(2_002))), [Notice::Silent]);
    let answered = schedule.record(server, Some(reading(server, UnixMs(2_003))), UnixMs(2_003));
    assert_eq!(notices(&answered), [Notice::Answering]);
    assert_eq!(schedule.record(server, None, UnixMs(2_004)), []);
}

#[test]
fn record_ignores_a_server_of_another_share() {
    let mut schedule = schedule("entry-1", &["entry-1"], 1);
    assert_eq!(schedule.record("stranger", None, UnixMs(1)), []);
}
