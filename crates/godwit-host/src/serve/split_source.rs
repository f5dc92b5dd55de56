//! Stage plans for one request of a split model.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use godwit_core::route::StageLoad;
use godwit_core::split::{LinkCost, Links, Plan, StageHolder, plan};
use godwit_core::{Admission, Code};
use godwit_schema::config::{BackendServer, Fleet, Link, Model};

use super::source::Grants;
use crate::clock::Clock;
use crate::dispatch::{GrantedServer, Refusal, ServerSource};
use crate::placement::Placement;

/// Bytes of the activation of one token that stages pass on.
const ACTIVATION_BYTES: u64 = 16 * 1024;

/// Time of a step between failure domains for which no link is named.
const OTHER_DOMAIN_US: u64 = 1_000;

const US_PER_MS: f64 = 1_000.0;
const US_PER_S: u64 = 1_000_000;

/// Plans stages over the servers that hold layers of the model.
pub(super) struct SplitSource<'a> {
    pub(super) placement: &'a Arc<Placement>,
    pub(super) fleet: &'a Fleet,
    pub(super) model: &'a Model,
    pub(super) admission: &'a Admission,
    pub(super) clock: &'a dyn Clock,
    pub(super) grants: &'a Grants,
}

/// Whether a model is held whole by no server of the fleet.
pub(super) fn is_split(fleet: &Fleet, model: &str) -> bool {
    let holds = |server: &&BackendServer| server.models.iter().any(|held| held == model);
    let mut holders = fleet.servers.iter().filter(holds).peekable();
    holders.peek().is_some() && holders.all(|server| server.layer_from.is_some())
}

fn link_cost(link: &Link) -> LinkCost {
    let transfer_us = (ACTIVATION_BYTES * US_PER_S).checked_div(link.bytes_per_s);
    LinkCost {
        a: link.a.clone(),
        b: link.b.clone(),
        step_us: link.latency_us.saturating_add(transfer_us.unwrap_or(u64::MAX)),
    }
}

impl SplitSource<'_> {
    fn links(&self) -> Links {
        Links {
            costs: self.fleet.links.iter().map(link_cost).collect(),
            same_domain_us: 0,
            other_domain_us: OTHER_DOMAIN_US,
        }
    }

    fn holders(&self) -> Vec<StageHolder> {
        let loads: BTreeMap<String, StageLoad> =
            self.placement.stage_loads().into_iter().map(|l| (l.server.clone(), l)).collect();
        let holds = |server: &&BackendServer| server.models.contains(&self.model.name);
        let servers = self.fleet.servers.iter().filter(holds);
        servers.filter_map(|server| self.holder(server, loads.get(&server.name)?)).collect()
    }

    fn holder(&self, server: &BackendServer, load: &StageLoad) -> Option<StageHolder> {
        let (layer_from, layer_to) = (server.layer_from?, server.layer_to?);
        let layers = layer_to.checked_sub(layer_from).filter(|layers| *layers > 0)?;
        if !load.usable {
            return None;
        }
        // The wait for a slot is paid once; its share of each token makes plans comparable.
        let queue_share_ms = load.queue_ms / f64::from(self.admission.max_tokens.max(1));
        Some(StageHolder {
            server: server.name.clone(),
            address: server.address.clone(),
            failure_domain: server.failure_domain.clone(),
            layer_from,
            layer_to,
            layer_us: (load.token_ms * US_PER_MS / f64::from(layers)).ceil() as u64,
            step_us: (queue_share_ms * US_PER_MS).ceil() as u64,
        })
    }

    fn granted(&self, plan: Plan) -> Result<GrantedServer, Refusal> {
        let first = plan.stages.first();
        let first = first.ok_or(Refusal { code: Code::NoServer, retry_at: None })?;
        let token_ms = plan.token_us.div_ceil(US_PER_S / 1_000);
        Ok(GrantedServer {
            server: first.server.clone(),
            address: first.address.clone(),
            first_token_ms: token_ms,
            token_gap_ms: token_ms,
            stages: plan.stages,
        })
    }
}

impl ServerSource for SplitSource<'_> {
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal> {
        let planned = plan(self.model.layers, &self.holders(), &self.links(), excluded);
        let planned = planned.ok_or(Refusal { code: Code::NoServer, retry_at: None })?;
        let whole_us = planned.token_us.saturating_mul(u64::from(self.admission.max_tokens));
        let now = self.clock.now();
        let finish_at = now.plus_ms(whole_us / (US_PER_S / 1_000));
        if finish_at > self.admission.deadline {
            return Err(Refusal { code: Code::TooLate, retry_at: None });
        }
        for stage in &planned.stages {
            self.grants.insert(self.placement.hold(&stage.server, self.admission.max_tokens));
        }
        self.granted(planned)
    }
}
