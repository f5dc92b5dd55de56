//! Starts a small site and records transcripts of sessions with it.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use godwit_ctl::site::{EngineSpec, FirstPorts, Names, Site, SiteSettings, WORKSPACE_KEY};
use godwit_schema::engine::{JournalAction, JournalEntry};
use serde_json::Value;

/// Timeout for a response, after which the test fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Silence timeout for tests that do not test silent servers, so high that servers delayed by a busy machine do not
/// count as silent.
pub(crate) const NEVER_SILENT_MS: u64 = 600_000;

fn engine(name: &str, model: &str, layers: Option<(u32, u32)>) -> EngineSpec {
    EngineSpec {
        name: name.to_string(),
        failure_domain: "hall-a".to_string(),
        accelerator_kind: "test".to_string(),
        slots: 8,
        tokens_per_s: 500.0,
        model: model.to_string(),
        model_layers: 8,
        layers,
        load_report_lag_ms: 0,
    }
}

/// Starts a site with one failure domain, one entry host, one engine with a whole model, and two stages of a split
/// model.
pub(crate) fn small_site() -> Site {
    let settings = SiteSettings {
        failure_domains: vec!["hall-a".to_string()],
        hosts_per_domain: 1,
        engines: vec![
            engine("whole-1", Names::MODEL, None),
            engine("stage-1", Names::SPLIT_MODEL, Some((0, 4))),
            engine("stage-2", Names::SPLIT_MODEL, Some((4, 8))),
        ],
        extra_workspaces: 0,
        policy: godwit_host::PolicyName::EarliestFinish,
        silent_after_ms: NEVER_SILENT_MS,
        ports: FirstPorts::default(),
    };
    Site::start(settings).expect("site starts")
}

/// Sends bytes and reads the response until the host closes the connection or the timeout passes.
pub(crate) fn raw_exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("host listens");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("timeout is set");
    stream.write_all(bytes).expect("request is taken");
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns a request as text, with the headers that all requests have in common.
pub(crate) fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n");
    let _ = write!(text, "Authorization: Bearer {WORKSPACE_KEY}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text
}

/// Transcript of a session, with everything redacted that differs between runs.
#[derive(Default)]
pub(crate) struct Transcript(String);

impl Transcript {
    /// Sends a request and records the request and the response.
    pub(crate) fn exchange(&mut self, site: &Site, name: &str, request: &str) {
        let address = site.caller_addresses()[0];
        let answer = raw_exchange(address, request.as_bytes());
        self.write_exchange(name, &redact(request), &without_length(&redact(&answer)));
    }

    /// Records an action that happened between two exchanges.
    pub(crate) fn remark(&mut self, text: &str) {
        let _ = writeln!(self.0, "== {text}\n");
    }

    /// Records the journal of a stand-in, without the entries of accepted requests.
    pub(crate) fn journal(&mut self, name: &str, entries: &[JournalEntry]) {
        let _ = writeln!(self.0, "== journal of {name}");
        for entry in entries.iter().filter(|entry| entry.action != JournalAction::Accepted) {
            let key = entry.idempotency_key.as_deref().unwrap_or("-");
            let position = entry.position.map_or("-".to_string(), |position| position.to_string());
            let detail = entry.detail.as_deref().unwrap_or("-");
            let _ = writeln!(
                self.0,
                "{} attempt={} position={position} layers={:?} key={key} detail={detail}",
                entry.action,
                entry.attempt.unwrap_or_default(),
                entry.layers
            );
        }
        self.0.push('\n');
    }

    fn write_exchange(&mut self, name: &str, request: &str, answer: &str) {
        let _ = writeln!(self.0, "== {name}\n{request}\n--\n{answer}\n");
    }

    pub(crate) fn text(&self) -> &str {
        &self.0
    }
}

/// Removes the `Content-Length` header, whose value varies with the ids and times in the response.
fn without_length(answer: &str) -> String {
    let lines = answer.lines().filter(|line| !line.starts_with("Content-Length: "));
    lines.collect::<Vec<_>>().join("\n")
}

fn redact(text: &str) -> String {
    text.replace('\r', "").lines().map(redact_line).collect::<Vec<_>>().join("\n")
}

/// Replaces everything that differs between runs: ids, times, and the sizes of chunks that contain them.
fn redact_line(line: &str) -> String {
    for name in ["Godwit-Request-Id: ", "Godwit-Deadline-Ms: ", "Retry-After: "] {
        if line.starts_with(name) {
            return format!("{name}[varies]");
        }
    }
    let is_chunk_size = !line.is_empty() && line.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_chunk_size && line != "0" {
        return "[chunk]".to_string();
    }
    let (prefix, json) = match line.strip_prefix("data: ") {
        Some(json) => ("data: ", json),
        None => ("", line),
    };
    let Ok(Value::Object(mut body)) = serde_json::from_str::<Value>(json) else {
        return line.to_string();
    };
    for field in ["id", "created"] {
        if body.contains_key(field) {
            body.insert(field.to_string(), "[varies]".into());
        }
    }
    if let Some(error) = body.get_mut("error").and_then(Value::as_object_mut) {
        error.insert("request_id".to_string(), "[varies]".into());
        if error.contains_key("retry_at_unix_ms") {
            error.insert("retry_at_unix_ms".to_string(), "[varies]".into());
        }
    }
    format!("{prefix}{}", Value::Object(body))
}
