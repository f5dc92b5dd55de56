//! The site to which the load is sent.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use godwit_host::PolicyName;
use godwit_schema::engine::JournalAction;

use super::LoadPlan;
use super::mix::WORKSPACE_SHARES;
use crate::error::CtlError;
use crate::site::{EngineSpec, FirstPorts, Names, Site, SiteSettings};

const FAILURE_DOMAINS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const FAST_TOKENS_PER_S: f64 = 100.0;
const SLOW_TOKENS_PER_S: f64 = 25.0;
const ENGINE_SLOTS: u32 = 4;
const MODEL_LAYERS: u32 = 16;

/// The entry hosts to which the load is sent, and the site if it was started for the run.
pub(super) struct Target {
    /// Caller addresses of the entry hosts.
    pub(super) addresses: Vec<SocketAddr>,
    /// Keys of the workspaces.
    pub(super) keys: Vec<String>,
    /// Sum of slots x tokens per second over the engines.
    pub(super) bound_tokens_per_s: f64,
    site: Option<Site>,
}

impl Target {
    /// Starts a site, or uses the running site of the plan.
    ///
    /// # Errors
    /// When the site cannot be started.
    pub(super) fn start(plan: &LoadPlan, policy: PolicyName) -> Result<Target, CtlError> {
        if let Some(existing_site) = &plan.existing_site {
            return Ok(Target {
                addresses: existing_site.addresses.clone(),
                keys: vec![existing_site.key.clone()],
                bound_tokens_per_s: existing_site.bound_tokens_per_s,
                site: None,
            });
        }
        let settings = SiteSettings {
            failure_domains: FAILURE_DOMAINS.iter().map(|name| (*name).to_string()).collect(),
            hosts_per_domain: plan.hosts_per_domain,
            engines: engines(plan),
            extra_workspaces: WORKSPACE_SHARES.len() - 1,
            policy,
            ..SiteSettings::demo(FirstPorts::default())
        };
        let rates = settings.engines.iter().map(|spec| f64::from(spec.slots) * spec.tokens_per_s);
        let bound_tokens_per_s = rates.sum();
        let site = Site::start(settings)?;
        let keys = site.workspaces().into_iter().map(|(_, key)| key).collect();
        let addresses = site.caller_addresses();
        Ok(Target { addresses, keys, bound_tokens_per_s, site: Some(site) })
    }

    /// Returns the ids of the requests of which a server ran at least one token or call, or `None` if the servers'
    /// journals are not available or have dropped entries.
    pub(super) fn executed_request_ids(&self) -> Option<BTreeSet<String>> {
        let site = self.site.as_ref()?;
        let engines_dropped = site.engines.values().map(|engine| engine.standin.journal_dropped());
        if engines_dropped.sum::<u64>() + site.service.journal_dropped() > 0 {
            return None;
        }
        let engines = site.engines.values().flat_map(|engine| engine.standin.journal());
        let entries = engines.chain(site.service.journal());
        let ran = entries
            .filter(|entry| matches!(entry.action, JournalAction::Token | JournalAction::Call));
        Some(ran.filter_map(|entry| entry.request_id).collect())
    }
}

fn engines(plan: &LoadPlan) -> Vec<EngineSpec> {
    let spec = |domain: &str, index: u16| {
        let is_fast = index.is_multiple_of(2);
        EngineSpec {
            name: format!("{domain}-engine-{index}"),
            failure_domain: domain.to_string(),
            accelerator_kind: if is_fast { "fast" } else { "slow" }.to_string(),
            slots: ENGINE_SLOTS,
            tokens_per_s: if is_fast { FAST_TOKENS_PER_S } else { SLOW_TOKENS_PER_S },
            model: Names::MODEL.to_string(),
            model_layers: MODEL_LAYERS,
            layers: None,
            load_report_lag_ms: plan.load_report_lag_ms,
        }
    };
    let domains = FAILURE_DOMAINS.iter();
    domains
        .flat_map(|domain| (0..plan.engines_per_domain).map(move |index| (domain, index)))
        .map(|(domain, index)| spec(domain, index))
        .collect()
}
