//! One attempt: the events of one stream until it ends.

use godwit_core::stream::{AnswerAssembly, DropReason};
use godwit_core::{Admission, NotExecutedProof, UnixMs};
use godwit_engine::{Generation, LossCause, NoEvent, StreamEvent};
use godwit_schema::engine::FinishReason;

use crate::dispatch::attribution::unresponsive_servers;
use crate::dispatch::state::servers;
use crate::dispatch::{CallerGone, DispatchContext, GrantedServer, TokenSink};

/// Tokens of an attempt after which other suspects may join it on its servers.
const PROBATION_TOKENS: u32 = 1;

/// Silences before its first token after which a split model is given up, though all stages answer probes.
const MAX_SPLIT_SILENT_WAITS: u32 = 1;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    Whole(FinishReason),
    Refused(NotExecutedProof),
    Unreachable(NotExecutedProof),
    Failed {
        failed_server: Option<String>,
    },
    Closed,
    Malformed,
    /// Nothing came for too long; these of its servers did not answer a probe either.
    Silent {
        unresponsive: Vec<String>,
    },
    CallerGone,
    DeadlinePassed,
}

/// Reads one stream into the assembly and passes accepted tokens on.
pub(crate) struct Attempt<'a> {
    pub(crate) number: u32,
    pub(crate) granted: &'a GrantedServer,
    pub(crate) admission: &'a Admission,
    pub(crate) context: &'a DispatchContext<'a>,
    pub(crate) fingerprint: u64,
    /// Tokens of this attempt after which the request is known not to crash its servers.
    pub(crate) clear_marks_after_tokens: Option<u32>,
    /// Tokens accepted in this attempt.
    pub(crate) tokens: u32,
    pub(crate) assembly: &'a mut AnswerAssembly,
    pub(crate) sink: &'a mut dyn TokenSink,
    /// When the first token of the answer was accepted.
    pub(crate) first_token_at: &'a mut Option<UnixMs>,
}

impl Attempt<'_> {
    /// Reads until the stream ends.
    pub(crate) fn read_stream(&mut self, generation: &mut Generation) -> StreamEnd {
        loop {
            let event = match self.next_event(generation) {
                Ok(event) => event,
                Err(end) => return self.or_complete(end),
            };
            let taken = match event {
                StreamEvent::Token { attempt, position, token } => {
                    self.accept_token(attempt, position, &token)
                }
                last => Err(self.or_complete(self.stream_end(last))),
            };
            if let Err(end) = taken {
                return end;
            }
        }
    }

    /// The next event; waits on while no token has come and the servers answer probes, since the request may be queued.
    fn next_event(&self, generation: &mut Generation) -> Result<StreamEvent, StreamEnd> {
        let mut silent_waits = 0;
        loop {
            let left_ms = self.admission.deadline.since_ms(self.context.clock.now());
            let wait_ms = self.event_timeout_ms().min(left_ms);
            match generation.next(wait_ms) {
                Ok(event) => return Ok(event),
                Err(NoEvent::Silent { .. }) if wait_ms >= left_ms => {
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
            // Its run is never given up for another, so that only the deadline ends the wait.
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
        // A split model may stand still at a link between stages that all answer.
        let is_split = !self.granted.stages.is_empty();
        self.tokens == 0 && (!is_split || silent_waits <= MAX_SPLIT_SILENT_WAITS)
    }

    fn accept_token(&mut self, attempt: u32, position: u32, token: &str) -> Result<(), StreamEnd> {
        match self.assembly.accept_token(attempt, position, token) {
            Ok(()) => self.token_accepted(position, token),
            // One stream is in order: a missing token will not come.
            Err(DropReason::Gap { .. } | DropReason::OverLimit { .. }) => Err(StreamEnd::Malformed),
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
            Err(CallerGone) if !self.admission.non_idempotent => Err(StreamEnd::CallerGone),
            // A non-idempotent run goes on, so that a retry of its caller finds the result.
            Err(CallerGone) | Ok(()) => Ok(()),
        }
    }

    fn stream_end(&self, event: StreamEvent) -> StreamEnd {
        match event {
            StreamEvent::Done { attempt, count, finish_reason } => {
                match self.assembly.check_complete(attempt, count) {
                    Ok(()) => StreamEnd::Whole(finish_reason),
                    Err(error) => {
                        tracing::warn!(attempt = self.number, %error, "end of stream not taken");
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

    /// An answer that has all its tokens is whole, also when the end of its stream was lost.
    fn or_complete(&self, end: StreamEnd) -> StreamEnd {
        match end {
            StreamEnd::Failed { .. }
            | StreamEnd::Closed
            | StreamEnd::Malformed
            | StreamEnd::Silent { .. }
                if self.assembly.is_at_limit() =>
            {
                StreamEnd::Whole(FinishReason::Length)
            }
            end => end,
        }
    }
}
