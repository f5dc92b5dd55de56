//! Selection of the hosts that read the store, by itself and over hundreds of hosts with faults.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use godwit_core::SteadyMs;
use godwit_core::replica::{ReaderLimits, ReaderSelection, Trouble, sort_readers};
use godwit_core::site::PeerHost;

const LIMITS: ReaderLimits = ReaderLimits::DEFAULT;

fn candidate(name: &str, capacity: u32) -> PeerHost {
    let failure_domain = name[..1].to_string();
    let address = SocketAddr::from(([10, 0, 0, 1], 7_341));
    PeerHost { name: name.to_string(), failure_domain, address, capacity }
}

/// Hosts `a-1` and `a-2` are the largest of domain `a`, `b-1` of domain `b`.
fn hosts() -> Vec<PeerHost> {
    let sizes = [("a-1", 200), ("a-2", 100), ("a-3", 30), ("a-4", 20), ("b-1", 200), ("b-2", 20)];
    sizes.map(|(name, capacity)| candidate(name, capacity)).to_vec()
}

fn selection(name: &str) -> ReaderSelection {
    let own = hosts().into_iter().find(|host| host.name == name).expect("a host of the list");
    let mut selection = ReaderSelection::new(name, &own.failure_domain, own.capacity, LIMITS);
    selection.set_hosts(hosts());
    selection
}

fn followed(selection: &mut ReaderSelection, now_ms: u64) -> Option<String> {
    selection.plan(0, SteadyMs(now_ms)).follows.map(|host| host.name)
}

#[test]
fn sort_readers_begins_with_the_largest() {
    let mut hosts =
        [("h-1", 20), ("h-2", 200), ("h-3", 100)].map(|(name, size)| candidate(name, size));
    sort_readers(&mut hosts);
    assert_eq!(hosts.map(|host| host.name), ["h-2", "h-3", "h-1"]);
}

#[test]
fn plan_of_the_largest_hosts_reads_the_store() {
    for name in ["a-1", "a-2", "b-1", "b-2"] {
        let plan = selection(name).plan(0, SteadyMs(0));
        assert!(plan.reads_store, "{name}: {plan:?}");
        // The second of a domain takes confirmations from the first.
        let first = if name.starts_with('a') { "a-1" } else { "b-1" };
        let followed = plan.follows.map(|host| host.name);
        assert_eq!(followed.as_deref(), Some(first).filter(|first| *first != name), "{name}");
    }
}

#[test]
fn plan_of_the_second_reader_follows_nobody_while_the_first_is_skipped() {
    for trouble in [Trouble::Stopped, Trouble::Unresponsive, Trouble::Unable] {
        let mut second = selection("a-2");
        second.record_trouble("a-1", trouble, SteadyMs(0));
        let plan = second.plan(1, SteadyMs(10));
        assert!(plan.reads_store && plan.follows.is_none(), "{plan:?}");
        let plan = second.plan(1, SteadyMs(2_010));
        assert_eq!(plan.follows.map(|host| host.name).as_deref(), Some("a-1"));
    }
}

#[test]
fn plan_of_other_hosts_follows_a_reader_of_the_domain() {
    for name in ["a-3", "a-4"] {
        let plan = selection(name).plan(0, SteadyMs(0));
        assert!(!plan.reads_store, "{name}: {plan:?}");
        let followed = plan.follows.expect("a reader").name;
        assert!(followed == "a-1" || followed == "a-2", "{name}: {followed}");
    }
}

#[test]
fn plan_of_a_followed_host_reads_the_store() {
    let plan = selection("a-4").plan(1, SteadyMs(0));
    assert!(plan.reads_store, "{plan:?}");
    assert_eq!(plan.follows.map(|host| host.name).as_deref(), Some("a-1"));
}

