//! An engine that plays a script for each connection.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use flume::Receiver;
use godwit_schema::engine::GenerateRequest;

/// An address at which nobody listens: a port that the system never hands out.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// The head of a stream, as an engine sends it.
pub(crate) const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What is done with one connection.
pub(crate) type Script = Box<dyn FnOnce(&mut TcpStream) + Send>;

/// A listening script.
pub(crate) struct Fake {
    pub(crate) address: String,
    /// Requests, as their first line and body.
    pub(crate) requests: Receiver<(String, String)>,
}

impl Fake {
    /// Plays the scripts, each for one connection after its request was read.
    pub(crate) fn play(scripts: Vec<Script>) -> Fake {
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
        Fake { address, requests }
    }

    /// Answers one request with `answer` and closes the connection.
    pub(crate) fn answer(answer: &str) -> Fake {
        let answer = answer.to_string();
        Fake::play(vec![Box::new(move |stream| stream.write_all(answer.as_bytes()).unwrap())])
    }
}

/// A chunk with one line.
pub(crate) fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// A token line in a chunk.
pub(crate) fn token(attempt: u32, position: u32) -> String {
    chunk(&format!(
        r#"{{"kind":"token","attempt":{attempt},"position":{position},"token":"t{position}"}}"#
    ))
}

/// A small request.
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

/// A listener whose queue is full: connections to it are neither taken nor refused.
pub(crate) struct FullListener {
    pub(crate) address: String,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    pub(crate) fn new() -> FullListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let wait = Duration::from_millis(200);
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, wait) {
            queued.push(stream);
        }
        FullListener { address: address.to_string(), _listener: listener, _queued: queued }
    }
}
