//! Server sources, retry budgets, recorders and settings of the dispatch tests.

use std::collections::BTreeSet;
use std::sync::Mutex;

use godwit_core::split::{Links, StageHolder, plan};
use godwit_core::{Admission, Claimed, Code, Hint, RequestLifecycle, Target, UnixMs};
use godwit_host::dispatch::{
    AttemptObserver, AttemptOutcome, AttemptReport, CallerDisconnected, CrashGuard,
    DispatchContext, DispatchSettings, GrantedServer, Refusal, RetryBudget, RetryReason,
    ServerSource, TokenSink,
};
use godwit_host::{Clock, SystemClock};

/// An address at which no process listens: a port that the system never assigns.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";
const DEADLINE_MS: u64 = 20_000;

/// Server source that grants its servers in the given order.
pub(crate) struct ListSource(pub(crate) Vec<GrantedServer>);

impl ListSource {
    pub(crate) fn new(servers: &[(&str, &str)]) -> ListSource {
        ListSource(
            servers.iter().map(|(server, address)| granted_server(server, address)).collect(),
        )
    }
}

pub(crate) fn granted_server(server: &str, address: &str) -> GrantedServer {
    GrantedServer {
        server: server.to_string(),
        address: address.to_string(),
        stages: Vec::new(),
        first_token_ms: 0,
        token_gap_ms: 0,
    }
}

fn no_server() -> Refusal {
    Refusal { code: Code::NoServer, retry_at: None }
}

impl ServerSource for ListSource {
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal> {
        let mut candidates = self.0.iter().filter(|granted| !excluded.contains(&granted.server));
        candidates.next().cloned().ok_or(no_server())
    }
}

/// Server source that plans the stages of a split model over the holders of its layers.
pub(crate) struct PlanSource {
    pub(crate) layers: u32,
    pub(crate) holders: Vec<StageHolder>,
}

impl ServerSource for PlanSource {
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal> {
        let plan = plan(self.layers, &self.holders, &Links::default(), excluded);
        let plan = plan.ok_or(no_server())?;
        let first = plan.stages[0].clone();
        Ok(GrantedServer { stages: plan.stages, ..granted_server(&first.server, &first.address) })
    }
}

/// Records the outcome of each attempt, with the first server responsible for it.
#[derive(Default)]
pub(crate) struct OutcomeRecorder {
    pub(crate) outcomes: Mutex<Vec<(String, AttemptOutcome)>>,
}

impl OutcomeRecorder {
    pub(crate) fn outcomes(&self) -> Vec<(String, AttemptOutcome)> {
        self.outcomes.lock().unwrap().clone()
    }
}

impl AttemptObserver for OutcomeRecorder {
    fn attempt_ended(&self, report: &AttemptReport) {
        let responsible = report.responsible_servers.first().unwrap_or(&report.granted.server);
        self.outcomes.lock().unwrap().push((responsible.clone(), report.outcome));
    }
}

/// Retry budget without a limit.
pub(crate) struct UnlimitedRetries;

impl RetryBudget for UnlimitedRetries {
    fn take(&self, _: RetryReason) -> bool {
        true
    }
}

/// Empty retry budget, which allows only retries that add no load.
pub(crate) struct EmptyRetryBudget;

impl RetryBudget for EmptyRetryBudget {
    fn take(&self, reason: RetryReason) -> bool {
        !reason.adds_load()
    }
}

/// Records the tokens. The caller disconnects after `disconnect_after` tokens, if that is set.
#[derive(Default)]
pub(crate) struct RecordingSink {
    pub(crate) tokens: Vec<String>,
    pub(crate) disconnect_after: Option<usize>,
}

impl TokenSink for RecordingSink {
    fn accept(&mut self, position: u32, token: &str) -> Result<(), CallerDisconnected> {
        assert_eq!(position as usize, self.tokens.len(), "a position is missing or duplicated");
        self.tokens.push(token.to_string());
        match self.disconnect_after {
            Some(count) if self.tokens.len() >= count => Err(CallerDisconnected),
            _ => Ok(()),
        }
    }
}

/// Everything that a dispatch needs on one host, except for the server source.
pub(crate) struct DispatchFixture {
    pub(crate) recorder: OutcomeRecorder,
    pub(crate) crash_guard: CrashGuard,
    pub(crate) settings: DispatchSettings,
    hints: flume::Receiver<Hint>,
}

impl DispatchFixture {
    pub(crate) fn new() -> DispatchFixture {
        let (sender, hints) = flume::unbounded();
        let settings = DispatchSettings { silent_after_ms: 400, ..DispatchSettings::default() };
        DispatchFixture {
            recorder: OutcomeRecorder::default(),
            crash_guard: CrashGuard::new(sender),
            settings,
            hints,
        }
    }

    /// Delivers the pending hints of this host to another one.
    pub(crate) fn deliver_hints_to(&self, other: &DispatchFixture) {
        for hint in self.hints.try_iter() {
            other.crash_guard.apply_hint(&hint, SystemClock.now());
        }
    }

    pub(crate) fn context<'a>(&'a self, source: &'a dyn ServerSource) -> DispatchContext<'a> {
        DispatchContext {
            source,
            observer: &self.recorder,
            retry_budget: &UnlimitedRetries,
            crash_guard: &self.crash_guard,
            clock: &SystemClock,
            settings: &self.settings,
        }
    }
}

/// Returns a claimed request with a distant deadline.
pub(crate) fn claimed_request(
    request_id: &str,
    max_tokens: u32,
    non_idempotent: bool,
) -> RequestLifecycle<Claimed> {
    claimed_request_until(
        request_id,
        max_tokens,
        non_idempotent,
        SystemClock.now().plus_ms(DEADLINE_MS),
    )
}

/// Returns a claimed request with the given deadline.
pub(crate) fn claimed_request_until(
    request_id: &str,
    max_tokens: u32,
    non_idempotent: bool,
    deadline: UnixMs,
) -> RequestLifecycle<Claimed> {
    let admission = Admission {
        workspace: "farm".to_string(),
        kind: "note".to_string(),
        event: None,
        rule: "all".to_string(),
        target: Target::Model { model: "barley".to_string(), adapter: None },
        priority: 1,
        non_idempotent,
        deadline,
        max_tokens,
        may_use_reserve: false,
        prompt_bytes: 8,
    };
    RequestLifecycle::received(request_id).admit(admission).claimed()
}
