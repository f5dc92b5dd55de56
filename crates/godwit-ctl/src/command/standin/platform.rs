//! `godwitctl standin platform`: the stand-in of the platform.

use bpaf::Bpaf;
use godwit_standin::{PlatformSettings, PlatformStandin};

use super::{Binds, binds};
use crate::error::CtlError;

/// Flags of `standin platform`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct PlatformFlags {
    #[bpaf(external(binds))]
    binds: Binds,
    /// Minimum time that each call takes
    #[bpaf(long("latency-ms"), env("GODWIT_LATENCY_MS"), argument("MS"), fallback(0))]
    latency_ms: u64,
    /// Maximum number of writes per second; unlimited when absent
    #[bpaf(long("writes-per-s"), env("GODWIT_WRITES_PER_S"), argument("COUNT"), optional)]
    writes_per_s: Option<u32>,
    /// Maximum number of reads, lists, watches and host list calls per second; unlimited when absent
    #[bpaf(long("reads-per-s"), env("GODWIT_READS_PER_S"), argument("COUNT"), optional)]
    reads_per_s: Option<u32>,
    /// Maximum number of calls per second to the weight store; unlimited when absent
    #[bpaf(long("weights-per-s"), env("GODWIT_WEIGHTS_PER_S"), argument("COUNT"), optional)]
    weights_per_s: Option<u32>,
    /// Delay until a new host list becomes visible
    #[bpaf(long("host-list-lag-ms"), env("GODWIT_HOST_LIST_LAG_MS"), argument("MS"), fallback(0))]
    host_list_lag_ms: u64,
}

/// Runs the stand-in until SIGINT or SIGTERM.
pub(super) fn run(flags: &PlatformFlags) -> Result<(), CtlError> {
    let platform = PlatformStandin::start(PlatformSettings {
        bind: flags.binds.bind,
        control_bind: flags.binds.control(),
        latency_ms: flags.latency_ms,
        writes_per_s: flags.writes_per_s,
        reads_per_s: flags.reads_per_s,
        weights_per_s: flags.weights_per_s,
        host_list_lag_ms: flags.host_list_lag_ms,
    })?;
    super::serve_until_signal(platform.address(), platform.control_address())
}
