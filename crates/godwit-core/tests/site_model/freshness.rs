//! Hosts that read versions from a store and report them to each other. Guards against a host that does not detect that
//! its store call hangs while its peers know a newer version, and against false alarms.

use std::marker::PhantomData;

use godwit_core::SteadyMs;
use godwit_core::site::FreshnessTracker;
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use crate::{Fuzzed, Model, fixed_cases};

const HOSTS: usize = 3;

/// Maximum time in which a host must detect that its peers know a newer version, in milliseconds. Well within the time
/// that a configuration may take to apply.
const MAX_DETECTION_MS: u64 = 1_500;

#[derive(Clone, Debug)]
enum Step {
    Write,
    /// A store call of a host returns the newest version.
    Read(usize),
    Report {
        from: usize,
        to: usize,
    },
    Wait(u64),
}

/// A fault injected into the hosts.
trait Fault: 'static {
    const RECORDS_PEERS: bool = true;
    /// Returns the version that a host records for a version that it read.
    fn read(version: u64) -> u64 {
        version
    }
}

struct NoFault;
impl Fault for NoFault {}

struct IgnoresPeers;
impl Fault for IgnoresPeers {
    const RECORDS_PEERS: bool = false;
}

struct ReportsOldVersion;
impl Fault for ReportsOldVersion {
    fn read(version: u64) -> u64 {
        version - 1
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    read: u64,
    reported_by_peers: u64,
    behind_since: Option<SteadyMs>,
}

struct Harness<F> {
    now: SteadyMs,
    version: u64,
    hosts: Vec<FreshnessTracker>,
    known: Vec<Known>,
    fault: PhantomData<F>,
}

impl<F: Fault> Model for Harness<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let reports = (0..HOSTS, 0..HOSTS);
        prop_oneof![
            2 => Just(Step::Write),
            2 => (0..HOSTS).prop_map(Step::Read),
            4 => reports.prop_map(|(from, to)| Step::Report { from, to }),
            3 => (0..900_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn start() -> Harness<F> {
        Harness {
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
            Step::Report { from, to } => {
                let reported = self.hosts[from].newest_known();
                if F::RECORDS_PEERS {
                    self.hosts[to].record_peer_version(reported, self.now);
                }
                let known = self.known[from].read.max(self.known[from].reported_by_peers);
                self.known[to].reported_by_peers = self.known[to].reported_by_peers.max(known);
            }
        }
        for known in &mut self.known {
            if known.reported_by_peers <= known.read {
                known.behind_since = None;
            } else {
                known.behind_since.get_or_insert(self.now);
            }
        }
    }

    fn check(&self) {
        for (host, known) in self.hosts.iter().zip(&self.known) {
            assert!(
                host.newest_known() <= self.version,
                "reported a version that was never written"
            );
            match known.behind_since {
                None => assert!(
                    !host.is_behind(self.now),
                    "behind although no newer version is known: {known:?}"
                ),
                Some(since) if since.plus_ms(MAX_DETECTION_MS).is_past(self.now) => {
                    assert!(host.is_behind(self.now), "lag not detected: {known:?}");
                }
                Some(_) => {}
            }
        }
    }
}

type Fuzz<F> = Fuzzed<Harness<F>>;

prop_state_machine! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn tracker_detects_newer_peer_versions(sequential 1..40 => Fuzz<NoFault>);

    #[test]
    #[should_panic(expected = "lag not detected")]
    fn tracker_that_ignores_peers_is_detected(sequential 1..40 => Fuzz<IgnoresPeers>);

    #[test]
    #[should_panic(expected = "lag not detected")]
    fn tracker_that_reports_an_old_version_is_detected(sequential 1..40 => Fuzz<ReportsOldVersion>);
}
