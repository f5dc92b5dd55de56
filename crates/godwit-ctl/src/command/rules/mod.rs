//! Commands for the rules of a workspace.

pub(crate) mod add;
pub(crate) mod explain;
pub(crate) mod list;
pub(crate) mod r#move;
pub(crate) mod remove;

use godwit_schema::config::Workspace;

use crate::error::CtlError;

fn rule_index(workspace: &Workspace, rule: &str) -> Result<usize, CtlError> {
    let found = workspace.rules.iter().position(|candidate| candidate.name == rule);
    found.ok_or_else(|| CtlError::NotFound { what: "rule", name: rule.to_string() })
}
