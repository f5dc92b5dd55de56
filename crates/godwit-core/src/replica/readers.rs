//! Selection of the hosts that read the platform's store for their failure domain.
//!
//! The first hosts of a domain by capacity read the store; the others follow one of them. Those that read it also follow
//! the first, which asks for confirmations on behalf of all. There is no election: each host ranks the hosts by itself and
//! skips those with which it had trouble lately. A host that is followed reads the store, whatever its own rank says, so
//! that hosts that disagree only cost calls to the store. A host that relies on none that it follows asks the store itself
//! meanwhile, as [`Fallback`] decides.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::SteadyMs;
use crate::rendezvous::weight;
use crate::replica::{AgeLimits, ConfirmationPace, Fallback, FallbackLimits};
use crate::site::PeerHost;

/// Number of hosts of a domain that cannot read the store after which no further host of the domain is tried: the store
/// is then probably away for all of them.
const MAX_UNABLE_PER_DOMAIN: usize = 4;

/// Number of hosts that cannot read the store after which others are tried one at a time.
const MANY_UNABLE: usize = 6;

/// Number of hosts that have responded lately and cannot read the store from which on it may be away for all.
const DOUBTED_BY: usize = 2;

/// Time for which such a response counts, in milliseconds.
const DOUBT_MS: u64 = 4_000;

/// Limits of a [`ReaderSelection`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReaderLimits {
    /// Number of hosts of each domain that read the store.
    pub readers_per_domain: usize,
    /// How long hosts are skipped whose process does not run.
    pub stopped: SkipLimits,
    /// How long unresponsive hosts are skipped.
    pub unresponsive: SkipLimits,
    /// How long hosts are skipped that cannot read the store.
    pub unable: SkipLimits,
    /// Time after which a host that follows another than its rank tells follows its rank again, in milliseconds.
    pub reselect_ms: u64,
    /// Age of the confirmations of a followed host at which it is left.
    pub confirmation_age: AgeLimits,
    /// When this host asks the store while it relies on none that it follows.
    pub fallback: FallbackLimits,
}

impl ReaderLimits {
    /// Limits of hosts, at sites of any size.
    pub const DEFAULT: ReaderLimits = ReaderLimits {
        readers_per_domain: 2,
        stopped: SkipLimits { first_ms: 250, max_ms: 30_000 },
        unresponsive: SkipLimits { first_ms: 2_000, max_ms: 30_000 },
        unable: SkipLimits { first_ms: 2_000, max_ms: 8_000 },
        reselect_ms: 30_000,
        confirmation_age: AgeLimits { min_ms: 1_250, max_ms: 3_000 },
        fallback: FallbackLimits {
            silence_ms: 500,
            overdue_ms: 200,
            spread_ms: 250,
            offer_ms: 150,
            interval_ms: 1_000,
            max_doubtful_calls: 8,
        },
    };
}

/// Times for which a host is skipped after trouble.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SkipLimits {
    /// Time after the first trouble, in milliseconds; doubled for each time that the trouble stays.
    pub first_ms: u64,
    /// Upper bound of the doubled time, in milliseconds.
    pub max_ms: u64,
}

/// Why a host is not followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Its process does not run, and may start again in a moment.
    Stopped,
    /// It could not be connected to, or was silent.
    Unresponsive,
    /// It responds, but cannot read the store, or knows less than others.
    Unable,
}

#[derive(Clone, Copy, Debug)]
struct Skip {
    trouble: Trouble,
    at: SteadyMs,
    until: SteadyMs,
    times: u32,
}

/// The host that another one follows.
#[derive(Clone, Debug)]
struct Followed {
    name: String,
    since: SteadyMs,
    /// Whether it has passed on what it reads from the store.
    passes_on: bool,
}

/// Call to the store of a host that relies on none that it follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FallbackCall {
    /// Whether other hosts respond but cannot read the store, so that it may be away.
    pub doubts_store: bool,
}

