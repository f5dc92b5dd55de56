//! Sends one request of the tour to an entry host.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Instant;

use serde_json::{Value, json};

use crate::error::CtlError;
use crate::site::WORKSPACE_KEY;

/// Timeout for a complete response.
const RESPONSE_TIMEOUT_S: u64 = 30;

/// A request to an entry host.
#[derive(Clone, Debug)]
pub(super) struct DemoRequest<'a> {
    pub(super) path: &'a str,
    pub(super) kind: &'a str,
    pub(super) event: Option<&'a str>,
    pub(super) idempotency_key: Option<&'a str>,
    pub(super) deadline_unix_ms: Option<u64>,
    pub(super) key: &'a str,
    pub(super) body: Value,
}

impl DemoRequest<'_> {
    pub(super) fn chat(model: &str, kind: &'static str, prompt: &str, is_stream: bool) -> Self {
        DemoRequest {
            path: "/v1/chat/completions",
            kind,
            event: None,
            idempotency_key: None,
            deadline_unix_ms: None,
            key: WORKSPACE_KEY,
            body: json!({
                "model": model,
                "messages": [{"role": "user", "content": prompt}],
                "stream": is_stream,
                "max_tokens": 24,
            }),
        }
    }
}

/// Response to a request of the tour. Times are measured from when the request was sent.
#[derive(Clone, Debug)]
pub(super) struct DemoResponse {
    pub(super) request_id: String,
    pub(super) status: u16,
    pub(super) code: u16,
    pub(super) verdict: String,
    pub(super) first_byte_ms: u128,
    pub(super) whole_ms: u128,
    pub(super) body: String,
}

/// Sends a request and reads the response to its end.
pub(super) fn send(host: SocketAddr, request: &DemoRequest<'_>) -> Result<DemoResponse, CtlError> {
    let mut outgoing = minreq::post(format!("http://{host}{}", request.path))
        .with_timeout(RESPONSE_TIMEOUT_S)
        .with_header("Authorization", format!("Bearer {}", request.key))
        .with_header("Content-Type", "application/json")
        .with_header("Godwit-Kind", request.kind)
        .with_body(request.body.to_string());
    let optional = [
        ("Godwit-Event", request.event.map(str::to_string)),
        ("Idempotency-Key", request.idempotency_key.map(str::to_string)),
        ("Godwit-Deadline-Ms", request.deadline_unix_ms.map(|ms| ms.to_string())),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            outgoing = outgoing.with_header(name, value);
        }
    }
    let started = Instant::now();
    let failed = |error: minreq::Error| CtlError::Failed(format!("{host}: {error}"));
    let mut response = outgoing.send_lazy().map_err(failed)?;
    let header = |name: &str| {
        let found = response.headers.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    };
    let (request_id, verdict) = (header("godwit-request-id"), header("godwit-verdict"));
    let code = header("godwit-code").parse().unwrap_or_default();
    let status = response.status_code;
    let mut body = vec![0; 1];
    let first_len = response.read(&mut body)?;
    let first_byte_ms = started.elapsed().as_millis();
    body.truncate(first_len);
    response.read_to_end(&mut body)?;
    Ok(DemoResponse {
        request_id,
        status,
        code,
        verdict,
        first_byte_ms,
        whole_ms: started.elapsed().as_millis(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
