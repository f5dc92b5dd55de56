//! Tests of split models whose stages crash, fall silent, overlap or resume an abandoned attempt.
//!
//! They guard against a token that skips a layer, runs through a layer twice or mixes two attempts after a stage is
//! replaced, and against a failure that is attributed to the wrong stage. The journals of the engines show what ran.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use godwit_core::quarantine::QuarantineStatus;
use godwit_host::dispatch::{AttemptOutcome, Outcome};
use godwit_host::{Clock, SystemClock};
use godwit_schema::engine::{EngineFaults, JournalAction, JournalEntry};
use godwit_standin::EngineStandin;

use crate::engines::{
    TOKENS, expected_answer, generate_job, run, run_request, stage_holder, start_engine,
};
use crate::support::{DispatchFixture, PlanSource};

const LAYERS: u32 = 12;

/// Four engines with overlapping layer ranges; the first two are the fastest.
struct SplitModel {
    engines: BTreeMap<&'static str, EngineStandin>,
    source: PlanSource,
}

const LAYER_RANGES: [(&str, (u32, u32)); 4] =
    [("s1", (0, 6)), ("s2", (6, 12)), ("s3", (0, 8)), ("s4", (4, 12))];

impl SplitModel {
    fn new() -> SplitModel {
        let mut engines = BTreeMap::new();
        let mut holders = Vec::new();
        for (rank, (name, range)) in (1..).zip(LAYER_RANGES) {
            let engine = start_engine(name, range.0, range.1, LAYERS);
            holders.push(stage_holder(&engine, name, range, rank));
            engines.insert(name, engine);
        }
        SplitModel { engines, source: PlanSource { layers: LAYERS, holders } }
    }

    fn set_engine_faults(&self, name: &str, change: impl FnOnce(&mut EngineFaults)) {
        let mut faults = EngineFaults::default();
        change(&mut faults);
        self.engines[name].set_faults(faults).unwrap();
    }

    fn journal(&self) -> Vec<JournalEntry> {
        self.engines.values().flat_map(EngineStandin::journal).collect()
    }

    /// Returns for each position the attempt whose token was accepted: the last attempt that the first stage started at
    /// or before the position.
    fn accepted_attempts(&self) -> BTreeMap<u32, u32> {
        let first_positions: BTreeMap<u32, u32> = self
            .journal()
            .iter()
            .filter(|entry| entry.action == JournalAction::Accepted)
            .map(|entry| (entry.attempt.unwrap(), entry.position.unwrap()))
            .collect();
        let attempt_of = |position: u32| {
            let newest = first_positions.iter().rev().find(|(_, first)| **first <= position);
            *newest.expect("the position was accepted in some attempt").0
        };
        (0..TOKENS).map(|position| (position, attempt_of(position))).collect()
    }

    /// Returns the stages that each accepted token passed, as `server[from,to)`, after a check that they cover all
    /// layers once and in order.
    fn trace(&self) -> Vec<String> {
        let journal = self.journal();
        let trace = self.accepted_attempts().into_iter().map(|(position, attempt)| {
            let mut steps: Vec<&JournalEntry> = journal
                .iter()
                .filter(|entry| entry.action == JournalAction::Step)
                .filter(|entry| entry.position == Some(position))
                .filter(|entry| entry.attempt == Some(attempt))
                .collect();
            steps.sort_by_key(|entry| entry.layers[0]);
            let mut next = 0;
            for step in &steps {
                assert_eq!(step.layers[0], next, "position {position}, attempt {attempt}");
                next = step.layers[1];
            }
            assert_eq!(next, LAYERS, "position {position}, attempt {attempt}");
            let stages: Vec<String> = steps
                .iter()
                .map(|step| format!("{}[{},{})", step.server, step.layers[0], step.layers[1]))
                .collect();
            format!("{position:2} attempt {attempt}: {}", stages.join(" "))
        });
        trace.collect()
    }

    /// Checks that no position of an attempt ran through a layer twice.
    fn assert_no_layer_ran_twice(&self) {
        let mut seen = BTreeSet::new();
        for entry in self.journal() {
            if entry.action != JournalAction::Step {
                continue;
            }
            for layer in entry.layers[0]..entry.layers[1] {
                let key = (entry.attempt, entry.position, layer);
                assert!(seen.insert(key), "layer {layer} ran twice: {entry:?}");
            }
        }
    }

    #[track_caller]
    fn assert_answered(&self, fixture: &DispatchFixture) {
        let (run, tokens) = run(fixture, &self.source);
        assert!(matches!(run.outcome, Outcome::Answered { .. }), "{:?}", run.outcome);
        assert_eq!(tokens, expected_answer());
        self.assert_no_layer_ran_twice();
    }
}

#[test]
fn split_runs_each_layer_once_in_order() {
    let split_model = SplitModel::new();
    split_model.assert_answered(&DispatchFixture::new());
    let trace = split_model.trace();
    assert!(trace.iter().all(|line| line.ends_with("attempt 1: s1[0,6) s2[6,12)")), "{trace:?}");
}

