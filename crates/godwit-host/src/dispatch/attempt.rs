//! One attempt to generate an answer: reads the event stream of one server until it ends.

use godwit_core::stream::{AnswerAssembly, DropReason};
use godwit_core::{Admission, NotExecutedProof, UnixMs};
use godwit_engine::{Generation, LossCause, NoEvent, StreamEvent};
use godwit_schema::engine::FinishReason;

use crate::dispatch::attribution::unresponsive_servers;
use crate::dispatch::state::servers;
use crate::dispatch::{CallerDisconnected, DispatchContext, GrantedServer, TokenSink};

/// Number of tokens after which an attempt has passed its probation, so that other suspects may start on its servers.
const PROBATION_TOKENS: u32 = 1;

/// Maximum number of silent waits for the first token of a split model whose stages all answer probes.
const MAX_SPLIT_SILENT_WAITS: u32 = 1;

/// End of the stream of an attempt.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    Completed(FinishReason),
    Refused(NotExecutedProof),
    Unreachable(NotExecutedProof),
    Failed {
        failed_server: Option<String>,
    },
    Closed,
    Malformed,
    /// No event arrived in time; `unresponsive` are the servers that did not answer a probe either.
    Silent {
        unresponsive: Vec<String>,
    },
    CallerDisconnected,
    DeadlinePassed,
}

/// Reads the stream of one attempt into the assembly of the answer and passes accepted tokens to the sink.
pub(crate) struct Attempt<'a> {
    pub(crate) number: u32,
    pub(crate) granted: &'a GrantedServer,
    pub(crate) admission: &'a Admission,
    pub(crate) context: &'a DispatchContext<'a>,
    pub(crate) fingerprint: u64,
    /// Number of tokens in this attempt after which the crash marks of the request are cleared, if any were set.
    pub(crate) clear_marks_after_tokens: Option<u32>,
    /// Number of tokens accepted in this attempt.
    pub(crate) tokens: u32,
    pub(crate) assembly: &'a mut AnswerAssembly,
    pub(crate) sink: &'a mut dyn TokenSink,
    /// Time at which the first token of the answer was accepted, in this or an earlier attempt.
    pub(crate) first_token_at: &'a mut Option<UnixMs>,
}

impl Attempt<'_> {
    /// Reads events until the stream ends.
    pub(crate) fn read_stream(&mut self, generation: &mut Generation) -> StreamEnd {
        loop {
            let event = match self.next_event(generation) {
                Ok(event) => event,
                Err(end) => return self.or_complete(end),
            };
            let result = match event {
                StreamEvent::Token { attempt, position, token } => {
                    self.accept_token(attempt, position, &token)
                }
                last => Err(self.or_complete(self.stream_end(last))),
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// Waits for the next event. After a timeout, the wait continues as long as no token has arrived and all servers
    /// answer probes, since the request may be queued at the server.
    fn next_event(&self, generation: &mut Generation) -> Result<StreamEvent, StreamEnd> {
        let mut silent_waits = 0;
        loop {
            let remaining_ms = self.admission.deadline.since_ms(self.context.clock.now());
            let wait_ms = self.event_timeout_ms().min(remaining_ms);
            match generation.next(wait_ms) {
                Ok(event) => return Ok(event),
                Err(NoEvent::Silent { .. }) if wait_ms >= remaining_ms => {
                    return Err(StreamEnd::DeadlinePassed);
                }
                Err(NoEvent::Silent { .. }) => silent_waits += 1,
            }
            let unresponsive =
                unresponsive_servers(self.granted, self.context.settings.probe_timeout_ms);
            if !unresponsive.is_empty() || !self.may_be_queued(silent_waits) {
                return Err(StreamEnd::Silent { unresponsive });
            }
        }
    }

    fn event_timeout_ms(&self) -> u64 {
        if self.admission.non_idempotent {
            // A non-idempotent attempt is never abandoned for another one, so only the deadline ends the wait.
            return u64::MAX;
        }
        let awaits_first_token = self.tokens == 0;
        let expected_ms = if awaits_first_token {
            self.granted.first_token_ms
        } else {
            self.granted.token_gap_ms
        };
        self.context.settings.silence_timeout_ms(expected_ms)
    }

    fn may_be_queued(&self, silent_waits: u32) -> bool {
        // A split model can stall on a link between two stages even though all stages answer probes.
        let is_split = !self.granted.stages.is_empty();
        self.tokens == 0 && (!is_split || silent_waits <= MAX_SPLIT_SILENT_WAITS)
    }

    fn accept_token(&mut self, attempt: u32, position: u32, token: &str) -> Result<(), StreamEnd> {
        match self.assembly.accept_token(attempt, position, token) {
            Ok(()) => self.token_accepted(position, token),
            // Events of one stream arrive in order, so a skipped token never arrives later. A run that repeats a token
            // with another text does not continue this answer.
            Err(
                reason @ (DropReason::Gap { .. }
                | DropReason::OverLimit { .. }
                | DropReason::Conflict { .. }),
            ) => {
                tracing::warn!(attempt = self.number, %reason, "inconsistent stream");
                Err(StreamEnd::Malformed)
            }
            Err(DropReason::OtherAttempt { .. } | DropReason::Duplicate { .. }) => Ok(()),
        }
    }

    fn token_accepted(&mut self, position: u32, token: &str) -> Result<(), StreamEnd> {
        let now = self.context.clock.now();
        self.first_token_at.get_or_insert(now);
        self.tokens += 1;
        if self.tokens == PROBATION_TOKENS {
            self.context.crash_guard.probation_passed(self.fingerprint, &servers(self.granted));
        }
        if self.clear_marks_after_tokens == Some(self.tokens) {
            self.context.crash_guard.clear(self.fingerprint, now);
        }
        match self.sink.accept(position, token) {
            Err(CallerDisconnected) if !self.admission.non_idempotent => {
                Err(StreamEnd::CallerDisconnected)
            }
            // A non-idempotent attempt continues, so that a retry by the caller finds its result.
            Err(CallerDisconnected) | Ok(()) => Ok(()),
        }
    }

    fn stream_end(&self, event: StreamEvent) -> StreamEnd {
        match event {
            StreamEvent::Done { attempt, count, finish_reason } => {
                match self.assembly.check_complete(attempt, count) {
                    Ok(()) => StreamEnd::Completed(finish_reason),
                    Err(error) => {
                        tracing::warn!(attempt = self.number, %error, "inconsistent end of stream");
                        StreamEnd::Malformed
                    }
                }
            }
            StreamEvent::Refused { proof, .. } => StreamEnd::Refused(proof),
            StreamEvent::Unreachable { proof, .. } => StreamEnd::Unreachable(proof),
            StreamEvent::Failed { failed_server, .. } => StreamEnd::Failed { failed_server },
            StreamEvent::Lost(LossCause::Closed(_)) => StreamEnd::Closed,
            StreamEvent::Lost(LossCause::TimedOut) => StreamEnd::DeadlinePassed,
            StreamEvent::Lost(LossCause::Malformed(_)) | StreamEvent::Token { .. } => {
                StreamEnd::Malformed
            }
        }
    }

    /// Treats the answer as complete if it has reached its token limit, even if the end of the stream was lost.
    fn or_complete(&self, end: StreamEnd) -> StreamEnd {
        match end {
            StreamEnd::Failed { .. }
            | StreamEnd::Closed
            | StreamEnd::Malformed
            | StreamEnd::Silent { .. }
                if self.assembly.is_at_limit() =>
            {
                StreamEnd::Completed(FinishReason::Length)
            }
            end => end,
        }
    }
}
