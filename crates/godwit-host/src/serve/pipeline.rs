//! Decides on each call and brings it to its end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use godwit_caller::{Call, Failure, Finish, Handler, Operation, Responder};
use godwit_core::config::{self, ConfigView, Refusal};
use godwit_core::quarantine::{QuarantineStatus, fingerprint};
use godwit_core::{Admission, Admitted, Code, RequestLifecycle, UnixMs};
use godwit_schema::config::Workspace;

use super::{generate, report, service};
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::dispatch::{CrashGuard, DispatchSettings};
use crate::ledger::Ledger;
use crate::placement::Placement;

/// What a pipeline works with.
pub struct PipelineParts {
    /// Name of the host.
    pub host: String,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The choice of servers.
    pub placement: Arc<Placement>,
    /// The claims.
    pub ledger: Ledger,
    /// The register of requests that crash servers.
    pub crashes: Arc<CrashGuard>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Bounds of dispatches.
    pub dispatch: DispatchSettings,
}

/// Serves calls.
pub struct Pipeline {
    pub(super) parts: PipelineParts,
    is_open: AtomicBool,
    is_draining: AtomicBool,
}

/// An admitted call with all that its run needs.
pub(super) struct Admitting<'a> {
    pub(super) call: &'a Call,
    pub(super) view: &'a ConfigView,
    pub(super) workspace: &'a Workspace,
    pub(super) life: RequestLifecycle<Admitted>,
    pub(super) fingerprint: u64,
}

impl Pipeline {
    /// A pipeline that takes no calls yet.
    pub fn new(parts: PipelineParts) -> Pipeline {
        Pipeline { parts, is_open: AtomicBool::new(false), is_draining: AtomicBool::new(false) }
    }

    /// From now on calls are taken; to be called once the choice of servers knows the fleet.
    pub fn open(&self) {
        self.is_open.store(true, Ordering::SeqCst);
    }

    /// Whether a configuration is in force in all parts.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::SeqCst)
    }

    /// From now on new calls are refused; those in progress go on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether new calls are refused, by a shutdown or by an operator.
    pub fn is_draining(&self) -> bool {
        let view = self.parts.configuration.view();
        let is_drained = view.fleet().drained_hosts.contains(&self.parts.host);
        is_drained || self.is_draining.load(Ordering::SeqCst)
    }

    fn decide(&self, call: &Call, responder: Responder) {
        let view = self.parts.configuration.view();
        let life = RequestLifecycle::received(&call.request_id);
        let workspace = match self.gate(call, &view) {
            Ok(workspace) => workspace,
            Err(failure) => return refuse(call, responder, life, failure),
        };
        if call.operation == Operation::Models {
            let models = view.fleet().models.iter().map(|model| model.name.clone()).collect();
            return report::finish(call, responder, &Finish::Models(models));
        }
        let fingerprint = fingerprint(&workspace.name, &call.path, &call.body);
        match self.admit(call, &view, workspace, fingerprint) {
            Ok(admission) => {
                let life = life.admit(admission);
                let admitting = Admitting { call, view: &view, workspace, fingerprint, life };
                self.run(admitting, responder);
            }
            Err(failure) => refuse(call, responder, life, failure),
        }
    }

    fn gate<'a>(&self, call: &Call, view: &'a ConfigView) -> Result<&'a Workspace, Failure> {
        if !self.is_open() {
            return Err(Failure::code(Code::NotConfigured));
        }
        if self.is_draining() {
            return Err(Failure::code(Code::Draining));
        }
        let key = call.key.as_deref();
        let workspace = key.and_then(|key| view.workspace_of_key(key));
        workspace.map(Arc::as_ref).ok_or(Failure::field(Code::UnknownKey, "Authorization"))
    }

    fn admit(
        &self,
        call: &Call,
        view: &ConfigView,
        workspace: &Workspace,
        fingerprint: u64,
    ) -> Result<Admission, Failure> {
        let kind = call.kind.as_deref();
        let ask = config::AdmissionRequest {
            kind: kind.ok_or(Failure::field(Code::UnknownKind, "Godwit-Kind"))?,
            event: call.event.as_deref(),
            model: call.model(),
            service: call.service(),
            prompt_bytes: call.prompt_bytes(),
            path: &call.path,
            deadline: call.deadline,
            max_tokens: call.max_tokens(),
            has_idempotency_key: call.idempotency_key.is_some(),
        };
        let admitted = config::admit(workspace, view.fleet(), &ask, self.now());
        let admission = admitted.map_err(failure)?;
        if self.parts.crashes.standing(fingerprint, self.now()) == QuarantineStatus::Quarantined {
            return Err(Failure::code(Code::Quarantined));
        }
        Ok(admission)
    }

    fn run(&self, admitting: Admitting<'_>, responder: Responder) {
        match &admitting.call.operation {
            Operation::Generate(params) => generate::run(self, admitting, params, responder),
            Operation::Service(params) => service::run(self, admitting, params, responder),
            Operation::Models => {}
        }
    }
}

impl Handler for Pipeline {
    fn serve(&self, call: &Call, responder: Responder) {
        self.decide(call, responder);
    }

    fn now(&self) -> UnixMs {
        self.parts.clock.now()
    }
}

fn failure(refusal: Refusal) -> Failure {
    let mut failure = Failure::code(refusal.code);
    failure.field = refusal.field.map(str::to_string);
    failure.message = refusal.reason;
    failure
}

fn refuse(
    call: &Call,
    responder: Responder,
    life: RequestLifecycle<godwit_core::Received>,
    mut failure: Failure,
) {
    failure.code = life.refuse(failure.code).code();
    report::finish(call, responder, &Finish::Failed(failure));
}
