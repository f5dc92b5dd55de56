//! Runs `godwitctl standin` as a process.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn standin_engine_serves_on_printed_addresses() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_godwitctl"))
        .args(["standin", "engine", "--name", "engine-1", "--model", "barley:0-16/32"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("godwitctl runs");
    let stdout = child.stdout.take().expect("stdout is piped");
    let lines: Vec<String> =
        BufReader::new(stdout).lines().take(2).map(|line| line.expect("line")).collect();
    let load = lines[0].strip_prefix("address=").expect("first line is the address");
    let journal = lines[1].strip_prefix("control_address=").expect("second line is the control");
    let get = |url: String| minreq::get(url).send().map(|response| response.status_code);
    let statuses =
        [get(format!("http://{load}/v1/load")), get(format!("http://{journal}/journal"))];
    child.kill().expect("child is running");
    child.wait().expect("child ends");
    assert!(statuses.iter().all(|status| matches!(status, Ok(200))), "{statuses:?}");
}

#[test]
fn standin_refuses_bad_model() {
    let output = Command::new(env!("CARGO_BIN_EXE_godwitctl"))
        .args(["standin", "engine", "--name", "engine-1", "--model", "barley:9-4/8"])
        .output()
        .expect("godwitctl runs");
    assert_eq!(output.status.code(), Some(2));
}
