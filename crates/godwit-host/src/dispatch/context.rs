//! What a dispatch needs from the rest of the host.

use std::collections::BTreeSet;

use godwit_core::{Code, UnixMs};
use godwit_schema::engine::Stage;
use thiserror::Error;

use crate::Clock;
use crate::dispatch::{CrashGuard, DispatchSettings};

/// A server that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantedServer {
    /// Name of the server; for a split model the server of the first stage.
    pub server: String,
    /// `IP:PORT` of the server.
    pub address: String,
    /// The stages of a split model, empty otherwise.
    pub stages: Vec<Stage>,
    /// Expected wait for the first token, queue and prefill included.
    pub first_token_ms: u64,
    /// Expected wait between tokens.
    pub token_gap_ms: u64,
}

/// No server is granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When asking again may help.
    pub retry_at: Option<UnixMs>,
}

/// Where servers for one request come from; waits in the queue are its own.
pub trait ServerSource {
    /// A server that is none of `excluded`, counted as running the request until [`AttemptObserver::attempt_ended`].
    ///
    /// # Errors
    /// No server can run the request in time.
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal>;
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller is gone")]
pub struct CallerGone;

/// Where accepted tokens go.
pub trait TokenSink {
    /// Takes the next token; called once for each position, in order.
    ///
    /// # Errors
    /// The caller is gone.
    fn accept(&mut self, position: u32, token: &str) -> Result<(), CallerGone>;
}

/// Why a request is tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// The server refused the attempt.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The server was lost, or its answer made no sense.
    Lost,
    /// The server lives and reported an error.
    Failed,
    /// The server was silent.
    Silent,
}

impl RetryReason {
    /// Whether the retry adds load to servers that live, so that it has to come out of a budget.
    ///
    /// Losses and refused connections are bounded by the servers lost, the attempt limit and the quarantine.
    pub fn adds_load(self) -> bool {
        match self {
            RetryReason::Refused | RetryReason::Failed | RetryReason::Silent => true,
            RetryReason::Unreachable | RetryReason::Lost => false,
        }
    }
}

/// The retries that the host allows itself.
pub trait RetryBudget {
    /// Takes one retry, if there is one left.
    fn take(&self, reason: RetryReason) -> bool;
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The answer is whole.
    Whole,
    /// The server refused the attempt.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The server was lost: the connection broke, or another server reported the loss and it answers no probe.
    Lost,
    /// The server reported an error, or another one reported that it failed though it answers probes.
    Failed,
    /// The server sent nothing for too long.
    Silent,
    /// The server sent something that makes no sense.
    Malformed,
    /// The attempt was cancelled or passed its deadline.
    Cancelled,
}

impl AttemptOutcome {
    /// The ending as in the label `ending` of `godwit_attempts_total`.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Whole => "whole",
            AttemptOutcome::Refused => "refused",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Silent => "silent",
            AttemptOutcome::Malformed => "malformed",
            AttemptOutcome::Cancelled => "cancelled",
        }
    }
}

/// What an attempt showed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The grant of the attempt.
    pub granted: &'a GrantedServer,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Servers that the ending is put down to.
    pub responsible_servers: &'a [String],
    /// Tokens accepted in the attempt.
    pub tokens: u32,
    /// How long the attempt took.
    pub duration_ms: u64,
}

/// Who is told how attempts end.
pub trait AttemptObserver {
    /// An attempt has ended; called once for each granted server.
    fn attempt_ended(&self, report: &AttemptReport);
}

/// What a dispatch works with.
#[derive(Clone, Copy)]
pub struct DispatchContext<'a> {
    /// Where servers come from.
    pub source: &'a dyn ServerSource,
    /// Who is told how attempts end.
    pub observer: &'a dyn AttemptObserver,
    /// The retries allowed.
    pub retry_budget: &'a dyn RetryBudget,
    /// The register of requests that crash servers.
    pub crash_guard: &'a CrashGuard,
    /// The present time.
    pub clock: &'a dyn Clock,
    /// Bounds.
    pub settings: &'a DispatchSettings,
}
