//! A call as read from a caller.

use godwit_core::UnixMs;

/// In which form an answer of a model is wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// What a call asks of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerateParams {
    /// Model, or `MODEL:ADAPTER`.
    pub model: String,
    /// The prompt; the messages of a chat are joined.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: Option<u32>,
    /// The answer is sent token by token.
    pub is_stream: bool,
    /// Format of the answer.
    pub format: ResponseFormat,
}

/// One header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHeader {
    /// Name, in any case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// What a call asks of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceParams {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query below `/services/NAME`, starting with a slash.
    pub path: String,
    /// Headers for the service: all but the key and those that concern one connection or this product.
    pub headers: Vec<CallHeader>,
}

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// The list of models.
    Models,
    /// An answer of a model.
    Generate(GenerateParams),
    /// A call of a plain service.
    Service(ServiceParams),
}

/// A call that was read whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Id given to the request.
    pub request_id: String,
    /// Path as called.
    pub path: String,
    /// Key of the workspace, from `Authorization: Bearer`.
    pub key: Option<String>,
    /// Kind, from `Godwit-Kind`.
    pub kind: Option<String>,
    /// Event, from `Godwit-Event`.
    pub event: Option<String>,
    /// From `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// From `Godwit-Deadline-Ms`.
    pub deadline: Option<UnixMs>,
    /// The body as sent.
    pub body: Vec<u8>,
    /// What the call asks for.
    pub operation: Operation,
}

impl Call {
    /// Length of the prompt, or of the body for a plain service.
    pub fn prompt_bytes(&self) -> u64 {
        let bytes = match &self.operation {
            Operation::Generate(params) => params.prompt.len(),
            Operation::Models | Operation::Service(_) => self.body.len(),
        };
        bytes as u64
    }

    /// Model named by the call.
    pub fn model(&self) -> Option<&str> {
        match &self.operation {
            Operation::Generate(params) => Some(&params.model),
            Operation::Models | Operation::Service(_) => None,
        }
    }

    /// Service named by the call.
    pub fn service(&self) -> Option<&str> {
        match &self.operation {
            Operation::Service(params) => Some(&params.service),
            Operation::Models | Operation::Generate(_) => None,
        }
    }

    /// Token limit named by the call.
    pub fn max_tokens(&self) -> Option<u32> {
        match &self.operation {
            Operation::Generate(params) => params.max_tokens,
            Operation::Models | Operation::Service(_) => None,
        }
    }
}
