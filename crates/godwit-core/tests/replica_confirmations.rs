//! As of when a host's copies are confirmed: single cases, and a model test against what the store really had.

use std::collections::BTreeMap;

use godwit_core::SteadyMs;
use godwit_core::replica::{ConfirmationLimits, Confirmations, OverdueChange, StoreCall};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIMITS: ConfirmationLimits = ConfirmationLimits { interval_ms: 1_000, gather_ms: 30 };

const KINDS: [&str; 2] = ["config", "servers"];

fn held(revisions: [u64; 2]) -> Confirmations<&'static str> {
    let mut confirmations = Confirmations::new();
    for (kind, revision) in KINDS.into_iter().zip(revisions) {
        confirmations.record_complete(kind, revision);
    }
    confirmations
}

fn answer(confirmations: &mut Confirmations<&'static str>, started_ms: u64, revision: u64) -> bool {
    let call = confirmations.begin_call(SteadyMs(started_ms));
    confirmations.record_answer(call, revision)
}

#[test]
fn answer_confirms_all_kinds_that_have_reached_its_revision() {
    let mut confirmations = held([9, 7]);
    assert!(answer(&mut confirmations, 100, 9));
    assert_eq!(confirmations.confirmed_at("config"), Some(SteadyMs(100)));
    assert_eq!(confirmations.confirmed_at("servers"), None);
    confirmations.record_complete("servers", 9);
    assert_eq!(confirmations.confirmed_at("servers"), Some(SteadyMs(100)));
}

/// A watch that waited for 20 s tells what there was when it began, whatever else has been answered meanwhile.
#[test]
fn late_answer_to_an_early_call_confirms_nothing_newer() {
    let mut confirmations = held([9, 9]);
    let early = confirmations.begin_call(SteadyMs(100));
    assert!(answer(&mut confirmations, 5_000, 9));
    assert!(confirmations.record_answer(early, 12));
    confirmations.record_complete("config", 12);
    assert_eq!(confirmations.confirmed_at("config"), Some(SteadyMs(5_000)));
}

/// A store that was restored from an older copy has lower revisions, which say nothing about those that are held.
#[test]
fn answer_with_a_revision_from_before_confirms_nothing() {
    let mut confirmations = held([9, 9]);
    assert!(!answer(&mut confirmations, 100, 8));
    assert_eq!(confirmations.confirmed_at("config"), None);
}

#[test]
fn kind_that_needs_a_listing_is_not_confirmed_before_it() {
    let mut confirmations = held([9, 9]);
    confirmations.record_complete("config", 0);
    assert!(answer(&mut confirmations, 100, 9));
    assert_eq!(confirmations.confirmed_at("config"), None);
    assert_eq!(confirmations.due_at(["config"], LIMITS), SteadyMs::NEVER);
    confirmations.record_complete("config", 9);
    assert_eq!(confirmations.confirmed_at("config"), Some(SteadyMs(100)));
}

#[test]
fn confirmation_of_another_host_never_goes_back() {
    let mut confirmations = held([9, 9]);
    confirmations.record_confirmed("config", SteadyMs(300), SteadyMs(300));
    confirmations.record_confirmed("config", SteadyMs(200), SteadyMs(200));
    assert_eq!(confirmations.confirmed_at("config"), Some(SteadyMs(300)));
}

/// The clock of this host stood still while its machine was suspended, the other host's did not.
#[test]
fn confirmation_of_another_host_is_never_of_a_later_time() {
    let mut confirmations = held([9, 9]);
    confirmations.record_confirmed("config", SteadyMs(60_000), SteadyMs(300));
    assert_eq!(confirmations.confirmed_at("config"), Some(SteadyMs(300)));
}

#[test]
fn confirmation_of_another_host_does_not_replace_a_listing() {
    let mut confirmations = held([9, 0]);
    confirmations.record_confirmed("servers", SteadyMs(300), SteadyMs(300));
    assert_eq!(confirmations.confirmed_at("servers"), None);
}

