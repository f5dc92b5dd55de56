//! Snapshot of a failure domain: reported state and desired state of its engines.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::orders::DesiredServer;

use crate::UnixMs;

/// One engine: its configuration and its last load report.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Whether the engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Models and adapters that the engine has loaded.
    pub loaded: Vec<String>,
    /// Start time of the engine's process.
    pub started_at: UnixMs,
}

/// State of a failure domain as far as the coordinator knows. The snapshot may be out of date: it decides which orders
/// are useful, never which are safe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainSnapshot {
    /// Engines that answer with a load report, by name.
    pub servers: BTreeMap<String, Server>,
    /// Desired state of each engine, by name of the engine.
    pub desired: BTreeMap<String, DesiredServer>,
    /// Models of the fleet. Anything else that an engine has loaded is never unloaded.
    pub models: BTreeSet<String>,
}
