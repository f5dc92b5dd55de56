//! What the coordinator knows of its failure domain.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::orders::DesiredServer;

use crate::UnixMs;

/// One engine as configured and as it last reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Whether the engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Models and adapters that it holds.
    pub held: Vec<String>,
    /// When its process started.
    pub started_at: UnixMs,
}

/// What the coordinator knows of its failure domain. All of it may be old: it decides which orders are useful, never
/// which are safe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Situation {
    /// Engines that report, by name.
    pub servers: BTreeMap<String, Server>,
    /// What engines shall hold, by name of the engine.
    pub desired: BTreeMap<String, DesiredServer>,
    /// Models of the fleet; anything else that an engine holds is left alone.
    pub models: BTreeSet<String>,
}
