//! A server as a process of its own, each of whose answers has neither a length nor chunks and ends with its connection.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::harness::*;

/// Time from the first half of an answer to the second one.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Time after which a full server wants requests of a host again, in seconds.
pub const RETRY_AFTER_S: u64 = 5;

/// The parts of the answers: of a call, and of a stream.
const CALL: [&str; 2] = ["{\"order\":7,\"crates\":2", ",\"collect\":\"friday\"}"];
const STREAM: [&str; 2] =
    ["id: 1\ndata: one\n\nid: 2\ndata: two\n\n", "id: 3\ndata: three\n\nid: 4\ndata: four\n\n"];

fn parts(path: &str) -> [&'static str; 2] {
    if path.starts_with("/note/") { STREAM } else { CALL }
}

/// Serves as the process of a server, if the arguments of the program say so.
pub fn serve_if_asked() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, word, name, address, slots] = &arguments[..]
        && word == "server"
    {
        run_server(name, address.parse().unwrap(), slots.parse().unwrap());
    }
}

fn run_server(name: &str, address: SocketAddr, slots: usize) -> ! {
    let name = name.to_string();
    let running = AtomicUsize::new(0);
    serve(address, move |stream| {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (id, path) =
                (request.header("godwitdeal-request-id").unwrap_or(""), request.word(1));
            if path.starts_with("/api/") {
                // A plain service has no such interface.
                if !write_message(&mut writer, "HTTP/1.1 404 Not Found\r\n", b"") {
                    return;
                }
                continue;
            }
            if running.fetch_add(1, Ordering::SeqCst) >= slots {
                running.fetch_sub(1, Ordering::SeqCst);
                println!("is full, rejects {id} with Retry-After {RETRY_AFTER_S}");
                let head = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nGodwitdeal-Request-Id: {id}\r\nGodwitdeal-Not-Executed: 1\r\n\
                     Retry-After: {RETRY_AFTER_S}\r\n"
                );
                if !write_message(&mut writer, &head, b"") {
                    return;
                }
                continue;
            }
            println!("runs {id} {path}");
            let [first, second] = parts(path);
            let kind =
                if path.starts_with("/note/") { "text/event-stream" } else { "application/json" };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\nGodwitdeal-Request-Id: {id}\r\n\
                 Godwitdeal-Response-Stamp: {name}.1\r\n\r\n{first}"
            );
            let has_begun = writer.write_all(head.as_bytes()).is_ok();
            std::thread::sleep(PAUSE);
            if has_begun && writer.write_all(second.as_bytes()).is_ok() {
                println!("answered {id} whole");
            }
            running.fetch_sub(1, Ordering::SeqCst);
            return;
        }
    });
    println!("ready");
    loop {
        std::thread::sleep(Duration::from_secs(60));
    }
}

pub struct Server {
    pub name: String,
    pub pid: u32,
    pub address: SocketAddr,
    /// What the process has written.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub fn start(record: &Record, name: &str, slots: usize) -> Server {
        Server::start_at(record, name, slots, SocketAddr::from((own_ip(), 8080)))
    }

    pub fn start_at(record: &Record, name: &str, slots: usize, address: SocketAddr) -> Server {
        let mut child = start_own(&["server", name, &address.to_string(), &slots.to_string()]);
        let mut output = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
        if output.next().as_deref() != Some("ready") {
            cannot_run("the server does not start");
        }
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (log, own, shared) = (record.clone(), name.to_string(), lines.clone());
        std::thread::spawn(move || {
            for line in output {
                log.line(format!("server {own}: {line}"));
                shared.lock().unwrap().push(line);
            }
        });
        let pid = child.id();
        std::thread::spawn(move || child.wait());
        Server { name: name.to_string(), pid, address, lines }
    }

    /// Whether the server has begun to run a request.
    pub fn runs(&self, id: &str) -> bool {
        let beginning = format!("runs {id} ");
        self.lines.lock().unwrap().iter().any(|line| line.starts_with(&beginning))
    }

    /// Returns how often the server has turned a request away because it was full.
    pub fn rejections(&self) -> usize {
        self.lines.lock().unwrap().iter().filter(|line| line.starts_with("is full")).count()
    }

    /// Kills the process, as a crash does.
    pub fn kill(&self, record: &Record) {
        record.line(format!("the process of server {} is killed", self.name));
        signal(self.pid, SIGKILL);
    }
}

/// Records what a client got. Returns whether it got a part of the answer as the whole.
pub fn check_answer(record: &Record, id: &str, path: &str, answer: Option<Message>) -> bool {
    let Some(answer) = answer else {
        record.line(format!("client: {id} got no answer"));
        return false;
    };
    let whole = parts(path).concat();
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.line(format!(
        "client: {id} got {} {}, {} of {} bytes, {}: {body:?}",
        answer.status(),
        answer.header("godwitdeal-response-stamp").unwrap_or("without a stamp"),
        body.len(),
        whole.len(),
        if answer.is_whole { "complete by its framing" } else { "broken off" },
    ));
    answer.status() == 200 && answer.is_whole && body != whole
}
