//! Messages by which neighbours exchange configuration objects.

use godwit_core::replica::{ObjectReplica, StoredObject};
use godwit_schema::platform::ObjectHead;
use serde::{Deserialize, Serialize};

use super::source::SourceError;

/// Total size of the objects in a reply, in bytes; the rest is fetched by further calls. The first object is sent
/// whatever its size.
const REPLY_LIMIT_BYTES: usize = 256 * 1024;

/// Request for the objects that a neighbour holds in a newer version than the sender, which holds `held`.
#[derive(Debug, Deserialize, Serialize)]
struct FetchRequest {
    held: Vec<ObjectHead>,
}

/// Reply with the objects that the neighbour holds in a newer version.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FetchReply {
    /// Revision up to which the neighbour misses no object or deletion.
    pub(super) complete_revision: u64,
    /// Objects in a newer version.
    pub(super) objects: Vec<StoredObject>,
    /// Whether the neighbour has more such objects than fit into the reply.
    pub(super) has_more: bool,
}

fn malformed(error: postcard::Error) -> SourceError {
    SourceError(format!("malformed message: {error}"))
}

/// Encodes the request of a host that holds `held`.
pub(super) fn encode_request(held: &[ObjectHead]) -> Result<Vec<u8>, SourceError> {
    postcard::to_stdvec(&FetchRequest { held: held.to_vec() }).map_err(malformed)
}

/// Decodes a reply.
pub(super) fn decode_reply(bytes: &[u8]) -> Result<FetchReply, SourceError> {
    postcard::from_bytes(bytes).map_err(malformed)
}

/// Answers a neighbour's request with the objects in `store`.
pub(super) fn answer_request(
    store: &ObjectReplica,
    request: &[u8],
) -> Result<Vec<u8>, SourceError> {
    let request: FetchRequest = postcard::from_bytes(request).map_err(malformed)?;
    let newer = store.objects_newer_than(&request.held);
    let total = newer.len();
    let mut size_bytes = 0;
    let fits = |stored: &StoredObject| {
        let is_first = size_bytes == 0;
        size_bytes += stored.name.len() + stored.text.as_ref().map_or(0, String::len) + 1;
        is_first || size_bytes <= REPLY_LIMIT_BYTES
    };
    let objects: Vec<StoredObject> = newer.into_iter().take_while(fits).collect();
    let has_more = objects.len() < total;
    postcard::to_stdvec(&FetchReply {
        complete_revision: store.complete_revision(),
        objects,
        has_more,
    })
    .map_err(malformed)
}
