//! Hosts of a failure domain that learn of a change although any number of hosts is silent, in steps of a tick.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use godwit_core::SteadyMs;
use godwit_core::replica::{
    ConfirmationPace, Fallback, FallbackLimits, MAX_NOTIFIED_HOSTS, ReaderLimits, ReaderSelection,
    Trouble, sort_readers,
};
use godwit_core::site::PeerHost;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};

const FALLBACK: FallbackLimits = LIMITS.fallback;

const LIMITS: ReaderLimits = ReaderLimits::DEFAULT;

/// Time within which hosts use a new configuration: the `ConfigApplyMs` of the smallest sites.
const APPLY_MS: u64 = 2_000;

const TICK_MS: u64 = 10;
/// Time from the start of a follow to the first message, and between two messages.
const FIRST_MESSAGE_MS: u64 = 10;
const MESSAGE_INTERVAL_MS: u64 = 250;
/// Time without a message after which a followed host is left.
const SILENCE_MS: u64 = 800;
/// Age of confirmations at which a reader asks anew.
const CONFIRMATION_MS: u64 = 1_000;
/// Time after which a reader gives up a call to the store.
const GIVE_UP_MS: u64 = 1_200;
/// Number of hosts to which a host of a larger domain passes an offer on.
const PASSED_ON_OFFERS: usize = 16;

/// When the fault begins, and how long it lasts.
const FAULT_AT_MS: u64 = 3_000;
const FAULT_MS: u64 = 6_000;

/// Numbers of hosts of sites, each with its number of failure domains.
const SITES: [(usize, usize); 4] = [(9, 3), (79, 3), (295, 5), (1_000, 5)];

/// Calls to the store of a domain in which one host reads for the others, for each second: the calls of two readers, and of a
/// host that asks until it follows one of them.
const CALLS_PER_S: u64 = 3;

/// Further calls at the beginning of a fault, of hosts that ask before they hear of each other.
const FIRST_CALLS: u64 = 12;

/// Calls of a domain to a store that is away: in each interval those of doubtful hosts, and as many again that begin before
/// they hear of each other.
const CALLS_WHILE_AWAY: u64 =
    2 * FALLBACK.max_doubtful_calls as u64 * FAULT_MS / FALLBACK.interval_ms;

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The first hosts of a domain in the order of readers are frozen.
    FirstFrozen(usize),
    /// All hosts of a domain but so many are frozen.
    AllFrozenBut(usize),
    /// A share of the hosts of a domain, drawn from a seed, is frozen.
    ShareFrozen(f64),
    /// The hosts of a domain reach the store only.
    Partitioned,
    /// The readers of a domain run, but cannot reach the store.
    ReadersWithoutStore,
    /// The readers of a domain run, but cannot reach the store; of the others of the domain a share is frozen, and none reaches
    /// another domain.
    ReadersWithoutStoreOthersFrozen(f64),
    /// A share of the hosts of a domain cannot reach the store, and none of them another domain.
    ShareWithoutStore(f64),
}

#[derive(Clone, Copy, Debug)]
struct Copy {
    version: u64,
    confirmed_at_ms: u64,
}

struct Follow {
    host: String,
    heard_at_ms: u64,
    next_message_at_ms: u64,
    is_connected: bool,
}

struct Node {
    selection: ReaderSelection,
    copy: Copy,
    follow: Option<Follow>,
    /// When the call to the store is answered that is under way.
    answer_at_ms: Option<u64>,
    calls: u64,
}

/// The hosts of the first domain of a site, beside the first hosts of other domains, which always hold everything.
struct Domain {
    nodes: BTreeMap<String, Node>,
    order: Vec<String>,
    frozen: BTreeSet<String>,
    cut_from_store: BTreeSet<String>,
    is_partitioned: bool,
    is_domain_cut_off: bool,
    /// Offers under way: who gets one, and whose it is.
    offers: Vec<(String, String)>,
    version: u64,
    rng: SmallRng,
}

fn host(domain: usize, index: usize) -> PeerHost {
    let failure_domain = format!("domain-{domain}");
    let address = SocketAddr::from(([10, 0, 0, 1], 7_341));
    let capacity = if index < 2 { 200 } else { 20 };
    PeerHost { name: format!("{failure_domain}-{index}"), failure_domain, address, capacity }
}

