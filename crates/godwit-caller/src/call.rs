//! A call read from a caller.

use godwit_core::UnixMs;

/// Response format of a generate call, which depends on the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// Parameters of a generate call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerateParams {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub model: String,
    /// Prompt; the messages of a chat are joined.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed token by token.
    pub is_stream: bool,
    /// Format of the response.
    pub format: ResponseFormat,
}

/// An HTTP header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHeader {
    /// Name; case-insensitive.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Parameters of a call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceParams {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query after `/services/NAME`, starting with a slash.
    pub path: String,
    /// Headers to forward: without the key, hop-by-hop headers and `Godwit-` headers.
    pub headers: Vec<CallHeader>,
}

/// The operation that a call requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// List the models.
    Models,
    /// Generate text with a model.
    Generate(GenerateParams),
    /// Call a plain service.
    Service(ServiceParams),
}

/// A complete call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Id assigned to the request.
    pub request_id: String,
    /// Path and query of the request.
    pub path: String,
    /// API key of the workspace, from `Authorization: Bearer`.
    pub key: Option<String>,
    /// Kind of work, from `Godwit-Kind`.
    pub kind: Option<String>,
    /// Event, from `Godwit-Event`.
    pub event: Option<String>,
    /// Idempotency key, from `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Deadline, from `Godwit-Deadline-Ms`.
    pub deadline: Option<UnixMs>,
    /// Raw body.
    pub body: Vec<u8>,
    /// Requested operation.
    pub operation: Operation,
}

impl Call {
    /// Length in bytes of the prompt of a generate call, or of the body of any other call.
    pub fn prompt_bytes(&self) -> u64 {
        let bytes = match &self.operation {
            Operation::Generate(params) => params.prompt.len(),
            Operation::Models | Operation::Service(_) => self.body.len(),
        };
        bytes as u64
    }

    /// HTTP method of the call.
    pub fn method(&self) -> &str {
        match &self.operation {
            Operation::Models => "GET",
            Operation::Generate(_) => "POST",
            Operation::Service(params) => &params.method,
        }
    }

    /// Model requested by a generate call.
    pub fn model(&self) -> Option<&str> {
        match &self.operation {
            Operation::Generate(params) => Some(&params.model),
            Operation::Models | Operation::Service(_) => None,
        }
    }

    /// Name of the service in a service call.
    pub fn service(&self) -> Option<&str> {
        match &self.operation {
            Operation::Service(params) => Some(&params.service),
            Operation::Models | Operation::Generate(_) => None,
        }
    }

    /// Token limit requested by a generate call.
    pub fn max_tokens(&self) -> Option<u32> {
        match &self.operation {
            Operation::Generate(params) => params.max_tokens,
            Operation::Models | Operation::Service(_) => None,
        }
    }
}
