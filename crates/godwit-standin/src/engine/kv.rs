//! Export and import of a request's KV cache.

use godwit_schema::engine::{KvExportReply, RefusalReason};

use super::attempts::{KvState, LayerRange};
use super::core::Engine;

impl Engine {
    /// The KV cache of a request, if there is one.
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

    /// Takes in a KV cache, whose layers the engine must hold.
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
