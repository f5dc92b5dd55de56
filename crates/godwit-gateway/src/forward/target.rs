//! The server or path that an attempt goes to.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use godwit_core::Code;
use godwit_core::site::{Hop, Load, PathError, PathRequest, choose_server, find_path};

use super::admit::Granted;
use crate::site::Site;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    /// The server that takes the request.
    pub(crate) server_id: String,
    pub(crate) address: SocketAddr,
    /// Stages of a split model, the first server among them; empty for a plain service.
    pub(crate) hops: Vec<Hop>,
    /// Links between failure domains that it crosses.
    pub(crate) crossings: Vec<String>,
    /// What the attempt adds to each server.
    pub(crate) load: Load,
    /// Expected time to the first event in milliseconds, 0 for a plain service.
    pub(crate) first_event_ms: f64,
    /// Expected time between events in milliseconds, 0 for a plain service.
    pub(crate) event_gap_ms: f64,
}

impl Destination {
    /// All servers that the attempt uses.
    pub(crate) fn server_ids(&self) -> Vec<&str> {
        if self.hops.is_empty() {
            return vec![&self.server_id];
        }
        self.hops.iter().map(|hop| hop.server_id.as_str()).collect()
    }

    /// What loads are kept for: its servers and the links that it crosses.
    pub(crate) fn load_keys(&self) -> impl Iterator<Item = &str> {
        self.server_ids().into_iter().chain(self.crossings.iter().map(String::as_str))
    }

    /// The server of a stage that listens at an address.
    pub(crate) fn server_at(&self, address: SocketAddr) -> Option<&str> {
        let hop = self.hops.iter().find(|hop| hop.address == address);
        hop.map(|hop| hop.server_id.as_str())
    }

    /// Servers for the log, in order.
    pub(crate) fn log_text(&self) -> String {
        if self.hops.is_empty() {
            return self.server_id.clone();
        }
        let stages = self
            .hops
            .iter()
            .map(|hop| format!("{}:{}-{}", hop.server_id, hop.range.from, hop.range.to));
        stages.collect::<Vec<_>>().join(",")
    }
}

/// Tokens that an answer is expected to have: the caller's guess within its bound, else the usual length.
fn expected_answer_tokens(granted: &Granted, usual: u64) -> u64 {
    let most = granted.asked.head.max_answer_tokens.unwrap_or(u64::MAX);
    granted.asked.head.hinted_answer_tokens.unwrap_or(usual).min(most).max(1)
}

/// Chooses a server or path, leaving out `avoided` and those that failed lately.
pub(crate) fn choose(
    site: &Site,
    granted: &Granted,
    avoided: &BTreeSet<String>,
) -> Result<Destination, Code> {
    choose_from(site, granted, None, avoided)
}

/// Chooses a server or path that begins with a stage.
pub(crate) fn choose_from(
    site: &Site,
    granted: &Granted,
    start: Option<&Hop>,
    avoided: &BTreeSet<String>,
) -> Result<Destination, Code> {
    let now = site.now();
    let mut left_out = site.health.borrow().ejected(now);
    let findings = site.findings.borrow();
    left_out.extend(findings.stalling_servers(now));
    left_out.extend(avoided.iter().cloned());
    let service =
        granted.terms.configuration.service(&granted.terms.service).ok_or(Code::NoServer)?;
    let registry = site.registry.borrow();
    let loads = site.loads.borrow();
    let Some(model) = &service.model else {
        let health = site.health.borrow();
        let home = &site.settings.failure_domain;
        let server = choose_server(
            registry
                .servers()
                .filter(|server| findings.is_reachable(home, &server.failure_domain, now)),
            &loads,
            &granted.terms.service,
            &site.settings.failure_domain,
            &left_out,
            |id| health.latency_ms(id),
            granted.terms.seed,
        );
        let server = server.ok_or(Code::NoServer)?;
        return Ok(Destination {
            server_id: server.id.clone(),
            address: server.address,
            hops: Vec::new(),
            crossings: Vec::new(),
            load: Load { requests: 1, kv_tokens: 0 },
            first_event_ms: 0.0,
            event_gap_ms: 0.0,
        });
    };
    let prompt_tokens = granted.asked.head.prompt_tokens.unwrap_or(model.usual_prompt_tokens);
    let answer_tokens = expected_answer_tokens(granted, model.usual_answer_tokens);
    let request = PathRequest {
        service: &granted.terms.service,
        prompt_tokens,
        answer_tokens,
        home_domain: &site.settings.failure_domain,
        start,
        excluded: &left_out,
        slowdown: &|id| findings.slowdown(id, now),
        is_reachable: &|one, other| findings.is_reachable(one, other, now),
        seed: granted.terms.seed,
    };
    let path =
        find_path(model, registry.servers(), &loads, &request).map_err(|error| match error {
            PathError::LayerMissing => Code::NoServer,
            PathError::NoRoom => Code::Overloaded,
        })?;
    let first = path.hops.first().ok_or(Code::NoServer)?;
    Ok(Destination {
        server_id: first.server_id.clone(),
        address: first.address,
        load: Load { requests: 1, kv_tokens: prompt_tokens + answer_tokens },
        first_event_ms: path.first_event_ms,
        event_gap_ms: path.event_gap_ms,
        hops: path.hops,
        crossings: path.crossings,
    })
}