/// A host that has just been added may be one that never sends anything.
#[test]
fn plan_of_a_reader_reads_the_store_until_the_followed_host_passes_on() {
    let mut selection = ReaderSelection::new("a-4", "a", 20, LIMITS);
    assert!(selection.plan(0, SteadyMs(0)).reads_store);
    selection.set_hosts(hosts());
    let plan = selection.plan(0, SteadyMs(100));
    let first = plan.follows.expect("a reader").name;
    assert!(plan.reads_store, "{first} has sent nothing yet");
    selection.record_trouble(&first, Trouble::Unresponsive, SteadyMs(900));
    let plan = selection.plan(0, SteadyMs(900));
    let second = plan.follows.expect("another reader").name;
    assert!(first != second && plan.reads_store, "{second} has sent nothing yet");
    selection.record_success(&second, SteadyMs(910));
    let plan = selection.plan(0, SteadyMs(910));
    assert!(!plan.reads_store && plan.follows.is_some(), "{plan:?}");
}

#[test]
fn plan_replaces_an_unresponsive_reader_at_once() {
    let mut selection = selection("a-4");
    let first = followed(&mut selection, 0).expect("a reader");
    selection.record_trouble(&first, Trouble::Unresponsive, SteadyMs(100));
    let second = followed(&mut selection, 100).expect("another reader");
    assert_ne!(first, second);
    selection.record_trouble(&second, Trouble::Unresponsive, SteadyMs(200));
    // It becomes a reader itself, as a-3 does, because the larger hosts do not respond.
    assert!(selection.plan(0, SteadyMs(200)).reads_store);
}

#[test]
fn plan_of_a_reader_that_is_turned_away_follows_another() {
    let mut selection = selection("a-1");
    selection.record_store("servers", false);
    let plan = selection.plan(0, SteadyMs(0));
    assert!(plan.reads_store, "it must notice when the store takes it back");
    assert_eq!(plan.follows.map(|host| host.name).as_deref(), Some("a-2"));
    selection.record_store("servers", true);
    assert_eq!(selection.plan(0, SteadyMs(10)).follows, None);
}

/// While the store is away for all kinds, one of them is enough to notice its return.
#[test]
fn store_that_is_away_is_tried_for_one_kind() {
    let mut selection = selection("a-1");
    let tried = |selection: &ReaderSelection| {
        let kinds = ["config", "hosts", "servers"].into_iter();
        kinds.filter(|kind| !selection.is_other_kind_lost(kind)).collect::<Vec<_>>()
    };
    assert_eq!(tried(&selection), ["config", "hosts", "servers"]);
    for kind in ["config", "hosts", "servers"] {
        selection.record_store(kind, false);
    }
    assert_eq!(tried(&selection), ["config"]);
    selection.record_store("config", true);
    assert_eq!(tried(&selection), ["hosts"]);
}

#[test]
fn plan_follows_another_domain_when_the_own_cannot_read() {
    let mut selection = selection("a-4");
    for name in ["a-1", "a-2", "a-3"] {
        selection.record_trouble(name, Trouble::Unable, SteadyMs(0));
    }
    selection.record_store("servers", false);
    assert_eq!(followed(&mut selection, 0).as_deref(), Some("b-1"));
}

/// A store that is away for all must not make all hosts call it.
#[test]
fn plan_stays_with_a_reader_when_no_host_can_read() {
    let mut selection = selection("b-2");
    selection.set_hosts((0..40).map(|index| candidate(&format!("b-{index}"), 100)).collect());
    for index in 0..40 {
        selection.record_trouble(&format!("b-{index}"), Trouble::Unable, SteadyMs(0));
    }
    let plan = selection.plan(0, SteadyMs(10));
    assert!(!plan.reads_store && plan.follows.is_some(), "{plan:?}");
    assert_eq!(selection.plan(0, SteadyMs(20)), plan);
}

#[test]
fn plan_reads_the_store_when_no_host_responds() {
    let mut selection = selection("a-4");
    for host in hosts() {
        selection.record_trouble(&host.name, Trouble::Unresponsive, SteadyMs(0));
    }
    let plan = selection.plan(0, SteadyMs(10));
    assert!(plan.reads_store && plan.follows.is_none(), "{plan:?}");
}

#[test]
fn plan_returns_to_the_readers_after_some_time() {
    let mut selection = selection("a-4");
    let first = followed(&mut selection, 0).expect("a reader");
    selection.record_trouble(&first, Trouble::Unable, SteadyMs(0));
    let second = followed(&mut selection, 0).expect("another reader");
    assert_eq!(followed(&mut selection, 10_000), Some(second), "it changes too often");
    assert_eq!(followed(&mut selection, 31_000), Some(first));
}

