//! `godwitctl standin service`: the stand-in of a plain service.

use bpaf::Bpaf;
use godwit_standin::{ServiceSettings, ServiceStandin};

use super::{Binds, binds};
use crate::error::CtlError;

/// Flags of `standin service`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct ServiceFlags {
    #[bpaf(external(binds))]
    binds: Binds,
    /// Name of the server
    #[bpaf(long("name"), env("GODWIT_NAME"), argument("NAME"))]
    name: String,
    /// Number of calls that run at the same time
    #[bpaf(long("slots"), env("GODWIT_SLOTS"), argument("COUNT"), fallback(32), display_fallback)]
    slots: u32,
    /// Time that each call runs
    #[bpaf(long("call-ms"), env("GODWIT_CALL_MS"), argument("MS"), fallback(1), display_fallback)]
    call_ms: u64,
}

/// Runs the stand-in until SIGINT or SIGTERM.
pub(super) fn run(flags: &ServiceFlags) -> Result<(), CtlError> {
    let service = ServiceStandin::start(ServiceSettings {
        control_bind: flags.binds.control(),
        slots: flags.slots,
        call_ms: flags.call_ms,
        ..ServiceSettings::new(flags.binds.bind, &flags.name)
    })?;
    super::serve_until_signal(service.address(), service.control_address())
}
