//! Sources of servers, recorders and settings for the tests.

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

/// An address at which nobody listens: a port that the system never hands out.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";
const DEADLINE_MS: u64 = 20_000;

/// Grants servers in the order given.
pub(crate) struct ListSource(pub(crate) Vec<GrantedServer>);

impl ListSource {
    pub(crate) fn new(servers: &[(&str, &str)]) -> ListSource {
        ListSource(servers.iter().map(|(server, address)| granted(server, address)).collect())
    }
}

pub(crate) fn granted(server: &str, address: &str) -> GrantedServer {
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
        let mut left = self.0.iter().filter(|granted| !excluded.contains(&granted.server));
        left.next().cloned().ok_or(no_server())
    }
}

/// Plans stages over holders.
pub(crate) struct PlanSource {
    pub(crate) layers: u32,
    pub(crate) holders: Vec<StageHolder>,
}

impl ServerSource for PlanSource {
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal> {
        let plan = plan(self.layers, &self.holders, &Links::default(), excluded);
        let plan = plan.ok_or(no_server())?;
        let first = plan.stages[0].clone();
        Ok(GrantedServer { stages: plan.stages, ..granted(&first.server, &first.address) })
    }
}

/// Records how attempts end.
#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) endings: Mutex<Vec<(String, AttemptOutcome)>>,
}

impl Recorder {
    pub(crate) fn endings(&self) -> Vec<(String, AttemptOutcome)> {
        self.endings.lock().unwrap().clone()
    }
}

impl AttemptObserver for Recorder {
    fn attempt_ended(&self, report: &AttemptReport) {
        let blamed = report.responsible_servers.first().unwrap_or(&report.granted.server);
        self.endings.lock().unwrap().push((blamed.clone(), report.outcome));
    }
}

/// Retries without a limit.
pub(crate) struct AnyRetry;

impl RetryBudget for AnyRetry {
    fn take(&self, _: RetryReason) -> bool {
        true
    }
}

/// An empty budget.
pub(crate) struct OnlyFreeRetries;

impl RetryBudget for OnlyFreeRetries {
    fn take(&self, reason: RetryReason) -> bool {
        !reason.adds_load()
    }
}

/// Keeps the tokens; the caller goes after some of them.
#[derive(Default)]
pub(crate) struct Sink {
    pub(crate) tokens: Vec<String>,
    pub(crate) gone_after: Option<usize>,
}

impl TokenSink for Sink {
    fn accept(&mut self, position: u32, token: &str) -> Result<(), CallerDisconnected> {
        assert_eq!(position as usize, self.tokens.len(), "a position is missing or doubled");
        self.tokens.push(token.to_string());
        match self.gone_after {
            Some(count) if self.tokens.len() >= count => Err(CallerDisconnected),
            _ => Ok(()),
        }
    }
}

/// Everything that a dispatch works with but for the source.
pub(crate) struct Bench {
    pub(crate) recorder: Recorder,
    pub(crate) crash_guard: CrashGuard,
    pub(crate) settings: DispatchSettings,
    hints: flume::Receiver<Hint>,
}

impl Bench {
    pub(crate) fn new() -> Bench {
        let (sender, hints) = flume::unbounded();
        let settings = DispatchSettings { silent_after_ms: 400, ..DispatchSettings::default() };
        Bench {
            recorder: Recorder::default(),
            crash_guard: CrashGuard::new(sender),
            settings,
            hints,
        }
    }

    /// Brings the hints of this host to another one.
    pub(crate) fn tell(&self, other: &Bench) {
        for hint in self.hints.try_iter() {
            other.crash_guard.apply_hint(&hint, SystemClock.now());
        }
    }

    pub(crate) fn context<'a>(&'a self, source: &'a dyn ServerSource) -> DispatchContext<'a> {
        DispatchContext {
            source,
            observer: &self.recorder,
            retry_budget: &AnyRetry,
            crash_guard: &self.crash_guard,
            clock: &SystemClock,
            settings: &self.settings,
        }
    }
}

/// A claimed request with a far deadline.
pub(crate) fn life(
    request_id: &str,
    max_tokens: u32,
    non_idempotent: bool,
) -> RequestLifecycle<Claimed> {
    life_until(request_id, max_tokens, non_idempotent, SystemClock.now().plus_ms(DEADLINE_MS))
}

/// A claimed request.
pub(crate) fn life_until(
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
