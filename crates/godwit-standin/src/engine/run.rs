//! A request in its slot or in the queue for one.

use godwit_schema::engine::{GenerateRequest, RefusalReason};

use super::core::Engine;
use super::slots::Place;
use super::wait::{Interrupt, Work};
use crate::http::Responder;

/// A request taken in; dropping it frees its slot or its place in the queue.
pub(super) struct Run<'a> {
    engine: &'a Engine,
    work: Work<'a>,
    place: Place,
    remaining_tokens: u64,
}

impl<'a> Run<'a> {
    /// Takes in a request, unless its attempt is old or the queue is full.
    pub(super) fn enter(
        engine: &'a Engine,
        request: &'a GenerateRequest,
        caller: &'a Responder<'a>,
    ) -> Result<Run<'a>, RefusalReason> {
        let remaining = request.max_tokens.saturating_sub(request.first_position);
        let remaining_tokens = u64::from(remaining);
        let mut state = engine.state();
        let Some(place) = state.memory.slots.enter(request.priority) else {
            return Err(RefusalReason::Busy);
        };
        let begun = state.memory.attempts.begin_stream(&request.request_id, request.attempt);
        if let Err(reason) = begun {
            state.memory.slots.leave(place);
            return Err(reason);
        }
        state.memory.pending_tokens += remaining_tokens;
        state.memory.note_load();
        let work = Work {
            request_id: &request.request_id,
            attempt: request.attempt,
            incarnation: state.incarnation,
            caller,
        };
        Ok(Run { engine, work, place, remaining_tokens })
    }

    /// What waits on the engine's state.
    pub(super) fn work(&self) -> Work<'a> {
        self.work
    }

    /// Waits for a slot.
    pub(super) fn wait_for_slot(&self) -> Result<(), Interrupt> {
        let place = self.place;
        self.engine.wait_for(self.work, None, |state| state.memory.slots.try_start(place))?;
        Ok(())
    }

    /// Counts one token as generated.
    pub(super) fn token_done(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation != self.work.incarnation || self.remaining_tokens == 0 {
            return;
        }
        self.remaining_tokens -= 1;
        state.memory.pending_tokens = state.memory.pending_tokens.saturating_sub(1);
        state.memory.note_load();
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation != self.work.incarnation {
            return;
        }
        let memory = &mut state.memory;
        memory.slots.leave(self.place);
        memory.pending_tokens = memory.pending_tokens.saturating_sub(self.remaining_tokens);
        memory.note_load();
        drop(state);
        self.engine.notify();
    }
}