/// What an offer of copies means to the host that receives it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OfferReceipt {
    /// Whether no other offer came lately.
    pub is_news: bool,
    /// Whether this host has none to rely on, and may follow the one that offers.
    pub is_wanted: bool,
}

/// What a host does to learn of changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadPlan {
    /// Whether it reads the store.
    pub reads_store: bool,
    /// Host that it follows.
    pub follows: Option<PeerHost>,
}

/// Sorts the hosts of a failure domain in the order in which they are to read the store: by capacity, then by a hash that
/// differs between domains.
///
/// ```
/// use godwit_core::replica::sort_readers;
/// use godwit_core::site::PeerHost;
/// let host = |name: &str, capacity| PeerHost {
///     name: name.to_string(), failure_domain: "a".to_string(), address: ([10, 0, 0, 1], 7_341).into(), capacity,
/// };
/// let mut hosts = vec![host("h-1", 20), host("h-2", 200)];
/// sort_readers(&mut hosts);
/// assert_eq!(hosts[0].name, "h-2");
/// ```
pub fn sort_readers(hosts: &mut [PeerHost]) {
    hosts.sort_by_cached_key(|host| {
        let weight = weight(&host.failure_domain, &host.name);
        (Reverse(host.capacity), Reverse(weight), host.name.clone())
    });
}

/// Selects whether this host reads the store, and which host it follows.
#[derive(Debug)]
pub struct ReaderSelection {
    own_name: String,
    own_domain: String,
    own_capacity: u32,
    limits: ReaderLimits,
    /// Hosts of each domain in their order, including this one, whose address is never used.
    ranked: BTreeMap<String, Vec<PeerHost>>,
    skips: BTreeMap<String, Skip>,
    /// Kinds of objects that this host cannot read from the store.
    lost_kinds: BTreeSet<String>,
    current: Option<Followed>,
    /// Time of the last message of a followed host.
    heard_at: Option<SteadyMs>,
    pace: ConfirmationPace,
    fallback: Fallback,
    /// Whether the last plan was to read the store.
    reads_store: bool,
    /// Time until which no other host is tried, because many cannot read the store.
    tries_again_at: SteadyMs,
}

impl ReaderSelection {
    /// Creates a selection without other hosts: this host reads the store.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::replica::{ReaderLimits, ReaderSelection};
    /// let mut selection = ReaderSelection::new("h-1", "a", 20, ReaderLimits::DEFAULT);
    /// assert!(selection.plan(0, SteadyMs(0)).reads_store);
    /// ```
    pub fn new(
        own_name: &str,
        own_domain: &str,
        own_capacity: u32,
        limits: ReaderLimits,
    ) -> ReaderSelection {
        ReaderSelection {
            own_name: own_name.to_string(),
            own_domain: own_domain.to_string(),
            own_capacity,
            limits,
            ranked: BTreeMap::new(),
            skips: BTreeMap::new(),
            lost_kinds: BTreeSet::new(),
            current: None,
            heard_at: None,
            pace: ConfirmationPace::new(limits.confirmation_age),
            fallback: Fallback::new(limits.fallback),
            reads_store: false,
            tries_again_at: SteadyMs(0),
        }
    }

    /// Replaces the list of hosts, with or without this one.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost>) {
        let own = PeerHost {
            name: self.own_name.clone(),
            failure_domain: self.own_domain.clone(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            capacity: self.own_capacity,
        };
        let others = hosts.into_iter().filter(|host| host.name != self.own_name);
        let mut ranked: BTreeMap<String, Vec<PeerHost>> = BTreeMap::new();
        for host in others.chain([own]) {
            ranked.entry(host.failure_domain.clone()).or_default().push(host);
        }
        ranked.values_mut().for_each(|hosts| sort_readers(hosts));
        self.ranked = ranked;
    }