impl Domain {
    fn new(hosts: usize, domains: usize, seed: u64) -> Domain {
        let all: Vec<PeerHost> =
            (0..hosts).map(|index| host(index % domains, index / domains)).collect();
        let mut own: Vec<PeerHost> =
            all.iter().filter(|it| it.failure_domain == "domain-0").cloned().collect();
        sort_readers(&mut own);
        let nodes = own.iter().map(|it| {
            let (name, domain) = (&it.name, &it.failure_domain);
            let mut selection = ReaderSelection::new(name, domain, it.capacity, LIMITS);
            selection.set_hosts(all.clone());
            let copy = Copy { version: 0, confirmed_at_ms: 0 };
            let node = Node { selection, copy, follow: None, answer_at_ms: None, calls: 0 };
            (it.name.clone(), node)
        });
        Domain {
            nodes: nodes.collect(),
            order: own.iter().map(|it| it.name.clone()).collect(),
            frozen: BTreeSet::new(),
            cut_from_store: BTreeSet::new(),
            is_partitioned: false,
            is_domain_cut_off: false,
            offers: Vec::new(),
            version: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn begin(&mut self, fault: Fault) {
        let count = self.order.len();
        let frozen: Vec<String> = match fault {
            Fault::FirstFrozen(first) => self.order.iter().take(first).cloned().collect(),
            Fault::AllFrozenBut(others) => {
                self.order.iter().take(count - others).cloned().collect()
            }
            Fault::ShareFrozen(share) => {
                let mut names = self.order.clone();
                names.shuffle(&mut self.rng);
                names.into_iter().take((count as f64 * share) as usize).collect()
            }
            Fault::Partitioned => {
                self.is_partitioned = true;
                Vec::new()
            }
            Fault::ReadersWithoutStore => {
                self.cut_from_store = self.order.iter().take(2).cloned().collect();
                Vec::new()
            }
            Fault::ReadersWithoutStoreOthersFrozen(share) => {
                let (readers, others) = self.order.split_at(2);
                self.cut_from_store = readers.iter().cloned().collect();
                self.is_domain_cut_off = true;
                let frozen = (others.len() as f64 * share) as usize;
                others.iter().take(frozen).cloned().collect()
            }
            Fault::ShareWithoutStore(share) => {
                let mut names = self.order.clone();
                names.shuffle(&mut self.rng);
                names.truncate((count as f64 * share).ceil() as usize);
                self.cut_from_store = names.into_iter().collect();
                self.is_domain_cut_off = true;
                Vec::new()
            }
        };
        self.frozen = frozen.into_iter().collect();
    }

    fn running(&self) -> Vec<String> {
        self.order.iter().filter(|name| !self.frozen.contains(*name)).cloned().collect()
    }

    /// Returns the hosts that run and reach the store.
    fn in_touch(&self) -> Vec<String> {
        let mut names = self.running();
        names.retain(|name| !self.cut_from_store.contains(name));
        names
    }

    fn followers(&self) -> BTreeMap<String, usize> {
        let mut followers = BTreeMap::new();
        let running = self.nodes.iter().filter(|(name, _)| !self.frozen.contains(*name));
        let follows = running.filter_map(|(_, node)| node.follow.as_ref());
        let connected = follows.filter(|follow| follow.is_connected && !self.is_partitioned);
        connected.for_each(|follow| *followers.entry(follow.host.clone()).or_insert(0) += 1);
        followers
    }

    fn send_offers(&mut self, names: Vec<String>, of: &str, count: usize) {
        let arrives = |name: &String| !self.is_partitioned && !self.frozen.contains(name);
        let names = names.into_iter().choose_multiple(&mut self.rng, count);
        let offers = names.into_iter().filter(arrives).map(|name| (name, of.to_string()));
        self.offers.extend(offers);
    }

    fn deliver_offers(&mut self, now_ms: u64) {
        for (name, of) in std::mem::take(&mut self.offers) {
            let node = self.nodes.get_mut(&name).expect("a host of the domain");
            let receipt = node.selection.record_offer(&of, SteadyMs(now_ms));
            if receipt.is_news && self.order.len() > MAX_NOTIFIED_HOSTS {
                let others = node.selection.domain_peers();
                let others = others.into_iter().map(str::to_string).collect();
                self.send_offers(others, &of, PASSED_ON_OFFERS);
            }
        }
    }

    /// Returns what a followed host holds, if its messages arrive.
    fn message_of(&self, name: &str, now_ms: u64) -> Option<Copy> {
        if self.is_partitioned || self.frozen.contains(name) {
            return None;
        }
        let remote = Copy { version: self.version, confirmed_at_ms: now_ms };
        match self.nodes.get(name) {
            Some(node) => Some(node.copy),
            None => Some(remote).filter(|_| !self.is_domain_cut_off),
        }
    }

    fn step(&mut self, name: &str, followers: usize, now_ms: u64) {
        let now = SteadyMs(now_ms);
        let draw = self.rng.random();
        let node = self.nodes.get_mut(name).expect("a host of the domain");
        let plan = node.selection.plan(followers, now);
        let next = plan.follows.map(|host| host.name);
        if node.follow.as_ref().map(|follow| &follow.host) != next.as_ref() {
            node.selection.begin_follow();
            node.follow = next.map(|host| Follow {
                host,
                heard_at_ms: now_ms,
                next_message_at_ms: now_ms + FIRST_MESSAGE_MS,
                is_connected: false,
            });
        }
        let reaches_store = !self.cut_from_store.contains(name);
        if plan.reads_store && reaches_store {
            // Its watches bring changes at once.
            node.copy.version = self.version;
            if now_ms - node.copy.confirmed_at_ms >= CONFIRMATION_MS {
                node.copy.confirmed_at_ms = now_ms;
                node.calls += 1;
            }
        }
        if plan.reads_store {
            let unanswered_ms = now_ms - node.copy.confirmed_at_ms;
            let is_readable = reaches_store || unanswered_ms < CONFIRMATION_MS + GIVE_UP_MS;
            node.selection.record_store("config", is_readable);
        }
        let confirmed_at = Some(SteadyMs(node.copy.confirmed_at_ms));
        let mut doubts_store = false;
        if node.selection.fallback_call_at(confirmed_at, draw, now).is_past(now)
            && let Some(call) = node.selection.begin_fallback_call(now)
        {
            doubts_store = call.doubts_store;
            node.calls += 1;
            node.answer_at_ms = reaches_store.then_some(now_ms + FIRST_MESSAGE_MS);
            if !reaches_store {
                node.selection.record_fallback_failure(call, now);
            }
        }
        if node.answer_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            node.answer_at_ms = None;
            node.copy = Copy { version: self.version, confirmed_at_ms: now_ms };
            if node.selection.begin_offer() {
                let others = node.selection.domain_peers().into_iter().map(str::to_string);
                let others = others.collect();
                self.send_offers(others, name, MAX_NOTIFIED_HOSTS);
            }
        }
        if doubts_store {
            let others = self.running().into_iter().filter(|other| other != name);
            for other in others.choose_multiple(&mut self.rng, MAX_NOTIFIED_HOSTS) {
                let node = self.nodes.get_mut(&other).expect("a host of the domain");
                node.selection.record_doubtful_call(now);
            }
        }
        self.receive(name, now_ms);
    }

    /// Takes the message of the followed host that is due, or leaves that host if it is silent.
    fn receive(&mut self, name: &str, now_ms: u64) {
        let now = SteadyMs(now_ms);
        let Some(follow) = &self.nodes[name].follow else { return };
        let message = self.message_of(&follow.host, now_ms);
        let node = self.nodes.get_mut(name).expect("a host of the domain");
        let Some(follow) = &mut node.follow else { return };
        match message {
            Some(copy) if follow.next_message_at_ms <= now_ms => {
                follow.is_connected = true;
                follow.heard_at_ms = now_ms;
                follow.next_message_at_ms = now_ms + MESSAGE_INTERVAL_MS;
                node.selection.record_message(now);
                node.copy.version = node.copy.version.max(copy.version);
                node.selection.record_confirmations(SteadyMs(copy.confirmed_at_ms), now);
                let max_age_ms = node.selection.max_confirmation_age_ms();
                if now_ms - copy.confirmed_at_ms <= max_age_ms {
                    node.copy.confirmed_at_ms = node.copy.confirmed_at_ms.max(copy.confirmed_at_ms);
                    node.selection.record_success(&follow.host, now);
                } else {
                    node.selection.record_trouble(&follow.host, Trouble::Unable, now);
                }
            }
            Some(_) => {}
            None if now_ms - follow.heard_at_ms >= SILENCE_MS => {
                node.selection.record_trouble(&follow.host, Trouble::Unresponsive, now);
                node.follow = None;
            }
            None => {}
        }
    }

    fn total_calls(&self) -> u64 {
        self.nodes.values().map(|node| node.calls).sum()
    }
}

/// What a fault costs.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest time from a change to its use at all running hosts, in milliseconds.
    slowest_ms: u64,
    /// Longest time for which a running host was not confirmed, in milliseconds.
    oldest_ms: u64,
    /// Calls of the domain to the store, and of the host with the most.
    calls: u64,
    most_calls: u64,
}

