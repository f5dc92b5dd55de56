//! One attempt: the events of one stream until it ends.

use godwit_core::stream::{Assembly, Dropped};
use godwit_core::{NeverSent, UnixMs};
use godwit_engine::{Generation, LossCause, NoEvent, StreamEvent};
use godwit_schema::engine::FinishReason;

use crate::Clock;
use crate::dispatch::{CallerGone, DispatchSettings, GrantedServer, TokenSink};

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
    pub(crate) idempotent: bool,
    pub(crate) deadline: UnixMs,
    pub(crate) clock: &'a dyn Clock,
    pub(crate) settings: &'a DispatchSettings,
}

impl Attempt<'_> {
    /// Reads until the stream ends; `first_token_at` is set at the first token of the answer.
    pub(crate) fn read(
        &self,
        generation: &mut Generation,
        assembly: &mut Assembly,
        sink: &mut dyn TokenSink,
        first_token_at: &mut Option<UnixMs>,
    ) -> AttemptEnd {
        let mut expected_ms = self.granted.first_token_ms;
        loop {
            let event = match self.next(generation, expected_ms) {
                Ok(event) => event,
                Err(end) => return self.or_whole(end, assembly),
            };
            let taken = match event {
                StreamEvent::Token { attempt, position, token } => {
                    self.token(assembly, sink, attempt, position, &token)
                }
                last => Err(self.or_whole(self.end(last, assembly), assembly)),
            };
            if let Err(end) = taken {
                return end;
            }
            if assembly.next_position() > 0 {
                first_token_at.get_or_insert_with(|| self.clock.now());
            }
            expected_ms = self.granted.token_gap_ms;
        }
    }

    fn next(
        &self,
        generation: &mut Generation,
        expected_ms: u64,
    ) -> Result<StreamEvent, AttemptEnd> {
        let left_ms = self.deadline.since_ms(self.clock.now());
        let bound_ms = self.settings.silent_bound_ms(expected_ms);
        // A non-idempotent run is never given up for another, so that only its deadline ends the wait.
        let wait_ms = if self.idempotent { bound_ms.min(left_ms) } else { left_ms };
        match generation.next(wait_ms) {
            Ok(event) => Ok(event),
            Err(NoEvent::Silent { .. }) if wait_ms >= left_ms => Err(AttemptEnd::DeadlinePassed),
            Err(NoEvent::Silent { .. }) => Err(AttemptEnd::Silent),
        }
    }

    fn token(
        &self,
        assembly: &mut Assembly,
        sink: &mut dyn TokenSink,
        attempt: u32,
        position: u32,
        token: &str,
    ) -> Result<(), AttemptEnd> {
        match assembly.token(attempt, position, token) {
            Ok(()) => self.pass_on(sink, position, token),
            // One stream is in order: a missing token will not come.
            Err(Dropped::Gap { .. } | Dropped::OverLimit { .. }) => Err(AttemptEnd::Malformed),
            Err(Dropped::OtherAttempt { .. } | Dropped::Duplicate { .. }) => Ok(()),
        }
    }

    fn pass_on(
        &self,
        sink: &mut dyn TokenSink,
        position: u32,
        token: &str,
    ) -> Result<(), AttemptEnd> {
        match sink.accept(position, token) {
            Err(CallerGone) if self.idempotent => Err(AttemptEnd::CallerGone),
            // A non-idempotent run goes on, so that a retry of its caller finds the result.
            Err(CallerGone) | Ok(()) => Ok(()),
        }
    }

    fn end(&self, event: StreamEvent, assembly: &Assembly) -> AttemptEnd {
        match event {
            StreamEvent::Done { attempt, count, finish_reason } => {
                match assembly.done(attempt, count) {
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
    fn or_whole(&self, end: AttemptEnd, assembly: &Assembly) -> AttemptEnd {
        match end {
            AttemptEnd::Failed { .. }
            | AttemptEnd::Closed
            | AttemptEnd::Malformed
            | AttemptEnd::Silent
                if assembly.is_at_limit() =>
            {
                AttemptEnd::Whole(FinishReason::Length)
            }
            end => end,
        }
    }
}
