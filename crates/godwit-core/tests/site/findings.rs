//! Guards against findings that outlive their fault, because hosts report them to each other again and again, and
//! against partitions that are assumed because of a single faulty server.

use godwit_core::SteadyMs;
use godwit_core::site::Findings;

#[test]
fn merge_finding_applies_a_reported_stall() {
    let mut host = Findings::new();
    let mut peer = Findings::new();
    host.record_stall("s-1", SteadyMs(1_000));
    for report in host.finding_reports(SteadyMs(1_200)) {
        assert!(peer.merge_finding(&report, SteadyMs(50)), "the peer did not know");
        assert!(!peer.merge_finding(&report, SteadyMs(50)), "it knows now");
    }
    assert!(peer.stalling_servers(SteadyMs(60)).contains("s-1"));
    assert!(
        peer.stalling_servers(SteadyMs(50 + 2_800)).is_empty(),
        "a report does not extend the finding"
    );
}

#[test]
fn merge_finding_expires_when_hosts_report_it_to_each_other() {
    let mut host = Findings::new();
    let mut peer = Findings::new();
    host.record_stall("s-1", SteadyMs(0));
    for round in 1..40 {
        let now = SteadyMs(round * 200);
        for report in host.finding_reports(now) {
            peer.merge_finding(&report, now);
        }
        for report in peer.finding_reports(now) {
            host.merge_finding(&report, now);
        }
    }
    assert!(host.stalling_servers(SteadyMs(8_000)).is_empty());
}

#[test]
fn record_slowdown_expires() {
    let mut findings = Findings::new();
    findings.record_slowdown("s-1", 12.0, SteadyMs(1_000));
    assert!(findings.slowdown("s-1", SteadyMs(2_000)) > 11.0);
    assert!(findings.slowdown("s-1", SteadyMs(60_000)) < 1.1);
}

#[test]
fn record_slowdown_of_normal_speed_ends_a_slowdown() {
    let mut findings = Findings::new();
    findings.record_slowdown("s-1", 12.0, SteadyMs(1_000));
    findings.record_slowdown("s-1", 1.0, SteadyMs(1_500));
    assert!(findings.slowdown("s-1", SteadyMs(1_600)) < 1.1);
}

#[test]
fn partition_needs_several_suspects() {
    let mut findings = Findings::new();
    findings.record_cross_domain_stall("a", "b", "s-1", SteadyMs(100));
    assert!(findings.is_reachable("a", "b", SteadyMs(100)));
    assert!(findings.stalling_servers(SteadyMs(100)).contains("s-1"));
    findings.record_cross_domain_stall("a", "b", "s-2", SteadyMs(200));
    assert!(!findings.is_reachable("b", "a", SteadyMs(200)));
    assert!(findings.is_reachable("a", "c", SteadyMs(200)));
}

#[test]
fn partition_ignores_servers_known_to_stall() {
    let mut findings = Findings::new();
    findings.record_stall("s-1", SteadyMs(100));
    findings.record_cross_domain_stall("a", "b", "s-1", SteadyMs(100));
    findings.record_cross_domain_stall("a", "b", "s-2", SteadyMs(100));
    assert!(findings.is_reachable("a", "b", SteadyMs(100)));
}

#[test]
fn forget_discards_the_findings_about_a_server() {
    let mut findings = Findings::new();
    findings.record_stall("s-1", SteadyMs(0));
    findings.forget("s-1");
    assert!(findings.stalling_servers(SteadyMs(1)).is_empty());
}

#[test]
fn record_partition_again_lasts_longer() {
    let mut findings = Findings::new();
    findings.record_partition("a", "b", SteadyMs(10_000));
    assert!(findings.is_reachable("a", "b", SteadyMs(11_500)));
    findings.record_partition("a", "b", SteadyMs(11_600));
    assert!(!findings.is_reachable("a", "b", SteadyMs(14_599)));
    assert!(findings.is_reachable("a", "b", SteadyMs(14_600)));
}

#[test]
fn record_partition_long_after_another_has_the_initial_duration() {
    let mut findings = Findings::new();
    findings.record_partition("a", "b", SteadyMs(10_000));
    findings.record_partition("a", "b", SteadyMs(20_000));
    assert!(findings.is_reachable("a", "b", SteadyMs(21_500)));
}

#[test]
fn merge_partition_applies_a_reported_partition() {
    let mut host = Findings::new();
    let mut peer = Findings::new();
    host.record_partition("a", "b", SteadyMs(1_000));
    for report in host.partition_reports(SteadyMs(1_500)) {
        assert!(peer.merge_partition(&report, SteadyMs(80)), "the peer did not know");
        assert!(!peer.merge_partition(&report, SteadyMs(80)), "it knows now");
    }
    assert!(!peer.is_reachable("a", "b", SteadyMs(1_079)));
    assert!(peer.is_reachable("a", "b", SteadyMs(1_080)));
}
