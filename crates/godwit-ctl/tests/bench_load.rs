//! Runs `godwitctl bench load` as a process, with JSON output.

use std::process::Command;

use serde_json::Value;

fn bench(flags: &[&str]) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_godwitctl"))
        .args(["bench", "load", "--json", "--duration-s", "1", "--load-percent", "40"])
        .args(["--hosts-per-domain", "1", "--engines-per-domain", "2", "--max-requests", "40"])
        .args(flags)
        .output()
        .expect("godwitctl runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("output is JSON")
}

#[test]
fn bench_load_small_site() {
    let rows = bench(&["--mix", "mabaso", "--policy", "earliest-finish,round-robin"]);
    let rows = rows.as_array().expect("rows");
    assert_eq!(rows.len(), 2);
    assert_eq!(rows[0]["policy"], "earliest-finish");
    assert_eq!(rows[1]["policy"], "round-robin");
    for row in rows {
        assert!(row["all"]["sent"].as_u64() > Some(0));
        assert_eq!(row["all"]["sent"], rows[0]["all"]["sent"], "the seed gives the same requests");
        assert_eq!(row["all"]["wrong"], 0);
        assert_eq!(row["refused_but_ran"], 0);
    }
}

#[test]
fn bench_load_refuses_remote_address() {
    let output = Command::new(env!("CARGO_BIN_EXE_godwitctl"))
        .args(["bench", "load", "--address", "192.0.2.1:80", "--key", "k"])
        .args(["--bound-tokens-per-s", "10"])
        .output()
        .expect("godwitctl runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--allow-remote"));
}
