//! Bodies and events of answers.

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

/// What all parts of one answer share.
pub(crate) struct Frame<'a> {
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
    frame: &Frame<'_>,
    delta: ChatDelta,
    finish: Option<&str>,
    code: Option<Code>,
) -> String {
    let choice = ChatChunkChoice { index: 0, delta, finish_reason: finish.map(str::to_string) };
    json(&ChatChunk {
        id: frame.request_id.to_string(),
        object: "chat.completion.chunk".to_string(),
        created: frame.created.0 / MS_PER_S,
        model: frame.params.model.clone(),
        choices: vec![choice],
        godwit_code: code.map(|code| u32::from(code.number())),
    })
}

fn completion(
    frame: &Frame<'_>,
    text: &str,
    finish: Option<&str>,
    usage: Option<Usage>,
    code: Option<Code>,
) -> String {
    let choice = CompletionChoice {
        index: 0,
        text: text.to_string(),
        finish_reason: finish.map(str::to_string),
    };
    json(&CompletionReply {
        id: frame.request_id.to_string(),
        object: "text_completion".to_string(),
        created: frame.created.0 / MS_PER_S,
        model: frame.params.model.clone(),
        choices: vec![choice],
        usage,
        godwit_code: code.map(|code| u32::from(code.number())),
    })
}

/// Event of a stream that carries one token.
pub(crate) fn token_event(frame: &Frame<'_>, token: &str, is_first: bool) -> String {
    match frame.params.format {
        ResponseFormat::Chat => {
            let role = is_first.then(|| "assistant".to_string());
            chat_chunk(frame, ChatDelta { role, content: Some(token.to_string()) }, None, None)
        }
        ResponseFormat::Completion => completion(frame, token, None, None, None),
    }
}

/// Event that ends a whole stream.
pub(crate) fn last_event(frame: &Frame<'_>, finish_reason: &str, code: Code) -> String {
    match frame.params.format {
        ResponseFormat::Chat => {
            let delta = ChatDelta { role: None, content: None };
            chat_chunk(frame, delta, Some(finish_reason), Some(code))
        }
        ResponseFormat::Completion => completion(frame, "", Some(finish_reason), None, Some(code)),
    }
}

/// Body of a whole answer.
pub(crate) fn whole_body(
    frame: &Frame<'_>,
    text: &str,
    tokens: u32,
    finish_reason: &str,
) -> String {
    let usage = usage(frame.params, tokens);
    if frame.params.format == ResponseFormat::Completion {
        return completion(frame, text, Some(finish_reason), Some(usage), None);
    }
    let message = ChatReplyMessage { role: "assistant".to_string(), content: text.to_string() };
    let choice = ChatChoice { index: 0, message, finish_reason: finish_reason.to_string() };
    json(&ChatReply {
        id: frame.request_id.to_string(),
        object: "chat.completion".to_string(),
        created: frame.created.0 / MS_PER_S,
        model: frame.params.model.clone(),
        choices: vec![choice],
        usage,
    })
}

/// Body of an error, also the last event of a broken stream.
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
