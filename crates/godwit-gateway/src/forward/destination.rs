//! Choice of the server or path for an attempt.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use godwit_core::Code;
use godwit_core::site::{
    BackendServer, Hop, Load, PathError, PathRequest, choose_server, find_path,
};

use super::admit::AdmittedRequest;
use super::pace::service_paces;
use crate::site::Site;

/// The server or path of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    /// Server to which the request is sent.
    pub(crate) server_id: String,
    pub(crate) address: SocketAddr,
    /// Stages of a split model, including the first server; empty for a plain service.
    pub(crate) hops: Vec<Hop>,
    /// Keys of the links between failure domains that the path crosses.
    pub(crate) crossings: Vec<String>,
    /// Load that the attempt adds to each server and link.
    pub(crate) load: Load,
    /// Predicted time to the first event, in milliseconds; 0 for a plain service.
    pub(crate) first_event_ms: f64,
    /// Predicted time between events, in milliseconds; 0 for a plain service.
    pub(crate) event_gap_ms: f64,
}

impl Destination {
    /// Returns all servers that the attempt uses, in path order.
    pub(crate) fn server_ids(&self) -> Vec<&str> {
        if self.hops.is_empty() {
            return vec![&self.server_id];
        }
        self.hops.iter().map(|hop| hop.server_id.as_str()).collect()
    }

    /// Returns the load table's keys for the attempt: its servers and the links that it crosses.
    pub(crate) fn load_keys(&self) -> impl Iterator<Item = &str> {
        self.server_ids().into_iter().chain(self.crossings.iter().map(String::as_str))
    }

    /// Returns the server of the stage with an address.
    pub(crate) fn server_at(&self, address: SocketAddr) -> Option<&str> {
        let hop = self.hops.iter().find(|hop| hop.address == address);
        hop.map(|hop| hop.server_id.as_str())
    }

    /// Returns the address of a server of the attempt.
    pub(crate) fn address_of(&self, server_id: &str) -> Option<SocketAddr> {
        if server_id == self.server_id {
            return Some(self.address);
        }
        self.hops.iter().find(|hop| hop.server_id == server_id).map(|hop| hop.address)
    }

    /// Formats the servers in path order for the log, each stage with its layers.
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

/// Estimates the number of tokens of the answer: the caller's hint if there is one, else `usual`, and no more than the
/// caller's maximum.
pub(crate) fn expected_answer_tokens(admitted: &AdmittedRequest, usual: u64) -> u64 {
    let limit = admitted.incoming.head.max_answer_tokens.unwrap_or(u64::MAX);
    admitted.incoming.head.hinted_answer_tokens.unwrap_or(usual).min(limit).max(1)
}

/// Chooses a server or path. Excludes `avoided` and the servers that failed recently or stall.
pub(crate) fn choose_destination(
    site: &Site,
    admitted: &AdmittedRequest,
    avoided: &BTreeSet<String>,
) -> Result<Destination, Code> {
    choose_destination_from(site, admitted, None, avoided)
}

/// Chooses a server or path as [`choose_destination`] does; a path begins with the stage `start` if there is one.
pub(crate) fn choose_destination_from(
    site: &Site,
    admitted: &AdmittedRequest,
    start: Option<&Hop>,
    avoided: &BTreeSet<String>,
) -> Result<Destination, Code> {
    let now = site.now();
    let mut excluded = site.ejected_servers(now);
    let findings = site.findings.borrow();
    excluded.extend(findings.stalling_servers(now));
    excluded.extend(avoided.iter().cloned());
    let limited = site.limited_servers(&admitted.policy.service);
    site.want_permits(&limited.withheld);
    excluded.extend(limited.withheld);
    excluded.extend(site.servers_holding_off(&admitted.policy.service));
    let service =
        admitted.policy.configuration.service(&admitted.policy.service).ok_or(Code::NoServer)?;
    let registry = site.registry.borrow();
    let loads = site.loads.borrow();
    let Some(model) = &service.model else {
        let paces = service_paces(site, &admitted.policy.service);
        let home_domain = &site.settings.failure_domain;
        let choose = |is_eligible: &dyn Fn(&BackendServer) -> bool| {
            let servers = registry.servers().filter(|server| {
                findings.is_reachable(home_domain, &server.failure_domain, now)
                    && is_eligible(server)
            });
            choose_server(
                servers,
                &loads,
                &admitted.policy.service,
                home_domain,
                &excluded,
                |id| paces.get(id).copied().unwrap_or_default(),
                admitted.policy.seed,
            )
        };
        let failing = site.failing.borrow();
        let avoided: BTreeSet<&str> = failing.avoided(now).collect();
        let is_sound = |server: &BackendServer| !avoided.contains(server.id.as_str());
        // A permit that is not used soon is lost to its server.
        let is_permitted = |server: &BackendServer| limited.permitted.contains(&server.id);
        let server = choose(&|server| is_permitted(server) && is_sound(server))
            .or_else(|| choose(&is_sound))
            .or_else(|| choose(&is_permitted))
            .or_else(|| choose(&|_| true));
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
    let prompt_tokens = admitted.incoming.head.prompt_tokens.unwrap_or(model.usual_prompt_tokens);
    let answer_tokens = expected_answer_tokens(admitted, model.usual_answer_tokens);
    let request = PathRequest {
        service: &admitted.policy.service,
        prompt_tokens,
        answer_tokens,
        home_domain: &site.settings.failure_domain,
        start,
        excluded: &excluded,
        slowdown: &|id| findings.slowdown(id, now),
        is_reachable: &|one, other| findings.is_reachable(one, other, now),
        room: site.room_terms(admitted),
        seed: Some(admitted.policy.seed),
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
        load: Load { requests: 1, kv_tokens: prompt_tokens.saturating_add(answer_tokens) },
        first_event_ms: path.first_event_ms,
        event_gap_ms: path.event_gap_ms,
        hops: path.hops,
        crossings: path.crossings,
    })
}
