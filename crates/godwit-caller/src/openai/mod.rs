//! OpenAI-compatible formats of requests and responses.

mod reply;
mod request;

pub(crate) use reply::{ResponseMeta, error_body, last_event, model_list, token_event, whole_body};
pub(crate) use request::{parse_chat, parse_completion};

/// Number of prompt bytes counted as one token in `usage`.
const BYTES_PER_TOKEN: usize = 4;
