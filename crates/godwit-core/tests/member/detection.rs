//! How soon members notice a death, and what they do not take for one.

use crate::network::{Network, STEP_MS};
use godwit_core::UnixMs;
use godwit_core::cluster_state::{Listing, Notice, PollResult, ServerNotice};
use godwit_core::member::{Gossip, Liveness, Member, MemberRecord, Purpose};

/// Within this time all neighbours know that a host was killed.
const KNOWN_DEAD_WITHIN_MS: u64 = 2_000;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("entry-{number:02}")).collect()
}

fn settled(count: usize, random_seed: u64) -> Network {
    let names = names(count);
    let hosts: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "hall-a")).collect();
    let mut network = Network::new(&hosts, random_seed);
    let settled = network.run_until(30_000, |network| network.disagreement().is_none());
    assert!(settled.is_some(), "{:?}", network.disagreement());
    network.run(2_000);
    network
}

/// Times in which all neighbours learned of a death, for several seeds.
fn detection_ms(count: usize, loss_percent: u32, tries: u64) -> Vec<u64> {
    let detect = |random_seed| {
        let mut network = settled(count, random_seed);
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
    // All hosts but two die at once, among them the watchers of others.
    let mut network = settled(9, 1);
    (0..7).for_each(|index| network.kill(index));
    let detected = network.run_until(20_000, |network| network.disagreement().is_none());
    assert!(detected.is_some(), "{:?}", network.disagreement());
}

#[test]
fn no_false_death_with_loss() {
    let mut network = settled(20, 3);
    network.loss_percent = 2;
    network.max_delay_ms = 100;
    for _ in 0..600 {
        network.run(STEP_MS);
        assert_eq!(network.disagreement(), None);
    }
}

#[test]
fn pause_and_wake() {
    let mut network = settled(5, 4);
    network.nodes[2].is_paused = true;
    let others = ["entry-00", "entry-01", "entry-03", "entry-04"];
    let is_dead = |network: &Network| {
        let observers = network.members().filter(|(node, _)| node.name != "entry-02");
        observers.into_iter().all(|(_, member)| member.live_hosts() == others)
    };
    assert!(network.run_until(5_000, is_dead).is_some());
    network.wake(2);
    // The woken host refutes its death, and does not hold its own pause against the others.
    let back = network.run_until(3_000, |network| network.disagreement().is_none());
    assert!(back.is_some(), "{:?}", network.disagreement());
    let incarnation = |member: &Member| member.own_record().incarnation;
    let (_, woken) = network.members().nth(2).unwrap();
    let (_, observer) = network.members().next().unwrap();
    let seen = observer.neighbours().find(|(record, _)| record.host == "entry-02").unwrap().0;
    assert_eq!((seen.incarnation, seen.liveness), (incarnation(woken), Liveness::Alive));
}

#[test]
fn pause_blames_nobody_else() {
    let mut network = settled(5, 8);
    network.nodes[2].is_paused = true;
    network.run(10_000);
    network.wake_without_datagrams(2);
    for _ in 0..100 {
        network.run(STEP_MS);
        let (_, woken) = network.members().nth(2).unwrap();
        assert!(woken.neighbours().all(|(record, _)| record.liveness == Liveness::Alive));
    }
}

#[test]
fn doubt_of_oneself_is_refuted_at_once() {
    let mut network = settled(2, 10);
    let (_, other) = network.members().nth(1).unwrap();
    let sender = other.own_record().clone();
    let now = network.now;
    let member = network.nodes[0].member.as_mut().unwrap();
    // Right after a round, when the next one is not due yet.
    let round_at = (0..20).map(|step| now.plus_ms(step * STEP_MS));
    let round_at = round_at.into_iter().find(|now| !member.tick(*now).is_empty()).unwrap();
    let doubted = MemberRecord { liveness: Liveness::Suspect, ..member.own_record().clone() };
    let gossip = Gossip {
        purpose: Purpose::Heartbeat,
        failure_domain: "hall-a".to_string(),
        sender,
        members: vec![doubted.clone()],
        readings: Vec::new(),
        notices: Vec::new(),
        hints: Vec::new(),
        summaries: Vec::new(),
    };
    member.receive(&gossip, round_at);
    assert!(!member.tick(round_at.plus_ms(STEP_MS)).is_empty());
    assert!(member.own_record().is_newer_than(&doubted));
}

/// A server that the host list calls leaving gets no new work after 3 s; the list is read about once a second.
const LEAVING_KNOWN_WITHIN_MS: u64 = 1_000;

#[test]
fn notice_reaches_all_hosts() {
    let mut network = settled(50, 11);
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
    let names = names(20);
    let mut hosts: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "hall-a")).collect();
    hosts.extend([("other-1", "hall-b"), ("other-2", "hall-b")]);
    let mut network = Network::new(&hosts, 9);
    network.run(20_000);
    assert_eq!(network.disagreement(), None);
    // Other parts of the list of hosts begin at other names now, and the old parts are still on their way.
    [1, 2, 5, 8, 9, 13].into_iter().for_each(|index| network.kill(index));
    network.run(20_000);
    for _ in 0..400 {
        network.run(STEP_MS);
        assert_eq!(network.disagreement(), None);
    }
}

#[test]
fn restart_is_new_incarnation() {
    let mut network = settled(5, 5);
    network.kill(2);
    network.run(5_000);
    network.start(2);
    let restarted_at = network.now;
    let back = network.run_until(3_000, |network| network.disagreement().is_none());
    assert!(back.is_some(), "{:?}", network.disagreement());
    let (_, observer) = network.members().next().unwrap();
    let seen = observer.neighbours().find(|(record, _)| record.host == "entry-02").unwrap().0;
    assert_eq!(UnixMs(seen.incarnation), restarted_at);
}

#[test]
fn leave_is_known_at_once() {
    let mut network = settled(9, 6);
    network.act(4, |member, _| {
        member.leave();
        Vec::new()
    });
    let known = network.run_until(1_000, |network| network.disagreement().is_none());
    assert!(known.is_some(), "{:?}", network.disagreement());
}
