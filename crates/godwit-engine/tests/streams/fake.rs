//! Engine that serves each connection by a script.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use flume::Receiver;
use godwit_schema::engine::GenerateRequest;

/// Address without a listener: the system never assigns this port by itself.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// Status line and headers of a stream, as an engine sends them.
pub(crate) const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Serves one connection.
pub(crate) type Script = Box<dyn FnOnce(&mut TcpStream) + Send>;

/// Listening socket that a script serves.
pub(crate) struct FakeEngine {
    pub(crate) address: String,
    /// First line and body of each request.
    pub(crate) requests: Receiver<(String, String)>,
}

impl FakeEngine {
    /// Serves one connection by each script, in order, after reading its request.
    pub(crate) fn run(scripts: Vec<Script>) -> FakeEngine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (sender, requests) = flume::unbounded();
        thread::spawn(move || {
            for script in scripts {
                let (mut stream, _) = listener.accept().unwrap();
                // Most tests do not look at the requests.
                let _ = sender.send(read_request(&mut stream));
                script(&mut stream);
            }
        });
        FakeEngine { address, requests }
    }

    /// Answers one request with `answer` and closes the connection.
    pub(crate) fn answer(answer: &str) -> FakeEngine {
        let answer = answer.to_string();
        FakeEngine::run(vec![Box::new(move |stream| stream.write_all(answer.as_bytes()).unwrap())])
    }
}

/// HTTP chunk with one line.
pub(crate) fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// HTTP chunk with a token event.
pub(crate) fn token(attempt: u32, position: u32) -> String {
    chunk(&format!(
        r#"{{"kind":"token","attempt":{attempt},"position":{position},"token":"t{position}"}}"#
    ))
}

/// Short generation request.
pub(crate) fn request() -> GenerateRequest {
    let json = r#"{"request_id":"r-1","model":"m","prompt":"Hello","max_tokens":4,"attempt":3}"#;
    serde_json::from_str(json).unwrap()
}

fn read_request(stream: &mut TcpStream) -> (String, String) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let length = head
        .lines()
        .find_map(|line| line.to_lowercase().strip_prefix("content-length: ").map(str::to_string))
        .map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    let first_line = head.lines().next().unwrap().to_string();
    (first_line, String::from_utf8(body).unwrap())
}

/// Listener whose accept queue is full, so that connections to it are neither accepted nor refused.
pub(crate) struct FullListener {
    pub(crate) address: String,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    pub(crate) fn new() -> FullListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connect_timeout = Duration::from_millis(200);
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, connect_timeout) {
            queued.push(stream);
        }
        FullListener { address: address.to_string(), _listener: listener, _queued: queued }
    }
}
