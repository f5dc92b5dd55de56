//! Parsed view of the active configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use godwit_schema::config::{Fleet, Workspace};
use sha2::{Digest, Sha256};

use super::objects::{ObjectKind, object_kind};
use crate::replica::{ObjectReplica, StoredObject};

/// Parsed object with the version from which it was parsed.
#[derive(Clone, Debug, Default)]
struct Parsed<T> {
    version: u64,
    value: Arc<T>,
}

/// Parsed configuration that is active on one host.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    fleet: Parsed<Fleet>,
    has_fleet: bool,
    workspaces: BTreeMap<String, Parsed<Workspace>>,
    workspace_by_key_hash: BTreeMap<String, String>,
    unreadable: Vec<String>,
}

/// Computes the SHA-256 of a workspace key in hexadecimal digits.
///
/// ```
/// assert!(godwit_core::config::key_sha256("secret").starts_with("2bb80d53"));
/// ```
pub fn key_sha256(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl ConfigView {
    /// Builds the view of the objects in `store`.
    ///
    /// Objects that `previous` holds in the same version are not parsed again. An object that cannot be parsed keeps
    /// its value from `previous`.
    pub fn build(store: &ObjectReplica, previous: &ConfigView) -> ConfigView {
        let mut view = ConfigView::default();
        for stored in store.iter() {
            view.add(stored, previous);
        }
        let workspaces = view.workspaces();
        let key_entries = workspaces.flat_map(|workspace| {
            let key_entry = |hash: &String| (hash.to_lowercase(), workspace.name.clone());
            workspace.key_sha256.iter().map(key_entry).collect::<Vec<_>>()
        });
        view.workspace_by_key_hash = key_entries.collect();
        view
    }

    fn add(&mut self, stored: &StoredObject, previous: &ConfigView) {
        let Some(text) = &stored.text else { return };
        match object_kind(&stored.name) {
            ObjectKind::Fleet => self.add_fleet(stored.version, text, previous),
            ObjectKind::Workspace(name) => {
                self.add_workspace(name, stored.version, text, previous);
            }
            ObjectKind::Other => {}
        }
    }

    fn add_fleet(&mut self, version: u64, text: &str, previous: &ConfigView) {
        self.fleet = previous.fleet.clone();
        self.has_fleet = previous.has_fleet;
        if self.has_fleet && self.fleet.version == version {
            return;
        }
        match serde_json::from_str::<Fleet>(text) {
            Ok(fleet) => {
                self.fleet = Parsed { version, value: Arc::new(fleet) };
                self.has_fleet = true;
            }
            Err(_) => self.unreadable.push("fleet".to_string()),
        }
    }

    fn add_workspace(&mut self, name: &str, version: u64, text: &str, previous: &ConfigView) {
        let previous_workspace = previous.workspaces.get(name);
        if let Some(known) = previous_workspace.filter(|known| known.version == version) {
            self.workspaces.insert(name.to_string(), known.clone());
            return;
        }
        let parsed = serde_json::from_str::<Workspace>(text);
        let workspace = match parsed {
            Ok(workspace) if workspace.name == name => {
                Some(Parsed { version, value: Arc::new(workspace) })
            }
            _ => {
                self.unreadable.push(format!("workspaces/{name}"));
                previous_workspace.cloned()
            }
        };
        if let Some(workspace) = workspace {
            self.workspaces.insert(name.to_string(), workspace);
        }
    }

    /// Whether a fleet is known; without one, no request can be served.
    pub fn is_usable(&self) -> bool {
        self.has_fleet
    }

    /// Returns the fleet.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet.value
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name).map(|parsed| &parsed.value)
    }

    /// Iterates over all workspaces, ordered by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values().map(|parsed| &parsed.value)
    }

    /// Returns the workspace to which `key` belongs.
    pub fn workspace_of_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        let name = self.workspace_by_key_hash.get(&key_sha256(key))?;
        self.workspace(name)
    }

    /// Names, without the `config/` prefix, of the objects whose newest version cannot be parsed.
    pub fn unreadable(&self) -> &[String] {
        &self.unreadable
    }
}
