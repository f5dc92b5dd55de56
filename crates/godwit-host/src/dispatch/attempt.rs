//! One attempt: the events of one stream until it ends.

use godwit_core::stream::{Assembly, Dropped};
use godwit_core::{Admission, NeverSent, UnixMs};
use godwit_engine::{Generation, LossCause, NoEvent, StreamEvent};
use godwit_schema::engine::FinishReason;

use crate::dispatch::{CallerGone, GrantedServer, TokenSink, Tools};

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    Whole(FinishReason),
    Refused(NeverSent),
    Unreachable(NeverSent),
    Failed { failed_server: Option<String> },
    Closed,
    Malformed,
    Silent,
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
    pub(crate) assembly: &'a mut Assembly,
    pub(crate) sink: &'a mut dyn TokenSink,
    /// When the first token of the answer was accepted.
    pub(crate) first_token_at: &'a mut Option<UnixMs>,
}

impl Attempt<'_> {
    /// Reads until the stream ends.
    pub(crate) fn read(&mut self, generation: &mut Generation) -> AttemptEnd {
        let mut expected_ms = self.granted.first_token_ms;
        loop {
            let event = match self.next(generation, expected_ms) {
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
            expected_ms = self.granted.token_gap_ms;
        }
    }

    fn next(
        &self,
        generation: &mut Generation,
        expected_ms: u64,
    ) -> Result<StreamEvent, AttemptEnd> {
        let left_ms = self.admission.deadline.since_ms(self.tools.clock.now());
        let bound_ms = self.tools.settings.silent_bound_ms(expected_ms);
        // A non-idempotent run is never given up for another, so that only its deadline ends the wait.
        let wait_ms = if self.admission.non_idempotent { left_ms } else { bound_ms.min(left_ms) };
        match generation.next(wait_ms) {
            Ok(event) => Ok(event),
            Err(NoEvent::Silent { .. }) if wait_ms >= left_ms => Err(AttemptEnd::DeadlinePassed),
            Err(NoEvent::Silent { .. }) => Err(AttemptEnd::Silent),
        }
    }

    fn token(&mut self, attempt: u32, position: u32, token: &str) -> Result<(), AttemptEnd> {
        match self.assembly.token(attempt, position, token) {
            Ok(()) => self.accepted(position, token),
            // One stream is in order: a missing token will not come.
            Err(Dropped::Gap { .. } | Dropped::OverLimit { .. }) => Err(AttemptEnd::Malformed),
            Err(Dropped::OtherAttempt { .. } | Dropped::Duplicate { .. }) => Ok(()),
        }
    }

    fn accepted(&mut self, position: u32, token: &str) -> Result<(), AttemptEnd> {
        let now = self.tools.clock.now();
        self.first_token_at.get_or_insert(now);
        self.tokens += 1;
        if self.harmless_after_tokens == Some(self.tokens) {
            self.tools.crashes.clear(self.fingerprint, now);
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
                match self.assembly.done(attempt, count) {
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
            | AttemptEnd::Silent
                if self.assembly.is_at_limit() =>
            {
                AttemptEnd::Whole(FinishReason::Length)
            }
            end => end,
        }
    }
}