#[test]
fn split_last_stage_crashes() {
    let split_model = SplitModel::new();
    split_model.set_engine_faults("s2", |faults| faults.die_at_position = Some(4));
    let fixture = DispatchFixture::new();
    split_model.assert_answered(&fixture);
    assert_eq!(fixture.recorder.outcomes()[0], ("s2".to_string(), AttemptOutcome::Lost));
    insta::assert_snapshot!(split_model.trace().join("\n"));
}

#[test]
fn split_first_stage_crashes() {
    let split_model = SplitModel::new();
    split_model.set_engine_faults("s1", |faults| faults.die_at_position = Some(7));
    let fixture = DispatchFixture::new();
    split_model.assert_answered(&fixture);
    assert_eq!(fixture.recorder.outcomes()[0], ("s1".to_string(), AttemptOutcome::Lost));
    insta::assert_snapshot!(split_model.trace().join("\n"));
}

#[test]
fn split_two_stages_crash() {
    let split_model = SplitModel::new();
    split_model.set_engine_faults("s1", |faults| faults.die_at_position = Some(1));
    split_model.set_engine_faults("s2", |faults| faults.die_at_position = Some(9));
    split_model.assert_answered(&DispatchFixture::new());
    insta::assert_snapshot!(split_model.trace().join("\n"));
}

#[test]
fn split_silent_stage_is_replaced() {
    for silent in ["s1", "s2"] {
        let split_model = SplitModel::new();
        split_model.set_engine_faults(silent, |faults| faults.hang_at_position = Some(4));
        let fixture = DispatchFixture::new();
        split_model.assert_answered(&fixture);
        assert_eq!(fixture.recorder.outcomes()[0], (silent.to_string(), AttemptOutcome::Silent));
        split_model.trace();
    }
}

#[test]
fn split_stage_resumes_abandoned_attempt() {
    let split_model = SplitModel::new();
    split_model.set_engine_faults("s2", |faults| faults.hang_at_position = Some(4));
    split_model.assert_answered(&DispatchFixture::new());
    // The silent stage resumes where it stopped, in the attempt that was abandoned.
    split_model.set_engine_faults("s2", |_| {});
    let resumed = |entry: &JournalEntry| {
        entry.position == Some(4) && entry.attempt == Some(1) && entry.server == "s2"
    };
    for _ in 0..200 {
        if split_model.journal().iter().any(resumed) {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    assert!(split_model.journal().iter().any(resumed), "the stage did not resume");
    split_model.assert_no_layer_ran_twice();
    insta::assert_snapshot!(split_model.trace().join("\n"));
}

#[test]
fn split_degraded_link_is_avoided() {
    let split_model = SplitModel::new();
    split_model.set_engine_faults("s1", |faults| faults.link_delay_ms = 5_000);
    let fixture = DispatchFixture::new();
    split_model.assert_answered(&fixture);
    assert_eq!(fixture.recorder.outcomes()[0].1, AttemptOutcome::Silent);
    let trace = split_model.trace();
    assert!(trace.iter().all(|line| !line.contains("s1[")), "{trace:?}");
}

#[test]
fn split_degraded_link_without_alternative_is_incomplete() {
    let mut split_model = SplitModel::new();
    split_model.source.holders.retain(|holder| holder.server != "s3");
    split_model.set_engine_faults("s1", |faults| faults.link_delay_ms = 5_000);
    let mut fixture = DispatchFixture::new();
    fixture.settings.max_attempts = 3;
    let (run, tokens) = run(&fixture, &split_model.source);
    assert!(matches!(run.outcome, Outcome::Incomplete { .. }), "{:?}", run.outcome);
    assert!(tokens.is_empty());
    assert_eq!(run.report.attempts.len(), 3);
}

#[test]
fn split_failing_live_stage_is_no_crash() {
    let mut split_model = SplitModel::new();
    // The plan assumes that the second engine holds layers that it does not hold.
    let fastest =
        split_model.source.holders.iter_mut().find(|holder| holder.server == "s2").unwrap();
    fastest.layer_from = 4;
    fastest.layer_us = 1;
    let fixture = DispatchFixture::new();
    split_model.assert_answered(&fixture);
    assert_eq!(fixture.recorder.outcomes()[0], ("s2".to_string(), AttemptOutcome::Failed));
    assert_eq!(
        fixture.crash_guard.status(generate_job().fingerprint, SystemClock.now()),
        QuarantineStatus::Clear
    );
}

#[test]
fn split_non_idempotent_is_not_retried() {
    let split_model = SplitModel::new();
    split_model.set_engine_faults("s2", |faults| faults.die_at_position = Some(4));
    let (run, _) = run_request(&DispatchFixture::new(), &split_model.source, true);
    assert!(matches!(run.outcome, Outcome::Unknown(_)), "{:?}", run.outcome);
    let attempts: BTreeSet<Option<u32>> =
        split_model.journal().iter().map(|entry| entry.attempt).collect();
    assert_eq!(attempts, BTreeSet::from([Some(1)]));
}
