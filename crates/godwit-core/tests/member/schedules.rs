//! Model test of membership against members that still disagree after all faults have ended.
//!
//! Random schedules kill, restart, pause and partition hosts and make the network lossy; an oracle tracks which hosts
//! are up and which configuration they have.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::Hint;
use godwit_core::cluster_state::PollResult;
use godwit_core::replica::ReplicaDigest;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::network::{Network, reading};

const HOSTS: [(&str, &str); 7] = [
    ("entry-0", "hall-a"),
    ("entry-1", "hall-a"),
    ("entry-2", "hall-a"),
    ("entry-3", "hall-a"),
    ("entry-4", "hall-a"),
    ("entry-5", "hall-b"),
    ("entry-6", "hall-b"),
];
/// Time after the end of all faults by which all members must agree.
const CONVERGENCE_MS: u64 = 15_000;
/// Lifetime of a crash mark, longer than any schedule.
const MARK_LIFETIME_MS: u64 = 10_000_000;
/// Fixed seed of the runs in CI.
const SEED: u64 = 0x60D1;

/// One step of a schedule, for the hosts or the network.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Run { duration_ms: u64 },
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Partition { sides: u8 },
    Heal,
    Network { loss_percent: u32, max_delay_ms: u64 },
    Mark { host: usize, fingerprint: u64 },
    Poll { host: usize, server: u8 },
    Configure { host: usize, version: u64 },
    Settle,
}

/// Expected state: which hosts are down or leaving, and the configuration version of each host.
#[derive(Clone, Debug, Default)]
struct Oracle {
    down: BTreeSet<usize>,
    leaving: BTreeSet<usize>,
    configurations: BTreeMap<usize, u64>,
}