fn play(hosts: usize, domains: usize, fault: Fault, seed: u64) -> Outcome {
    let mut domain = Domain::new(hosts, domains, seed);
    // The phases of the readers' calls and of the messages differ between seeds.
    let fault_at_ms = FAULT_AT_MS + seed * 130;
    let mut outcome = Outcome::default();
    let mut changed_at_ms = 0;
    let mut before = BTreeMap::new();
    for now_ms in (0..fault_at_ms + FAULT_MS).step_by(TICK_MS as usize) {
        if now_ms == fault_at_ms {
            domain.begin(fault);
            before = domain.nodes.iter().map(|(name, node)| (name.clone(), node.calls)).collect();
        }
        let is_used = |domain: &Domain| {
            let mut names = domain.in_touch().into_iter();
            names.all(|name| domain.nodes[&name].copy.version == domain.version)
        };
        // The next change comes when all use the last one.
        if now_ms >= fault_at_ms && is_used(&domain) {
            domain.version += 1;
            changed_at_ms = now_ms;
        }
        domain.deliver_offers(now_ms);
        let followers = domain.followers();
        for name in domain.running() {
            domain.step(&name, followers.get(&name).copied().unwrap_or(0), now_ms);
        }
        if now_ms >= fault_at_ms {
            outcome.slowest_ms = outcome.slowest_ms.max(now_ms - changed_at_ms);
            let ages_ms = domain.in_touch().into_iter();
            let ages_ms = ages_ms.map(|name| now_ms - domain.nodes[&name].copy.confirmed_at_ms);
            outcome.oldest_ms = outcome.oldest_ms.max(ages_ms.max().unwrap_or(0));
        }
    }
    let calls = domain.nodes.iter().map(|(name, node)| node.calls - before[name]);
    outcome.most_calls = calls.max().unwrap_or(0);
    outcome.calls = domain.total_calls() - before.values().sum::<u64>();
    outcome
}

