//! Plans of stages for one request of a split model, acquired from the placement.

use std::collections::BTreeSet;
use std::sync::Arc;

use godwit_core::{Admission, Code};
use godwit_schema::config::{BackendServer, Fleet};

use super::source::ActiveGrants;
use crate::dispatch::{GrantedServer, Refusal, ServerSource};
use crate::placement::{AcquireRequest, Placement};

/// Source of servers that together hold all layers of a split model.
pub(super) struct SplitSource<'a> {
    pub(super) placement: &'a Arc<Placement>,
    pub(super) admission: &'a Admission,
    pub(super) grants: &'a ActiveGrants,
}

/// Whether servers hold the model, but each holds only some of its layers.
pub(super) fn is_split(fleet: &Fleet, model: &str) -> bool {
    let holds_model =
        |server: &&BackendServer| server.models.iter().any(|held_model| held_model == model);
    let mut holders = fleet.servers.iter().filter(holds_model).peekable();
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