#[test]
fn due_at_is_an_interval_after_the_oldest_confirmation() {
    let mut confirmations = held([9, 9]);
    assert_eq!(confirmations.due_at(KINDS, LIMITS), SteadyMs(0));
    answer(&mut confirmations, 100, 9);
    confirmations.record_confirmed("config", SteadyMs(700), SteadyMs(700));
    assert_eq!(confirmations.due_at(KINDS, LIMITS), SteadyMs(1_100));
    assert_eq!(confirmations.due_at(["config"], LIMITS), SteadyMs(1_700));
}

/// A store whose answers confirm nothing is not asked all the time.
#[test]
fn due_at_is_an_interval_after_the_last_question() {
    let mut confirmations = held([9, 9]);
    confirmations.record_asked(SteadyMs(400));
    assert_eq!(confirmations.due_at(KINDS, LIMITS), SteadyMs(1_400));
}

#[test]
fn due_at_is_soon_when_starting_hosts_wait() {
    let mut confirmations = held([9, 9]);
    answer(&mut confirmations, 100, 9);
    confirmations.want("servers", SteadyMs(200));
    confirmations.want("servers", SteadyMs(220));
    assert_eq!(confirmations.due_at(KINDS, LIMITS), SteadyMs(230));
    confirmations.record_asked(SteadyMs(230));
    assert_eq!(confirmations.due_at(KINDS, LIMITS), SteadyMs(1_230), "the call is under way");
    answer(&mut confirmations, 230, 9);
    confirmations.want("servers", SteadyMs(210));
    assert_eq!(confirmations.due_at(KINDS, LIMITS), SteadyMs(1_230), "it is known");
    confirmations.want("servers", SteadyMs(300));
    assert_eq!(confirmations.due_at(KINDS, LIMITS), SteadyMs(330));
}

#[test]
fn take_overdue_changes_tells_each_change_once() {
    let mut confirmations = held([9, 0]);
    assert_eq!(confirmations.take_overdue_changes(2_000, SteadyMs(9_000)), [], "never confirmed");
    answer(&mut confirmations, 100, 9);
    assert_eq!(confirmations.take_overdue_changes(2_000, SteadyMs(2_100)), []);
    let lost = OverdueChange { kind: "config", is_overdue: true, age_ms: 2_001 };
    assert_eq!(confirmations.take_overdue_changes(2_000, SteadyMs(2_101)), [lost]);
    assert_eq!(confirmations.take_overdue_changes(2_000, SteadyMs(2_900)), []);
    confirmations.record_confirmed("config", SteadyMs(2_500), SteadyMs(2_500));
    let regained = OverdueChange { kind: "config", is_overdue: false, age_ms: 450 };
    assert_eq!(confirmations.take_overdue_changes(2_000, SteadyMs(2_950)), [regained]);
}