    /// Records whether this host can read the objects of a kind from the store. Returns whether that has changed.
    pub fn record_store(&mut self, kind: &str, is_readable: bool) -> bool {
        if is_readable {
            self.lost_kinds.remove(kind)
        } else {
            self.lost_kinds.insert(kind.to_string())
        }
    }

    /// Whether this host cannot read the objects of a kind from the store.
    pub fn is_kind_lost(&self, kind: &str) -> bool {
        self.lost_kinds.contains(kind)
    }

    /// Whether no call of this host to the store has failed since the last successful one.
    pub fn can_read_store(&self) -> bool {
        self.lost_kinds.is_empty()
    }

    /// Whether objects of another kind, which come first by name, cannot be read from the store either. A call for those
    /// tells whether the store is back for all.
    pub fn is_other_kind_lost(&self, kind: &str) -> bool {
        self.lost_kinds.first().is_some_and(|first| first != kind)
    }

    /// Records trouble with a host, which is then skipped for a time.
    pub fn record_trouble(&mut self, name: &str, trouble: Trouble, now: SteadyMs) {
        let known = self.skips.get(name).filter(|skip| skip.trouble == trouble);
        let times = known.map_or(0, |skip| skip.times + 1);
        let limits = match trouble {
            Trouble::Stopped => self.limits.stopped,
            Trouble::Unresponsive => self.limits.unresponsive,
            Trouble::Unable => self.limits.unable,
        };
        let skip_ms = (limits.first_ms << times.min(8)).min(limits.max_ms);
        let until = now.plus_ms(skip_ms);
        self.skips.insert(name.to_string(), Skip { trouble, at: now, until, times });
        let is_unable = |skip: &&Skip| skip.trouble == Trouble::Unable;
        if self.skips.values().filter(is_unable).count() >= MANY_UNABLE {
            self.tries_again_at = now.plus_ms(self.limits.unable.first_ms);
        }
    }

    /// Records a message of the followed host, whatever it says.
    pub fn record_message(&mut self, now: SteadyMs) {
        self.heard_at = Some(now);
    }

    /// Records that the connection to another host to follow begins.
    pub fn begin_follow(&mut self) {
        self.pace.restart();
    }

    /// Records as of when the followed host holds all kinds at a time, both on its clock.
    pub fn record_confirmations(&mut self, confirmed_at: SteadyMs, now_there: SteadyMs) {
        self.pace.record_status(confirmed_at, now_there);
    }

    /// Returns the age of its confirmations from which on a followed host is left, in milliseconds.
    pub fn max_confirmation_age_ms(&self) -> u64 {
        self.pace.max_age_ms()
    }

    /// Returns when a followed host was last heard from.
    pub fn heard_at(&self) -> Option<SteadyMs> {
        self.heard_at
    }

