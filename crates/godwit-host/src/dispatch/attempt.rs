//! One attempt: the events of one stream until it ends.

use godwit_core::stream::{AnswerAssembly, DropReason};
use godwit_core::{Admission, NotExecutedProof, UnixMs};
use godwit_engine::{Generation, LossCause, NoEvent, StreamEvent};
use godwit_schema::engine::FinishReason;

use crate::dispatch::blame::unanswered;
use crate::dispatch::tries::servers;
use crate::dispatch::{CallerGone, GrantedServer, TokenSink, Tools};

/// Tokens of an attempt after which other suspects may join it on its servers.
const PROBATION_TOKENS: u32 = 1;

/// Silences before its first token after which a split model is given up, though all stages answer probes.
const SPLIT_SILENCES_LIMIT: u32 = 1;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
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
        unanswered: Vec<String>,
    },
    CallerGone,
    DeadlinePassed,
}

/// Reads one stream into the assembly and passes accepted tokens on.
pub(crate) struct Attempt<'a> {
    pub(crate) number: u32,
    pub(crate) granted: &'a GrantedServer,
    pub(crate) admission: &'a Admission,
    pub(crate) tools: &'a Tools<'a>,
    pub(crate) fingerprint: u64,
    /// Tokens of this attempt after which the request is known not to crash its servers.
    pub(crate) harmless_after_tokens: Option<u32>,
    /// Tokens accepted in this attempt.
    pub(crate) tokens: u32,
    pub(crate) assembly: &'a mut AnswerAssembly,
    pub(crate) sink: &'a mut dyn TokenSink,
    /// When the first token of the answer was accepted.
    pub(crate) first_token_at: &'a mut Option<UnixMs>,
}

impl Attempt<'_> {
    /// Reads until the stream ends.
    pub(crate) fn read(&mut self, generation: &mut Generation) -> AttemptEnd {
        loop {
            let event = match self.next(generation) {
                Ok(event) => event,
                Err(end) => return self.or_whole(end),
            };
            let taken = match event {
                StreamEvent::Token { attempt, position, token } => {
                    self.token(attempt, position, &token)
                }
                last => Err(self.or_whole(self.end(last))),
            };
            if let Err(end) = taken {
                return end;
            }
        }
    }

    /// The next event; waits on while no token has come and the servers answer probes, since the request may be queued.
    fn next(&self, generation: &mut Generation) -> Result<StreamEvent, AttemptEnd> {
        let mut silences = 0;
        loop {
            let left_ms = self.admission.deadline.since_ms(self.tools.clock.now());
            let wait_ms = self.wait_ms().min(left_ms);
            match generation.next(wait_ms) {
                Ok(event) => return Ok(event),
                Err(NoEvent::Silent { .. }) if wait_ms >= left_ms => {
                    return Err(AttemptEnd::DeadlinePassed);
                }
                Err(NoEvent::Silent { .. }) => silences += 1,
            }
            let unanswered = unanswered(self.granted, self.tools.settings.probe_wait_ms);
            if !unanswered.is_empty() || !self.may_be_queued(silences) {
                return Err(AttemptEnd::Silent { unanswered });
            }
        }
    }

    fn wait_ms(&self) -> u64 {
        if self.admission.non_idempotent {
            // Its run is never given up for another, so that only the deadline ends the wait.
            return u64::MAX;
        }
        let is_first = self.tokens == 0;
        let expected_ms =
            if is_first { self.granted.first_token_ms } else { self.granted.token_gap_ms };
        self.tools.settings.silent_bound_ms(expected_ms)
    }

    fn may_be_queued(&self, silences: u32) -> bool {
        // A split model may stand still at a link between stages that all answer.
        let is_split = !self.granted.stages.is_empty();
        self.tokens == 0 && (!is_split || silences <= SPLIT_SILENCES_LIMIT)
    }

    fn token(&mut self, attempt: u32, position: u32, token: &str) -> Result<(), AttemptEnd> {
        match self.assembly.accept_token(attempt, position, token) {
            Ok(()) => self.accepted(position, token),
            // One stream is in order: a missing token will not come.
            Err(DropReason::Gap { .. } | DropReason::OverLimit { .. }) => {
                Err(AttemptEnd::Malformed)
            }
            Err(DropReason::OtherAttempt { .. } | DropReason::Duplicate { .. }) => Ok(()),
        }
    }

    fn accepted(&mut self, position: u32, token: &str) -> Result<(), AttemptEnd> {
        let now = self.tools.clock.now();
        self.first_token_at.get_or_insert(now);
        self.tokens += 1;
        if self.tokens == PROBATION_TOKENS {
            self.tools.crash_guard.probation_passed(self.fingerprint, &servers(self.granted));
        }
        if self.harmless_after_tokens == Some(self.tokens) {
            self.tools.crash_guard.clear(self.fingerprint, now);
        }
        match self.sink.accept(position, token) {
            Err(CallerGone) if !self.admission.non_idempotent => Err(AttemptEnd::CallerGone),
            // A non-idempotent run goes on, so that a retry of its caller finds the result.
            Err(CallerGone) | Ok(()) => Ok(()),
        }
    }

    fn end(&self, event: StreamEvent) -> AttemptEnd {
        match event {
            StreamEvent::Done { attempt, count, finish_reason } => {
                match self.assembly.check_complete(attempt, count) {
                    Ok(()) => AttemptEnd::Whole(finish_reason),
                    Err(error) => {
                        tracing::warn!(attempt = self.number, %error, "end of stream not taken");
                        AttemptEnd::Malformed
                    }
                }
            }
            StreamEvent::Refused { proof, .. } => AttemptEnd::Refused(proof),
            StreamEvent::Unreachable { proof, .. } => AttemptEnd::Unreachable(proof),
            StreamEvent::Failed { failed_server, .. } => AttemptEnd::Failed { failed_server },
            StreamEvent::Lost(LossCause::Closed(_)) => AttemptEnd::Closed,
            StreamEvent::Lost(LossCause::TimedOut) => AttemptEnd::DeadlinePassed,
            StreamEvent::Lost(LossCause::Malformed(_)) | StreamEvent::Token { .. } => {
                AttemptEnd::Malformed
            }
        }
    }

    /// An answer that has all its tokens is whole, also when the end of its stream was lost.
    fn or_whole(&self, end: AttemptEnd) -> AttemptEnd {
        match end {
            AttemptEnd::Failed { .. }
            | AttemptEnd::Closed
            | AttemptEnd::Malformed
            | AttemptEnd::Silent { .. }
                if self.assembly.is_at_limit() =>
            {
                AttemptEnd::Whole(FinishReason::Length)
            }
            end => end,
        }
    }
}
