//! Configuration: objects and their validation, rules, admission of requests, and the active view.

mod admit;
mod check;
mod objects;
mod rules;
mod view;

pub use admit::{AdmissionRequest, Refusal, admit};
pub use check::{
    Finding, Severity, check_fleet, check_fleet_change, check_workspace, check_workspace_change,
};
pub use objects::{CONFIG_PREFIX, FLEET_OBJECT, ObjectKind, object_kind, workspace_object};
pub use rules::{
    Facts, Mismatch, RuleExplanation, RuleResult, explain, first_matching_rule, first_mismatch,
};
pub use view::{ConfigView, key_sha256};
