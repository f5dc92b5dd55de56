//! Service that serves one connection by a script.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Listening socket that a script serves.
pub(crate) struct FakeService {
    pub(crate) address: String,
    /// Result of the script, usually the request that it read.
    pub(crate) request: Receiver<Vec<u8>>,
}

impl FakeService {
    /// Serves the first connection by `script`.
    pub(crate) fn run(
        script: impl FnOnce(&mut TcpStream) -> Vec<u8> + Send + 'static,
    ) -> FakeService {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (sender, request) = channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            // Most tests do not look at the request.
            let _ = sender.send(script(&mut stream));
        });
        FakeService { address, request }
    }

    /// Reads the whole request, answers with `answer` and closes the connection.
    pub(crate) fn answer(answer: &'static [u8]) -> FakeService {
        FakeService::run(move |stream| {
            let request = read_request(stream);
            stream.write_all(answer).unwrap();
            request
        })
    }
}

/// Reads a request up to the end of its body, which has a Content-Length.
pub(crate) fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_string();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))
        .map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    bytes.extend(body);
    bytes
}

/// Address without a listener: the system never assigns this port by itself.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";

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
