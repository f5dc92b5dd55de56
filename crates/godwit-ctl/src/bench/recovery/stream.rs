//! A streamed request that records the arrival time of each token.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flume::Receiver;
use serde_json::json;

use crate::error::CtlError;
use crate::site::{Names, WORKSPACE_KEY};

/// Number of tokens requested, enough that the fault falls in the middle of the stream.
const MAX_TOKENS: u32 = 60;

/// Number of tokens to receive before the fault.
const TOKENS_BEFORE_FAULT: usize = 5;

/// Timeout for the next token.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after the fault within which tokens are ignored, because they may have been sent before it.
const IN_FLIGHT_WINDOW: Duration = Duration::from_millis(2);

/// A streamed response in progress.
pub(super) struct Stream {
    pub(super) request_id: String,
    tokens: Receiver<Instant>,
}

impl Stream {
    /// Sends the request and waits for its first tokens.
    pub(super) fn start(host: SocketAddr, model: &str, number: u32) -> Result<Stream, CtlError> {
        let prompt = format!("the weekly note, number {number}");
        let body =
            json!({"model": model, "prompt": prompt, "stream": true, "max_tokens": MAX_TOKENS});
        let response = minreq::post(format!("http://{host}/v1/completions"))
            .with_timeout(TOKEN_TIMEOUT.as_secs())
            .with_header("Authorization", format!("Bearer {WORKSPACE_KEY}"))
            .with_header("Godwit-Kind", Names::KIND)
            .with_body(body.to_string())
            .send_lazy()
            .map_err(|error| CtlError::Failed(error.to_string()))?;
        let is_id = |(name, _): &&(String, String)| name.eq_ignore_ascii_case("godwit-request-id");
        let id = response.headers.iter().find(is_id).map(|(_, value)| value.clone());
        let (sender, tokens) = flume::unbounded();
        std::thread::spawn(move || {
            for line in BufReader::new(response).lines() {
                let Ok(line) = line else { return };
                let is_token = line.contains("\"text\":\"") && !line.contains("\"text\":\"\"");
                if is_token && sender.send(Instant::now()).is_err() {
                    return;
                }
            }
        });
        let stream = Stream { request_id: id.unwrap_or_default(), tokens };
        for _ in 0..TOKENS_BEFORE_FAULT {
            stream.next_token()?;
        }
        Ok(stream)
    }

    fn next_token(&self) -> Result<Instant, CtlError> {
        let received = self.tokens.recv_timeout(TOKEN_TIMEOUT);
        received.map_err(|_| {
            CtlError::Failed("the stream ended or stalled before the next token".to_string())
        })
    }

    /// Returns the time in milliseconds from the fault to the first token after it.
    pub(super) fn recovery_ms(&self, fault: Instant) -> Result<f64, CtlError> {
        loop {
            let token = self.next_token()?;
            if token > fault + IN_FLIGHT_WINDOW {
                return Ok((token - fault).as_secs_f64() * 1_000.0);
            }
        }
    }
}
