//! Bodies and server-sent events of responses.

use godwit_core::{Code, UnixMs};
use godwit_schema::caller::{
    ChatChoice, ChatChunk, ChatChunkChoice, ChatDelta, ChatReply, ChatReplyMessage,
    CompletionChoice, CompletionReply, ErrorBody, ErrorReply, ModelEntry, ModelList, Usage,
};
use serde::Serialize;

use super::BYTES_PER_TOKEN;
use crate::call::{GenerateParams, ResponseFormat};
use crate::responder::Failure;

const MS_PER_S: u64 = 1_000;

/// Fields common to all events or the body of one response.
pub(crate) struct ResponseMeta<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) params: &'a GenerateParams,
    pub(crate) created: UnixMs,
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn usage(params: &GenerateParams, completion_tokens: u32) -> Usage {
    let prompt_tokens =
        u32::try_from(params.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    let total_tokens = prompt_tokens.saturating_add(completion_tokens);
    Usage { prompt_tokens, completion_tokens, total_tokens }
}

fn chat_chunk(
    meta: &ResponseMeta<'_>,
    delta: ChatDelta,
    finish_reason: Option<&str>,
    code: Option<Code>,
) -> String {
    let choice =
        ChatChunkChoice { index: 0, delta, finish_reason: finish_reason.map(str::to_string) };
    json(&ChatChunk {
        id: meta.request_id.to_string(),
        object: "chat.completion.chunk".to_string(),
        created: meta.created.0 / MS_PER_S,
        model: meta.params.model.clone(),
        choices: vec![choice],
        godwit_code: code.map(|code| u32::from(code.number())),
    })
}

fn completion(
    meta: &ResponseMeta<'_>,
    text: &str,
    finish_reason: Option<&str>,
    usage: Option<Usage>,
    code: Option<Code>,
) -> String {
    let choice = CompletionChoice {
        index: 0,
        text: text.to_string(),
        finish_reason: finish_reason.map(str::to_string),
    };
    json(&CompletionReply {
        id: meta.request_id.to_string(),
        object: "text_completion".to_string(),
        created: meta.created.0 / MS_PER_S,
        model: meta.params.model.clone(),
        choices: vec![choice],
        usage,
        godwit_code: code.map(|code| u32::from(code.number())),
    })
}

/// Event of a streamed response that carries one token.
pub(crate) fn token_event(meta: &ResponseMeta<'_>, token: &str, is_first: bool) -> String {
    match meta.params.format {
        ResponseFormat::Chat => {
            let role = is_first.then(|| "assistant".to_string());
            chat_chunk(meta, ChatDelta { role, content: Some(token.to_string()) }, None, None)
        }
        ResponseFormat::Completion => completion(meta, token, None, None, None),
    }
}

/// Final event of a complete streamed response.
pub(crate) fn last_event(meta: &ResponseMeta<'_>, finish_reason: &str, code: Code) -> String {
    match meta.params.format {
        ResponseFormat::Chat => {
            let delta = ChatDelta { role: None, content: None };
            chat_chunk(meta, delta, Some(finish_reason), Some(code))
        }
        ResponseFormat::Completion => completion(meta, "", Some(finish_reason), None, Some(code)),
    }
}

/// Body of a complete response that is not streamed.
pub(crate) fn whole_body(
    meta: &ResponseMeta<'_>,
    text: &str,
    tokens: u32,
    finish_reason: &str,
) -> String {
    let usage = usage(meta.params, tokens);
    if meta.params.format == ResponseFormat::Completion {
        return completion(meta, text, Some(finish_reason), Some(usage), None);
    }
    let message = ChatReplyMessage { role: "assistant".to_string(), content: text.to_string() };
    let choice = ChatChoice { index: 0, message, finish_reason: finish_reason.to_string() };
    json(&ChatReply {
        id: meta.request_id.to_string(),
        object: "chat.completion".to_string(),
        created: meta.created.0 / MS_PER_S,
        model: meta.params.model.clone(),
        choices: vec![choice],
        usage,
    })
}

/// Body of an error response; also the last event of a stream that failed.
pub(crate) fn error_body(request_id: &str, failure: &Failure) -> String {
    let code = failure.code;
    let message = match &failure.message {
        Some(message) => format!("{} {message}", code.meaning()),
        None => code.meaning().to_string(),
    };
    json(&ErrorReply {
        error: ErrorBody {
            message,
            type_: code.name().to_string(),
            code: u32::from(code.number()),
            param: failure.field.clone(),
            verdict: code.verdict().as_str().to_string(),
            request_id: request_id.to_string(),
            retry_at_unix_ms: failure.retry_at.map(|at| at.0),
        },
    })
}

/// Body of `GET /v1/models`.
pub(crate) fn model_list(models: &[String]) -> String {
    let entry = |name: &String| ModelEntry {
        id: name.clone(),
        object: "model".to_string(),
        created: 0,
        owned_by: "godwitdeal".to_string(),
    };
    json(&ModelList { object: "list".to_string(), data: models.iter().map(entry).collect() })
}
