//! What keeps an entry of a configuration from serving anything, by its own terms.

use crate::site::configuration::{AcceleratorSpec, CallerLimits, ModelSpec, bare_host};
use crate::site::configuration_check::EntryField;
use crate::site::layout::kv_capacity_tokens;

/// Whether a text may stand in the target of a request, up to its query.
fn is_of_target(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'))
}

/// Returns why no request carries a host name; none if one can.
pub(super) fn host_name_defect(host_name: &str) -> Option<&'static str> {
    let name = bare_host(host_name);
    let is_sendable = !name.is_empty() && is_of_target(&name) && !name.contains('/');
    (!is_sendable).then_some("never matches, as no request carries such a host name")
}

/// Returns why no request has a path prefix; none if one can.
pub(super) fn path_prefix_defect(path_prefix: &str) -> Option<&'static str> {
    let message = "never matches, as a path has no spaces, `?`, `#` or characters beyond ASCII";
    (!is_of_target(path_prefix)).then_some(message)
}

/// Returns why no caller can send a key; none if one can.
pub(super) fn key_defect(key: &str) -> Option<&'static str> {
    let is_sendable = key.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic());
    let message = "no caller can send this key: white space at its ends, or not ASCII";
    (key.trim() != key || !is_sendable).then_some(message)
}

/// Returns why no server can run a model; none if one may.
pub(super) fn model_defect(model: &ModelSpec) -> Option<&'static str> {
    let has_memory = |kind: &AcceleratorSpec| kv_capacity_tokens(model, kind, 1) >= 1.0;
    if model.layers == 0 {
        Some("a model without layers is not served")
    } else if model.kinds.is_empty() {
        Some("no accelerator is named, so that no server holds a layer")
    } else if !model.kinds.values().any(has_memory) {
        Some("no accelerator has memory for a layer and a token")
    } else if model.read_tokens_per_s == 0.0 {
        Some("prompts are read at 0 tokens a second")
    } else {
        None
    }
}

/// Returns the limits on callers that are 0, and what that does.
pub(super) fn limit_defects(limits: &CallerLimits) -> Vec<(EntryField, &'static str)> {
    let defects = [
        (limits.header_bytes as u64, EntryField::HeaderBytes, "no request has headers of 0 bytes"),
        (limits.body_bytes as u64, EntryField::BodyBytes, "all requests with a body are refused"),
        (limits.header_timeout_ms, EntryField::HeaderTimeout, "no request arrives within 0 ms"),
        (limits.idle_timeout_ms, EntryField::IdleTimeout, "connections close when they are idle"),
    ];
    let zeros = defects.into_iter().filter(|(limit, ..)| *limit == 0);
    zeros.map(|(_, field, message)| (field, message)).collect()
}
