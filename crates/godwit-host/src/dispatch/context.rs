//! Interfaces that a dispatch needs from the rest of the host.

use std::collections::BTreeSet;

use godwit_core::{Code, UnixMs};
use godwit_schema::engine::Stage;
use thiserror::Error;

use crate::Clock;
use crate::dispatch::{CrashGuard, DispatchSettings};

/// Server granted to a request for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantedServer {
    /// Name of the server; for a split model, the server of the first stage.
    pub server: String,
    /// Address of the server as `IP:PORT`.
    pub address: String,
    /// Stages of a split model; empty otherwise.
    pub stages: Vec<Stage>,
    /// Expected time to the first token, including queueing and prefill, in milliseconds.
    pub first_token_ms: u64,
    /// Expected time between two tokens, in milliseconds.
    pub token_gap_ms: u64,
}

/// Refusal of a request by the server source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: Code,
    /// Time from which a new request may succeed.
    pub retry_at: Option<UnixMs>,
}

/// Source of the servers for one request. Implementations may block while the request waits in a queue.
pub trait ServerSource {
    /// Acquires a server that is not in `excluded`. The server counts as running the request until
    /// [`AttemptObserver::attempt_ended`] is called.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no server can run the request in time.
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal>;
}

/// Error of a [`TokenSink`] whose caller has closed its connection.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller has closed its connection")]
pub struct CallerDisconnected;

/// Receiver of the accepted tokens of an answer.
pub trait TokenSink {
    /// Accepts the next token; called once for each position, in order.
    ///
    /// # Errors
    /// Returns [`CallerDisconnected`] if the caller has closed its connection.
    fn accept(&mut self, position: u32, token: &str) -> Result<(), CallerDisconnected>;
}

/// Reason of a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// The server refused the attempt.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The server was lost, or its answer was malformed.
    Lost,
    /// The server is alive and reported an error.
    Failed,
    /// The server sent nothing for too long.
    Silent,
}

impl RetryReason {
    /// Whether the retry adds load to live servers and must therefore be taken from the retry budget.
    ///
    /// Retries after losses and refused connections are limited by the number of servers lost, the attempt limit and
    /// the quarantine.
    pub fn adds_load(self) -> bool {
        match self {
            RetryReason::Refused | RetryReason::Failed | RetryReason::Silent => true,
            RetryReason::Unreachable | RetryReason::Lost => false,
        }
    }
}

/// Budget of the retries of a host.
pub trait RetryBudget {
    /// Takes one retry from the budget; returns `false` if none is left.
    fn take(&self, reason: RetryReason) -> bool;
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Completed,
    /// The server refused the attempt.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The server was lost: its connection broke, or another server reported its failure and it does not answer probes.
    Lost,
    /// The server reported an error, or another server reported its failure although it answers probes.
    Failed,
    /// The server sent nothing for too long.
    Silent,
    /// The server sent a malformed answer.
    Malformed,
    /// The attempt was cancelled or reached the deadline.
    Cancelled,
}

impl AttemptOutcome {
    /// Value of the label `ending` of the metric `godwit_attempts_total`.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Completed => "whole",
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

/// Report of an ended attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// Server granted for the attempt.
    pub granted: &'a GrantedServer,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Servers to which the outcome is attributed; empty if no server failed or it is not known which one did.
    pub responsible_servers: &'a [String],
    /// Number of tokens accepted in the attempt.
    pub tokens: u32,
    /// Duration of the attempt, in milliseconds.
    pub duration_ms: u64,
}

/// Observer of the ends of attempts.
pub trait AttemptObserver {
    /// Records the end of an attempt; called once for each server granted by [`ServerSource::acquire`].
    fn attempt_ended(&self, report: &AttemptReport);
}

/// Collaborators and settings of a dispatch.
#[derive(Clone, Copy)]
pub struct DispatchContext<'a> {
    /// Source of servers.
    pub source: &'a dyn ServerSource,
    /// Observer of the ends of attempts.
    pub observer: &'a dyn AttemptObserver,
    /// Budget of retries.
    pub retry_budget: &'a dyn RetryBudget,
    /// Register of requests that crash servers.
    pub crash_guard: &'a CrashGuard,
    /// Source of the current time.
    pub clock: &'a dyn Clock,
    /// Timeouts and limits.
    pub settings: &'a DispatchSettings,
}