fn assert_bounds(fault: impl Fn(usize) -> Fault, max_calls: impl Fn(usize) -> u64) {
    for (hosts, domains) in SITES {
        let domain_hosts = hosts.div_ceil(domains);
        let fault = fault(domain_hosts);
        for seed in 0..3 {
            let outcome = play(hosts, domains, fault, seed);
            println!("{hosts} hosts, {fault:?}, seed {seed}: {outcome:?}");
            let context = format!("{hosts} hosts, {fault:?}, seed {seed}: {outcome:?}");
            assert!(outcome.slowest_ms <= APPLY_MS, "{context}");
            assert!(outcome.oldest_ms <= APPLY_MS, "{context}");
            let max_calls = max_calls(domain_hosts);
            assert!(outcome.calls <= max_calls, "more than {max_calls}: {context}");
            let most_calls = FAULT_MS / CONFIRMATION_MS + 3;
            assert!(outcome.most_calls <= most_calls, "more than {most_calls}: {context}");
        }
    }
}

/// The calls of a domain with a reader, however many hosts it has.
fn calls_with_reader(_: usize) -> u64 {
    CALLS_PER_S * FAULT_MS / 1_000 + FIRST_CALLS
}

#[test]
fn change_is_used_in_time_while_the_readers_are_frozen() {
    assert_bounds(|_| Fault::FirstFrozen(2), calls_with_reader);
}

#[test]
fn change_is_used_in_time_while_most_first_hosts_are_frozen() {
    assert_bounds(|hosts| Fault::FirstFrozen(hosts * 4 / 5), calls_with_reader);
}

