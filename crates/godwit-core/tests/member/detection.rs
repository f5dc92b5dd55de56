//! Failure detection: members must notice a killed host in time, and must not take a pause or lost datagrams for a
//! death.

use crate::network::{Network, STEP_MS};
use godwit_core::UnixMs;
use godwit_core::cluster_state::{Listing, Notice, PollResult, ServerNotice};
use godwit_core::member::{Gossip, Liveness, Member, MemberRecord, Purpose};

/// Longest time until all neighbours know that a host was killed.
const KNOWN_DEAD_WITHIN_MS: u64 = 2_000;

fn host_names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("entry-{number:02}")).collect()
}

fn converged_network(count: usize, random_seed: u64) -> Network {
    let host_names = host_names(count);
    let hosts: Vec<(&str, &str)> =
        host_names.iter().map(|name| (name.as_str(), "hall-a")).collect();
    let mut network = Network::new(&hosts, random_seed);
    let converged = network.run_until(30_000, |network| network.disagreement().is_none());
    assert!(converged.is_some(), "{:?}", network.disagreement());
    network.run(2_000);
    network
}

/// Sorted times until all neighbours know of a killed host, one for each of `tries` seeds.
fn detection_ms(count: usize, loss_percent: u32, tries: u64) -> Vec<u64> {
    let detect = |random_seed| {
        let mut network = converged_network(count, random_seed);
        network.loss_percent = loss_percent;
        network.max_delay_ms = 20;
        network.run(1_000 + random_seed * STEP_MS);
        network.kill(random_seed as usize % count);
        let detected = network.run_until(20_000, |network| network.disagreement().is_none());
        detected.unwrap_or_else(|| panic!("seed {random_seed}: {:?}", network.disagreement()))
    };
    let mut times: Vec<u64> = (0..tries).map(detect).collect();
    times.sort_unstable();
    times
}

#[test]
fn kill_one_of_three() {
    let times = detection_ms(3, 0, 20);
    println!("3 hosts: median {} ms, worst {} ms", times[10], times[19]);
    assert!(times[19] <= KNOWN_DEAD_WITHIN_MS, "{times:?}");
}

#[test]
fn kill_one_of_fifty() {
    let times = detection_ms(50, 0, 10);
    println!("50 hosts: median {} ms, worst {} ms", times[5], times[9]);
    assert!(times[9] <= KNOWN_DEAD_WITHIN_MS, "{times:?}");
}

#[test]
fn kill_one_with_loss() {
    let times = detection_ms(9, 5, 20);
    println!("9 hosts, 5% loss: median {} ms, worst {} ms", times[10], times[19]);
    assert!(times[10] <= KNOWN_DEAD_WITHIN_MS, "{times:?}");
}

#[test]
fn kill_neighbours_on_the_ring() {
    // Seven of nine hosts are killed at once, among them hosts that monitor others.
    let mut network = converged_network(9, 1);
    (0..7).for_each(|index| network.kill(index));
    let detected = network.run_until(20_000, |network| network.disagreement().is_none());
    assert!(detected.is_some(), "{:?}", network.disagreement());
}

#[test]
fn no_false_death_with_loss() {
    let mut network = converged_network(20, 3);
    network.loss_percent = 2;
    network.max_delay_ms = 100;
    for _ in 0..600 {
        network.run(STEP_MS);
        assert_eq!(network.disagreement(), None);
    }
}

#[test]
fn pause_and_resume() {
    let mut network = converged_network(5, 4);
    network.nodes[2].is_paused = true;
    let others = ["entry-00", "entry-01", "entry-03", "entry-04"];
    let is_dead = |network: &Network| {
        let observers = network.members().filter(|(node, _)| node.name != "entry-02");
        observers.into_iter().all(|(_, member)| member.live_hosts() == others)
    };
    assert!(network.run_until(5_000, is_dead).is_some());
    network.resume(2);
    // The resumed host refutes its death, and does not suspect the others because of its own pause.
    let converged = network.run_until(3_000, |network| network.disagreement().is_none());
    assert!(converged.is_some(), "{:?}", network.disagreement());
    let incarnation = |member: &Member| member.own_record().incarnation;
    let (_, resumed) = network.members().nth(2).unwrap();
    let (_, observer) = network.members().next().unwrap();
    let seen = observer.neighbours().find(|(record, _)| record.host == "entry-02").unwrap().0;
    assert_eq!((seen.incarnation, seen.liveness), (incarnation(resumed), Liveness::Alive));
}

