//! Stand-ins of engines for the tests.

use godwit_core::split::StageHolder;
use godwit_host::dispatch::{GenerateJob, GeneratedAnswer, Run, ServerSource, run_generate};
use godwit_schema::engine::{JournalAction, JournalEntry};
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel, expected_tokens};

use crate::support::{Bench, Sink, life};

pub(crate) const MODEL: &str = "barley";
pub(crate) const PROMPT: &str = "When is my slot?";
pub(crate) const TOKENS: u32 = 12;
const TOKENS_PER_S: f64 = 500.0;

/// An engine that holds the layers `[from, to)` of `layers`.
pub(crate) fn engine(name: &str, from: u32, to: u32, layers: u32) -> EngineStandin {
    let mut settings = EngineSettings::new("127.0.0.1:0".parse().unwrap(), name);
    settings.models = vec![LoadedModel::range(MODEL, from, to, layers)];
    settings.tokens_per_s = TOKENS_PER_S;
    settings.prefill_tokens_per_s = 100_000.0;
    EngineStandin::start(settings).unwrap()
}

/// An engine that holds the model whole.
pub(crate) fn whole(name: &str) -> EngineStandin {
    engine(name, 0, 8, 8)
}

pub(crate) fn address(engine: &EngineStandin) -> String {
    engine.address().to_string()
}

/// A holder of layers; a higher rank is slower.
pub(crate) fn holder(
    engine: &EngineStandin,
    name: &str,
    range: (u32, u32),
    rank: u64,
) -> StageHolder {
    StageHolder {
        server: name.to_string(),
        address: address(engine),
        failure_domain: "hall-a".to_string(),
        layer_from: range.0,
        layer_to: range.1,
        layer_us: 100 * rank,
        overhead_us: 10,
    }
}

pub(crate) fn job() -> GenerateJob<'static> {
    GenerateJob {
        model: MODEL,
        adapter: None,
        prompt: PROMPT,
        idempotency_key: None,
        fingerprint: 7,
    }
}

/// Runs an idempotent request and gives the tokens that its caller got.
pub(crate) fn run(bench: &Bench, source: &dyn ServerSource) -> (Run<GeneratedAnswer>, Vec<String>) {
    run_life(bench, source, false)
}

pub(crate) fn run_life(
    bench: &Bench,
    source: &dyn ServerSource,
    non_idempotent: bool,
) -> (Run<GeneratedAnswer>, Vec<String>) {
    let mut sink = Sink::default();
    let life = life("r-1", TOKENS, non_idempotent);
    let idempotency_key = non_idempotent.then_some("k-1");
    let job = GenerateJob { idempotency_key, ..job() };
    let run = run_generate(life, &job, &bench.context(source), &mut sink);
    (run, sink.tokens)
}

pub(crate) fn expected() -> Vec<String> {
    expected_tokens(MODEL, PROMPT, TOKENS)
}

/// Positions that an engine ran, in order.
pub(crate) fn positions(engine: &EngineStandin) -> Vec<u32> {
    let ran =
        |entry: &JournalEntry| matches!(entry.action, JournalAction::Token | JournalAction::Step);
    engine.journal().iter().filter(|entry| ran(entry)).filter_map(|entry| entry.position).collect()
}
