//! A request in its slot or in the queue for one.

use std::time::{Duration, Instant};

use godwit_schema::engine::{GenerateRequest, RefusalReason};

use super::core::{Engine, Interrupt, Work};
use super::slots::Place;
use crate::http::Responder;

/// How often a waiting request looks whether its caller is still there.
const CALLER_CHECK: Duration = Duration::from_millis(100);

/// A request taken in; dropping it frees its slot or its place in the queue.
pub(super) struct Run<'a> {
    engine: &'a Engine,
    request: &'a GenerateRequest,
    incarnation: u64,
    place: Place,
    remaining_tokens: u64,
}

impl<'a> Run<'a> {
    /// Takes in a request, unless its attempt is old or the queue is full.
    pub(super) fn enter(
        engine: &'a Engine,
        request: &'a GenerateRequest,
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
        let incarnation = state.incarnation;
        engine.note_load(&mut state);
        Ok(Run { engine, request, incarnation, place, remaining_tokens })
    }

    /// What waits on the engine's state.
    pub(super) fn work(&self) -> Work<'a> {
        Work {
            request_id: &self.request.request_id,
            attempt: self.request.attempt,
            incarnation: self.incarnation,
        }
    }

    /// Waits for a slot.
    pub(super) fn wait_for_slot(&self, responder: &Responder<'_>) -> Result<(), Interrupt> {
        loop {
            let due = Instant::now() + CALLER_CHECK;
            let place = self.place;
            let started = self
                .engine
                .wait_for(self.work(), Some(due), |state| state.memory.slots.try_start(place))?;
            if started {
                return Ok(());
            }
            if responder.is_caller_gone() {
                return Err(Interrupt::CallerGone);
            }
        }
    }

    /// Counts one token as generated.
    pub(super) fn token_done(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation != self.incarnation || self.remaining_tokens == 0 {
            return;
        }
        self.remaining_tokens -= 1;
        state.memory.pending_tokens = state.memory.pending_tokens.saturating_sub(1);
        self.engine.note_load(&mut state);
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation != self.incarnation {
            return;
        }
        let memory = &mut state.memory;
        memory.slots.leave(self.place);
        memory.pending_tokens = memory.pending_tokens.saturating_sub(self.remaining_tokens);
        self.engine.note_load(&mut state);
        drop(state);
        self.engine.notify();
    }
}
