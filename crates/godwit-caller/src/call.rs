//! A call as read from a caller.

use godwit_core::UnixMs;

/// In which form an answer of a model is wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// What a call asks of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerateAsk {
    /// Model, or `MODEL:ADAPTER`.
    pub model: String,
    /// The prompt; the messages of a chat are joined.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: Option<u32>,
    /// The answer is sent token by token.
    pub is_stream: bool,
    /// Form of the answer.
    pub form: Form,
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
pub struct ServiceAsk {
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
pub enum Ask {
    /// The list of models.
    Models,
    /// An answer of a model.
    Generate(GenerateAsk),
    /// A call of a plain service.
    Service(ServiceAsk),
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
    pub ask: Ask,
}

impl Call {
    /// Length of the prompt, or of the body for a plain service.
    pub fn prompt_bytes(&self) -> u64 {
        let bytes = match &self.ask {
            Ask::Generate(ask) => ask.prompt.len(),
            Ask::Models | Ask::Service(_) => self.body.len(),
        };
        bytes as u64
    }

    /// Model named by the call.
    pub fn model(&self) -> Option<&str> {
        match &self.ask {
            Ask::Generate(ask) => Some(&ask.model),
            Ask::Models | Ask::Service(_) => None,
        }
    }

    /// Service named by the call.
    pub fn service(&self) -> Option<&str> {
        match &self.ask {
            Ask::Service(ask) => Some(&ask.service),
            Ask::Models | Ask::Generate(_) => None,
        }
    }

    /// Token limit named by the call.
    pub fn max_tokens(&self) -> Option<u32> {
        match &self.ask {
            Ask::Generate(ask) => ask.max_tokens,
            Ask::Models | Ask::Service(_) => None,
        }
    }
}
