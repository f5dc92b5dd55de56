//! What a request is allowed, by the configuration in force when it came.

use std::rc::Rc;

use bytes::Bytes;
use godwit_adapter::{CallerHead, decode_caller_head};
use godwit_core::site::{Configuration, Work};
use godwit_core::{Admission, Code, SteadyMs, Target};
use http::request::Parts;

use crate::site::Site;

/// Time that a caller waits who does not say, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// A request with all that was decided on it before a server is chosen.
pub(crate) struct Granted {
    pub(crate) parts: Parts,
    pub(crate) head: CallerHead,
    pub(crate) body: Bytes,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) work: Work,
    pub(crate) service: String,
    pub(crate) workspace: Option<String>,
    pub(crate) priority: u32,
    pub(crate) max_attempts: u32,
    pub(crate) target_latency_ms: u64,
    pub(crate) target_gap_ms: Option<u64>,
    pub(crate) received: SteadyMs,
    /// When the caller stops waiting, if it says so.
    pub(crate) caller_deadline: Option<SteadyMs>,
    /// When the final answer is due.
    pub(crate) answer_deadline: SteadyMs,
    /// Number that the random choices for this request are drawn from.
    pub(crate) seed: u64,
}

impl Granted {
    /// Path with its query, as the caller sent it.
    pub(crate) fn target(&self) -> &str {
        self.parts.uri.path_and_query().map_or("/", |target| target.as_str())
    }

    /// The terms of the request's life.
    pub(crate) fn admission(&self, site: &Site) -> Admission {
        let left_ms = self.answer_deadline.since_ms(site.now());
        Admission {
            workspace: self.workspace.clone().unwrap_or_default(),
            kind: format!("{:?}", self.work),
            event: None,
            rule: self.service.clone(),
            target: Target::Service(self.service.clone()),
            priority: u8::try_from(self.priority).unwrap_or(u8::MAX),
            non_idempotent: !self.work.may_run_again(),
            deadline: site.clock.unix_now().plus_ms(left_ms),
            max_tokens: self.head.max_answer_tokens.unwrap_or(0) as u32,
            may_use_reserve: false,
            prompt_bytes: self.body.len() as u64,
        }
    }
}

/// A request whose body has not been read.
pub(crate) struct Asked {
    pub(crate) parts: Parts,
    pub(crate) head: CallerHead,
    pub(crate) received: SteadyMs,
}

impl Asked {
    pub(crate) fn new(parts: Parts, received: SteadyMs) -> Asked {
        let headers = parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
        let head = decode_caller_head(headers);
        Asked { parts, head, received }
    }

    fn host_name(&self) -> Option<&str> {
        let header = self.parts.headers.get(http::header::HOST);
        let header = header.and_then(|value| value.to_str().ok());
        header.or_else(|| self.parts.uri.host())
    }
}

/// Applies the configuration in force to a request.
pub(crate) fn admit(site: &Site, asked: Asked, body: Bytes) -> Result<Granted, (Asked, Code)> {
    let Some(configuration) = site.configuration() else {
        return Err((asked, Code::NotConfigured));
    };
    let Some(host_name) = asked.host_name() else { return Err((asked, Code::UnknownPath)) };
    let Some(route) = configuration.route(host_name, asked.parts.uri.path()) else {
        return Err((asked, Code::UnknownPath));
    };
    let workspace = asked.head.key.as_deref().and_then(|key| configuration.workspace_of_key(key));
    if workspace.is_none() && configuration.has_workspaces() && !route.is_public {
        return Err((asked, Code::UnknownKey));
    }
    let seed: u64 = rand::random();
    let caller_deadline = asked.head.deadline_ms.map(|ms| asked.received.plus_ms(ms));
    let route_deadline = asked.received.plus_ms(route.timeout_ms);
    let latest = caller_deadline.unwrap_or(asked.received.plus_ms(DEFAULT_DEADLINE_MS));
    let workspace_priority = workspace.and_then(|workspace| workspace.priority);
    Ok(Granted {
        work: route.work,
        service: route.service_for(seed >> 16).to_string(),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: workspace_priority.unwrap_or(route.priority),
        max_attempts: route.max_attempts,
        target_latency_ms: route.target_latency_ms,
        target_gap_ms: route.target_gap_ms,
        received: asked.received,
        caller_deadline,
        answer_deadline: route_deadline.min(latest),
        seed,
        parts: asked.parts,
        head: asked.head,
        body,
        configuration: configuration.clone(),
    })
}