#[test]
fn trouble_of_a_host_that_stays_away_is_remembered_for_longer() {
    let mut selection = selection("a-4");
    selection.record_trouble("a-1", Trouble::Stopped, SteadyMs(0));
    assert!(!selection.is_skipped("a-1", SteadyMs(250)));
    selection.record_trouble("a-1", Trouble::Stopped, SteadyMs(250));
    assert!(selection.is_skipped("a-1", SteadyMs(700)));
    assert!(!selection.is_skipped("a-1", SteadyMs(750)));
    for _ in 0..20 {
        selection.record_trouble("a-1", Trouble::Stopped, SteadyMs(1_000));
    }
    assert!(selection.is_skipped("a-1", SteadyMs(30_900)));
    selection.record_success("a-1", SteadyMs(1_000));
    assert!(!selection.is_skipped("a-1", SteadyMs(1_000)));
}

/// Hosts of five domains, of which some are dead and some cannot read the store.
struct Cluster {
    selections: BTreeMap<String, ReaderSelection>,
    following: BTreeMap<String, Option<String>>,
    /// Number of times that a host began to follow another.
    changes: usize,
    dead: BTreeSet<String>,
    /// What a dead host looks like to others.
    death: Trouble,
    turned_away: BTreeSet<String>,
}

/// Interval at which hosts decide, in milliseconds.
const ROUND_MS: u64 = 250;

impl Cluster {
    fn new(count: usize) -> Cluster {
        let hosts: Vec<PeerHost> = (0..count)
            .map(|index| {
                let domain = ["a", "b", "c", "d", "e"][index % 5];
                let capacity = if index < 15 { 200 } else { 20 };
                candidate(&format!("{domain}-{index}"), capacity)
            })
            .collect();
        let selections = hosts.iter().map(|own| {
            let mut selection =
                ReaderSelection::new(&own.name, &own.failure_domain, own.capacity, LIMITS);
            selection.set_hosts(hosts.clone());
            (own.name.clone(), selection)
        });
        Cluster {
            selections: selections.collect(),
            following: BTreeMap::new(),
            changes: 0,
            dead: BTreeSet::new(),
            death: Trouble::Unresponsive,
            turned_away: BTreeSet::new(),
        }
    }

    /// Lets each living host decide once. Returns those that read the store, and those that learn of changes.
    fn round(&mut self, now: SteadyMs) -> (BTreeSet<String>, BTreeSet<String>) {
        let mut reads = BTreeSet::new();
        let names: Vec<String> = self.selections.keys().cloned().collect();
        for name in names.iter().filter(|name| !self.dead.contains(*name)) {
            let is_followed = |(follower, followed): (&String, &Option<String>)| {
                !self.dead.contains(follower) && followed.as_ref() == Some(name)
            };
            let followers = self.following.iter().filter(|entry| is_followed(*entry)).count();
            let selection = self.selections.get_mut(name).expect("a host");
            selection.record_store("servers", !self.turned_away.contains(name));
            if let Some(Some(followed)) = self.following.get(name) {
                let trouble = if self.dead.contains(followed) {
                    Some(self.death)
                } else if self.turned_away.contains(followed) {
                    Some(Trouble::Unable)
                } else {
                    None
                };
                match trouble {
                    Some(trouble) if !selection.is_skipped(followed, now) => {
                        selection.record_trouble(followed, trouble, now);
                    }
                    Some(_) => {}
                    None => selection.record_success(followed, now),
                }
            }
            let plan = selection.plan(followers, now);
            if plan.reads_store {
                reads.insert(name.clone());
            }
            let follows = plan.follows.map(|host| host.name);
            if follows.is_some() && self.following.get(name) != Some(&follows) {
                self.changes += 1;
            }
            self.following.insert(name.clone(), follows);
        }
        let able = |name: &String| reads.contains(name) && !self.turned_away.contains(name);
        let living = names.iter().filter(|name| !self.dead.contains(*name));
        let learns = living.filter(|name| {
            let followed = self.following.get(*name).cloned().flatten();
            able(name) || followed.is_some_and(|host| !self.dead.contains(&host) && able(&host))
        });
        let learns = learns.cloned().collect();
        (reads, learns)
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) -> (BTreeSet<String>, BTreeSet<String>) {
        let mut last = (BTreeSet::new(), BTreeSet::new());
        for now_ms in (from_ms..to_ms).step_by(ROUND_MS as usize) {
            last = self.round(SteadyMs(now_ms));
        }
        last
    }

