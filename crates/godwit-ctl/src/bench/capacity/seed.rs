//! Writes a configuration of a given size.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use godwit_core::UnixMs;
use godwit_core::store_budget::StoreBudgetLimits;
use godwit_host::{Clock, SystemClock};
use godwit_platform::{Platform, PlatformSettings};
use godwit_schema::config::{BackendServer, Event, Rule, ServerRole, Workspace};
use serde::Serialize;

use crate::error::CtlError;
use crate::site::{Names, WORKSPACE_KEY, fleet, workspace};

const CALL_TIMEOUT_MS: u64 = 5_000;
const CALLS_PER_S: u32 = 1_000_000;
const MODELS: usize = 4;
const MODEL_LAYERS: u32 = 32;
const ACCELERATOR_KINDS: usize = 6;
const EVENTS_PER_WORKSPACE: usize = 12;
const RULES_PER_WORKSPACE: usize = 12;
const OTHER_DOMAINS: usize = 6;
const SLOTS: u32 = 8;
const TOKENS_PER_S: f64 = 50.0;
const HOUR_MS: u64 = 3_600_000;

/// Size of the configuration, and where it is written.
#[derive(Clone, Debug)]
pub(crate) struct SeedPlan {
    /// Address of the platform.
    pub(crate) platform: SocketAddr,
    /// Address entered for every engine.
    pub(crate) engine: SocketAddr,
    /// Number of workspaces.
    pub(crate) workspaces: usize,
    /// Number of engines in all failure domains.
    pub(crate) servers: usize,
    /// Number of these engines in the first failure domain.
    pub(crate) local_servers: usize,
    /// Slots of each engine in the first failure domain.
    pub(crate) local_slots: u32,
    /// Number of writes of the first workspace after the whole configuration is written.
    pub(crate) changes: usize,
    /// Time between two later writes.
    pub(crate) change_interval_ms: u64,
}

/// Writes the configuration and prints the size of the fleet and of the last workspace.
pub(crate) fn run(plan: &SeedPlan) -> Result<(), CtlError> {
    let budget =
        StoreBudgetLimits { reads_per_s: CALLS_PER_S, writes_per_s: CALLS_PER_S, burst_s: 1 };
    let settings = PlatformSettings { call_timeout_ms: CALL_TIMEOUT_MS, budget };
    let platform = Platform::new(&plan.platform.to_string(), settings);
    let now = SystemClock.now();
    let models: Vec<(String, u32)> =
        (0..MODELS).map(|number| (model_name(number), MODEL_LAYERS)).collect();
    let servers = (0..plan.servers).map(|number| server(plan, number)).collect();
    let fleet_bytes = write(&platform, "config/fleet", &fleet(&models, servers))?;
    let mut workspace_bytes = 0;
    for number in 0..plan.workspaces {
        let value = large_workspace(number, now);
        workspace_bytes = write(&platform, &format!("config/workspaces/{}", value.name), &value)?;
    }
    for change in 0..plan.changes {
        thread::sleep(Duration::from_millis(plan.change_interval_ms));
        let mut value = large_workspace(0, now);
        value.share_weight = 1 + (change % 2) as u32;
        write(&platform, &format!("config/workspaces/{}", value.name), &value)?;
    }
    println!("fleet_bytes={fleet_bytes} workspace_bytes={workspace_bytes}");
    Ok(())
}

fn write(platform: &Platform, name: &str, value: &impl Serialize) -> Result<usize, CtlError> {
    let failed = |error: String| CtlError::Failed(format!("{name}: {error}"));
    let read = platform.read(name).map_err(|error| failed(error.to_string()))?;
    let version = read.map_or(0, |object| object.version);
    let value = serde_json::to_value(value)?;
    platform.write(name, version, &value).map_err(|error| failed(error.to_string()))?;
    Ok(value.to_string().len())
}

fn model_name(number: usize) -> String {
    if number == 0 { Names::MODEL.to_string() } else { format!("{}-{number}", Names::MODEL) }
}

fn server(plan: &SeedPlan, number: usize) -> BackendServer {
    let is_local = number < plan.local_servers;
    let domain = if is_local { 0 } else { 1 + number % OTHER_DOMAINS };
    let model_number = if is_local { 0 } else { number % MODELS };
    BackendServer {
        accelerator_kind: Some(format!("kind-{}", number % ACCELERATOR_KINDS)),
        address: plan.engine.to_string(),
        checks_fencing: false,
        failure_domain: format!("domain-{domain}"),
        layer_from: None,
        layer_to: None,
        models: vec![model_name(model_number)],
        name: format!("server-{number:03}"),
        prefill_tokens_per_s: 0.0,
        role: ServerRole::Engine,
        service: None,
        slots: if is_local { plan.local_slots } else { SLOTS },
        tokens_per_s: TOKENS_PER_S,
    }
}

/// Returns a workspace with as many events and rules as a large customer has.
fn large_workspace(number: usize, now: UnixMs) -> Workspace {
    let name =
        if number == 0 { Names::WORKSPACE.to_string() } else { format!("workspace-{number:03}") };
    let key =
        if number == 0 { WORKSPACE_KEY.to_string() } else { format!("key-of-workspace-{number}") };
    let mut value = workspace(&name, &key, now);
    let first = value.events[0].clone();
    value.events.extend((1..EVENTS_PER_WORKSPACE).map(|event| Event {
        name: format!("collection-{event:02}"),
        start_unix_ms: first.start_unix_ms + event as u64 * HOUR_MS,
        ledger_slices: 1,
        ..first.clone()
    }));
    let last = value.rules.last().cloned();
    let later = last.into_iter().cycle().enumerate();
    let more = RULES_PER_WORKSPACE.saturating_sub(value.rules.len());
    value.rules.extend(
        later.take(more).map(|(number, rule): (usize, Rule)| Rule {
            name: format!("notes-{number:02}"),
            ..rule
        }),
    );
    value
}
