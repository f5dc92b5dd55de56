//! `godwitctl standin engine`: the stand-in of a model engine.

use bpaf::Bpaf;
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel};

use super::{Binds, binds};
use crate::error::CtlError;

/// Flags of `standin engine`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct EngineFlags {
    #[bpaf(external(binds))]
    binds: Binds,
    /// Name of the server
    #[bpaf(long("name"), env("GODWIT_NAME"), argument("NAME"))]
    name: String,
    /// Model held: `NAME:LAYERS` for a whole model, `NAME:FROM-TO/LAYERS` for a range of layers; may be given several
    /// times
    #[bpaf(long("model"), argument("MODEL"))]
    models: Vec<LoadedModel>,
    /// Adapter held; may be given several times
    #[bpaf(long("adapter"), argument("ADAPTER"))]
    adapters: Vec<String>,
    /// Number of requests that run at the same time
    #[bpaf(long("slots"), env("GODWIT_SLOTS"), argument("COUNT"), fallback(8), display_fallback)]
    slots: u32,
    /// Tokens per second of one slot
    #[bpaf(
        long("tokens-per-s"),
        env("GODWIT_TOKENS_PER_S"),
        argument("RATE"),
        fallback(50.0),
        display_fallback
    )]
    tokens_per_s: f64,
    /// Prompt tokens processed per second
    #[bpaf(
        long("prefill-tokens-per-s"),
        env("GODWIT_PREFILL_TOKENS_PER_S"),
        argument("RATE"),
        fallback(5_000.0),
        display_fallback
    )]
    prefill_tokens_per_s: f64,
    /// Maximum number of requests that wait for a slot
    #[bpaf(
        long("queue-limit"),
        env("GODWIT_QUEUE_LIMIT"),
        argument("COUNT"),
        fallback(64),
        display_fallback
    )]
    queue_limit: u32,
    /// Maximum number of prompt prefix blocks in the cache
    #[bpaf(
        long("cache-blocks"),
        env("GODWIT_CACHE_BLOCKS"),
        argument("COUNT"),
        fallback(1_024),
        display_fallback
    )]
    cache_blocks: usize,
    /// Age of the load reports
    #[bpaf(
        long("load-report-lag-ms"),
        env("GODWIT_LOAD_REPORT_LAG_MS"),
        argument("MS"),
        fallback(0)
    )]
    load_report_lag_ms: u64,
    /// Time that an ordered load takes
    #[bpaf(
        long("order-load-ms"),
        env("GODWIT_ORDER_LOAD_MS"),
        argument("MS"),
        fallback(200),
        display_fallback
    )]
    order_load_ms: u64,
    /// Accepts orders regardless of their fencing number
    #[bpaf(long("ignores-fencing"))]
    ignores_fencing: bool,
}

/// Runs the stand-in until SIGINT or SIGTERM.
pub(super) fn run(flags: &EngineFlags) -> Result<(), CtlError> {
    let engine = EngineStandin::start(EngineSettings {
        control_bind: flags.binds.control(),
        models: flags.models.clone(),
        adapters: flags.adapters.clone(),
        slots: flags.slots,
        tokens_per_s: flags.tokens_per_s,
        prefill_tokens_per_s: flags.prefill_tokens_per_s,
        queue_limit: flags.queue_limit,
        cache_blocks: flags.cache_blocks,
        load_report_lag_ms: flags.load_report_lag_ms,
        order_load_ms: flags.order_load_ms,
        checks_fencing: !flags.ignores_fencing,
        ..EngineSettings::new(flags.binds.bind, &flags.name)
    })?;
    super::serve_until_signal(engine.address(), engine.control_address())
}
