//! Differences between two versions of an object of the own interface, in words.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

/// Field with the hashes of a workspace's keys, which are counted only.
const KEYS_FIELD: &str = "key_sha256";

/// Returns what an object changes of another one, one line for each field; empty if they are equal.
///
/// ```
/// use serde_json::json;
/// let old = json!({"rules": [{"name": "notes", "admit": {"timeout_ms": 500}}], "share_weight": 1});
/// let new = json!({"rules": [{"name": "notes", "admit": {"timeout_ms": 900}}], "share_weight": 1});
/// let changes = godwit_ctl::object_changes::object_changes(&old, &new);
/// assert_eq!(changes, ["rules notes admit timeout_ms: 500 becomes 900"]);
/// assert!(godwit_ctl::object_changes::object_changes(&old, &old).is_empty());
/// ```
pub fn object_changes(old: &Value, new: &Value) -> Vec<String> {
    let mut changes = Vec::new();
    add_changes(&mut changes, "", old, new);
    changes
}

/// Returns the items of a list by their names; none if an item has no name, or two have the same.
fn named_items(items: &[Value]) -> Option<BTreeMap<&str, &Value>> {
    let named = items.iter().map(|item| Some((item.get("name")?.as_str()?, item)));
    let by_name: BTreeMap<&str, &Value> = named.collect::<Option<_>>()?;
    (by_name.len() == items.len()).then_some(by_name)
}

fn names(items: &[Value]) -> Vec<&str> {
    items.iter().filter_map(|item| item.get("name")?.as_str()).collect()
}

fn joined(place: &str, name: &str) -> String {
    if place.is_empty() { name.to_string() } else { format!("{place} {name}") }
}

fn add_changes(changes: &mut Vec<String>, place: &str, old: &Value, new: &Value) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => add_field_changes(changes, place, old, new),
        (Value::Array(old), Value::Array(new)) => add_item_changes(changes, place, old, new),
        _ => changes.push(format!("{place}: {old} becomes {new}")),
    }
}

fn add_field_changes(
    changes: &mut Vec<String>,
    place: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
) {
    let fields: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for field in fields {
        let place = joined(place, field);
        match (old.get(field), new.get(field)) {
            (Some(Value::Array(old)), Some(Value::Array(new))) if field == KEYS_FIELD => {
                add_key_changes(changes, old, new);
            }
            (Some(Value::Array(old)), None) if field == KEYS_FIELD => {
                add_key_changes(changes, old, &[]);
            }
            (None, Some(Value::Array(new))) if field == KEYS_FIELD => {
                add_key_changes(changes, &[], new);
            }
            (Some(old), Some(new)) => add_changes(changes, &place, old, new),
            (Some(Value::Array(old)), None) => add_item_changes(changes, &place, old, &[]),
            (None, Some(Value::Array(new))) => add_item_changes(changes, &place, &[], new),
            (Some(old), None) => changes.push(format!("{place}: {old} is removed")),
            (None, Some(new)) => changes.push(format!("{place}: {new} is new")),
            (None, None) => {}
        }
    }
}

fn add_key_changes(changes: &mut Vec<String>, old: &[Value], new: &[Value]) {
    let count =
        |of: &[Value], without: &[Value]| of.iter().filter(|hash| !without.contains(hash)).count();
    for (count, outcome) in [(count(new, old), "added"), (count(old, new), "removed")] {
        if count > 0 {
            changes.push(format!("keys {outcome}: {count}"));
        }
    }
}

fn add_item_changes(changes: &mut Vec<String>, place: &str, old: &[Value], new: &[Value]) {
    let (Some(old_items), Some(new_items)) = (named_items(old), named_items(new)) else {
        let list = |items: &[Value]| Value::from(items.to_vec());
        changes.push(format!("{place}: {} becomes {}", list(old), list(new)));
        return;
    };
    let removed = old_items.keys().filter(|name| !new_items.contains_key(*name));
    changes.extend(removed.map(|name| format!("{place} {name} is removed")));
    for (name, item) in &new_items {
        match old_items.get(name) {
            Some(before) => add_changes(changes, &joined(place, name), before, item),
            None => changes.push(format!("{place} {name} is added")),
        }
    }
    let kept = |items, others: &BTreeMap<&str, &Value>| -> Vec<String> {
        let kept = names(items).into_iter().filter(|name| others.contains_key(name));
        kept.map(str::to_string).collect()
    };
    if kept(old, &new_items) != kept(new, &old_items) {
        changes.push(format!("{place}: the order becomes {}", names(new).join(", ")));
    }
}
