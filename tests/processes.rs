//! Tests of a site of separate processes, set up as in docs/OPERATING.md.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Timeout of each step; a step that exceeds it fails the test.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// API key whose SHA-256 is in the workspace's fixture.
const API_KEY: &str = "secret";

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that is killed when dropped.
struct Process {
    child: Child,
    /// Lines printed until all addresses were known.
    startup_output: String,
}

impl Process {
    fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Returns the value of `name=` in the lines that the process printed at its start.
    fn address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found =
            self.startup_output.split_whitespace().find_map(|word| word.strip_prefix(&prefix));
        found.expect("the address is printed").trim_matches('"').to_string()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn godwitdeal_path() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_godwitdeal"))
}

fn godwitctl_path() -> PathBuf {
    godwitdeal_path().with_file_name("godwitctl")
}

/// Reads lines until they contain all of `names`, and returns them.
fn read_startup_output(stream: impl Read + Send + 'static, names: &[&str]) -> String {
    let mut output = String::new();
    let mut lines = BufReader::new(stream).lines();
    while !names.iter().all(|name| output.contains(&format!("{name}="))) {
        let line = lines.next().expect("the process keeps running").expect("the output is UTF-8");
        output.push_str(&line);
        output.push('\n');
    }
    // Keep reading, so that the process is not blocked by a full pipe.
    std::thread::spawn(move || lines.for_each(drop));
    output
}

fn start_standin(arguments: &[&str]) -> Process {
    let mut command = Command::new(godwitctl_path());
    command.arg("standin").args(arguments).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().expect("godwitctl starts");
    let stdout = child.stdout.take().expect("stdout is piped");
    let startup_output = read_startup_output(stdout, &["address"]);
    Process { child, startup_output }
}

