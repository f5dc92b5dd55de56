//! `godwitctl demo`: starts a whole site in one process and sends example requests to it.

mod request;
mod tour;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};

use crate::error::CtlError;
use crate::site::{FirstPorts, Names, Site, SiteSettings, WORKSPACE_KEY};

const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the site, runs the tour of example requests, and then waits for SIGINT or SIGTERM, unless `exits_after_tour`
/// is set.
///
/// # Errors
/// When the site cannot be started, or, with `exits_after_tour`, when a response of the tour is not as expected.
pub(crate) fn run(ports: FirstPorts, exits_after_tour: bool) -> Result<(), CtlError> {
    godwit_host::start_logs("warn").map_err(|error| CtlError::Failed(error.to_string()))?;
    let is_stopping = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, is_stopping.clone())?;
    }
    let site = Site::start(SiteSettings::demo(ports))?;
    print_addresses(&site);
    let outcome = tour::run(&site);
    if exits_after_tour {
        return outcome;
    }
    if let Err(error) = outcome {
        eprintln!("error: {error}");
    }
    println!("state=up stop=ctrl-c");
    while !is_stopping.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    Ok(())
}

fn print_addresses(site: &Site) {
    println!("platform_address={}", site.platform.address());
    println!(
        "service_address={} service_control={}",
        site.service.address(),
        site.service.control_address()
    );
    for (name, node) in &site.nodes {
        println!(
            "host={name} caller_address={} operator_address={} peer_address={}",
            node.caller_address(),
            node.operator_address(),
            node.peer_address()
        );
    }
    for (name, engine) in &site.engines {
        println!(
            "engine={name} address={} control_address={}",
            engine.standin.address(),
            engine.standin.control_address()
        );
    }
    println!("workspace={}", Names::WORKSPACE);
    println!("key={WORKSPACE_KEY}");
    println!("model={}", Names::MODEL);
    println!("split_model={}", Names::SPLIT_MODEL);
    println!("service={}", Names::SERVICE);
    println!("kind={}", Names::KIND);
    println!("kind_lookup={}", Names::KIND_LOOKUP);
    println!("kind_once={}", Names::KIND_ONCE);
    println!("event={}", Names::EVENT);
}
