//! Exchange of configuration objects between neighbours.

use godwit_core::config::{ConfigStore, StoredObject};
use godwit_schema::platform::ObjectHead;
use serde::{Deserialize, Serialize};

use super::source::SourceError;

/// A reply carries objects up to about this size in all; the rest is fetched by a further call.
const REPLY_BYTES: usize = 256 * 1024;

/// Asks a neighbour for what is newer there.
#[derive(Debug, Deserialize, Serialize)]
struct FetchRequest {
    held: Vec<ObjectHead>,
}

/// Objects that are newer at the neighbour, whether there are more, and the revision up to which it misses nothing.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FetchReply {
    pub(super) complete_at: u64,
    pub(super) objects: Vec<StoredObject>,
    pub(super) has_more: bool,
}

fn broken(error: postcard::Error) -> SourceError {
    SourceError(format!("broken message: {error}"))
}

/// Bytes of the request of a host that holds `held`.
pub(super) fn request_bytes(held: &[ObjectHead]) -> Result<Vec<u8>, SourceError> {
    postcard::to_stdvec(&FetchRequest { held: held.to_vec() }).map_err(broken)
}

/// Reads a reply.
pub(super) fn read_reply(bytes: &[u8]) -> Result<FetchReply, SourceError> {
    postcard::from_bytes(bytes).map_err(broken)
}

/// Answers the request of a neighbour from what `store` holds.
pub(super) fn answer(store: &ConfigStore, request: &[u8]) -> Result<Vec<u8>, SourceError> {
    let request: FetchRequest = postcard::from_bytes(request).map_err(broken)?;
    let newer = store.objects_newer_than(&request.held);
    let total = newer.len();
    let mut size_bytes = 0;
    let fits = |stored: &StoredObject| {
        let is_first = size_bytes == 0;
        size_bytes += stored.name.len() + stored.text.as_ref().map_or(0, String::len) + 1;
        is_first || size_bytes <= REPLY_BYTES
    };
    let objects: Vec<StoredObject> = newer.into_iter().take_while(fits).collect();
    let has_more = objects.len() < total;
    postcard::to_stdvec(&FetchReply { complete_at: store.complete_revision(), objects, has_more })
        .map_err(broken)
}
