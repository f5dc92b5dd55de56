//! Servers that are listed, drain, are removed or lapse, and a store that answers after outages of any length.
//! Guards against entries that are dropped although they may be listed again, and against entries that are kept for too
//! long.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use godwit_core::SteadyMs;
use godwit_core::site::{BackendServer, RegistryLimits, ServerRegistry, ServerState};
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use crate::{Fuzzed, Model, fixed_cases};

const GRACE_MS: u64 = 2_000;
const MIN_OUTAGE_MS: u64 = 2_400;
const SERVERS: u8 = 4;

#[derive(Clone, Debug)]
enum Step {
    Ready(u8),
    Draining(u8),
    Removed(u8),
    /// A complete list, with these servers as ready.
    Listed(Vec<u8>),
    /// The store answers, this time after it last confirmed the entries.
    StoreAnswers(u64),
    Wait(u64),
}

/// A fault injected into the registry.
trait Fault: 'static {
    const GRACE_MS: u64 = GRACE_MS;
    const EXPIRES: bool = true;
    const DRAINING_IS_READY: bool = false;
}

struct NoFault;
impl Fault for NoFault {}

struct NoGrace;
impl Fault for NoGrace {
    const GRACE_MS: u64 = 0;
}

struct NeverExpires;
impl Fault for NeverExpires {
    const EXPIRES: bool = false;
}

struct IgnoresDraining;
impl Fault for IgnoresDraining {
    const DRAINING_IS_READY: bool = true;
}

/// Expected state of an entry, by the last change of its listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expected {
    Listed(ServerState),
    /// Missing from the list after a store outage, and kept until this time, because it may only have lapsed.
    Lapsed(SteadyMs),
    Gone,
}

struct Harness<F> {
    registry: ServerRegistry,
    now: SteadyMs,
    expected: BTreeMap<String, Expected>,
    grace_end: SteadyMs,
    fault: PhantomData<F>,
}

fn id(number: u8) -> String {
    format!("s-{number}")
}

fn server(number: u8, state: ServerState) -> BackendServer {
    BackendServer {
        id: id(number),
        service: "chat".to_string(),
        address: ([10, 0, 0, number], 80).into(),
        failure_domain: "a".to_string(),
        state,
        slots: 8,
        kind: "l4".to_string(),
        layers: None,
        born_unix_ms: 0,
        heartbeats: 1,
    }
}

impl<F: Fault> Harness<F> {
    fn update(&mut self, number: u8, state: ServerState) {
        let reported = if F::DRAINING_IS_READY { ServerState::Ready } else { state };
        self.registry.update(server(number, reported), self.now);
        self.expected.insert(id(number), Expected::Listed(state));
    }

    fn expect_missing(&mut self, id: &str) {
        let Some(expected) = self.expected.get_mut(id) else { return };
        *expected = match *expected {
            Expected::Listed(ServerState::Ready) if !self.grace_end.is_past(self.now) => {
                Expected::Lapsed(self.grace_end)
            }
            Expected::Lapsed(until) if !until.is_past(self.now) => Expected::Lapsed(self.grace_end),
            _ => Expected::Gone,
        };
    }
}

impl<F: Fault> Model for Harness<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            3 => (0..SERVERS).prop_map(Step::Ready),
            1 => (0..SERVERS).prop_map(Step::Draining),
            3 => (0..SERVERS).prop_map(Step::Removed),
            1 => prop::collection::vec(0..SERVERS, 0..4).prop_map(Step::Listed),
            2 => (0..2 * MIN_OUTAGE_MS).prop_map(Step::StoreAnswers),
            3 => (0..2_500_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn start() -> Harness<F> {
        Harness {
            registry: ServerRegistry::new(RegistryLimits {
                lapse_grace_ms: F::GRACE_MS,
                min_outage_ms: MIN_OUTAGE_MS,
            }),
            now: SteadyMs(10_000),
            expected: BTreeMap::new(),
            grace_end: SteadyMs(0),
            fault: PhantomData,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ready(number) => self.update(number, ServerState::Ready),
            Step::Draining(number) => self.update(number, ServerState::Draining),
            Step::Removed(number) => {
                self.registry.remove(&id(number), self.now);
                self.expect_missing(&id(number));
            }
            Step::Listed(numbers) => {
                let listed = numbers.iter().map(|number| server(*number, ServerState::Ready));
                self.registry.replace(listed.collect(), self.now);
                let known_ids: Vec<String> = self.expected.keys().cloned().collect();
                for known in known_ids
                    .iter()
                    .filter(|known| !numbers.iter().any(|number| id(*number) == **known))
                {
                    self.expect_missing(known);
                }
                for number in numbers {
                    self.expected.insert(id(number), Expected::Listed(ServerState::Ready));
                }
            }
            Step::StoreAnswers(outage_ms) => {
                let confirmed_at = SteadyMs(self.now.0 - outage_ms);
                self.registry.record_store_answer(Some(confirmed_at), self.now);
                if outage_ms >= MIN_OUTAGE_MS {
                    self.grace_end = self.now.plus_ms(GRACE_MS);
                }
            }
            Step::Wait(ms) => self.now = self.now.plus_ms(ms),
        }
        if F::EXPIRES {
            self.registry.expire(self.now);
        }
    }

    fn check(&self) {
        for (id, expected) in &self.expected {
            let known = self.registry.get(id).map(|server| server.state);
            match expected {
                Expected::Listed(state) => assert_eq!(known, Some(*state), "{id} as listed"),
                Expected::Lapsed(until) if !until.is_past(self.now) => {
                    assert!(known.is_some(), "{id} may be listed again");
                }
                Expected::Lapsed(_) | Expected::Gone => assert_eq!(known, None, "{id} is gone"),
            }
        }
    }
}

type Fuzz<F> = Fuzzed<Harness<F>>;

prop_state_machine! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn registry_keeps_only_listed_and_lapsed_entries(sequential 1..40 => Fuzz<NoFault>);

    #[test]
    #[should_panic(expected = "may be listed again")]
    fn registry_without_grace_is_detected(sequential 1..40 => Fuzz<NoGrace>);

    #[test]
    #[should_panic(expected = "is gone")]
    fn registry_that_never_expires_is_detected(sequential 1..40 => Fuzz<NeverExpires>);

    #[test]
    #[should_panic(expected = "as listed")]
    fn registry_that_ignores_draining_is_detected(sequential 1..40 => Fuzz<IgnoresDraining>);
}