/// One step of a schedule. `pick`, modulo the number of calls under way, selects a call.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait { ms: u64 },
    /// The operator writes an object of a kind.
    Write { kind: usize },
    /// A call for the newest state of a kind begins.
    Ask { kind: usize },
    /// A call for an older state of a kind, so many revisions back, is answered.
    AskForLess { kind: usize, back: u64 },
    /// The store executes a call.
    Execute { pick: usize },
    /// The answer to an executed call arrives.
    Arrive { pick: usize },
    /// The answer to a call is lost.
    Lose { pick: usize },
    /// Changes cannot be had any more, and a listing is needed.
    RequireListing { kind: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let kind = 0..KINDS.len();
    prop_oneof![
        4 => (1..200_u64).prop_map(|ms| Step::Wait { ms }),
        3 => kind.clone().prop_map(|kind| Step::Write { kind }),
        4 => kind.clone().prop_map(|kind| Step::Ask { kind }),
        2 => (kind.clone(), 0..6_u64).prop_map(|(kind, back)| Step::AskForLess { kind, back }),
        5 => any::<usize>().prop_map(|pick| Step::Execute { pick }),
        5 => any::<usize>().prop_map(|pick| Step::Arrive { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        1 => kind.prop_map(|kind| Step::RequireListing { kind }),
    ]
}

struct Call {
    kind: usize,
    call: StoreCall,
    executed_at: Option<u64>,
}

/// A store, a host and the calls between them.
#[derive(Default)]
struct Model {
    now_ms: u64,
    revision: u64,
    /// Time and kind of each change, by revision.
    changes: BTreeMap<u64, (u64, usize)>,
    /// Revision up to which the host misses nothing, for each kind.
    complete: [u64; 2],
    needs_listing: [bool; 2],
    calls: Vec<Call>,
    confirmations: Confirmations<&'static str>,
    last: [Option<SteadyMs>; 2],
}

impl Model {
    fn apply(&mut self, kind: usize, revision: u64) {
        if revision >= self.complete[kind] {
            self.complete[kind] = revision;
            self.needs_listing[kind] = false;
        }
        let known = if self.needs_listing[kind] { 0 } else { self.complete[kind] };
        self.confirmations.record_complete(KINDS[kind], known);
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Wait { ms } => self.now_ms += ms,
            Step::Write { kind } => {
                self.revision += 1;
                self.changes.insert(self.revision, (self.now_ms, kind));
                // What was acknowledged in this millisecond may not be covered by a call that begins in it.
                self.now_ms += 1;
            }
            Step::Ask { kind } => {
                let call = self.confirmations.begin_call(SteadyMs(self.now_ms));
                self.calls.push(Call { kind, call, executed_at: None });
            }
            Step::AskForLess { kind, back } => {
                self.apply(kind, self.revision.saturating_sub(back));
            }
            Step::Execute { pick } => {
                let revision = self.revision;
                let waiting = self.calls.iter_mut().filter(|call| call.executed_at.is_none());
                let mut waiting: Vec<&mut Call> = waiting.collect();
                if !waiting.is_empty() {
                    let index = pick % waiting.len();
                    waiting[index].executed_at = Some(revision);
                }
            }
            Step::Arrive { pick } if !self.calls.is_empty() => {
                let index = pick % self.calls.len();
                if let Some(revision) = self.calls[index].executed_at {
                    let Call { kind, call, .. } = self.calls.remove(index);
                    self.apply(kind, revision);
                    assert!(self.confirmations.record_answer(call, revision));
                }
            }
            Step::Lose { pick } if !self.calls.is_empty() => {
                self.calls.remove(pick % self.calls.len());
            }
            Step::Arrive { .. } | Step::Lose { .. } => {}
            Step::RequireListing { kind } => {
                self.needs_listing[kind] = true;
                self.confirmations.record_complete(KINDS[kind], 0);
            }
        }
    }

    /// Checks that the host holds each change that was acknowledged before the time of the confirmation.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (index, kind) in KINDS.into_iter().enumerate() {
            let confirmed_at = self.confirmations.confirmed_at(kind);
            prop_assert!(confirmed_at >= self.last[index], "the confirmation of {kind} went back");
            self.last[index] = confirmed_at;
            let Some(SteadyMs(confirmed_ms)) = confirmed_at else { continue };
            let missing = self.changes.iter().find(|(revision, (at_ms, of_kind))| {
                *of_kind == index && *at_ms < confirmed_ms && **revision > self.complete[index]
            });
            prop_assert!(missing.is_none(), "{kind} as of {confirmed_ms} lacks {missing:?}");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn confirmed_kind_holds_every_earlier_change(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::default();
        for step in &steps {
            model.play(step);
            model.check()?;
        }
        // One undisturbed call of each kind confirms it as of its start.
        let started_at = SteadyMs(model.now_ms);
        for kind in 0..KINDS.len() {
            let call = model.confirmations.begin_call(started_at);
            model.apply(kind, model.revision);
            prop_assert!(model.confirmations.record_answer(call, model.revision));
        }
        for kind in KINDS {
            prop_assert_eq!(model.confirmations.confirmed_at(kind), Some(started_at));
        }
    }
}
