//! Runs one position through the layers of a stage and calls the next stage.

use std::time::{Duration, Instant};

use godwit_schema::engine::{
    EngineRefusal, JournalAction, RefusalReason, Stage, StepReply, StepRequest,
};

use super::attempts::LayerRange;
use super::core::Engine;
use super::refusal::refusal;
use super::stage_client::{StageCallError, StageClient};
use super::tokens::{Answer, prompt_tokens};
use super::wait::{AttemptContext, Interrupt};
use crate::http::Responder;
use crate::journal::Subject;

/// Parts of a request that every stage needs, and the stage that runs it here.
#[derive(Clone, Copy)]
pub(super) struct StagePlan<'a> {
    pub(super) request_id: &'a str,
    pub(super) model: &'a str,
    pub(super) prompt: &'a str,
    pub(super) attempt: u32,
    pub(super) stages: &'a [Stage],
    pub(super) stage_index: usize,
    pub(super) layers: LayerRange,
}

/// Why a position could not be run.
#[derive(Debug)]
pub(super) enum StepError {
    /// The attempt ended before the position was complete.
    Interrupted(Interrupt),
    /// This engine or a later stage refused the position, or a later stage failed.
    Refused(EngineRefusal),
}

impl From<Interrupt> for StepError {
    fn from(interrupt: Interrupt) -> StepError {
        StepError::Interrupted(interrupt)
    }
}

impl From<RefusalReason> for StepError {
    fn from(reason: RefusalReason) -> StepError {
        StepError::Refused(refusal(reason))
    }
}

impl Engine {
    /// Runs one position through the layers of this stage and all later ones.
    pub(super) fn run_position(
        &self,
        plan: &StagePlan<'_>,
        stage_client: &mut StageClient,
        context: AttemptContext<'_>,
        position: u32,
    ) -> Result<String, StepError> {
        self.inject_faults(context, position, plan.prompt)?;
        let mut state = self.state();
        if state.incarnation != context.incarnation {
            return Err(Interrupt::EngineCrashed.into());
        }
        let attempts = &mut state.memory.attempts;
        attempts.begin_position(plan.request_id, plan.attempt, position, plan.layers)?;
        let action =
            if plan.stages.is_empty() { JournalAction::Token } else { JournalAction::Step };
        let subject = Subject {
            request_id: Some(plan.request_id),
            attempt: Some(plan.attempt),
            position: Some(position),
            layers: Some((plan.layers.from, plan.layers.to)),
            ..Subject::default()
        };
        self.journal.add(action, subject, None);
        drop(state);
        match plan.stages.get(plan.stage_index + 1) {
            Some(next) => self.call_next_stage(plan, next, stage_client, context, position),
            None => Ok(Answer::new(plan.model, plan.prompt, u32::MAX).token(position)),
        }
    }

    /// Prefill time for a position, without the tokens that the KV cache or the prefix cache covers.
    pub(super) fn prefill_time(&self, plan: &StagePlan<'_>, position: u32) -> Duration {
        let state = self.state();
        let needed = prompt_tokens(plan.prompt).saturating_add(position);
        let kv = state.memory.attempts.kv(plan.request_id);
        let kv = kv.filter(|kv| kv.layers.covers(plan.layers));
        let covered = match kv {
            Some(kv) => prompt_tokens(plan.prompt).saturating_add(kv.position),
            None => u32::try_from(state.memory.cache.cached_bytes(plan.prompt) / 4).unwrap_or(0),
        };
        drop(state);
        self.processing_time(needed.saturating_sub(covered), self.settings.prefill_tokens_per_s)
    }

    /// Stores the prefixes of a prompt after its prefill.
    pub(super) fn store_prefixes(&self, prompt: &str) {
        let mut state = self.state();
        let records_events = !state.faults.drop_cache_events;
        state.memory.cache.store(prompt, records_events);
    }

    /// Handles `POST /v1/step`.
    pub(super) fn step(
        &self,
        request: &StepRequest,
        client: &Responder<'_>,
    ) -> Result<StepReply, StepError> {
        let stage_index = request.stage_index as usize;
        let stage = request.stages.get(stage_index).ok_or(RefusalReason::BadRequest)?;
        let layers = LayerRange { from: stage.layer_from, to: stage.layer_to };
        let plan = StagePlan {
            request_id: &request.request_id,
            model: &request.model,
            prompt: &request.prompt,
            attempt: request.attempt,
            stages: &request.stages,
            stage_index,
            layers,
        };
        let slot = StepSlot::acquire(self, &plan, client)?;
        let prefill = self.prefill_time(&plan, request.position);
        self.wait_until(slot.context, Instant::now() + prefill)?;
        let token_time = self.processing_time(1, self.settings.tokens_per_s);
        self.wait_until(slot.context, Instant::now() + token_time)?;
        let context = slot.context;
        drop(slot);
        let token =
            self.run_position(&plan, &mut StageClient::default(), context, request.position)?;
        Ok(StepReply { token })
    }

    fn call_next_stage(
        &self,
        plan: &StagePlan<'_>,
        next: &Stage,
        stage_client: &mut StageClient,
        context: AttemptContext<'_>,
        position: u32,
    ) -> Result<String, StepError> {
        let link_delay = Duration::from_millis(self.state().faults.link_delay_ms);
        if !link_delay.is_zero() {
            self.wait_until(context, Instant::now() + link_delay)?;
        }
        let step = StepRequest {
            request_id: plan.request_id.to_string(),
            model: plan.model.to_string(),
            prompt: plan.prompt.to_string(),
            attempt: plan.attempt,
            position,
            stage_index: plan.stage_index as u32 + 1,
            stages: plan.stages.to_vec(),
        };
        let timeout = Duration::from_millis(self.settings.step_timeout_ms);
        let result = stage_client.step(next, &step, timeout, || self.check_interrupt(context));
        self.wait_until(context, Instant::now())?;
        result.map_err(|error| match error {
            StageCallError::Interrupted(interrupt) => StepError::Interrupted(interrupt),
            StageCallError::Refused(refusal) => StepError::Refused(refusal),
        })
    }
}

/// Slot of a running step; counts as load until dropped.
struct StepSlot<'a> {
    engine: &'a Engine,
    context: AttemptContext<'a>,
}

impl<'a> StepSlot<'a> {
    fn acquire(
        engine: &'a Engine,
        plan: &StagePlan<'a>,
        client: &'a Responder<'a>,
    ) -> Result<StepSlot<'a>, StepError> {
        let mut state = engine.state();
        if state.memory.inventory.find(plan.model, Some(plan.layers)).is_none() {
            return Err(RefusalReason::UnknownModel.into());
        }
        state.memory.attempts.advance(plan.request_id, plan.attempt)?;
        let (request_id, attempt) = (plan.request_id, plan.attempt);
        let context =
            AttemptContext { request_id, attempt, incarnation: state.incarnation, client };
        drop(state);
        let slots = engine.settings.slots;
        engine.wait_for(context, None, |state| {
            let is_free = state.memory.steps_running < slots;
            state.memory.steps_running += u32::from(is_free);
            is_free
        })?;
        Ok(StepSlot { engine, context })
    }
}

impl Drop for StepSlot<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation == self.context.incarnation {
            state.memory.steps_running = state.memory.steps_running.saturating_sub(1);
            drop(state);
            self.engine.notify();
        }
    }
}
