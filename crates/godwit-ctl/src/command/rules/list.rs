//! `godwitctl rules list`: the rules of a workspace in evaluation order.

use godwit_schema::config::Rule;

use crate::edit;
use crate::error::CtlError;
use crate::output::{Format, print_rows};
use crate::store::Store;

/// Lists the rules of a workspace.
pub(crate) fn run(store: &Store, workspace: &str, format: Format) -> Result<(), CtlError> {
    let read = edit::read_workspace(store, workspace)?;
    let rows: Vec<Vec<String>> =
        read.value.rules.iter().enumerate().map(|(index, rule)| row(index, rule)).collect();
    print_rows(format, &["#", "rule", "when", "then"], &rows, &read.value.rules)
}

fn row(index: usize, rule: &Rule) -> Vec<String> {
    let then = match (&rule.admit, &rule.refuse) {
        (Some(admit), _) => format!("admit {}", format_set_fields(admit)),
        (None, Some(refuse)) => format!("refuse {}", refuse.reason),
        (None, None) => "-".to_string(),
    };
    vec![(index + 1).to_string(), rule.name.clone(), format_set_fields(&rule.when), then]
}

/// Formats the fields that are set as `name=value` pairs. Empty lists, zeros and `false` count as not set.
fn format_set_fields<T: serde::Serialize>(value: &T) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(value) else {
        return String::new();
    };
    let is_set = |value: &serde_json::Value| {
        let is_empty_list = value.as_array().is_some_and(Vec::is_empty);
        !is_empty_list && *value != serde_json::json!(0) && *value != serde_json::json!(false)
    };
    let set = fields.iter().filter(|(_, value)| is_set(value));
    set.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
}
