//! Valid configurations in other spellings than those of the operator's own encoder.

use serde_json::{Value, json};

/// Number of spellings, of which one is the usual one.
const SPELLINGS: u64 = 5;

/// Returns a configuration in the spelling of its version. What it says stays the same.
pub(super) fn respelled(mut configuration: Value, version: u64) -> Value {
    match version % SPELLINGS {
        1 => write_integers_as_fractions(&mut configuration),
        2 => write_absent_as_null(&mut configuration),
        3 => add_unknown_kind(&mut configuration),
        4 => split_by_fractions(&mut configuration),
        _ => {}
    }
    configuration
}

/// Writes `2.0` for `2`.
fn write_integers_as_fractions(value: &mut Value) {
    match value {
        Value::Number(number) => {
            let fraction = number.as_f64().expect("a number that fits");
            *value = json!(fraction);
        }
        Value::Array(items) => items.iter_mut().for_each(write_integers_as_fractions),
        Value::Object(fields) => fields.values_mut().for_each(write_integers_as_fractions),
        _ => {}
    }
}

fn write_absent_as_null(configuration: &mut Value) {
    for route in configuration["Routes"].as_array_mut().expect("routes") {
        route["TrafficSplit"] = Value::Null;
        route["Public"] = Value::Null;
        if route["Kind"] != "streaming" {
            route["Resumable"] = Value::Null;
            route["TargetGapMs"] = Value::Null;
        }
    }
    configuration["Services"][0]["Engine"] = Value::Null;
    configuration["Tenants"][0]["Priority"] = Value::Null;
}

/// Adds a route of a kind that hosts do not know.
fn add_unknown_kind(configuration: &mut Value) {
    let mut route = configuration["Routes"][0].clone();
    route["Name"] = json!("/unknown/");
    route["PathPrefix"] = json!("/unknown/");
    route["Kind"] = json!("bidirectional");
    configuration["Routes"].as_array_mut().expect("routes").push(route);
}

/// Splits a route by weights below 1.
fn split_by_fractions(configuration: &mut Value) {
    let route = configuration["Routes"][0].as_object_mut().expect("a route");
    let service = route.remove("Service").expect("the service of the route");
    let part = |weight: f64| json!({"Service": service, "Weight": weight});
    let split = [0.25, 0.75].map(part);
    route.insert("TrafficSplit".to_string(), json!(split));
}
