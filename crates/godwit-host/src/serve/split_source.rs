//! Stage plans for one request of a split model, from the placement.

use std::collections::BTreeSet;
use std::sync::Arc;

use godwit_core::{Admission, Code};
use godwit_schema::config::{BackendServer, Fleet};

use super::source::ActiveGrants;
use crate::dispatch::{GrantedServer, Refusal, ServerSource};
use crate::placement::{AcquireRequest, Placement};

/// Takes servers that together hold all layers of the model.
pub(super) struct SplitSource<'a> {
    pub(super) placement: &'a Arc<Placement>,
    pub(super) admission: &'a Admission,
    pub(super) grants: &'a ActiveGrants,
}

/// Whether a model is held whole by no server of the fleet.
pub(super) fn is_split(fleet: &Fleet, model: &str) -> bool {
    let holds = |server: &&BackendServer| server.models.iter().any(|held| held == model);
    let mut holders = fleet.servers.iter().filter(holds).peekable();
    holders.peek().is_some() && holders.all(|server| server.layer_from.is_some())
}

impl ServerSource for SplitSource<'_> {
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal> {
        let request = AcquireRequest { admission: self.admission, prefixes: &[], excluded };
        let stage_grants = self
            .placement
            .acquire_stages(request)
            .map_err(|refusal| Refusal { code: refusal.code, retry_at: refusal.retry_at })?;
        let first = stage_grants.stages.first();
        let first = first.ok_or(Refusal { code: Code::NoServer, retry_at: None })?;
        let token_ms = stage_grants.estimate.token_ms.ceil() as u64;
        let granted = GrantedServer {
            server: first.server.clone(),
            address: first.address.clone(),
            first_token_ms: stage_grants.estimate.first_token_ms.max(0.0).ceil() as u64,
            token_gap_ms: token_ms,
            stages: stage_grants.stages.clone(),
        };
        stage_grants.grants.into_iter().for_each(|grant| self.grants.insert(grant));
        Ok(granted)
    }
}
