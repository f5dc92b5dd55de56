//! A minimal HTTP/1.1 for the fakes and callers, which lets a test control every byte.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::host::unused_loopback_address;

/// Timeout of each step; a step that exceeds it fails the test.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    /// Request line or status line, without its line ending.
    pub(crate) start_line: String,
    /// Header values by lower-case name.
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Returns a space-separated part of the start line, empty if there is none.
    pub(crate) fn start_line_part(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the status of a response, 0 if the start line has none.
    pub(crate) fn status(&self) -> u16 {
        self.start_line_part(1).parse().unwrap_or(0)
    }

    /// Returns the body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message; none if the connection ends or fails.
pub(crate) fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() && !message.start_line.is_empty() {
            return Some(message);
        }
        if message.start_line.is_empty() {
            message.start_line = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
}

/// Reads a message with its body; none if the connection ends before.
///
/// # Errors
/// If the body ends early or is malformed.
pub(crate) fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader) else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Reads the body that follows a head. Chunks that arrived before an error are kept.
pub(crate) fn read_body(reader: &mut impl BufRead, message: &mut Message) -> std::io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        return read_chunks(reader, &mut message.body);
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(std::io::Error::other)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(())
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Returns the head of a message with a body of the given size.
fn message_head(start_line: &str, headers: &[(&str, &str)], body_bytes: usize) -> String {
    let mut head = format!("{start_line}\r\ncontent-length: {body_bytes}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head + "\r\n"
}

/// Writes the head of a request, whose body of the given size need not follow.
pub(crate) fn write_request_head(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body_bytes: usize,
) -> std::io::Result<()> {
    let head = message_head(&format!("{method} {path} HTTP/1.1"), headers, body_bytes);
    stream.write_all(head.as_bytes())
}

/// Writes a message with a `content-length` header.
fn write_message(
    stream: &mut TcpStream,
    start_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let head = message_head(start_line, headers, body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

pub(crate) fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    write_message(stream, &format!("{method} {path} HTTP/1.1"), headers, body)
}

/// Sends one request on a new connection and reads the complete response.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(STEP_TIMEOUT))?;
    write_request(&mut stream, method, path, headers, body)?;
    let response = read_message(&mut BufReader::new(stream))?;
    response.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// A listener with its open connections, which stay open until the peers close them or [`Listener::close`] is called.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    connections: Arc<Mutex<Connections>>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

#[derive(Default)]
struct Connections {
    is_closed: bool,
    next_number: u64,
    open: BTreeMap<u64, TcpStream>,
}

impl Connections {
    /// Records a new connection and returns its number; none once the listener is closed.
    fn add(&mut self, stream: &TcpStream) -> Option<u64> {
        if self.is_closed {
            return None;
        }
        self.next_number += 1;
        self.open.insert(self.next_number, stream.try_clone().expect("the socket can be cloned"));
        Some(self.next_number)
    }
}

impl Listener {
    /// Listens on a free port and serves each connection on its own thread, until `serve` returns false.
    pub(crate) fn start(
        serve: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Listener {
        let listener = TcpListener::bind((unused_loopback_address(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let serve = Arc::new(serve);
        let connections: Arc<Mutex<Connections>> = Arc::default();
        let shared = connections.clone();
        let accepting = std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let Some(number) = shared.lock().expect("no panic").add(&stream) else { return };
                let (serve, shared) = (serve.clone(), shared.clone());
                std::thread::spawn(move || {
                    serve_connection(stream, &*serve);
                    shared.lock().expect("no panic").open.remove(&number);
                });
            }
        });
        Listener { address, connections, accepting: Mutex::new(Some(accepting)) }
    }

    /// Closes the listener and all connections, as at the end of a process.
    pub(crate) fn close(&self) {
        self.connections.lock().expect("no panic").is_closed = true;
        if let Some(accepting) = self.accepting.lock().expect("no panic").take() {
            // Wakes the thread that accepts connections.
            let _ = TcpStream::connect(self.address);
            accepting.join().expect("no panic");
        }
        for stream in std::mem::take(&mut self.connections.lock().expect("no panic").open).values()
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Listens on a free port for as long as the process runs, and serves each connection until `serve` returns false.
pub(crate) fn serve_connections(
    serve: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    Listener::start(serve).address
}

fn serve_connection(stream: TcpStream, serve: &dyn Fn(&Message, &mut TcpStream) -> bool) {
    let mut writer = stream.try_clone().expect("the socket can be cloned");
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if !serve(&request, &mut writer) {
            return;
        }
    }
}

/// Writes a response and returns whether that succeeded.
pub(crate) fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    write_message(stream, &format!("HTTP/1.1 {status} X"), headers, body).is_ok()
}