impl Oracle {
    fn restart(&mut self, host: usize) {
        self.down.remove(&host);
        self.leaving.remove(&host);
        self.configurations.remove(&host);
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle::default()).boxed()
    }

    fn transitions(_: &Oracle) -> BoxedStrategy<Step> {
        let host = || 0..HOSTS.len();
        prop_oneof![
            6 => (1u64..80).prop_map(|steps| Step::Run { duration_ms: steps * 50 }),
            2 => host().prop_map(Step::Kill),
            2 => host().prop_map(Step::Restart),
            2 => host().prop_map(Step::Pause),
            2 => host().prop_map(Step::Resume),
            1 => host().prop_map(Step::Leave),
            2 => any::<u8>().prop_map(|sides| Step::Partition { sides }),
            1 => Just(Step::Heal),
            2 => (0u32..40, 1u64..400).prop_map(|(loss_percent, max_delay_ms)| {
                Step::Network { loss_percent, max_delay_ms }
            }),
            2 => (host(), 0u64..8).prop_map(|(host, fingerprint)| Step::Mark { host, fingerprint }),
            3 => (host(), 0u8..3).prop_map(|(host, server)| Step::Poll { host, server }),
            2 => (host(), 1u64..50).prop_map(|(host, version)| Step::Configure { host, version }),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(mut oracle: Oracle, step: &Step) -> Oracle {
        match step {
            Step::Kill(host) => {
                oracle.down.insert(*host);
            }
            Step::Restart(host) => oracle.restart(*host),
            Step::Leave(host) if !oracle.down.contains(host) => {
                oracle.leaving.insert(*host);
            }
            Step::Configure { host, version } if !oracle.down.contains(host) => {
                oracle.configurations.insert(*host, *version);
            }
            _ => {}
        }
        oracle
    }
}

/// Members under test and the network that connects them.
struct Members {
    network: Network,
    /// Publisher of each crash mark, by fingerprint, unless the publisher was killed or restarted since.
    marks: BTreeMap<u64, usize>,
}

impl Members {
    fn apply_step(&mut self, step: &Step, oracle: &Oracle) {
        let network = &mut self.network;
        match step {
            Step::Run { duration_ms } => network.run(*duration_ms),
            Step::Kill(host) => {
                network.kill(*host);
                self.marks.retain(|_, publisher| publisher != host);
            }
            Step::Restart(host) => {
                network.start(*host);
                self.marks.retain(|_, publisher| publisher != host);
            }
            Step::Pause(host) => network.nodes[*host].is_paused = true,
            Step::Resume(host) => network.resume(*host),
            Step::Leave(host) => network.act(*host, |member, _| {
                member.leave();
                Vec::new()
            }),
            Step::Partition { sides } => network.partition(*sides),
            Step::Heal => network.partition(0),
            Step::Network { loss_percent, max_delay_ms } => {
                network.loss_percent = *loss_percent;
                network.max_delay_ms = *max_delay_ms;
            }
            Step::Mark { host, fingerprint } => self.mark(*host, *fingerprint),
            Step::Poll { host, server } => {
                let reading = reading(&format!("server-{server}"), network.now);
                let result = PollResult::Reading(reading);
                network.act(*host, |member, now| member.record_poll_result(&result, now));
            }
            Step::Configure { host, version } => network.act(*host, |member, _| {
                member.set_configuration(ReplicaDigest { highest_version: *version, hash: 1 });
                Vec::new()
            }),
            Step::Settle => self.settle(oracle),
        }
    }

    fn mark(&mut self, host: usize, fingerprint: u64) {
        let network = &mut self.network;
        if network.nodes[host].member.is_none() {
            return;
        }
        let expires_at = network.now.plus_ms(MARK_LIFETIME_MS);
        let hint = Hint::CrashMark { fingerprint, server: "server-0".to_string(), expires_at };
        network.act(host, |member, now| member.publish_hint(&hint, now));
        self.marks.insert(fingerprint, host);
    }

    /// Ends all faults, and checks after `CONVERGENCE_MS` that all members agree with the oracle.
    fn settle(&mut self, oracle: &Oracle) {
        let network = &mut self.network;
        network.partition(0);
        (0..HOSTS.len()).for_each(|host| network.resume(host));
        (network.loss_percent, network.max_delay_ms) = (0, 1);
        network.run(CONVERGENCE_MS);
        assert_eq!(network.disagreement(), None);
        let serving = (0..HOSTS.len())
            .filter(|i| !oracle.down.contains(i))
            .filter(|i| !oracle.leaving.contains(i));
        let expected: Vec<&str> = serving.map(|index| HOSTS[index].0).collect();
        let mut seen = network.serving("hall-a");
        seen.extend(network.serving("hall-b"));
        assert_eq!(seen, expected);
        self.check_configurations(oracle);
        self.check_marks();
    }

    /// Checks that every member knows the current configuration version of every other member of its failure domain.
    fn check_configurations(&self, oracle: &Oracle) {
        for (node, member) in self.network.members() {
            for (record, _) in member.neighbours() {
                let index = HOSTS.iter().position(|host| host.0 == record.host).unwrap();
                if oracle.down.contains(&index) {
                    continue;
                }
                let version = oracle.configurations.get(&index).copied().unwrap_or_default();
                let seen = record.configuration.highest_version;
                assert_eq!(seen, version, "{} of {}", node.name, record.host);
            }
        }
    }

    /// Checks that a mark whose publisher was not killed or restarted is known in the whole failure domain of that
    /// host.
    fn check_marks(&self) {
        for (fingerprint, publisher) in &self.marks {
            for (node, _) in self.network.members() {
                if node.failure_domain == HOSTS[*publisher].1 {
                    assert!(node.has_mark(*fingerprint), "{} misses {fingerprint}", node.name);
                }
            }
        }
    }
}

impl StateMachineTest for Members {
    type SystemUnderTest = Members;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Members {
        Members { network: Network::new(&HOSTS, SEED), marks: BTreeMap::new() }
    }

    fn apply(mut members: Members, oracle: &Oracle, step: Step) -> Members {
        members.apply_step(&step, oracle);
        members
    }

    fn teardown(mut members: Members, oracle: Oracle) {
        members.settle(&oracle);
    }
}

/// Applies the steps to new members, ends all faults and checks that the members agree.
pub(crate) fn replay(steps: &[Step]) {
    let mut oracle = Oracle::default();
    let mut members = Members::init_test(&oracle);
    for step in steps {
        oracle = <Oracle as ReferenceStateMachine>::apply(oracle, step);
        members.apply_step(step, &oracle);
    }
    members.settle(&oracle);
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(64),
        max_shrink_iters: 2_000,
        ..Config::default()
    })]

    #[test]
    fn members_agree_after_any_schedule(sequential 1..40 => Members);
}
