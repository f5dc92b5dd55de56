//! Split models: stages that die, fall silent, overlap or come back, proved by the journals.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use godwit_core::quarantine::QuarantineStatus;
use godwit_host::dispatch::{AttemptOutcome, Outcome};
use godwit_host::{Clock, SystemClock};
use godwit_schema::engine::{EngineFaults, JournalAction, JournalEntry};
use godwit_standin::EngineStandin;

use crate::engines::{TOKENS, engine, expected, holder, job, run, run_life};
use crate::support::{Bench, PlanSource};

const LAYERS: u32 = 12;

/// Four engines with overlapping ranges; the first two are the fastest.
struct Site {
    engines: BTreeMap<&'static str, EngineStandin>,
    source: PlanSource,
}

const RANGES: [(&str, (u32, u32)); 4] =
    [("s1", (0, 6)), ("s2", (6, 12)), ("s3", (0, 8)), ("s4", (4, 12))];

impl Site {
    fn new() -> Site {
        let mut engines = BTreeMap::new();
        let mut holders = Vec::new();
        for (rank, (name, range)) in (1..).zip(RANGES) {
            let engine = engine(name, range.0, range.1, LAYERS);
            holders.push(holder(&engine, name, range, rank));
            engines.insert(name, engine);
        }
        Site { engines, source: PlanSource { layers: LAYERS, holders } }
    }

    fn break_engine(&self, name: &str, change: impl FnOnce(&mut EngineFaults)) {
        let mut faults = EngineFaults::default();
        change(&mut faults);
        self.engines[name].set_faults(faults).unwrap();
    }

    fn journal(&self) -> Vec<JournalEntry> {
        self.engines.values().flat_map(EngineStandin::journal).collect()
    }

    /// For each position the attempt whose token was accepted: the last one that the entry stage began at or before it.
    fn accepted_attempts(&self) -> BTreeMap<u32, u32> {
        let starts: BTreeMap<u32, u32> = self
            .journal()
            .iter()
            .filter(|entry| entry.action == JournalAction::Accepted)
            .map(|entry| (entry.attempt.unwrap(), entry.position.unwrap()))
            .collect();
        let attempt_of = |position: u32| {
            let begun = starts.iter().rev().find(|(_, first)| **first <= position);
            *begun.expect("the position was accepted in some attempt").0
        };
        (0..TOKENS).map(|position| (position, attempt_of(position))).collect()
    }

    /// The stages through which each accepted token went, as `server[from,to)`, after a check that they tile all layers.
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

    /// No engine ran a position of an attempt through a layer twice.
    fn assert_no_layer_twice(&self) {
        let mut seen = BTreeSet::new();
        for entry in self.journal() {
            if entry.action != JournalAction::Step {
                continue;
            }
            for layer in entry.layers[0]..entry.layers[1] {
                let key = (entry.attempt, entry.position, layer);
                assert!(seen.insert(key), "layer {layer} twice: {entry:?}");
            }
        }
    }

    #[track_caller]
    fn assert_whole(&self, bench: &Bench) {
        let (run, tokens) = run(bench, &self.source);
        assert!(matches!(run.outcome, Outcome::Answered { .. }), "{:?}", run.outcome);
        assert_eq!(tokens, expected());
        self.assert_no_layer_twice();
    }
}

#[test]
fn split_each_layer_once_in_order() {
    let site = Site::new();
    site.assert_whole(&Bench::new());
    let trace = site.trace();
    assert!(trace.iter().all(|line| line.ends_with("attempt 1: s1[0,6) s2[6,12)")), "{trace:?}");
}

#[test]
fn split_last_stage_dies() {
    let site = Site::new();
    site.break_engine("s2", |faults| faults.die_at_position = Some(4));
    let bench = Bench::new();
    site.assert_whole(&bench);
    assert_eq!(bench.recorder.endings()[0], ("s2".to_string(), AttemptOutcome::Lost));
    insta::assert_snapshot!(site.trace().join("\n"));
}

