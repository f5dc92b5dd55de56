//! Keeps a constant number of requests in progress on one host.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use godwit_core::Code;
use godwit_host::{Clock, SystemClock};
use serde_json::json;

use crate::error::CtlError;
use crate::site::{Names, WORKSPACE_KEY};

const REQUEST_TIMEOUT_S: u64 = 60;
const CLIENT_STACK_BYTES: usize = 256 * 1024;
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(100);
const EVENT_PREFIX: &str = "data: ";

/// Requests to send and their number.
#[derive(Clone, Debug)]
pub(crate) struct DrivePlan {
    /// Caller address of the host.
    pub(crate) address: SocketAddr,
    /// Number of requests in progress at the same time.
    pub(crate) streams: usize,
    /// Maximum number of tokens in each response.
    pub(crate) max_tokens: u32,
    /// Whether the requests are non-idempotent. Such requests are claimed before they run and are not streamed.
    pub(crate) is_once: bool,
    /// Duration for which requests are sent.
    pub(crate) duration_s: u64,
}

/// Results of one caller or of all callers.
#[derive(Clone, Copy, Debug, Default)]
struct CallerTotals {
    requests: u64,
    failures: u64,
    tokens: u64,
}

/// Sends requests and prints the number of complete responses, failures and tokens.
pub(crate) fn run(plan: &DrivePlan) -> Result<(), CtlError> {
    let until = Instant::now() + Duration::from_secs(plan.duration_s);
    let run_id = format!("{:x}", SystemClock.now().0);
    let mut callers = Vec::new();
    for number in 0..plan.streams {
        let (plan, run_id) = (plan.clone(), format!("{run_id}-{number}"));
        let builder = thread::Builder::new().stack_size(CLIENT_STACK_BYTES);
        callers.push(builder.spawn(move || run_caller(&plan, &run_id, until))?);
    }
    let mut sum = CallerTotals::default();
    for caller in callers {
        let totals = caller.join().unwrap_or_default();
        sum.requests += totals.requests;
        sum.failures += totals.failures;
        sum.tokens += totals.tokens;
    }
    println!("requests={} failures={} tokens={}", sum.requests, sum.failures, sum.tokens);
    Ok(())
}

/// Sends one request after the other until the end time.
fn run_caller(plan: &DrivePlan, run_id: &str, until: Instant) -> CallerTotals {
    let mut totals = CallerTotals::default();
    let mut number = 0_u64;
    while Instant::now() < until {
        number += 1;
        match send(plan, &format!("{run_id}-{number}")) {
            Some(tokens) => {
                totals.requests += 1;
                totals.tokens += tokens;
            }
            None => {
                totals.failures += 1;
                thread::sleep(PAUSE_AFTER_FAILURE);
            }
        }
    }
    totals
}

/// Sends a request and returns the number of tokens in the response, or `None` if the response is not complete.
fn send(plan: &DrivePlan, idempotency_key: &str) -> Option<u64> {
    let kind = if plan.is_once { Names::KIND_ONCE } else { Names::KIND };
    let body = json!({
        "model": Names::MODEL,
        "prompt": format!("A note on the produce of request {idempotency_key}."),
        "max_tokens": plan.max_tokens,
        "stream": !plan.is_once,
    });
    let response = minreq::post(format!("http://{}/v1/completions", plan.address))
        .with_timeout(REQUEST_TIMEOUT_S)
        .with_header("Connection", "close")
        .with_header("Content-Type", "application/json")
        .with_header("Authorization", format!("Bearer {WORKSPACE_KEY}"))
        .with_header("Godwit-Kind", kind)
        .with_header("Godwit-Event", Names::EVENT)
        .with_header("Idempotency-Key", idempotency_key)
        .with_body(body.to_string())
        .send_lazy()
        .ok()?;
    let code = response.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("godwit-code"));
    let code = code.and_then(|(_, value)| value.parse().ok()).and_then(Code::from_number)?;
    let lines = BufReader::new(response).lines().map_while(Result::ok);
    match code {
        Code::Ok => Some(lines.map(|_| 0).sum::<u64>() + u64::from(plan.max_tokens)),
        Code::Streaming => count_tokens(lines),
        _ => None,
    }
}

/// Counts the tokens of an event stream. Returns `None` for a stream with an error or without its end event.
fn count_tokens(lines: impl Iterator<Item = String>) -> Option<u64> {
    let mut tokens = 0;
    for line in lines {
        match line.strip_prefix(EVENT_PREFIX) {
            Some("[DONE]") => return Some(tokens),
            Some(event) if event.contains("\"error\"") => return None,
            Some(event) => tokens += u64::from(event.contains("\"text\"")),
            None => {}
        }
    }
    None
}