    /// Returns the host that this one follows, by the last plan.
    pub fn followed(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.name.as_str())
    }

    /// Records that a host passes on what it reads from the store.
    pub fn record_success(&mut self, name: &str, now: SteadyMs) {
        self.skips.remove(name);
        self.fallback.record_confirming_message(now);
        if let Some(current) = self.current.as_mut().filter(|current| current.name == name) {
            current.passes_on = true;
        }
    }

    /// Returns what to do at `now`, while `followers` hosts follow this one. A host that reads the store goes on until the
    /// host that it follows passes on what that one reads.
    pub fn plan(&mut self, followers: usize, now: SteadyMs) -> ReadPlan {
        let own_domain = self.own_domain.clone();
        let designated = self.designated(&own_domain, self.limits.readers_per_domain, now);
        let is_designated = designated.iter().any(|host| host.name == self.own_name);
        let reads_store = followers > 0 || is_designated;
        if reads_store && self.can_read_store() {
            self.fallback.end_gap();
            self.current = None;
            self.reads_store = true;
            // It has its own copies, and need not ask for confirmations that the first one has.
            let first = designated.into_iter().next();
            let follows = first.filter(|first| first.name != self.own_name);
            return ReadPlan { reads_store, follows };
        }
        let follows = self.choose(designated, now);
        let known = self.current.take();
        self.current = follows.as_ref().map(|host| {
            known.filter(|known| known.name == host.name).unwrap_or_else(|| Followed {
                name: host.name.clone(),
                since: now,
                passes_on: false,
            })
        });
        let is_informed = self.current.as_ref().is_some_and(|current| current.passes_on);
        let goes_on = self.reads_store && self.can_read_store() && !is_informed;
        self.reads_store = reads_store || follows.is_none() || goes_on;
        ReadPlan { reads_store: self.reads_store, follows }
    }

    /// Returns when this host is to ask the store itself, or when that is to be determined again. `confirmed_at` is the
    /// time as of which all kinds are confirmed, `draw` a random number from 0 to 1.
    pub fn fallback_call_at(
        &mut self,
        confirmed_at: Option<SteadyMs>,
        draw: f64,
        now: SteadyMs,
    ) -> SteadyMs {
        let later = now.plus_ms(self.limits.fallback.silence_ms);
        if self.reads_store && self.can_read_store() {
            self.fallback.end_gap();
            return later;
        }
        let domain_hosts = self.domain_hosts();
        let max_age_ms = self.max_confirmation_age_ms() + self.limits.fallback.overdue_ms;
        let too_old_at = confirmed_at.map(|at| at.plus_ms(max_age_ms));
        let call_at = self.fallback.next_call_at(too_old_at, domain_hosts, draw, now);
        // A host that reads the store without success calls it anyway.
        if self.reads_store { later } else { call_at }
    }

    /// Begins the call of this host to the store that is due. None if it is not to be made.
    pub fn begin_fallback_call(&mut self, now: SteadyMs) -> Option<FallbackCall> {
        let doubts_store = self.doubts_store(now);
        let is_made = self.fallback.begin_call(doubts_store, self.domain_hosts(), now);
        is_made.then_some(FallbackCall { doubts_store })
    }

    /// Records that a call of this host has failed.
    pub fn record_fallback_failure(&mut self, call: FallbackCall, now: SteadyMs) {
        self.fallback.record_failure(call.doubts_store, now);
    }

    /// Records that another host calls the store although it doubts that this can be read.
    pub fn record_doubtful_call(&mut self, now: SteadyMs) {
        self.fallback.record_doubtful_call(now);
    }

    /// Reads the store from now on, until a followed host passes on what it reads.
    pub fn begin_reading(&mut self) {
        self.reads_store = true;
        if let Some(current) = &mut self.current {
            current.passes_on = false;
        }
    }

    /// Whether this host is to offer its copies after it has asked the store itself: once in each time without a host to
    /// rely on.
    pub fn begin_offer(&mut self) -> bool {
        !self.reads_store && self.fallback.begin_offer()
    }

    fn domain_hosts(&self) -> usize {
        self.ranked.get(&self.own_domain).map_or(1, Vec::len)
    }

    /// Returns the names of the other hosts of this host's domain.
    pub fn domain_peers(&self) -> Vec<&str> {
        let hosts = self.ranked.get(&self.own_domain).into_iter().flatten();
        hosts.map(|host| host.name.as_str()).filter(|name| *name != self.own_name).collect()
    }

    /// Records that another host of this host's domain offers its copies. An offer of any other host has no effect.
    pub fn record_offer(&mut self, host: &str, now: SteadyMs) -> OfferReceipt {
        let is_known = self.domain_peers().contains(&host);
        let is_news = is_known && self.fallback.record_offer(host, now);
        if is_news {
            // It runs and reads the store now, whatever was known of it.
            self.skips.remove(host);
        }
        OfferReceipt { is_news, is_wanted: self.fallback.is_in_gap() }
    }

    /// Whether hosts have responded lately that cannot read the store, so that it may be away for all.
    fn doubts_store(&self, now: SteadyMs) -> bool {
        let is_recent = |skip: &&Skip| {
            skip.trouble == Trouble::Unable && !skip.at.plus_ms(DOUBT_MS).is_past(now)
        };
        let others = self.ranked.values().map(Vec::len).sum::<usize>().saturating_sub(1);
        let unable = self.skips.values().filter(is_recent).count();
        unable > 0 && unable >= DOUBTED_BY.min(others)
    }

    /// Returns the host that offers its copies while this host relies on none.
    fn offered(&self, now: SteadyMs) -> Option<PeerHost> {
        let name = self.fallback.offered_host(now).filter(|_| self.fallback.is_in_gap())?;
        let mut hosts = self.ranked.values().flatten();
        let is_usable = name != self.own_name && !self.is_skipped(name, now);
        hosts.find(|host| is_usable && host.name == name).cloned()
    }

    /// Whether a host is skipped because of trouble.
    pub fn is_skipped(&self, name: &str, now: SteadyMs) -> bool {
        self.skipped_for(name, now).is_some()
    }

    /// Returns the trouble because of which a host is skipped.
    fn skipped_for(&self, name: &str, now: SteadyMs) -> Option<Trouble> {
        let skip = self.skips.get(name).filter(|skip| !skip.until.is_past(now));
        skip.map(|skip| skip.trouble)
    }

    /// Returns the first hosts of a domain that are not skipped. This host counts even if it cannot read the store, so
    /// that it tries again.
    fn designated(&self, domain: &str, count: usize, now: SteadyMs) -> Vec<PeerHost> {
        let mut unable = 0;
        let mut designated = Vec::new();
        for host in self.ranked.get(domain).into_iter().flatten() {
            match self.skipped_for(&host.name, now) {
                None => designated.push(host.clone()),
                Some(Trouble::Unable) => unable += 1,
                Some(Trouble::Stopped | Trouble::Unresponsive) => {}
            }
            if designated.len() == count || unable == MAX_UNABLE_PER_DOMAIN {
                break;
            }
        }
        designated
    }

    /// Returns the host to follow: one that offers its copies, the current one for some time, one that is designated in this
    /// host's domain, the first of another domain, or one that could not read the store. None if no host responds.
    fn choose(&self, designated: Vec<PeerHost>, now: SteadyMs) -> Option<PeerHost> {
        if let Some(offered) = self.offered(now) {
            return Some(offered);
        }
        let all = || self.ranked.values().flatten().filter(|host| host.name != self.own_name);
        let current = self.current.as_ref();
        let kept = current.filter(|current| {
            let reselects_at = current.since.plus_ms(self.limits.reselect_ms);
            !self.is_skipped(&current.name, now) && !reselects_at.is_past(now)
        });
        let kept = kept.and_then(|current| all().find(|host| host.name == current.name));
        if kept.is_some() {
            return kept.cloned();
        }
        let is_current = |host: &&PeerHost| current.is_some_and(|known| known.name == host.name);
        let responds = |host: &&PeerHost| {
            self.skips.get(&host.name).is_some_and(|skip| skip.trouble == Trouble::Unable)
        };
        if !self.tries_again_at.is_past(now)
            && let Some(host) = all().filter(responds).find(is_current)
        {
            return Some(host.clone());
        }
        let spread = |host: &PeerHost| weight(&self.own_name, &host.name);
        let own_domain = designated.into_iter().filter(|host| host.name != self.own_name);
        if let Some(host) = own_domain.max_by_key(spread) {
            return Some(host);
        }
        let other_domains = self.ranked.keys().filter(|domain| **domain != self.own_domain);
        let firsts = other_domains.flat_map(|domain| self.designated(domain, 1, now));
        if let Some(host) = firsts.max_by_key(spread) {
            return Some(host);
        }
        let mut responding: Vec<&PeerHost> = all().filter(responds).collect();
        responding.sort_by_key(|host| (!is_current(host), self.skips[&host.name].until));
        responding.first().map(|host| (*host).clone())
    }
}
