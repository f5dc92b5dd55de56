use godwit_core::SteadyMs;
use godwit_core::site::Findings;

#[test]
fn finding_of_a_stall_reaches_other_hosts() {
    let mut one = Findings::new();
    let mut other = Findings::new();
    one.record_stall("s-1", SteadyMs(1_000));
    for told in one.finding_reports(SteadyMs(1_200)) {
        other.merge_finding(&told, SteadyMs(50));
    }
    assert!(other.stalling_servers(SteadyMs(60)).contains("s-1"));
    assert!(
        other.stalling_servers(SteadyMs(50 + 2_800)).is_empty(),
        "it holds no longer than where it was found"
    );
}

#[test]
fn finding_relayed_in_a_circle_ends() {
    let mut one = Findings::new();
    let mut other = Findings::new();
    one.record_stall("s-1", SteadyMs(0));
    for round in 1..40 {
        let now = SteadyMs(round * 200);
        one.finding_reports(now).iter().for_each(|told| other.merge_finding(told, now));
        other.finding_reports(now).iter().for_each(|told| one.merge_finding(told, now));
    }
    assert!(one.stalling_servers(SteadyMs(8_000)).is_empty());
}

#[test]
fn finding_of_a_slowdown_holds_for_a_while() {
    let mut findings = Findings::new();
    findings.record_slowdown("s-1", 12.0, SteadyMs(1_000));
    assert!(findings.slowdown("s-1", SteadyMs(2_000)) > 11.0);
    assert!(findings.slowdown("s-1", SteadyMs(60_000)) < 1.1);
}

#[test]
fn finding_of_a_normal_pace_ends_a_slowdown() {
    let mut findings = Findings::new();
    findings.record_slowdown("s-1", 12.0, SteadyMs(1_000));
    findings.record_slowdown("s-1", 1.0, SteadyMs(1_500));
    assert!(findings.slowdown("s-1", SteadyMs(1_600)) < 1.1);
}

#[test]
fn cut_needs_several_suspects() {
    let mut findings = Findings::new();
    findings.record_cross_domain_stall("a", "b", "s-1", SteadyMs(100));
    assert!(findings.is_reachable("a", "b", SteadyMs(100)));
    assert!(findings.stalling_servers(SteadyMs(100)).contains("s-1"));
    findings.record_cross_domain_stall("a", "b", "s-2", SteadyMs(200));
    assert!(!findings.is_reachable("b", "a", SteadyMs(200)));
    assert!(findings.is_reachable("a", "c", SteadyMs(200)));
}

#[test]
fn cut_is_not_made_of_servers_known_to_stall() {
    let mut findings = Findings::new();
    findings.record_stall("s-1", SteadyMs(100));
    findings.record_cross_domain_stall("a", "b", "s-1", SteadyMs(100));
    findings.record_cross_domain_stall("a", "b", "s-2", SteadyMs(100));
    assert!(findings.is_reachable("a", "b", SteadyMs(100)));
}

#[test]
fn finding_is_forgotten_with_its_server() {
    let mut findings = Findings::new();
    findings.record_stall("s-1", SteadyMs(0));
    findings.forget("s-1");
    assert!(findings.stalling_servers(SteadyMs(1)).is_empty());
}

#[test]
fn cut_found_again_holds_for_longer() {
    let mut findings = Findings::new();
    findings.record_partition("a", "b", SteadyMs(10_000));
    assert!(findings.is_reachable("a", "b", SteadyMs(11_500)));
    findings.record_partition("a", "b", SteadyMs(11_600));
    assert!(!findings.is_reachable("a", "b", SteadyMs(14_599)));
    assert!(findings.is_reachable("a", "b", SteadyMs(14_600)));
}

#[test]
fn cut_long_after_another_is_a_new_one() {
    let mut findings = Findings::new();
    findings.record_partition("a", "b", SteadyMs(10_000));
    findings.record_partition("a", "b", SteadyMs(20_000));
    assert!(findings.is_reachable("a", "b", SteadyMs(21_500)));
}

#[test]
fn cut_told_by_another_host_counts() {
    let mut one = Findings::new();
    let mut other = Findings::new();
    one.record_partition("a", "b", SteadyMs(1_000));
    one.partition_reports(SteadyMs(1_500))
        .iter()
        .for_each(|told| other.merge_partition(told, SteadyMs(80)));
    assert!(!other.is_reachable("a", "b", SteadyMs(1_079)));
    assert!(other.is_reachable("a", "b", SteadyMs(1_080)));
}
