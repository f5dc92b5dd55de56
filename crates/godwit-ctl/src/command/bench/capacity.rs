//! `godwitctl bench capacity`.

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::bench::capacity::{DrivePlan, SeedPlan, WatchPlan, WatchedHost, drive, seed, watch};
use crate::error::CtlError;

/// What is done for the slopes of docs/CAPACITY.md; `tools/capacity` runs them in order.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum CapacityCommand {
    /// Writes a configuration of a chosen size
    #[bpaf(command("seed"))]
    Seed(#[bpaf(external(seed_flags))] SeedFlags),
    /// Prints processor time, memory and counted calls of running hosts
    #[bpaf(command("watch"))]
    Watch(#[bpaf(external(watch_flags))] WatchFlags),
    /// Keeps a number of requests in progress on one host
    #[bpaf(command("drive"))]
    Drive(#[bpaf(external(drive_flags))] DriveFlags),
}

/// Size of a configuration.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct SeedFlags {
    /// Address of the platform
    #[bpaf(argument("IP:PORT"))]
    platform: SocketAddr,
    /// Address of all engines
    #[bpaf(argument("IP:PORT"))]
    engine: SocketAddr,
    /// Workspaces
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    workspaces: usize,
    /// Engines in seven failure domains
    #[bpaf(argument("COUNT"), fallback(50), display_fallback)]
    servers: usize,
    /// Engines in `domain-0`, among them
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    local_servers: usize,
    /// Slots of each engine in `domain-0`
    #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
    local_slots: u32,
    /// Further writes of one workspace
    #[bpaf(argument("COUNT"), fallback(0), display_fallback)]
    changes: usize,
    /// Time between two of these writes
    #[bpaf(argument("MS"), fallback(200), display_fallback)]
    change_interval_ms: u64,
}

/// Which hosts are watched.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct WatchFlags {
    /// Process and operator address of a host; may be given many times
    #[bpaf(long("host"), argument("PID@IP:PORT"), some("at least one host"))]
    hosts: Vec<WatchedHost>,
    /// For how long
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration_s: u64,
}

/// What is sent to a host.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct DriveFlags {
    /// Address of the host for callers
    #[bpaf(argument("IP:PORT"))]
    address: SocketAddr,
    /// Requests in progress at a time
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    streams: usize,
    /// Tokens of each answer
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    max_tokens: u32,
    /// Non-idempotent requests, claimed before they run
    #[bpaf(long("once"))]
    is_once: bool,
    /// For how long
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    duration_s: u64,
}

/// Runs a part of the capacity bench.
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