#[test]
fn pause_suspects_no_other_host() {
    let mut network = converged_network(5, 8);
    network.nodes[2].is_paused = true;
    network.run(10_000);
    network.resume_without_datagrams(2);
    for _ in 0..100 {
        network.run(STEP_MS);
        let (_, resumed) = network.members().nth(2).unwrap();
        assert!(resumed.neighbours().all(|(record, _)| record.liveness == Liveness::Alive));
    }
}

#[test]
fn suspicion_of_self_is_refuted_at_once() {
    let mut network = converged_network(2, 10);
    let (_, other) = network.members().nth(1).unwrap();
    let sender = other.own_record().clone();
    let now = network.now;
    let member = network.nodes[0].member.as_mut().unwrap();
    // Received right after a gossip round, when the next round is not due yet.
    let round_at = (0..20).map(|step| now.plus_ms(step * STEP_MS));
    let round_at = round_at.into_iter().find(|now| !member.tick(*now).is_empty()).unwrap();
    let suspected = MemberRecord { liveness: Liveness::Suspect, ..member.own_record().clone() };
    let gossip = Gossip {
        purpose: Purpose::Heartbeat,
        failure_domain: "hall-a".to_string(),
        sender,
        members: vec![suspected.clone()],
        readings: Vec::new(),
        notices: Vec::new(),
        hints: Vec::new(),
        summaries: Vec::new(),
    };
    member.receive(&gossip, round_at);
    assert!(!member.tick(round_at.plus_ms(STEP_MS)).is_empty());
    assert!(member.own_record().is_newer_than(&suspected));
}

/// A server listed as leaving gets no new work after 3 s, and the host list is read about once a second.
const LEAVING_KNOWN_WITHIN_MS: u64 = 1_000;

#[test]
fn notice_reaches_all_hosts() {
    let mut network = converged_network(50, 11);
    network.loss_percent = 2;
    network.max_delay_ms = 20;
    let notice = ServerNotice {
        server: "assistant-1".to_string(),
        notice: Notice::Listed(Listing::Leaving),
        noticed_at: network.now,
    };
    let result = PollResult::Notice(notice);
    network.act(7, |member, now| member.record_poll_result(&result, now));
    let is_known =
        |network: &Network| network.nodes.iter().all(|node| node.has_listing("assistant-1"));
    let known_ms = network.run_until(20_000, is_known).expect("the notice reaches all hosts");
    println!("50 hosts, 2% loss: a notice is known to all after {known_ms} ms");
    assert!(known_ms <= LEAVING_KNOWN_WITHIN_MS, "{known_ms} ms");
}

#[test]
fn other_domain_forgets_dead_hosts() {
    let host_names = host_names(20);
    let mut hosts: Vec<(&str, &str)> =
        host_names.iter().map(|name| (name.as_str(), "hall-a")).collect();
    hosts.extend([("other-1", "hall-b"), ("other-2", "hall-b")]);
    let mut network = Network::new(&hosts, 9);
    network.run(20_000);
    assert_eq!(network.disagreement(), None);
    // The parts of the host list now begin at other names, while old parts are still in flight.
    [1, 2, 5, 8, 9, 13].into_iter().for_each(|index| network.kill(index));
    network.run(20_000);
    for _ in 0..400 {
        network.run(STEP_MS);
        assert_eq!(network.disagreement(), None);
    }
}

#[test]
fn restart_is_new_incarnation() {
    let mut network = converged_network(5, 5);
    network.kill(2);
    network.run(5_000);
    network.start(2);
    let restarted_at = network.now;
    let converged = network.run_until(3_000, |network| network.disagreement().is_none());
    assert!(converged.is_some(), "{:?}", network.disagreement());
    let (_, observer) = network.members().next().unwrap();
    let seen = observer.neighbours().find(|(record, _)| record.host == "entry-02").unwrap().0;
    assert_eq!(UnixMs(seen.incarnation), restarted_at);
}

#[test]
fn leave_is_known_within_a_second() {
    let mut network = converged_network(9, 6);
    network.act(4, |member, _| {
        member.leave();
        Vec::new()
    });
    let known = network.run_until(1_000, |network| network.disagreement().is_none());
    assert!(known.is_some(), "{:?}", network.disagreement());
}
