//! Configuration objects of a site.

use godwit_core::UnixMs;
use godwit_core::config::key_sha256;
use godwit_schema::config::{
    Admit, BackendServer, Event, Fleet, Model, Refuse, Rule, When, Workspace,
};

/// Key of the first workspace of a site.
pub const WORKSPACE_KEY: &str = "farmgate-demo-key";

/// Time until the event of a new workspace starts.
const EVENT_START_DELAY_MS: u64 = 24 * 3_600_000;

/// Timeout for the complete response to a lookup.
const LOOKUP_TIMEOUT_MS: u64 = 10_000;

/// Timeout for the complete response to any other request, and the time before the event's start from which notes are
/// refused.
const REQUEST_TIMEOUT_MS: u64 = 60_000;

/// Names of the configured items of a site.
pub struct Names;

impl Names {
    /// The first workspace.
    pub const WORKSPACE: &'static str = "farmgate";
    /// The model that is not split: an engine that has it holds all of its layers.
    pub const MODEL: &'static str = "assistant-small";
    /// The model that is split across engines.
    pub const SPLIT_MODEL: &'static str = "assistant-large";
    /// The plain service.
    pub const SERVICE: &'static str = "orders";
    /// An idempotent kind of work.
    pub const KIND: &'static str = "note";
    /// A kind for short lookups with a high priority.
    pub const KIND_LOOKUP: &'static str = "lookup";
    /// A non-idempotent kind, which runs at most once.
    pub const KIND_ONCE: &'static str = "confirmation";
    /// The event.
    pub const EVENT: &'static str = "friday-collection";
}

fn strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

fn rule(name: &str, kind: &str, admit: Admit) -> Rule {
    let when = When { kinds: strings(&[kind]), ..When::default() };
    Rule { name: name.to_string(), when, admit: Some(admit), refuse: None }
}

fn refuse_late_notes() -> Rule {
    let when = When {
        kinds: strings(&[Names::KIND]),
        time_left_below_ms: Some(REQUEST_TIMEOUT_MS),
        ..When::default()
    };
    let refuse = Refuse { reason: "notes close a minute before the start".to_string() };
    Rule { name: "late-notes".to_string(), when, admit: None, refuse: Some(refuse) }
}

fn rules() -> Vec<Rule> {
    let once = Admit {
        priority: 9,
        non_idempotent: true,
        deadline_margin_ms: 1_000,
        may_use_reserve: true,
        timeout_ms: Some(REQUEST_TIMEOUT_MS),
        ..Admit::default()
    };
    let lookup = Admit {
        priority: 9,
        may_use_reserve: true,
        max_tokens: Some(64),
        timeout_ms: Some(LOOKUP_TIMEOUT_MS),
        ..Admit::default()
    };
    let note = Admit { priority: 1, timeout_ms: Some(REQUEST_TIMEOUT_MS), ..Admit::default() };
    vec![
        rule("confirmations", Names::KIND_ONCE, once),
        rule("lookups", Names::KIND_LOOKUP, lookup),
        refuse_late_notes(),
        rule("notes", Names::KIND, note),
    ]
}

/// Returns a workspace of a site, with the hash of its key and an event that starts in a day.
pub(crate) fn workspace(name: &str, key: &str, now: UnixMs) -> Workspace {
    let kinds = strings(&[Names::KIND, Names::KIND_LOOKUP, Names::KIND_ONCE]);
    let event = Event {
        name: Names::EVENT.to_string(),
        start_unix_ms: now.plus_ms(EVENT_START_DELAY_MS).0,
        kinds: kinds.clone(),
        ledger_slices: 4,
    };
    Workspace {
        name: name.to_string(),
        key_sha256: vec![key_sha256(key)],
        kinds,
        events: vec![event],
        rules: rules(),
        share_weight: 1,
        requests_per_s: None,
        kind_rates: Vec::new(),
    }
}

/// Returns the fleet of a site, from the models with their number of layers and the servers.
pub(crate) fn fleet(models: &[(String, u32)], servers: Vec<BackendServer>) -> Fleet {
    let model = |(name, layers): &(String, u32)| Model {
        name: name.clone(),
        layers: *layers,
        adapters: Vec::new(),
    };
    Fleet { models: models.iter().map(model).collect(), servers, ..Fleet::default() }
}
