//! `godwitctl rules explain`: shows which rule a request would match, and why.

use godwit_core::config::{Facts, RuleResult, explain};
use godwit_host::{Clock, SystemClock};
use serde_json::json;

use crate::edit;
use crate::error::CtlError;
use crate::output::{Format, print_rows};
use crate::store::Store;

/// The request to explain.
#[derive(Clone, Debug)]
pub(crate) struct ExplainedRequest {
    pub(crate) kind: String,
    pub(crate) event: Option<String>,
    pub(crate) model: Option<String>,
    pub(crate) prompt_bytes: u64,
    pub(crate) path: String,
}

/// Prints for each rule whether it matches the request and decides it, and otherwise why not.
pub(crate) fn run(
    store: &Store,
    workspace: &str,
    request: &ExplainedRequest,
    format: Format,
) -> Result<(), CtlError> {
    let read = edit::read_workspace(store, workspace)?;
    let find_event = |name: &String| {
        let found = read.value.events.iter().find(|event| event.name == *name);
        found.ok_or_else(|| CtlError::NotFound { what: "event", name: name.clone() })
    };
    let facts = Facts {
        kind: &request.kind,
        event: request.event.as_ref().map(find_event).transpose()?,
        model: request.model.as_deref(),
        prompt_bytes: request.prompt_bytes,
        path: &request.path,
        now: SystemClock.now(),
    };
    let explained = explain(&read.value, &facts);
    let describe = |result: RuleResult| match result {
        RuleResult::Decides => ("decides", String::new()),
        RuleResult::AfterDecision => ("matches", "an earlier rule decided".to_string()),
        RuleResult::Mismatch(mismatch) => ("no match", mismatch.to_string()),
    };
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for entry in &explained {
        let (result, reason) = describe(entry.result);
        values.push(json!({"rule": entry.rule.name, "result": result, "reason": reason}));
        rows.push(vec![entry.rule.name.clone(), result.to_string(), reason]);
    }
    print_rows(format, &["rule", "result", "why"], &rows, &values)
}
