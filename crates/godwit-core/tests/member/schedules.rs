//! Random schedules of faults against a simple oracle: once the faults end, all members agree on what is true.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::Hint;
use godwit_core::cluster_state::PollResult;
use godwit_core::config::ConfigDigest;
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
/// Faults end, and after this long all members agree.
const QUIET_MS: u64 = 15_000;
/// Marks expire long after the end of any schedule.
const MARK_LIFE_MS: u64 = 10_000_000;
/// Seed of the runs in CI.
const SEED: u64 = 0x60D1;

/// What happens to the hosts and the network.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Run { duration_ms: u64 },
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Wake(usize),
    Leave(usize),
    Cut { sides: u8 },
    Heal,
    Network { loss_percent: u32, max_delay_ms: u64 },
    Mark { host: usize, fingerprint: u64 },
    Poll { host: usize, server: u8 },
    Configure { host: usize, version: u64 },
    Settle,
}

/// The oracle: which hosts are up, and what was said.
#[derive(Clone, Debug, Default)]
struct Truth {
    down: BTreeSet<usize>,
    leaving: BTreeSet<usize>,
    configurations: BTreeMap<usize, u64>,
}

impl Truth {
    fn restart(&mut self, host: usize) {
        self.down.remove(&host);
        self.leaving.remove(&host);
        self.configurations.remove(&host);
    }
}

impl ReferenceStateMachine for Truth {
    type State = Truth;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Truth> {
        Just(Truth::default()).boxed()
    }

    fn transitions(_: &Truth) -> BoxedStrategy<Step> {
        let host = || 0..HOSTS.len();
        prop_oneof![
            6 => (1u64..80).prop_map(|steps| Step::Run { duration_ms: steps * 50 }),
            2 => host().prop_map(Step::Kill),
            2 => host().prop_map(Step::Restart),
            2 => host().prop_map(Step::Pause),
            2 => host().prop_map(Step::Wake),
            1 => host().prop_map(Step::Leave),
            2 => any::<u8>().prop_map(|sides| Step::Cut { sides }),
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

    fn apply(mut truth: Truth, step: &Step) -> Truth {
        match step {
            Step::Kill(host) => {
                truth.down.insert(*host);
            }
            Step::Restart(host) => truth.restart(*host),
            Step::Leave(host) if !truth.down.contains(host) => {
                truth.leaving.insert(*host);
            }
            Step::Configure { host, version } if !truth.down.contains(host) => {
                truth.configurations.insert(*host, *version);
            }
            _ => {}
        }
        truth
    }
}

/// The members under test.
struct Members {
    network: Network,
    /// Marks that at least one running host has had ever since, with that host.
    marks: BTreeMap<u64, usize>,
}

impl Members {
    fn apply_step(&mut self, step: &Step, truth: &Truth) {
        let network = &mut self.network;
        match step {
            Step::Run { duration_ms } => network.run(*duration_ms),
            Step::Kill(host) => {
                network.kill(*host);
                self.marks.retain(|_, keeper| keeper != host);
            }
            Step::Restart(host) => {
                network.start(*host);
                self.marks.retain(|_, keeper| keeper != host);
            }
            Step::Pause(host) => network.nodes[*host].is_paused = true,
            Step::Wake(host) => network.wake(*host),
            Step::Leave(host) => network.act(*host, |member, _| {
                member.leave();
                Vec::new()
            }),
            Step::Cut { sides } => network.cut(*sides),
            Step::Heal => network.cut(0),
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
                member.set_configuration(ConfigDigest { highest_version: *version, hash: 1 });
                Vec::new()
            }),
            Step::Settle => self.settle(truth),
        }
    }

    fn mark(&mut self, host: usize, fingerprint: u64) {
        let network = &mut self.network;
        if network.nodes[host].member.is_none() {
            return;
        }
        let expires_at = network.now.plus_ms(MARK_LIFE_MS);
        let hint = Hint::CrashMark { fingerprint, server: "server-0".to_string(), expires_at };
        network.act(host, |member, now| member.publish_hint(&hint, now));
        self.marks.insert(fingerprint, host);
    }

    /// Ends all faults, and checks after a quiet time that all members agree on the truth.
    fn settle(&mut self, truth: &Truth) {
        let network = &mut self.network;
        network.cut(0);
        (0..HOSTS.len()).for_each(|host| network.wake(host));
        (network.loss_percent, network.max_delay_ms) = (0, 1);
        network.run(QUIET_MS);
        assert_eq!(network.disagreement(), None);
        let serving = (0..HOSTS.len())
            .filter(|i| !truth.down.contains(i))
            .filter(|i| !truth.leaving.contains(i));
        let expected: Vec<&str> = serving.map(|index| HOSTS[index].0).collect();
        let mut seen = network.serving("hall-a");
        seen.extend(network.serving("hall-b"));
        assert_eq!(seen, expected);
        self.check_configurations(truth);
        self.check_marks();
    }

    /// Every member knows the present configuration of every other one of its domain.
    fn check_configurations(&self, truth: &Truth) {
        for (node, member) in self.network.members() {
            for (record, _) in member.neighbours() {
                let index = HOSTS.iter().position(|host| host.0 == record.host).unwrap();
                if truth.down.contains(&index) {
                    continue;
                }
                let version = truth.configurations.get(&index).copied().unwrap_or_default();
                let seen = record.configuration.highest_version;
                assert_eq!(seen, version, "{} of {}", node.name, record.host);
            }
        }
    }

    /// A mark that a running host still has is known in its whole failure domain.
    fn check_marks(&self) {
        for (fingerprint, keeper) in &self.marks {
            for (node, _) in self.network.members() {
                if node.failure_domain == HOSTS[*keeper].1 {
                    assert!(node.has_mark(*fingerprint), "{} misses {fingerprint}", node.name);
                }
            }
        }
    }
}

impl StateMachineTest for Members {
    type SystemUnderTest = Members;
    type Reference = Truth;

    fn init_test(_: &Truth) -> Members {
        Members { network: Network::new(&HOSTS, SEED), marks: BTreeMap::new() }
    }

    fn apply(mut members: Members, truth: &Truth, step: Step) -> Members {
        members.apply_step(&step, truth);
        members
    }

    fn teardown(mut members: Members, truth: Truth) {
        members.settle(&truth);
    }
}

/// Applies the steps to new members, ends the faults and checks that the members agree.
pub(crate) fn replay(steps: &[Step]) {
    let mut truth = Truth::default();
    let mut members = Members::init_test(&truth);
    for step in steps {
        truth = <Truth as ReferenceStateMachine>::apply(truth, step);
        members.apply_step(step, &truth);
    }
    members.settle(&truth);
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
