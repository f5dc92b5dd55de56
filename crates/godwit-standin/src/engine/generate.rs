//! `POST /v1/generate`: runs a request and streams its tokens.

use std::time::Instant;

use godwit_schema::engine::{
    GenerateEvent, GenerateEventKind, GenerateRequest, JournalAction, RefusalReason,
};

use super::admission::AdmittedRequest;
use super::attempts::LayerRange;
use super::core::Engine;
use super::refusal::refusal;
use super::stage_client::StageClient;
use super::step::{StagePlan, StepError};
use super::tokens::Answer;
use super::wait::Interrupt;
use crate::http::{ConnectionAction, JsonLineStream, Responder};
use crate::journal::Subject;

impl Engine {
    /// Runs a request and streams its tokens. An error means that the request was refused before it ran.
    pub(super) fn generate(
        &self,
        request: &GenerateRequest,
        responder: &Responder<'_>,
    ) -> Result<ConnectionAction, RefusalReason> {
        if request.accepted_tokens.len() != request.first_position as usize {
            return Err(RefusalReason::BadRequest);
        }
        let layers = self.layers_to_run(request)?;
        let admitted = AdmittedRequest::admit(self, request, responder)?;
        self.journal.add(JournalAction::Accepted, journal_subject(request), None);
        let Ok(lines) = responder.json_lines() else {
            self.journal.add(JournalAction::Cancelled, journal_subject(request), None);
            return Ok(ConnectionAction::Close);
        };
        let stream = TokenStream { engine: self, request, lines };
        Ok(stream.run(admitted, layers))
    }

    fn layers_to_run(&self, request: &GenerateRequest) -> Result<LayerRange, RefusalReason> {
        let mut state = self.state();
        let inventory = &mut state.memory.inventory;
        inventory.complete_due_loads(Instant::now());
        let adapter = request.adapter.as_deref();
        if adapter.is_some_and(|adapter| !inventory.has_adapter(adapter)) {
            return Err(RefusalReason::UnknownModel);
        }
        let stage = request.stages.first();
        let stage_layers = stage.map(|s| LayerRange { from: s.layer_from, to: s.layer_to });
        let loaded = inventory.find(&request.model, stage_layers);
        let loaded = loaded.ok_or(RefusalReason::UnknownModel)?;
        let loaded_layers = LayerRange { from: loaded.layer_from, to: loaded.layer_to };
        Ok(stage_layers.unwrap_or(loaded_layers))
    }
}

fn journal_subject(request: &GenerateRequest) -> Subject<'_> {
    Subject {
        request_id: Some(&request.request_id),
        idempotency_key: request.idempotency_key.as_deref(),
        attempt: Some(request.attempt),
        position: Some(request.first_position),
        layers: None,
    }
}

struct TokenStream<'a> {
    engine: &'a Engine,
    request: &'a GenerateRequest,
    lines: JsonLineStream<'a>,
}

impl TokenStream<'_> {
    fn run(mut self, mut admitted: AdmittedRequest<'_>, layers: LayerRange) -> ConnectionAction {
        let mut position = self.request.first_position;
        let error = match self.run_tokens(&mut admitted, layers, &mut position) {
            Ok(()) => {
                drop(admitted);
                self.engine.journal.add(JournalAction::Done, journal_subject(self.request), None);
                return ConnectionAction::KeepOpen;
            }
            Err(error) => error,
        };
        drop(admitted);
        match error {
            StepError::Interrupted(Interrupt::EngineCrashed) => {
                self.lines.abort();
                ConnectionAction::Close
            }
            StepError::Interrupted(Interrupt::ClientDisconnected) => {
                self.engine.journal.add(
                    JournalAction::Cancelled,
                    journal_subject(self.request),
                    None,
                );
                self.lines.abort();
                ConnectionAction::Close
            }
            StepError::Interrupted(Interrupt::Superseded) => {
                self.engine.journal.add(
                    JournalAction::Cancelled,
                    journal_subject(self.request),
                    None,
                );
                self.send_error(position, None, refusal(RefusalReason::StaleAttempt).message)
            }
            StepError::Refused(refusal) => {
                self.send_error(position, refusal.failed_server, refusal.message)
            }
        }
    }

    fn run_tokens(
        &mut self,
        admitted: &mut AdmittedRequest<'_>,
        layers: LayerRange,
        position: &mut u32,
    ) -> Result<(), StepError> {
        let (engine, request) = (self.engine, self.request);
        let plan = StagePlan {
            request_id: &request.request_id,
            model: &request.model,
            prompt: &request.prompt,
            attempt: request.attempt,
            stages: &request.stages,
            stage_index: 0,
            layers,
        };
        let mut stage_client = StageClient::default();
        admitted.wait_for_slot()?;
        let answer = Answer::new(&request.model, &request.prompt, request.max_tokens);
        let mut due = Instant::now() + engine.prefill_time(&plan, *position);
        engine.wait_until(admitted.context(), due)?;
        engine.store_prefixes(&request.prompt);
        engine.check_interrupt(admitted.context())?;
        while *position < answer.length {
            let token_time = engine.processing_time(1, engine.settings.tokens_per_s);
            due = (due + token_time).max(Instant::now());
            engine.wait_until(admitted.context(), due)?;
            let token =
                engine.run_position(&plan, &mut stage_client, admitted.context(), *position)?;
            if !request.stages.is_empty() {
                due = Instant::now();
            }
            admitted.count_token();
            self.send_token(*position, token)?;
            *position += 1;
        }
        self.send_done(&answer)
    }

    fn send_token(&mut self, position: u32, token: String) -> Result<(), StepError> {
        let mut event = self.event(GenerateEventKind::Token, position);
        event.token = Some(token);
        self.send(&event)?;
        if self.engine.state().faults.duplicate_tokens {
            self.send(&event)?;
        }
        Ok(())
    }

    fn send_done(&mut self, answer: &Answer) -> Result<(), StepError> {
        let mut event = self.event(GenerateEventKind::Done, answer.length);
        event.finish_reason = Some(answer.finish_reason);
        self.send(&event)
    }

    fn send_error(
        mut self,
        position: u32,
        server: Option<String>,
        message: String,
    ) -> ConnectionAction {
        let mut event = self.event(GenerateEventKind::Error, position);
        event.failed_server = server;
        event.message = Some(message);
        match self.send(&event) {
            Ok(()) => ConnectionAction::KeepOpen,
            Err(_) => ConnectionAction::Close,
        }
    }

    fn send(&mut self, event: &GenerateEvent) -> Result<(), StepError> {
        self.lines.send(event).map_err(|_| Interrupt::ClientDisconnected.into())
    }

    fn event(&self, kind: GenerateEventKind, position: u32) -> GenerateEvent {
        GenerateEvent {
            attempt: self.request.attempt,
            failed_server: None,
            finish_reason: None,
            kind,
            message: None,
            position,
            token: None,
        }
    }
}
