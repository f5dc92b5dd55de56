//! Engine stand-ins of the dispatch tests, and runs against them.

use godwit_core::split::StageHolder;
use godwit_host::dispatch::{GenerateJob, GeneratedAnswer, Run, ServerSource, run_generate};
use godwit_schema::engine::{JournalAction, JournalEntry};
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel, expected_tokens};

use crate::support::{DispatchFixture, RecordingSink, claimed_request};

pub(crate) const MODEL: &str = "barley";
pub(crate) const PROMPT: &str = "When is my slot?";
pub(crate) const TOKENS: u32 = 12;
const TOKENS_PER_S: f64 = 500.0;

/// Starts an engine that holds the layers `[from, to)` of `layers`.
pub(crate) fn start_engine(name: &str, from: u32, to: u32, layers: u32) -> EngineStandin {
    let mut settings = EngineSettings::new("127.0.0.1:0".parse().unwrap(), name);
    settings.models = vec![LoadedModel::range(MODEL, from, to, layers)];
    settings.tokens_per_s = TOKENS_PER_S;
    settings.prefill_tokens_per_s = 100_000.0;
    EngineStandin::start(settings).unwrap()
}

/// Starts an engine that holds the whole model.
pub(crate) fn start_whole_engine(name: &str) -> EngineStandin {
    start_engine(name, 0, 8, 8)
}

pub(crate) fn address(engine: &EngineStandin) -> String {
    engine.address().to_string()
}

/// Returns a holder of the layers in `range`; a higher rank is slower.
pub(crate) fn stage_holder(
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

pub(crate) fn generate_job() -> GenerateJob<'static> {
    GenerateJob {
        model: MODEL,
        adapter: None,
        prompt: PROMPT,
        idempotency_key: None,
        fingerprint: 7,
    }
}

/// Runs an idempotent request and returns the tokens that its caller received.
pub(crate) fn run(
    fixture: &DispatchFixture,
    source: &dyn ServerSource,
) -> (Run<GeneratedAnswer>, Vec<String>) {
    run_request(fixture, source, false)
}

pub(crate) fn run_request(
    fixture: &DispatchFixture,
    source: &dyn ServerSource,
    non_idempotent: bool,
) -> (Run<GeneratedAnswer>, Vec<String>) {
    let mut sink = RecordingSink::default();
    let request = claimed_request("r-1", TOKENS, non_idempotent);
    let idempotency_key = non_idempotent.then_some("k-1");
    let job = GenerateJob { idempotency_key, ..generate_job() };
    let run = run_generate(request, &job, &fixture.context(source), &mut sink);
    (run, sink.tokens)
}

pub(crate) fn expected_answer() -> Vec<String> {
    expected_tokens(MODEL, PROMPT, TOKENS)
}

/// Returns the positions that an engine ran, in order.
pub(crate) fn executed_positions(engine: &EngineStandin) -> Vec<u32> {
    let is_run =
        |entry: &JournalEntry| matches!(entry.action, JournalAction::Token | JournalAction::Step);
    engine
        .journal()
        .iter()
        .filter(|entry| is_run(entry))
        .filter_map(|entry| entry.position)
        .collect()
}
