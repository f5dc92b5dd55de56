//! HTTP interface of the engine stand-in.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwit_schema::engine::{
    CancelRequest, EngineOrder, JournalAction, OrderReply, RefusalReason, StepRequest,
};
use serde_json::json;

use super::core::Engine;
use super::inventory::OrderOutcome;
use super::refusal::{http_status, refusal};
use super::step::StepError;
use super::wait::Interrupt;
use crate::http::{Call, ConnectionAction, Handler, Responder};
use crate::journal::{self, Subject};

/// Handler of the main port: the engine API, the faults and the journal, while the engine is alive.
pub(super) struct Api(pub(super) Arc<Engine>);

/// Handler of the control port: only the faults and the journal, also while faults are active.
pub(super) struct ControlApi(pub(super) Arc<Engine>);

impl Handler for Api {
    fn is_serving(&self) -> bool {
        self.0.is_alive()
    }

    fn handle(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        self.0.wait_while_hanging();
        if !self.0.is_alive() {
            return ConnectionAction::Close;
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/generate") => generate(&self.0, call, responder),
            ("POST", "/v1/step") => step(&self.0, call, responder),
            ("POST", "/v1/cancel") => cancel(&self.0, call, responder),
            ("POST", "/v1/orders") => order(&self.0, call, responder),
            ("PUT", "/v1/kv") => import_kv(&self.0, call, responder),
            ("GET", "/v1/kv") => export_kv(&self.0, call, responder),
            ("GET", "/v1/load") => responder.json(200, &self.0.load_report()),
            ("GET", "/v1/cache-events") => cache_events(&self.0, call, responder),
            _ => handle_control(&self.0, call, responder),
        }
    }
}

impl Handler for ControlApi {
    fn handle(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        handle_control(&self.0, call, responder)
    }
}

fn handle_control(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/journal") => journal::respond(&engine.journal, responder),
        ("PUT", "/faults") => match call.json() {
            Ok(faults) => match engine.set_faults(faults) {
                Ok(()) => responder.json(200, &json!({})),
                Err(error) => responder.json(503, &json!({"error": error.to_string()})),
            },
            Err(error) => responder.json(400, &json!({"error": error.to_string()})),
        },
        _ => responder.json(404, &json!({"error": "not found"})),
    }
}

fn refuse(responder: &Responder<'_>, reason: RefusalReason) -> ConnectionAction {
    responder.json(http_status(reason), &refusal(reason))
}

fn journal_refusal(engine: &Engine, id: &str, attempt: u32, reason: RefusalReason) {
    let subject = Subject { request_id: Some(id), attempt: Some(attempt), ..Subject::default() };
    engine.journal.add(JournalAction::Refused, subject, Some(reason.to_string()));
}

fn generate(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    let Ok(request) = call.json() else { return refuse(responder, RefusalReason::BadRequest) };
    engine.generate(&request, responder).unwrap_or_else(|reason| {
        journal_refusal(engine, &request.request_id, request.attempt, reason);
        refuse(responder, reason)
    })
}

fn step(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    let Ok(request) = call.json::<StepRequest>() else {
        return refuse(responder, RefusalReason::BadRequest);
    };
    match engine.step(&request, responder) {
        Ok(reply) => responder.json(200, &reply),
        Err(StepError::Interrupted(Interrupt::Superseded)) => {
            refuse(responder, RefusalReason::StaleAttempt)
        }
        Err(StepError::Interrupted(_)) => ConnectionAction::Close,
        Err(StepError::Refused(refusal)) => {
            journal_refusal(engine, &request.request_id, request.attempt, refusal.reason);
            responder.json(http_status(refusal.reason), &refusal)
        }
    }
}

fn cancel(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    let Ok(cancel) = call.json::<CancelRequest>() else {
        return refuse(responder, RefusalReason::BadRequest);
    };
    engine.state().memory.attempts.cancel(&cancel.request_id, cancel.attempt);
    engine.notify();
    responder.json(200, &json!({}))
}

fn order(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    let Ok(order) = call.json::<EngineOrder>() else {
        return refuse(responder, RefusalReason::BadRequest);
    };
    let now = Instant::now();
    let ready_at = now + Duration::from_millis(engine.settings.order_load_ms);
    let mut state = engine.state();
    let inventory = &mut state.memory.inventory;
    inventory.complete_due_loads(now);
    let outcome = inventory.apply_order(&order, engine.settings.checks_fencing, ready_at);
    let highest_fencing_number = inventory.highest_fencing_number();
    let detail = format!(
        "{} {} order_id={} fencing_number={}",
        order.action, order.target, order.order_id, order.fencing_number
    );
    let action = match outcome {
        OrderOutcome::Accepted => Some(JournalAction::Order),
        OrderOutcome::StaleFencingNumber => Some(JournalAction::Refused),
        OrderOutcome::Duplicate => None,
    };
    if let Some(action) = action {
        engine.journal.add(action, Subject::default(), Some(detail));
    }
    drop(state);
    if outcome == OrderOutcome::StaleFencingNumber {
        return refuse(responder, RefusalReason::StaleFencingNumber);
    }
    responder.json(200, &OrderReply { highest_fencing_number })
}

fn export_kv(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    match engine.export_kv(call.query("request_id").unwrap_or_default()) {
        Some(kv) => responder.json(200, &kv),
        None => responder.json(404, &refusal(RefusalReason::BadRequest)),
    }
}

fn import_kv(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    let Ok(kv) = call.json() else { return refuse(responder, RefusalReason::BadRequest) };
    match engine.import_kv(&kv) {
        Ok(()) => responder.json(200, &json!({})),
        Err(reason) => refuse(responder, reason),
    }
}

fn cache_events(engine: &Engine, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
    let after = call.query_number("after").unwrap_or(0);
    let events = engine.state().memory.cache.events_after(after);
    responder.json(200, &events)
}
