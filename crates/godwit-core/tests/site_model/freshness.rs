//! Hosts that read versions from a store, hear of them from each other, and may have a call that hangs.

use std::marker::PhantomData;

use godwit_core::SteadyMs;
use godwit_core::site::FreshnessTracker;
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use crate::{Fuzzed, Model, fixed_cases};

const HOSTS: usize = 3;

/// By then a host must have noticed that others know more, in milliseconds: well within the time that a configuration
/// may take to apply.
const NOTICED_MS: u64 = 1_500;

#[derive(Clone, Debug)]
enum Step {
    Write,
    /// A call of a host is answered with the newest version.
    Read(usize),
    Tell {
        from: usize,
        to: usize,
    },
    Wait(u64),
}

/// What a host overlooks.
trait Fault: 'static {
    const HEARS: bool = true;
    /// What a host reads of a version.
    fn read(version: u64) -> u64 {
        version
    }
}

struct Sound;
impl Fault for Sound {}

struct Deaf;
impl Fault for Deaf {
    const HEARS: bool = false;
}

struct TellsOld;
impl Fault for TellsOld {
    fn read(version: u64) -> u64 {
        version - 1
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    read: u64,
    heard: u64,
    behind_since: Option<SteadyMs>,
}

struct Checked<F> {
    now: SteadyMs,
    version: u64,
    hosts: Vec<FreshnessTracker>,
    known: Vec<Known>,
    fault: PhantomData<F>,
}

impl<F: Fault> Model for Checked<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let tells = (0..HOSTS, 0..HOSTS);
        prop_oneof![
            2 => Just(Step::Write),
            2 => (0..HOSTS).prop_map(Step::Read),
            4 => tells.prop_map(|(from, to)| Step::Tell { from, to }),
            3 => (0..900_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn start() -> Checked<F> {
        Checked {
            now: SteadyMs(1_000),
            version: 1,
            hosts: (0..HOSTS).map(|_| FreshnessTracker::new()).collect(),
            known: vec![Known::default(); HOSTS],
            fault: PhantomData,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Write => self.version += 1,
            Step::Wait(ms) => self.now = self.now.plus_ms(ms),
            Step::Read(host) => {
                self.hosts[host].record_read(F::read(self.version));
                self.known[host].read = self.version;
            }
            Step::Tell { from, to } => {
                let told = self.hosts[from].newest_known();
                if F::HEARS {
                    self.hosts[to].record_peer_version(told, self.now);
                }
                let known = self.known[from].read.max(self.known[from].heard);
                self.known[to].heard = self.known[to].heard.max(known);
            }
        }
        for known in &mut self.known {
            if known.heard <= known.read {
                known.behind_since = None;
            } else {
                known.behind_since.get_or_insert(self.now);
            }
        }
    }

    fn check(&self) {
        for (host, known) in self.hosts.iter().zip(&self.known) {
            assert!(host.newest_known() <= self.version, "a version that nobody wrote");
            match known.behind_since {
                None => assert!(!host.is_behind(self.now), "behind for nothing: {known:?}"),
                Some(since) if since.plus_ms(NOTICED_MS).is_past(self.now) => {
                    assert!(host.is_behind(self.now), "has not noticed: {known:?}");
                }
                Some(_) => {}
            }
        }
    }
}

type Fuzz<F> = Fuzzed<Checked<F>>;

prop_state_machine! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn host_notices_that_others_know_more(sequential 1..40 => Fuzz<Sound>);

    #[test]
    #[should_panic(expected = "has not noticed")]
    fn host_that_hears_nothing_is_found(sequential 1..40 => Fuzz<Deaf>);

    #[test]
    #[should_panic(expected = "has not noticed")]
    fn host_that_tells_an_old_version_is_found(sequential 1..40 => Fuzz<TellsOld>);
}