#[test]
fn change_is_used_in_time_while_a_third_of_the_hosts_is_frozen() {
    assert_bounds(|_| Fault::ShareFrozen(0.3), calls_with_reader);
}

#[test]
fn change_is_used_in_time_while_most_hosts_are_frozen() {
    assert_bounds(|_| Fault::ShareFrozen(0.8), calls_with_reader);
}

#[test]
fn change_is_used_in_time_while_all_hosts_but_one_are_frozen() {
    assert_bounds(|_| Fault::AllFrozenBut(1), calls_with_reader);
}

#[test]
fn change_is_used_in_time_while_the_readers_lack_the_store() {
    assert_bounds(|_| Fault::ReadersWithoutStore, calls_with_reader);
}

/// Hosts that respond but cannot read the store look as if it were away.
#[test]
fn change_is_used_in_time_while_most_hosts_lack_the_store() {
    assert_bounds(|_| Fault::ShareWithoutStore(0.6), calls_with_reader);
}

#[test]
fn change_is_used_in_time_while_the_readers_lack_the_store_and_others_are_frozen() {
    assert_bounds(|_| Fault::ReadersWithoutStoreOthersFrozen(0.7), calls_with_reader);
}

/// A store that is away for all is not called by all.
#[test]
fn calls_to_a_store_that_is_away_do_not_grow_with_hosts() {
    for (hosts, domains) in SITES {
        let outcome = play(hosts, domains, Fault::ShareWithoutStore(1.0), 0);
        println!("{hosts} hosts: {outcome:?}");
        assert!(outcome.calls <= CALLS_WHILE_AWAY, "{hosts} hosts: {outcome:?}");
    }
}

/// Each host can learn of changes from the store only.
#[test]
fn change_is_used_in_time_while_hosts_reach_the_store_only() {
    let calls_alone = |hosts: usize| hosts as u64 * (FAULT_MS / CONFIRMATION_MS + 3);
    assert_bounds(|_| Fault::Partitioned, calls_alone);
}

#[test]
fn next_call_at_is_put_off_by_messages() {
    let mut fallback = Fallback::new(FALLBACK);
    for now_ms in (0..10_000).step_by(250) {
        let now = SteadyMs(now_ms);
        fallback.record_confirming_message(now);
        let too_old_at = Some(SteadyMs(now_ms + 1_000));
        assert!(!fallback.next_call_at(too_old_at, 27, 0.0, now).is_past(now), "{now_ms}");
    }
}

#[test]
fn next_call_at_heeds_the_age_of_copies() {
    let mut fallback = Fallback::new(FALLBACK);
    fallback.record_confirming_message(SteadyMs(2_000));
    let too_old_at = Some(SteadyMs(2_150));
    assert_eq!(fallback.next_call_at(too_old_at, 27, 0.0, SteadyMs(2_000)), SteadyMs(2_150));
    assert_eq!(fallback.next_call_at(too_old_at, 27, 0.0, SteadyMs(2_150)), SteadyMs(2_150));
}

#[test]
fn next_call_at_is_repeated_until_a_host_is_followed() {
    let mut fallback = Fallback::new(FALLBACK);
    fallback.record_confirming_message(SteadyMs(0));
    assert_eq!(fallback.next_call_at(None, 27, 0.0, SteadyMs(600)), SteadyMs(600));
    assert!(fallback.begin_call(false, 27, SteadyMs(600)));
    // The call has confirmed everything, but nothing else will.
    let too_old_at = Some(SteadyMs(2_050));
    assert_eq!(fallback.next_call_at(too_old_at, 27, 0.0, SteadyMs(610)), SteadyMs(1_600));
    fallback.record_confirming_message(SteadyMs(700));
    assert_eq!(fallback.next_call_at(too_old_at, 27, 0.0, SteadyMs(700)), SteadyMs(1_200));
}

