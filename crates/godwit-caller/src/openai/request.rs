//! Parses request bodies.

use godwit_core::Code;
use godwit_schema::caller::{ChatMessage, ChatRequest, CompletionRequest};
use serde_json::Value;

use crate::call::{GenerateParams, ResponseFormat};
use crate::responder::Failure;

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::code(Code::MalformedRequest).with_message(&error.to_string()))
}

fn content_text(content: &Value) -> Option<String> {
    match content {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => {
            let texts: Option<Vec<&str>> =
                parts.iter().map(|part| part.get("text").and_then(Value::as_str)).collect();
            texts.map(|texts| texts.concat())
        }
        _ => None,
    }
}

fn chat_prompt(messages: &[ChatMessage]) -> Option<String> {
    let mut prompt = String::new();
    for message in messages {
        let text = content_text(&message.content)?;
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&text);
        prompt.push('\n');
    }
    Some(prompt)
}

fn check_max_tokens(max_tokens: Option<u32>) -> Result<(), Failure> {
    if max_tokens == Some(0) {
        return Err(Failure::field(Code::MalformedRequest, "max_tokens"));
    }
    Ok(())
}

/// Parses the body of `POST /v1/chat/completions`.
pub(crate) fn parse_chat(body: &[u8]) -> Result<GenerateParams, Failure> {
    let request: ChatRequest = parse(body)?;
    let prompt = chat_prompt(&request.messages);
    let prompt = prompt.filter(|_| !request.messages.is_empty());
    let prompt = prompt.ok_or(Failure::field(Code::MalformedRequest, "messages"))?;
    let max_tokens = request.max_completion_tokens.or(request.max_tokens);
    check_max_tokens(max_tokens)?;
    Ok(GenerateParams {
        model: request.model,
        prompt,
        max_tokens,
        is_stream: request.stream,
        format: ResponseFormat::Chat,
    })
}

/// Parses the body of `POST /v1/completions`.
pub(crate) fn parse_completion(body: &[u8]) -> Result<GenerateParams, Failure> {
    let request: CompletionRequest = parse(body)?;
    check_max_tokens(request.max_tokens)?;
    Ok(GenerateParams {
        model: request.model,
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        is_stream: request.stream,
        format: ResponseFormat::Completion,
    })
}
