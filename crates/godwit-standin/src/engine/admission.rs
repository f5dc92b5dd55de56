//! Admission of a request to a slot or to the queue.

use godwit_schema::engine::{GenerateRequest, RefusalReason};

use super::core::Engine;
use super::slots::QueueTicket;
use super::wait::{AttemptContext, Interrupt};
use crate::http::Responder;

/// Admitted request; releases its slot or its queue ticket when dropped.
pub(super) struct AdmittedRequest<'a> {
    engine: &'a Engine,
    context: AttemptContext<'a>,
    ticket: QueueTicket,
    remaining_tokens: u64,
}

impl<'a> AdmittedRequest<'a> {
    /// Admits a request; fails if the queue is full, the attempt is stale, or the attempt already has a stream.
    pub(super) fn admit(
        engine: &'a Engine,
        request: &'a GenerateRequest,
        client: &'a Responder<'a>,
    ) -> Result<AdmittedRequest<'a>, RefusalReason> {
        let remaining = request.max_tokens.saturating_sub(request.first_position);
        let remaining_tokens = u64::from(remaining);
        let mut state = engine.state();
        let Some(ticket) = state.memory.slots.enqueue(request.priority) else {
            return Err(RefusalReason::Busy);
        };
        let started = state.memory.attempts.begin_stream(&request.request_id, request.attempt);
        if let Err(reason) = started {
            state.memory.slots.release(ticket);
            return Err(reason);
        }
        state.memory.pending_tokens += remaining_tokens;
        state.memory.record_load();
        let context = AttemptContext {
            request_id: &request.request_id,
            attempt: request.attempt,
            incarnation: state.incarnation,
            client,
        };
        Ok(AdmittedRequest { engine, context, ticket, remaining_tokens })
    }

    /// Context with which the request waits on the engine's state.
    pub(super) fn context(&self) -> AttemptContext<'a> {
        self.context
    }

    /// Waits until the request has a slot.
    pub(super) fn wait_for_slot(&self) -> Result<(), Interrupt> {
        let ticket = self.ticket;
        self.engine.wait_for(self.context, None, |state| state.memory.slots.try_start(ticket))?;
        Ok(())
    }

    /// Subtracts one generated token from the pending tokens.
    pub(super) fn count_token(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation != self.context.incarnation || self.remaining_tokens == 0 {
            return;
        }
        self.remaining_tokens -= 1;
        state.memory.pending_tokens = state.memory.pending_tokens.saturating_sub(1);
        state.memory.record_load();
    }
}

impl Drop for AdmittedRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation != self.context.incarnation {
            return;
        }
        let memory = &mut state.memory;
        memory.slots.release(self.ticket);
        memory.pending_tokens = memory.pending_tokens.saturating_sub(self.remaining_tokens);
        memory.record_load();
        drop(state);
        self.engine.notify();
    }
}
