//! Export and import of a request's KV cache.

use godwit_schema::engine::{KvExportReply, RefusalReason};

use super::attempts::{KvState, LayerRange};
use super::core::Engine;

impl Engine {
    /// Exports the KV cache of a request; `None` if there is none.
    pub(super) fn export_kv(&self, request_id: &str) -> Option<KvExportReply> {
        let kv = self.state().memory.attempts.kv(request_id)?;
        Some(KvExportReply {
            request_id: request_id.to_string(),
            position: kv.position,
            layer_from: kv.layers.from,
            layer_to: kv.layers.to,
            state: format!("kv:{}:{}:{}", request_id, kv.layers.from, kv.position),
        })
    }

    /// Imports a KV cache. Fails if the engine has not loaded its layers.
    pub(super) fn import_kv(&self, kv: &KvExportReply) -> Result<(), RefusalReason> {
        let layers = LayerRange { from: kv.layer_from, to: kv.layer_to };
        let mut state = self.state();
        if layers.from >= layers.to || !state.memory.inventory.covers(layers) {
            return Err(RefusalReason::BadRequest);
        }
        let state_of_request = KvState { layers, position: kv.position };
        state.memory.attempts.import_kv(&kv.request_id, state_of_request);
        Ok(())
    }
}
