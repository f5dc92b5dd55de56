//! `godwitctl standin`: runs one stand-in as a process until SIGINT or SIGTERM.

pub(crate) mod engine;
pub(crate) mod platform;
pub(crate) mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bpaf::Bpaf;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::error::CtlError;
use engine::{EngineFlags, engine_flags};
use platform::{PlatformFlags, platform_flags};
use service::{ServiceFlags, service_flags};

/// Time between two checks for a signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Subcommands of `godwitctl standin`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum StandinCommand {
    /// Stand-in of the platform, for example `godwitctl standin platform --bind 127.0.0.1:7000`
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform_flags))] PlatformFlags),
    /// Stand-in of a model engine, for example `godwitctl standin engine --name engine-1 --model barley:0-16/32`
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_flags))] EngineFlags),
    /// Stand-in of a plain service, for example `godwitctl standin service --name orders-1`
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_flags))] ServiceFlags),
}

/// Runs a stand-in until SIGINT or SIGTERM.
pub(crate) fn run(command: &StandinCommand) -> Result<(), CtlError> {
    match command {
        StandinCommand::Platform(flags) => platform::run(flags),
        StandinCommand::Engine(flags) => engine::run(flags),
        StandinCommand::Service(flags) => service::run(flags),
    }
}

/// Addresses on which a stand-in listens.
#[derive(Bpaf, Clone, Debug)]
struct Binds {
    /// Address to serve on; port 0 selects a free port
    #[bpaf(
        long("bind"),
        env("GODWIT_BIND"),
        argument("IP:PORT"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 0))),
        display_fallback
    )]
    bind: SocketAddr,
    /// Address of `PUT /faults` and `GET /journal`; a free port when absent
    #[bpaf(long("control-bind"), env("GODWIT_CONTROL_BIND"), argument("IP:PORT"), optional)]
    control_bind: Option<SocketAddr>,
}

impl Binds {
    fn control(&self) -> SocketAddr {
        self.control_bind.unwrap_or(SocketAddr::new(self.bind.ip(), 0))
    }
}

fn serve_until_signal(address: SocketAddr, control_address: SocketAddr) -> Result<(), CtlError> {
    let is_stopping = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register_conditional_shutdown(signal, 1, is_stopping.clone())?;
        signal_hook::flag::register(signal, is_stopping.clone())?;
    }
    println!("address={address}");
    println!("control_address={control_address}");
    while !is_stopping.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    Ok(())
}
