//! Servers that come, drain, leave and lapse, and a store that goes away and returns.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use godwit_core::SteadyMs;
use godwit_core::site::{BackendServer, RegistryLimits, ServerRegistry, ServerState};
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use crate::{Fuzzed, Model, fixed_cases};

const GRACE_MS: u64 = 2_000;
const SERVERS: u8 = 4;

#[derive(Clone, Debug)]
enum Step {
    Ready(u8),
    Draining(u8),
    Removed(u8),
    /// A whole list that names these servers as ready.
    Listed(Vec<u8>),
    StoreLost,
    StoreRegained,
    Wait(u64),
}

/// How the list of a host differs from the real one.
trait Fault: 'static {
    const GRACE_MS: u64 = GRACE_MS;
    const EXPIRES: bool = true;
    const DRAINING_IS_READY: bool = false;
}

struct Sound;
impl Fault for Sound {}

struct NoGrace;
impl Fault for NoGrace {
    const GRACE_MS: u64 = 0;
}

struct NeverExpires;
impl Fault for NeverExpires {
    const EXPIRES: bool = false;
}

struct DrainingLapses;
impl Fault for DrainingLapses {
    const DRAINING_IS_READY: bool = true;
}

/// The last that was said of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Word {
    Listed(ServerState),
    /// It may have lapsed only, and is kept until then.
    Lapsed(SteadyMs),
    Gone,
}

struct Checked<F> {
    roster: ServerRegistry,
    now: SteadyMs,
    words: BTreeMap<String, Word>,
    is_away: bool,
    kept_until: SteadyMs,
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

impl<F: Fault> Checked<F> {
    fn update(&mut self, number: u8, state: ServerState) {
        let told = if F::DRAINING_IS_READY { ServerState::Ready } else { state };
        self.roster.update(server(number, told));
        self.words.insert(id(number), Word::Listed(state));
    }

    fn said_gone(&mut self, id: &str) {
        let Some(word) = self.words.get_mut(id) else { return };
        *word = match *word {
            Word::Listed(ServerState::Ready) if !self.kept_until.is_past(self.now) => {
                Word::Lapsed(self.kept_until)
            }
            Word::Lapsed(until) if !until.is_past(self.now) => Word::Lapsed(self.kept_until),
            _ => Word::Gone,
        };
    }
}

impl<F: Fault> Model for Checked<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            3 => (0..SERVERS).prop_map(Step::Ready),
            1 => (0..SERVERS).prop_map(Step::Draining),
            3 => (0..SERVERS).prop_map(Step::Removed),
            1 => prop::collection::vec(0..SERVERS, 0..4).prop_map(Step::Listed),
            1 => Just(Step::StoreLost),
            2 => Just(Step::StoreRegained),
            3 => (0..2_500_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn start() -> Checked<F> {
        Checked {
            roster: ServerRegistry::new(RegistryLimits { lapse_grace_ms: F::GRACE_MS }),
            now: SteadyMs(10_000),
            words: BTreeMap::new(),
            is_away: false,
            kept_until: SteadyMs(0),
            fault: PhantomData,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ready(number) => self.update(number, ServerState::Ready),
            Step::Draining(number) => self.update(number, ServerState::Draining),
            Step::Removed(number) => {
                self.roster.remove(&id(number), self.now);
                self.said_gone(&id(number));
            }
            Step::Listed(numbers) => {
                let listed = numbers.iter().map(|number| server(*number, ServerState::Ready));
                self.roster.replace(listed.collect(), self.now);
                let missing: Vec<String> = self.words.keys().cloned().collect();
                for known in
                    missing.iter().filter(|known| !numbers.iter().any(|it| id(*it) == **known))
                {
                    self.said_gone(known);
                }
                for number in numbers {
                    self.words.insert(id(number), Word::Listed(ServerState::Ready));
                }
            }
            Step::StoreLost => {
                self.roster.mark_store_unreachable();
                self.is_away = true;
            }
            Step::StoreRegained => {
                self.roster.mark_store_reachable(self.now);
                if self.is_away {
                    self.kept_until = self.now.plus_ms(GRACE_MS);
                }
                self.is_away = false;
            }
            Step::Wait(ms) => self.now = self.now.plus_ms(ms),
        }
        if F::EXPIRES {
            self.roster.expire(self.now);
        }
    }

    fn check(&self) {
        for (id, word) in &self.words {
            let known = self.roster.get(id).map(|server| server.state);
            match word {
                Word::Listed(state) => assert_eq!(known, Some(*state), "{id} as listed"),
                Word::Lapsed(until) if !until.is_past(self.now) => {
                    assert!(known.is_some(), "{id} may come back");
                }
                Word::Lapsed(_) | Word::Gone => assert_eq!(known, None, "{id} is gone"),
            }
        }
    }
}

type Fuzz<F> = Fuzzed<Checked<F>>;

prop_state_machine! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn roster_keeps_what_may_come_back_and_nothing_else(sequential 1..40 => Fuzz<Sound>);

    #[test]
    #[should_panic(expected = "may come back")]
    fn roster_without_grace_is_found(sequential 1..40 => Fuzz<NoGrace>);

    #[test]
    #[should_panic(expected = "is gone")]
    fn roster_that_never_expires_is_found(sequential 1..40 => Fuzz<NeverExpires>);

    #[test]
    #[should_panic(expected = "as listed")]
    fn roster_that_overlooks_draining_is_found(sequential 1..40 => Fuzz<DrainingLapses>);
}
