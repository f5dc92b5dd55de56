//! `godwitctl bench capacity`: the parts of the capacity measurement.

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::bench::capacity::{DrivePlan, SeedPlan, WatchPlan, WatchedHost, drive, seed, watch};
use crate::error::CtlError;

/// Parts of the measurement behind the slopes in docs/CAPACITY.md; `tools/capacity` runs them in order.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum CapacityCommand {
    /// Writes a configuration of a given size
    #[bpaf(command("seed"))]
    Seed(#[bpaf(external(seed_flags))] SeedFlags),
    /// Prints the processor time, memory and call counters of running hosts
    #[bpaf(command("watch"))]
    Watch(#[bpaf(external(watch_flags))] WatchFlags),
    /// Keeps a constant number of requests in progress on one host
    #[bpaf(command("drive"))]
    Drive(#[bpaf(external(drive_flags))] DriveFlags),
}

/// Flags of `bench capacity seed`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct SeedFlags {
    /// Address of the platform
    #[bpaf(argument("IP:PORT"))]
    platform: SocketAddr,
    /// Address entered for every engine
    #[bpaf(argument("IP:PORT"))]
    engine: SocketAddr,
    /// Number of workspaces
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    workspaces: usize,
    /// Number of engines, spread over seven failure domains
    #[bpaf(argument("COUNT"), fallback(50), display_fallback)]
    servers: usize,
    /// Number of these engines in `domain-0`
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    local_servers: usize,
    /// Slots of each engine in `domain-0`
    #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
    local_slots: u32,
    /// Number of later writes of one workspace
    #[bpaf(argument("COUNT"), fallback(0), display_fallback)]
    changes: usize,
    /// Time between two later writes
    #[bpaf(argument("MS"), fallback(200), display_fallback)]
    change_interval_ms: u64,
}

/// Flags of `bench capacity watch`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct WatchFlags {
    /// Process id and operator address of a host; may be given several times
    #[bpaf(long("host"), argument("PID@IP:PORT"), some("at least one host"))]
    hosts: Vec<WatchedHost>,
    /// Duration of the measurement
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration_s: u64,
}

/// Flags of `bench capacity drive`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct DriveFlags {
    /// Caller address of the host
    #[bpaf(argument("IP:PORT"))]
    address: SocketAddr,
    /// Number of requests in progress at the same time
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    streams: usize,
    /// Maximum number of tokens in each response
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    max_tokens: u32,
    /// Sends non-idempotent requests, which are claimed before they run
    #[bpaf(long("once"))]
    is_once: bool,
    /// Duration for which requests are sent
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration_s: u64,
}

/// Runs one part of the capacity measurement.
pub(super) fn run(command: &CapacityCommand) -> Result<(), CtlError> {
    match command {
        CapacityCommand::Seed(flags) => seed(&SeedPlan {
            platform: flags.platform,
            engine: flags.engine,
            workspaces: flags.workspaces,
            servers: flags.servers,
            local_servers: flags.local_servers,
            local_slots: flags.local_slots,
            changes: flags.changes,
            change_interval_ms: flags.change_interval_ms,
        }),
        CapacityCommand::Watch(flags) => {
            watch(&WatchPlan { hosts: flags.hosts.clone(), duration_s: flags.duration_s })
        }
        CapacityCommand::Drive(flags) => drive(&DrivePlan {
            address: flags.address,
            streams: flags.streams,
            max_tokens: flags.max_tokens,
            is_once: flags.is_once,
            duration_s: flags.duration_s,
        }),
    }
}
