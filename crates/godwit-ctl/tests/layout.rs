//! Runs `godwitctl layout` on fleet files.

use std::path::Path;
use std::process::{Command, Output};

fn layout(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_godwitctl"))
        .arg("layout")
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .output()
        .expect("godwitctl runs")
}

fn text(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    text.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

#[test]
fn layout_of_the_example_is_printed_with_its_forecast() {
    let output = layout(&["docs/examples/fleet.toml"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    insta::assert_snapshot!(text(&output.stdout));
}

#[test]
fn layout_as_json_places_every_server() {
    let output = layout(&["--json", "docs/examples/fleet.toml"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("output is JSON");
    let servers = report["servers"].as_array().expect("a list");
    assert_eq!(servers.len(), 33);
    assert!(servers.iter().all(|server| server["layers"].is_array()), "{report}");
    let needed = report["forecast"]["needed_servers"].as_array().expect("a list");
    assert!(needed.is_empty(), "each layer is held by two servers: {needed:?}");
}

#[test]
fn layout_of_a_bad_file_names_the_field() {
    let path = std::env::temp_dir().join(format!("godwit-fleet-{}.toml", std::process::id()));
    std::fs::write(&path, "[model]\nlayers = \"many\"\n")
        .expect("the temporary folder is writable");
    let output = layout(&[&path.display().to_string()]);
    std::fs::remove_file(&path).expect("the file exists");
    assert!(!output.status.success());
    assert!(text(&output.stderr).contains("layers = \"many\""), "{}", text(&output.stderr));
}
