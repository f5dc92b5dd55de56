//! A site of separate processes, as docs/OPERATING.md shows it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// A step that takes longer fails the test.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Key whose SHA-256 the fixture of the workspace holds.
const KEY: &str = "secret";

const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// A process that ends with the test.
struct Process {
    child: Child,
    addresses: String,
}

impl Process {
    fn id(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Value of `name=` in the lines that the process printed at its start.
    fn address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found = self.addresses.split_whitespace().find_map(|word| word.strip_prefix(&prefix));
        found.expect("the address is printed").trim_matches('"').to_string()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn godwitdeal() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_godwitdeal"))
}

fn godwitctl() -> PathBuf {
    godwitdeal().with_file_name("godwitctl")
}

/// Reads lines until one has all of `names`.
fn read_addresses(stream: impl Read + Send + 'static, names: &[&str]) -> String {
    let mut seen = String::new();
    let mut lines = BufReader::new(stream).lines();
    while !names.iter().all(|name| seen.contains(&format!("{name}="))) {
        let line = lines.next().expect("the process goes on").expect("its output is text");
        seen.push_str(&line);
        seen.push('\n');
    }
    // The rest has to be read, so that the process can go on writing.
    std::thread::spawn(move || lines.for_each(drop));
    seen
}

fn standin(arguments: &[&str]) -> Process {
    let mut command = Command::new(godwitctl());
    command.arg("standin").args(arguments).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().expect("godwitctl starts");
    let stdout = child.stdout.take().expect("its output is piped");
    let addresses = read_addresses(stdout, &["address"]);
    Process { child, addresses }
}

fn host(name: &str, platform: &str, seed: Option<&str>) -> Process {
    let mut command = Command::new(godwitdeal());
    command.env("GODWIT_PEER_KEY", "a key for this test only");
    command.args(["--host", name, "--failure-domain", "hall-a", "--platform-address", platform]);
    for flag in ["--caller-address", "--operator-address", "--peer-address"] {
        command.args([flag, "127.0.0.1:0"]);
    }
    if let Some(seed) = seed {
        command.args(["--seed", seed]);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().expect("godwitdeal starts");
    let stderr = child.stderr.take().expect("its log is piped");
    let addresses = read_addresses(stderr, &["caller_address", "operator_address", "peer_address"]);
    Process { child, addresses }
}

/// Applies a fixture with the addresses of this run in place of the ones that the page shows.
fn apply(platform: &str, file: &str, replacements: &[(&str, String)]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let mut text = std::fs::read_to_string(path).expect("the fixture is readable");
    for (from, to) in replacements {
        text = text.replace(from, to);
    }
    let mut command = Command::new(godwitctl());
    command.args(["apply", "--platform-address", platform, "-"]).stdin(Stdio::piped());
    let mut child = command.stdout(Stdio::null()).spawn().expect("godwitctl starts");
    let mut stdin = child.stdin.take().expect("its input is piped");
    stdin.write_all(text.as_bytes()).expect("the object is taken");
    drop(stdin);
    assert!(child.wait().expect("godwitctl ends").success());
}

fn exchange(address: &str, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
    stream.write_all(text.as_bytes()).expect("the request is taken");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer is whole");
    answer
}

fn wait_until_ready(host: &Process) {
    let address = host.address("operator_address");
    let ask = "GET /ready HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
    for _ in 0..STEP_TIMEOUT.as_millis() / LOOK_INTERVAL.as_millis() {
        if exchange(&address, ask).starts_with("HTTP/1.1 200") {
            return;
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
    panic!("the host does not become ready");
}

fn request(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: host\r\nConnection: close\r\nAuthorization: Bearer {KEY}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn streamed_note(max_tokens: u32) -> String {
    let body = format!(
        r#"{{"model": "assistant", "prompt": "the weekly note", "stream": true, "max_tokens": {max_tokens}}}"#
    );
    request("/v1/completions", "Godwit-Kind: note\r\n", &body)
}

struct Site {
    _engine: Process,
    _service: Process,
    _platform: Process,
    hosts: Vec<Process>,
}

fn start_site() -> Site {
    let platform = standin(&["platform"]);
    let engine = standin(&[
        "engine",
        "--name",
        "engine-1",
        "--model",
        "assistant:16",
        "--tokens-per-s",
        "50",
    ]);
    let service = standin(&["service", "--name", "orders-1"]);
    let store = platform.address("address");
    let addresses = [
        ("127.0.0.1:7101", engine.address("address")),
        ("127.0.0.1:7201", service.address("address")),
    ];
    apply(&store, "fleet.json", &addresses);
    apply(&store, "farm.json", &[]);
    let first = host("entry-1", &store, None);
    let second = host("entry-2", &store, Some(&first.address("peer_address")));
    let site = Site {
        _engine: engine,
        _service: service,
        _platform: platform,
        hosts: vec![first, second],
    };
    site.hosts.iter().for_each(wait_until_ready);
    site
}

#[test]
fn processes_serve_each_kind() {
    let site = start_site();
    let caller = |index: usize| site.hosts[index].address("caller_address");
    let streamed = exchange(&caller(0), &streamed_note(6));
    assert!(streamed.contains("Godwit-Code: 1002"), "{streamed}");
    assert!(streamed.contains("data: [DONE]"), "{streamed}");
    let order = request(
        "/services/orders/confirmations",
        "Godwit-Kind: confirmation\r\nGodwit-Event: friday\r\nIdempotency-Key: order-1\r\n",
        "{}",
    );
    assert!(exchange(&caller(0), &order).contains("Godwit-Code: 1000"));
    assert!(exchange(&caller(1), &order).contains("Godwit-Code: 1001"));
}

#[test]
fn processes_stop_without_cutting_a_stream() {
    let mut site = start_site();
    let mut host = site.hosts.remove(0);
    let address = host.address("caller_address");
    let mut stream = TcpStream::connect(&address).expect("the host listens");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
    stream.write_all(streamed_note(60).as_bytes()).expect("the request is taken");
    let mut answer = vec![0; 1];
    stream.read_exact(&mut answer).expect("the answer begins");
    kill_process(host.id(), Signal::TERM).expect("the host takes signals");
    stream.read_to_end(&mut answer).expect("the answer is whole");
    let answer = String::from_utf8(answer).expect("the answer is text");
    let tokens = answer.lines().filter_map(|line| line.strip_prefix("data: {")).count();
    let last: Value = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|json| serde_json::from_str(json).ok())
        .next_back()
        .expect("the stream has events");
    assert_eq!(last["godwit_code"], 1000, "{answer}");
    assert!(answer.contains("data: [DONE]"), "{tokens} events and no end");
    assert!(host.child.wait().expect("the host ends").success());
}