fn start_host(name: &str, platform_address: &str, seed: Option<&str>) -> Process {
    let mut command = Command::new(godwitdeal_path());
    command.env("GODWIT_PEER_KEY", "a key for this test only");
    command.args([
        "--host",
        name,
        "--failure-domain",
        "hall-a",
        "--platform-address",
        platform_address,
    ]);
    for flag in ["--caller-address", "--operator-address", "--peer-address"] {
        command.args([flag, "127.0.0.1:0"]);
    }
    if let Some(seed) = seed {
        command.args(["--seed", seed]);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().expect("godwitdeal starts");
    let stderr = child.stderr.take().expect("stderr is piped");
    let startup_output =
        read_startup_output(stderr, &["caller_address", "operator_address", "peer_address"]);
    Process { child, startup_output }
}

/// Applies a fixture in which the addresses shown on the page are replaced by those of this run.
fn apply_fixture(platform_address: &str, file: &str, replacements: &[(&str, String)]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let mut text = std::fs::read_to_string(path).expect("the fixture is readable");
    for (from, to) in replacements {
        text = text.replace(from, to);
    }
    let mut command = Command::new(godwitctl_path());
    command.args(["apply", "--platform-address", platform_address, "-"]).stdin(Stdio::piped());
    let mut child = command.stdout(Stdio::null()).spawn().expect("godwitctl starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    stdin.write_all(text.as_bytes()).expect("godwitctl reads the object");
    drop(stdin);
    assert!(child.wait().expect("godwitctl exits").success());
}

/// Sends a request on a new connection and reads until the connection ends.
fn exchange(address: &str, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
    stream.write_all(text.as_bytes()).expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the response is complete");
    response
}

fn wait_until_ready(host: &Process) {
    let address = host.address("operator_address");
    let ready_request = "GET /ready HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
    for _ in 0..STEP_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
        if exchange(&address, ready_request).starts_with("HTTP/1.1 200") {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for the host to become ready");
}

/// Header of a request after which the host closes the connection.
const CLOSE: &str = "Connection: close\r\n";

fn post_request(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer {API_KEY}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn streamed_note_request(max_tokens: u32) -> String {
    let body = format!(
        r#"{{"model": "assistant", "prompt": "the weekly note", "stream": true, "max_tokens": {max_tokens}}}"#
    );
    post_request("/v1/completions", &format!("{CLOSE}Godwit-Kind: note\r\n"), &body)
}

/// Returns the request for an order with a key and a further header, if it is not empty.
fn order_request(key: &str, header: &str) -> String {
    let headers = format!(
        "{header}Godwit-Kind: confirmation\r\nGodwit-Event: friday\r\nIdempotency-Key: {key}\r\n"
    );
    post_request("/services/orders/confirmations", &headers, "{}")
}

/// Requests a stream of more than a second. Returns the connection and the beginning of the response.
fn begin_streamed_note(address: &str) -> (TcpStream, Vec<u8>) {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
    stream.write_all(streamed_note_request(60).as_bytes()).expect("the request is sent");
    let mut response = vec![0; 1];
    stream.read_exact(&mut response).expect("the response begins");
    (stream, response)
}

/// A running site: two hosts, and stand-ins of an engine, a service and the platform.
struct Site {
    _engine: Process,
    _service: Process,
    _platform: Process,
    hosts: Vec<Process>,
}

fn start_site() -> Site {
    let platform = start_standin(&["platform"]);
    let engine = start_standin(&[
        "engine",
        "--name",
        "engine-1",
        "--model",
        "assistant:16",
        "--tokens-per-s",
        "50",
    ]);
    let service = start_standin(&["service", "--name", "orders-1"]);
    let store = platform.address("address");
    let replacements = [
        ("127.0.0.1:7101", engine.address("address")),
        ("127.0.0.1:7201", service.address("address")),
    ];
    apply_fixture(&store, "fleet.json", &replacements);
    apply_fixture(&store, "farm.json", &[]);
    let first = start_host("entry-1", &store, None);
    let second = start_host("entry-2", &store, Some(&first.address("peer_address")));
    let site = Site {
        _engine: engine,
        _service: service,
        _platform: platform,
        hosts: vec![first, second],
    };
    site.hosts.iter().for_each(wait_until_ready);
    site
}

/// Time within which a host stops that has one stream of a second; the platform's grace period.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Callers that send orders during a stop, and the time from their first order to the stop.
const ORDER_CALLERS: usize = 8;
const TIME_BEFORE_STOP: Duration = Duration::from_millis(400);

#[test]
fn processes_serve_each_kind() {
    let site = start_site();
    let caller_address = |index: usize| site.hosts[index].address("caller_address");
    let streamed = exchange(&caller_address(0), &streamed_note_request(6));
    assert!(streamed.contains("Godwit-Code: 1002"), "{streamed}");
    assert!(streamed.contains("data: [DONE]"), "{streamed}");
    let order = order_request("order-1", CLOSE);
    assert!(exchange(&caller_address(0), &order).contains("Godwit-Code: 1000"));
    assert!(exchange(&caller_address(1), &order).contains("Godwit-Code: 1001"));
}

#[test]
fn processes_complete_stream_on_stop() {
    let mut site = start_site();
    let mut host = site.hosts.remove(0);
    let address = host.address("caller_address");
    let (mut stream, mut response) = begin_streamed_note(&address);
    kill_process(host.pid(), Signal::TERM).expect("the host can be signalled");
    stream.read_to_end(&mut response).expect("the response is complete");
    let response = String::from_utf8(response).expect("the response is UTF-8");
    let events = response.lines().filter_map(|line| line.strip_prefix("data: {")).count();
    let last: Value = response
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|json| serde_json::from_str(json).ok())
        .next_back()
        .expect("the stream has events");
    assert_eq!(last["godwit_code"], 1000, "{response}");
    assert!(response.contains("data: [DONE]"), "{events} events but no end of the stream");
    assert!(host.child.wait().expect("the host exits").success());
}

/// Sends a request on a connection and returns whether a whole response follows.
fn is_answered(stream: &mut BufReader<TcpStream>, request: &str) -> bool {
    if stream.get_mut().write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        match stream.read_line(&mut line) {
            Ok(count) if count > 0 => {}
            _ => return false,
        }
        if line == "\r\n" {
            break;
        }
        let header = line.split_once(':');
        if let Some((_, value)) =
            header.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        {
            length = value.trim().parse().expect("a length");
        }
    }
    stream.read_exact(&mut vec![0; length]).is_ok()
}

/// Opens a connection and sends the first order of a caller, which is answered.
fn connect_with_order(address: &str, caller: usize) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the host listens");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
    let mut stream = BufReader::new(stream);
    assert!(is_answered(&mut stream, &order_request(&format!("first-{caller}"), "")));
    stream
}

/// Sends orders until the connection ends. Returns the number of those that were answered, and the key of the one that was
/// not.
fn send_orders(stream: &mut BufReader<TcpStream>, caller: usize) -> (usize, String) {
    let key = |number: usize| format!("order-{caller}-{number}");
    let mut numbers = 0..;
    let cut = numbers.find(|number| !is_answered(stream, &order_request(&key(*number), "")));
    let answered = cut.expect("the connection ends");
    (answered, key(answered))
}

#[test]
fn processes_answer_orders_that_ran_during_stop() {
    let mut site = start_site();
    let mut host = site.hosts.remove(0);
    let address = host.address("caller_address");
    let _stream = begin_streamed_note(&address);
    // One after the other: of connections that are opened at once, one may wait until another has ended.
    let connections: Vec<_> =
        (0..ORDER_CALLERS).map(|caller| connect_with_order(&address, caller)).collect();
    let orders: Vec<_> = std::thread::scope(|scope| {
        let callers = connections.into_iter().enumerate().map(|(caller, mut connection)| {
            scope.spawn(move || send_orders(&mut connection, caller))
        });
        let callers: Vec<_> = callers.collect();
        std::thread::sleep(TIME_BEFORE_STOP);
        kill_process(host.pid(), Signal::TERM).expect("the host can be signalled");
        let stopped_at = Instant::now();
        assert!(host.child.wait().expect("the host exits").success());
        assert!(stopped_at.elapsed() < GRACE_PERIOD, "{:?}", stopped_at.elapsed());
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });
    let other = site.hosts[0].address("caller_address");
    for (answered, cut) in orders {
        println!("{answered} answered, then {cut} was cut");
        assert!(answered > 0);
        let answer = exchange(&other, &order_request(&cut, CLOSE));
        assert!(answer.contains("Godwit-Code: 1000"), "{cut} has run before: {answer}");
    }
}