#[test]
fn record_offer_puts_off_the_call_once() {
    let mut fallback = Fallback::new(FALLBACK);
    fallback.record_confirming_message(SteadyMs(0));
    fallback.next_call_at(None, 27, 0.0, SteadyMs(500));
    assert!(fallback.record_offer("h-1", SteadyMs(505)));
    assert_eq!(fallback.next_call_at(None, 27, 0.0, SteadyMs(510)), SteadyMs(655));
    assert!(!fallback.record_offer("h-2", SteadyMs(600)));
    assert_eq!(fallback.next_call_at(None, 27, 0.0, SteadyMs(600)), SteadyMs(655));
    assert_eq!(fallback.offered_host(SteadyMs(600)), Some("h-1"));
    assert_eq!(fallback.offered_host(SteadyMs(1_505)), None);
}

#[test]
fn begin_offer_is_due_once_in_each_gap() {
    let mut fallback = Fallback::new(FALLBACK);
    assert!(!fallback.begin_offer());
    for gap_at_ms in [500, 5_500] {
        fallback.record_confirming_message(SteadyMs(gap_at_ms - 500));
        fallback.next_call_at(None, 27, 0.0, SteadyMs(gap_at_ms));
        assert!(fallback.begin_offer() && !fallback.begin_offer());
    }
}

#[test]
fn begin_call_is_refused_in_doubt_while_others_call() {
    let mut fallback = Fallback::new(FALLBACK);
    fallback.record_confirming_message(SteadyMs(0));
    fallback.next_call_at(None, 27, 0.0, SteadyMs(500));
    (0..20).for_each(|index| fallback.record_doubtful_call(SteadyMs(500 + index)));
    assert!(!fallback.begin_call(true, 27, SteadyMs(520)));
    assert_eq!(fallback.next_call_at(None, 27, 0.0, SteadyMs(520)), SteadyMs(2_520));
    assert!(
        fallback.begin_call(false, 27, SteadyMs(530)),
        "a silent host says nothing about the store"
    );
    assert!(fallback.begin_call(true, 27, SteadyMs(2_520)));
}

#[test]
fn record_failure_in_doubt_makes_calls_rare() {
    let mut fallback = Fallback::new(FALLBACK);
    fallback.record_confirming_message(SteadyMs(0));
    fallback.next_call_at(None, 27, 0.0, SteadyMs(500));
    let mut next_ms = |doubts| {
        fallback.record_failure(doubts, SteadyMs(1_000));
        fallback.next_call_at(None, 27, 0.0, SteadyMs(1_000)).0
    };
    assert_eq!([next_ms(true), next_ms(true), next_ms(true)], [3_000, 5_000, 5_000]);
    assert_eq!(next_ms(false), 2_000);
}

/// Returns the age at which a followed host is left whose confirmations have become so old before the next ones.
fn max_age_ms(ages_ms: &[u64]) -> u64 {
    let mut pace = ConfirmationPace::new(LIMITS.confirmation_age);
    let mut confirmed_at_ms = 0;
    pace.record_status(SteadyMs(0), SteadyMs(0));
    for age_ms in ages_ms {
        let now = SteadyMs(confirmed_at_ms + age_ms);
        confirmed_at_ms += age_ms - 10;
        pace.record_status(SteadyMs(confirmed_at_ms), now);
    }
    pace.max_age_ms()
}

#[test]
fn max_age_ms_follows_a_slow_store() {
    assert_eq!(max_age_ms(&[]), 1_250);
    assert_eq!(max_age_ms(&[1_010, 1_010, 1_010]), 1_250);
    assert_eq!(max_age_ms(&[1_010, 1_600, 1_600]), 1_840);
    assert_eq!(max_age_ms(&[1_600, 1_250, 1_600, 1_250]), 1_840);
    assert_eq!(max_age_ms(&[4_000, 4_000]), 3_000);
}

#[test]
fn max_age_ms_ignores_one_late_answer() {
    assert_eq!(max_age_ms(&[1_010, 1_010, 2_500]), 1_250);
    assert_eq!(max_age_ms(&[1_600, 1_600, 1_010, 1_010, 1_010]), 1_250);
}

/// Ages of different hosts on their clocks say nothing about one of them.
#[test]
fn max_age_ms_does_not_compare_hosts() {
    let mut pace = ConfirmationPace::new(LIMITS.confirmation_age);
    for round in 0..10 {
        pace.restart();
        pace.record_status(SteadyMs(90_000 * round), SteadyMs(90_000 * round + 10));
    }
    assert_eq!(pace.max_age_ms(), 1_250);
}
