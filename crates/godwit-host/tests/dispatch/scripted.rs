//! Engine that answers by a script.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use crate::engines::expected_answer;

pub(crate) const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub(crate) const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// Starts an engine that answers every generate call with `response`; see [`responding_engine`].
pub(crate) fn scripted_engine(response: String) -> String {
    responding_engine(move |_| response.clone())
}

/// Starts an engine that answers probes, and generate calls by `respond`, and closes each connection. Returns its address.
pub(crate) fn responding_engine(respond: impl Fn(&str) -> String + Send + 'static) -> String {
    responding_server(move |request| {
        if request.starts_with("GET /v1/load ") {
            return Some(load_report());
        }
        request.starts_with("POST /v1/generate ").then(|| respond(request))
    })
}

/// Starts a server that answers requests by `respond`, and closes each connection. Returns its address.
pub(crate) fn responding_server(
    respond: impl Fn(&str) -> Option<String> + Send + 'static,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let Some(answer) = respond(&read_request(&mut stream)) else { continue };
            // The host may have closed its end.
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

/// Reads one request with its body, so that closing the connection does not reset it; empty if it breaks off.
fn read_request(stream: &mut TcpStream) -> String {
    let mut request = Vec::new();
    let mut byte = [0];
    loop {
        let text = String::from_utf8_lossy(&request);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return text.into_owned();
            }
        }
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return String::new();
        }
        request.push(byte[0]);
    }
}

fn load_report() -> String {
    let report = r#"{"measured_at_unix_ms":5,"started_at_unix_ms":1,"slots":4,"running":1,"waiting":0,"pending_tokens":9,"tokens_per_s":20.0}"#;
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len())
}

pub(crate) fn line(attempt: u32, position: u32, text: &str) -> String {
    let token = serde_json::to_string(text).unwrap();
    format!(
        "{{\"kind\":\"token\",\"attempt\":{attempt},\"position\":{position},\"token\":{token}}}\n"
    )
}

pub(crate) fn done(attempt: u32, count: u32) -> String {
    format!("{{\"kind\":\"done\",\"attempt\":{attempt},\"position\":{count}}}\n")
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Lines of the tokens `[from, to)` of the expected answer.
pub(crate) fn lines(attempt: u32, from: u32, to: u32) -> String {
    let answer = expected_answer();
    (from..to).map(|position| line(attempt, position, &answer[position as usize])).collect()
}
