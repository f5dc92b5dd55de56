//! Connections of a host to several servers, over its own links and through other hosts. Guards against a host that goes on
//! using links that are lost, or that does not use links that are back.

use std::collections::BTreeSet;
use std::marker::PhantomData;

use godwit_core::SteadyMs;
use godwit_core::site::{Reach, ServerLinks};
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use crate::{Fuzzed, Model, fixed_cases};

const SERVERS: [&str; 5] = ["s-1", "s-2", "s-3", "s-4", "s-5"];

/// Time for which a server is reached through other hosts before the own link is tried again, in milliseconds.
const DETOUR_MS: u64 = 2_000;

/// Number of servers without a connection at which all links may count as lost.
const LOST_SERVERS: usize = 3;

/// What came of an attempt to connect to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Opened,
    /// Only another host opened a connection.
    Detour,
    /// Neither this host nor, as far as it knows, another one opened a connection.
    Unreached {
        is_refused: bool,
    },
}

#[derive(Clone, Debug)]
enum Step {
    Connect { server: usize, outcome: Outcome },
    Wait(u64),
}

/// A fault injected into what the host records.
trait Fault: 'static {
    const FORGETS_OPENED: bool = false;
    const FORGETS_DETOURS: bool = false;
}

struct NoFault;
impl Fault for NoFault {}

/// The host does not notice that its links are back.
struct ForgetsOpened;
impl Fault for ForgetsOpened {
    const FORGETS_OPENED: bool = true;
}

/// The host takes no notice of other hosts that reach servers.
struct ForgetsDetours;
impl Fault for ForgetsDetours {
    const FORGETS_DETOURS: bool = true;
}

struct Harness<F> {
    links: ServerLinks,
    now: SteadyMs,
    attempts: Vec<(SteadyMs, usize, Outcome)>,
    fault: PhantomData<F>,
}

impl<F: Fault> Harness<F> {
    /// Returns the attempts since a connection was last opened over an own link.
    fn failures_in_a_row(&self) -> &[(SteadyMs, usize, Outcome)] {
        let opened = self.attempts.iter().rposition(|(.., outcome)| *outcome == Outcome::Opened);
        &self.attempts[opened.map_or(0, |index| index + 1)..]
    }
}

impl<F: Fault> Model for Harness<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let outcome = prop_oneof![
            2 => Just(Outcome::Opened),
            3 => Just(Outcome::Detour),
            3 => any::<bool>().prop_map(|is_refused| Outcome::Unreached { is_refused }),
        ];
        prop_oneof![
            5 => (0..SERVERS.len(), outcome)
                .prop_map(|(server, outcome)| Step::Connect { server, outcome }),
            2 => (0..900_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn start() -> Harness<F> {
        Harness {
            links: ServerLinks::default(),
            now: SteadyMs(10_000),
            attempts: Vec::new(),
            fault: PhantomData,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Connect { server, outcome } => {
                let (id, now) = (SERVERS[server], self.now);
                match outcome {
                    Outcome::Opened if F::FORGETS_OPENED => {}
                    Outcome::Detour if F::FORGETS_DETOURS => {}
                    Outcome::Opened => drop(self.links.record_opened(id, now)),
                    Outcome::Detour => drop(self.links.record_detour(id, now)),
                    Outcome::Unreached { is_refused } => {
                        self.links.record_unreached(id, is_refused, now);
                    }
                }
                self.attempts.push((now, server, outcome));
            }
            Step::Wait(wait_ms) => {
                self.now = self.now.plus_ms(wait_ms);
                self.links.expire(self.now);
            }
        }
    }

    fn check(&self) {
        let failures = self.failures_in_a_row();
        let failed: BTreeSet<usize> = failures.iter().map(|(_, server, _)| *server).collect();
        let has_detour = failures.iter().any(|(.., outcome)| *outcome == Outcome::Detour);
        if self.links.are_lost() {
            assert!(failed.len() >= LOST_SERVERS, "links count as lost after {failures:?}");
        }
        if self.links.is_loss_confirmed() {
            assert!(has_detour, "no other host reached a server in {failures:?}");
        }
        let last = failures.last().map(|(.., outcome)| *outcome);
        if last == Some(Outcome::Detour) {
            assert_eq!(
                self.links.reach(),
                Reach::Any,
                "another host reaches servers: {failures:?}"
            );
        }
        for (index, id) in SERVERS.iter().enumerate() {
            let last = self.attempts.iter().rev().find(|(_, server, _)| *server == index);
            let is_recent_failure = last.is_some_and(|(at, _, outcome)| {
                *outcome != Outcome::Opened && !at.plus_ms(DETOUR_MS).is_past(self.now)
            });
            let uses_detour = self.links.uses_detour(id, self.now);
            assert_eq!(
                uses_detour,
                is_recent_failure || self.links.are_lost(),
                "{id} after {last:?}"
            );
        }
    }
}

type Fuzz<F> = Fuzzed<Harness<F>>;

prop_state_machine! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn server_links_follow_what_connects(sequential 1..60 => Fuzz<NoFault>);

    #[test]
    #[should_panic(expected = "after Some")]
    fn server_links_that_forget_opened_connections_are_detected(sequential 1..60 => Fuzz<ForgetsOpened>);

    #[test]
    #[should_panic(expected = "after Some")]
    fn server_links_that_forget_detours_are_detected(sequential 1..60 => Fuzz<ForgetsDetours>);
}