#[test]
fn split_first_stage_dies() {
    let site = Site::new();
    site.break_engine("s1", |faults| faults.die_at_position = Some(7));
    let bench = Bench::new();
    site.assert_whole(&bench);
    assert_eq!(bench.recorder.endings()[0], ("s1".to_string(), AttemptOutcome::Lost));
    insta::assert_snapshot!(site.trace().join("\n"));
}

#[test]
fn split_stages_die_twice() {
    let site = Site::new();
    site.break_engine("s1", |faults| faults.die_at_position = Some(1));
    site.break_engine("s2", |faults| faults.die_at_position = Some(9));
    site.assert_whole(&Bench::new());
    insta::assert_snapshot!(site.trace().join("\n"));
}

#[test]
fn split_stage_falls_silent() {
    for silent in ["s1", "s2"] {
        let site = Site::new();
        site.break_engine(silent, |faults| faults.hang_at_position = Some(4));
        let bench = Bench::new();
        site.assert_whole(&bench);
        assert_eq!(bench.recorder.endings()[0], (silent.to_string(), AttemptOutcome::Silent));
        site.trace();
    }
}

#[test]
fn split_stage_comes_back_with_old_attempt() {
    let site = Site::new();
    site.break_engine("s2", |faults| faults.hang_at_position = Some(4));
    site.assert_whole(&Bench::new());
    // The silent stage goes on where it was, in the attempt that was given up.
    site.break_engine("s2", |_| {});
    let late = |entry: &JournalEntry| {
        entry.position == Some(4) && entry.attempt == Some(1) && entry.server == "s2"
    };
    for _ in 0..200 {
        if site.journal().iter().any(late) {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    assert!(site.journal().iter().any(late), "the stage did not come back");
    site.assert_no_layer_twice();
    insta::assert_snapshot!(site.trace().join("\n"));
}

#[test]
fn split_degraded_link_is_left() {
    let site = Site::new();
    site.break_engine("s1", |faults| faults.link_delay_ms = 5_000);
    let bench = Bench::new();
    site.assert_whole(&bench);
    assert_eq!(bench.recorder.endings()[0].1, AttemptOutcome::Silent);
    let trace = site.trace();
    assert!(trace.iter().all(|line| !line.contains("s1[")), "{trace:?}");
}

#[test]
fn split_degraded_link_of_only_first_stage_ends_truthfully() {
    let mut site = Site::new();
    site.source.holders.retain(|holder| holder.server != "s3");
    site.break_engine("s1", |faults| faults.link_delay_ms = 5_000);
    let mut bench = Bench::new();
    bench.settings.max_attempts = 3;
    let (run, tokens) = run(&bench, &site.source);
    assert!(matches!(run.outcome, Outcome::Incomplete { .. }), "{:?}", run.outcome);
    assert!(tokens.is_empty());
    assert_eq!(run.report.attempts.len(), 3);
}

#[test]
fn split_live_stage_that_fails_is_no_crash() {
    let mut site = Site::new();
    // The second engine is said to hold layers that it does not have.
    let fastest = site.source.holders.iter_mut().find(|holder| holder.server == "s2").unwrap();
    fastest.layer_from = 4;
    fastest.layer_us = 1;
    let bench = Bench::new();
    site.assert_whole(&bench);
    assert_eq!(bench.recorder.endings()[0], ("s2".to_string(), AttemptOutcome::Failed));
    assert_eq!(
        bench.crash_guard.status(job().fingerprint, SystemClock.now()),
        QuarantineStatus::Clear
    );
}

#[test]
fn split_non_idempotent_is_not_run_again() {
    let site = Site::new();
    site.break_engine("s2", |faults| faults.die_at_position = Some(4));
    let (run, _) = run_life(&Bench::new(), &site.source, true);
    assert!(matches!(run.outcome, Outcome::Unknown(_)), "{:?}", run.outcome);
    let attempts: BTreeSet<Option<u32>> =
        site.journal().iter().map(|entry| entry.attempt).collect();
    assert_eq!(attempts, BTreeSet::from([Some(1)]));
}
