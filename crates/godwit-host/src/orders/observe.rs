//! Snapshots of the desired and the reported state of the engines of this failure domain.

use std::collections::BTreeMap;

use godwit_core::UnixMs;
use godwit_core::orders::{DomainSnapshot, Server, desired_object_name};
use godwit_platform::{Platform, ReadError};
use godwit_schema::config::{BackendServer, Fleet, ServerRole};
use godwit_schema::orders::DesiredServer;
use godwit_schema::platform::ObjectHead;
use tracing::warn;

use crate::Clock;

/// Timeout of the call for an engine's load report.
const LOAD_CALL_TIMEOUT_MS: u64 = 500;

/// Engines of this failure domain and models of the fleet in the active configuration.
#[derive(Clone, Debug, Default)]
pub struct DomainFleet {
    /// Engines of this failure domain.
    pub engines: Vec<BackendServer>,
    /// Names of all models of the fleet.
    pub models: Vec<String>,
}

impl DomainFleet {
    /// Selects the engines of a failure domain, and the names of all models, from the object `fleet`.
    pub fn of(fleet: &Fleet, failure_domain: &str) -> DomainFleet {
        let is_engine_of_domain = |server: &&BackendServer| {
            server.failure_domain == failure_domain && server.role == ServerRole::Engine
        };
        DomainFleet {
            engines: fleet.servers.iter().filter(is_engine_of_domain).cloned().collect(),
            models: fleet.models.iter().map(|model| model.name.clone()).collect(),
        }
    }

    /// Address of an engine; `None` if the engine is not configured.
    pub(super) fn address(&self, server: &str) -> Option<String> {
        let engine = self.engines.iter().find(|engine| engine.name == server)?;
        Some(engine.address.clone())
    }
}

/// Takes snapshots. Caches the objects `desired/SERVER`, and reads one again only if its version has changed.
#[derive(Default)]
pub(super) struct Observer {
    desired: BTreeMap<String, (u64, DesiredServer)>,
}

impl Observer {
    /// Takes a snapshot from the store and from the load reports of the engines that have a desired state.
    pub(super) fn observe(
        &mut self,
        platform: &Platform,
        fleet: &DomainFleet,
        clock: &dyn Clock,
    ) -> Result<DomainSnapshot, ReadError> {
        self.refresh(platform, fleet)?;
        let mut snapshot = DomainSnapshot {
            models: fleet.models.iter().cloned().collect(),
            ..DomainSnapshot::default()
        };
        for engine in &fleet.engines {
            let Some((_, desired)) = self.desired.get(&engine.name) else { continue };
            snapshot.desired.insert(engine.name.clone(), desired.clone());
            if let Some(server) = fetch_server(engine, clock) {
                snapshot.servers.insert(engine.name.clone(), server);
            }
        }
        Ok(snapshot)
    }

    fn refresh(&mut self, platform: &Platform, fleet: &DomainFleet) -> Result<(), ReadError> {
        let heads = platform.list(&desired_object_name(""))?.objects;
        let head_of = |server: &str| {
            let name = desired_object_name(server);
            heads.iter().find(|head| head.name == name)
        };
        self.desired.retain(|server, _| head_of(server).is_some());
        for engine in &fleet.engines {
            if let Some(head) = head_of(&engine.name) {
                self.refresh_one(platform, &engine.name, head)?;
            }
        }
        Ok(())
    }

    fn refresh_one(
        &mut self,
        platform: &Platform,
        server: &str,
        head: &ObjectHead,
    ) -> Result<(), ReadError> {
        if self.desired.get(server).is_some_and(|(version, _)| *version >= head.version) {
            return Ok(());
        }
        let object = match platform.read(&head.name) {
            Ok(Some(object)) => object,
            Ok(None) => return Ok(()),
            Err(error @ ReadError::Unreadable { .. }) => {
                warn!(event = "desired_object_unreadable", server, error = %error);
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        match serde_json::from_value(object.value) {
            Ok(desired) => {
                self.desired.insert(server.to_string(), (object.version, desired));
            }
            Err(error) => warn!(event = "desired_object_unreadable", server, error = %error),
        }
        Ok(())
    }
}

fn fetch_server(engine: &BackendServer, clock: &dyn Clock) -> Option<Server> {
    let now = clock.now();
    let report =
        godwit_engine::load(&engine.address, now.plus_ms(LOAD_CALL_TIMEOUT_MS), now).ok()?;
    Some(Server {
        checks_fencing: engine.checks_fencing,
        loaded: report.models,
        started_at: UnixMs(report.started_at_unix_ms),
    })
}
