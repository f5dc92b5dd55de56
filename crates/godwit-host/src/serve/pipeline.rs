//! Pipeline that admits or refuses each call and runs the admitted ones.

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

/// Components and settings of a pipeline.
pub struct PipelineParts {
    /// Name of the host.
    pub host: String,
    /// Active configuration.
    pub configuration: Arc<Configuration>,
    /// Placement of requests on servers.
    pub placement: Arc<Placement>,
    /// Ledger of claims.
    pub ledger: Ledger,
    /// Register of requests that crash servers.
    pub crash_guard: Arc<CrashGuard>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Timeouts and limits of dispatches.
    pub dispatch_settings: DispatchSettings,
}

/// Pipeline that serves the calls of one host.
pub struct Pipeline {
    pub(super) parts: PipelineParts,
    is_open: AtomicBool,
    is_draining: AtomicBool,
}

/// Admitted call with the data needed to run it.
pub(super) struct AdmittedCall<'a> {
    pub(super) call: &'a Call,
    pub(super) view: &'a ConfigView,
    pub(super) workspace: &'a Workspace,
    pub(super) lifecycle: RequestLifecycle<Admitted>,
    pub(super) fingerprint: u64,
}

impl Pipeline {
    /// Creates a pipeline that refuses calls until [`open`](Pipeline::open) is called.
    pub fn new(parts: PipelineParts) -> Pipeline {
        Pipeline { parts, is_open: AtomicBool::new(false), is_draining: AtomicBool::new(false) }
    }

    /// Starts to accept calls; to be called after the fleet has been applied to the placement.
    pub fn open(&self) {
        self.is_open.store(true, Ordering::SeqCst);
    }

    /// Whether a configuration is active and calls are accepted.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::SeqCst)
    }

    /// Starts to refuse new calls; calls in progress continue.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether new calls are refused because of a shutdown or by an operator's drain.
    pub fn is_draining(&self) -> bool {
        let view = self.parts.configuration.view();
        let is_drained = view.fleet().drained_hosts.contains(&self.parts.host);
        is_drained || self.is_draining.load(Ordering::SeqCst)
    }

    fn handle_call(&self, call: &Call, responder: Responder) {
        let view = self.parts.configuration.view();
        let lifecycle = RequestLifecycle::received(&call.request_id);
        let workspace = match self.authorize(call, &view) {
            Ok(workspace) => workspace,
            Err(failure) => return refuse(call, responder, lifecycle, failure),
        };
        if call.operation == Operation::Models {
            let models = view.fleet().models.iter().map(|model| model.name.clone()).collect();
            return report::finish(call, responder, &Finish::Models(models));
        }
        let fingerprint = fingerprint(&workspace.name, call.method(), &call.path, &call.body);
        match self.admit(call, &view, workspace, fingerprint) {
            Ok(admission) => {
                let lifecycle = lifecycle.admit(admission);
                let admitted =
                    AdmittedCall { call, view: &view, workspace, fingerprint, lifecycle };
                self.run(admitted, responder);
            }
            Err(failure) => refuse(call, responder, lifecycle, failure),
        }
    }

    fn authorize<'a>(&self, call: &Call, view: &'a ConfigView) -> Result<&'a Workspace, Failure> {
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
        let request = config::AdmissionRequest {
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
        let result = config::admit(workspace, view.fleet(), &request, self.now());
        let admission = result.map_err(failure)?;
        if self.parts.crash_guard.status(fingerprint, self.now()) == QuarantineStatus::Quarantined {
            return Err(Failure::code(Code::Quarantined));
        }
        Ok(admission)
    }

    fn run(&self, admitted: AdmittedCall<'_>, responder: Responder) {
        match &admitted.call.operation {
            Operation::Generate(params) => generate::run(self, admitted, params, responder),
            Operation::Service(params) => service::run(self, admitted, params, responder),
            Operation::Models => {}
        }
    }
}

impl Handler for Pipeline {
    fn serve(&self, call: &Call, responder: Responder) {
        self.handle_call(call, responder);
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
    lifecycle: RequestLifecycle<godwit_core::Received>,
    mut failure: Failure,
) {
    failure.code = lifecycle.refuse(failure.code).code();
    report::finish(call, responder, &Finish::Failed(failure));
}