    fn living(&self) -> usize {
        self.selections.len() - self.dead.len()
    }
}

#[test]
fn readers_do_not_grow_with_the_number_of_hosts() {
    for count in [30, 100, 300, 1_000] {
        let (reads, learns) = Cluster::new(count).run(0, 2_000);
        assert_eq!(reads.len(), 10, "{count} hosts");
        assert_eq!(learns.len(), count);
    }
}

#[test]
fn readers_that_die_are_replaced_within_two_rounds() {
    let mut cluster = Cluster::new(300);
    let (reads, _) = cluster.run(0, 1_000);
    cluster.dead = reads;
    let (reads, learns) = cluster.run(1_000, 1_000 + 3 * ROUND_MS);
    assert_eq!(learns.len(), cluster.living(), "all living hosts learn of changes");
    assert!(reads.len() <= 20, "{} hosts read the store", reads.len());
}

/// The store turns away a third of the hosts, among them all that read it.
#[test]
fn readers_that_are_turned_away_are_replaced_within_a_second() {
    let mut cluster = Cluster::new(300);
    let (reads, _) = cluster.run(0, 1_000);
    cluster.turned_away = reads;
    let third = (0..300).filter(|index| index % 3 == 0);
    let names = third.map(|index| format!("{}-{index}", ["a", "b", "c", "d", "e"][index % 5]));
    cluster.turned_away.extend(names);
    let (_, learns) = cluster.run(1_000, 2_000);
    assert_eq!(learns.len(), 300, "all hosts learn of changes");
    let (reads, learns) = cluster.run(2_000, 12_000);
    assert_eq!(learns.len(), 300);
    assert!(reads.len() <= 60, "{} hosts read the store", reads.len());
}

#[test]
fn readers_stay_few_while_the_store_is_away() {
    let mut cluster = Cluster::new(300);
    cluster.run(0, 1_000);
    cluster.turned_away = cluster.selections.keys().cloned().collect();
    for now_ms in (1_000..31_000).step_by(ROUND_MS as usize) {
        let (reads, _) = cluster.round(SteadyMs(now_ms));
        assert!(reads.len() <= 60, "{} hosts read the store at {now_ms} ms", reads.len());
    }
    // Hosts once tried others all the time, 18 times a second each. One try a second is enough.
    assert!(cluster.changes <= 300 * 30, "{} changes in 30 s", cluster.changes);
    cluster.turned_away.clear();
    let (_, learns) = cluster.run(31_000, 32_000);
    assert_eq!(learns.len(), 300);
}

/// Interval between two tries of a host that finds no other, in milliseconds.
const TRY_INTERVAL_MS: u64 = 75;

/// All processes are killed at once and listen again at different times. If each host found the readers missing and read
/// the store by itself, 300 lists of 3,000 servers would take the store seconds.
#[test]
fn readers_stay_few_when_all_hosts_restart() {
    let mut cluster = Cluster::new(300);
    let mut starts: Vec<(String, u64)> = cluster
        .selections
        .keys()
        .enumerate()
        .map(|(index, name)| (name.clone(), (index as u64 * 7_919) % 600))
        .collect();
    starts.sort_by_key(|(_, start_ms)| *start_ms);
    cluster.dead = cluster.selections.keys().cloned().collect();
    cluster.death = Trouble::Stopped;
    let mut have_read = BTreeSet::new();
    for now_ms in (0..3_000).step_by(TRY_INTERVAL_MS as usize) {
        for (name, _) in starts.iter().filter(|(_, start_ms)| *start_ms <= now_ms) {
            cluster.dead.remove(name);
        }
        let (reads, learns) = cluster.round(SteadyMs(now_ms));
        have_read.extend(reads);
        if now_ms >= 1_500 {
            assert_eq!(learns.len(), 300, "at {now_ms} ms");
        }
    }
    assert!(have_read.len() <= 60, "{} hosts have read the store", have_read.len());
}
