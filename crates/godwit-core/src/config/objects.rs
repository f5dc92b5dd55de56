//! Names of the configuration objects.

/// Prefix of the names of all configuration objects, so that one watch covers them.
pub const CONFIG_PREFIX: &str = "config/";

/// Name of the object that holds the fleet.
pub const FLEET_OBJECT: &str = "config/fleet";

const WORKSPACE_PREFIX: &str = "config/workspaces/";

/// Content of a configuration object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind<'a> {
    /// The fleet.
    Fleet,
    /// The workspace with this name.
    Workspace(&'a str),
    /// Content unknown to this version of the program.
    Other,
}

/// Name of the object that holds a workspace.
///
/// ```
/// assert_eq!(godwit_core::config::workspace_object("farm"), "config/workspaces/farm");
/// ```
pub fn workspace_object(workspace: &str) -> String {
    format!("{WORKSPACE_PREFIX}{workspace}")
}

/// Determines the content of an object from its name.
///
/// ```
/// use godwit_core::config::{ObjectKind, object_kind};
/// assert_eq!(object_kind("config/workspaces/farm"), ObjectKind::Workspace("farm"));
/// assert_eq!(object_kind("ledger/x"), ObjectKind::Other);
/// ```
pub fn object_kind(name: &str) -> ObjectKind<'_> {
    if name == FLEET_OBJECT {
        return ObjectKind::Fleet;
    }
    match name.strip_prefix(WORKSPACE_PREFIX) {
        Some(workspace) if !workspace.is_empty() => ObjectKind::Workspace(workspace),
        _ => ObjectKind::Other,
    }
}
