//! The OpenAI-compatible forms of requests and answers.

mod reply;
mod request;

pub(crate) use reply::{Frame, error_body, last_event, model_list, token_event, whole_body};
pub(crate) use request::{read_chat, read_completion};

/// Bytes of prompt that count as one token in `usage`.
const BYTES_PER_TOKEN: usize = 4;
