//! Configuration: its objects, their check, the rules and what is in force.

mod admit;
mod check;
mod objects;
mod rules;
mod store;
mod view;

pub use admit::{Ask, Refusal, admit};
pub use check::{
    Finding, Severity, check_fleet, check_fleet_change, check_workspace, check_workspace_change,
};
pub use objects::{CONFIG_PREFIX, FLEET_OBJECT, ObjectKind, object_kind, workspace_object};
pub use rules::{Explained, Facts, Mismatch, RuleResult, decide, explain, mismatch};
pub use store::{Accepted, ConfigDigest, ConfigStore, Stored};
pub use view::{ConfigView, key_sha256};
