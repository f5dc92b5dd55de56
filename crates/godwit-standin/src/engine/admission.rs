//! A request in its slot or in the queue for one.

use godwit_schema::engine::{GenerateRequest, RefusalReason};

use super::core::Engine;
use super::slots::QueueTicket;
use super::wait::{AttemptContext, Interrupt};
use crate::http::Responder;

/// A request taken in; dropping it frees its slot or its place in the queue.
pub(super) struct AdmittedRequest<'a> {
    engine: &'a Engine,
    context: AttemptContext<'a>,
    ticket: QueueTicket,
    remaining_tokens: u64,
}

impl<'a> AdmittedRequest<'a> {
    /// Takes in a request, unless its attempt is old or the queue is full.
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
        let begun = state.memory.attempts.begin_stream(&request.request_id, request.attempt);
        if let Err(reason) = begun {
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

    /// What waits on the engine's state.
    pub(super) fn context(&self) -> AttemptContext<'a> {
        self.context
    }

    /// Waits for a slot.
    pub(super) fn wait_for_slot(&self) -> Result<(), Interrupt> {
        let ticket = self.ticket;
        self.engine.wait_for(self.context, None, |state| state.memory.slots.try_start(ticket))?;
        Ok(())
    }

    /// Counts one token as generated.
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
