//! Reads headers and body of a call, and rejects contradictory framing and calls over a limit.

use std::io::Read;

use godwit_core::{Code, UnixMs};
use tiny_http::{Header, Request};

use crate::call::{Call, CallHeader, GenerateParams, Operation, ResponseFormat, ServiceParams};
use crate::openai;
use crate::responder::Failure;
use crate::server::Limits;

/// Path prefix of calls to plain services.
const SERVICES_PATH: &str = "/services/";

fn header<'a>(headers: &'a [Header], name: &'static str) -> Result<Option<&'a str>, Failure> {
    let mut matches = headers.iter().filter(|header| header.field.equiv(name));
    let first = matches.next();
    if matches.next().is_some() {
        return Err(Failure::field(Code::BadHeader, name));
    }
    Ok(first.map(|header| header.value.as_str()))
}

fn check_header_size(headers: &[Header], limits: &Limits) -> Result<(), Failure> {
    let length =
        |header: &Header| header.field.as_str().as_str().len() + header.value.as_str().len();
    let total_bytes: usize = headers.iter().map(length).sum();
    if total_bytes > limits.header_bytes {
        return Err(Failure::code(Code::HeadersTooLong));
    }
    Ok(())
}

fn check_framing(headers: &[Header]) -> Result<Option<u64>, Failure> {
    let lengths = headers.iter().filter(|header| header.field.equiv("Content-Length"));
    let lengths: Vec<&str> = lengths.map(|header| header.value.as_str()).collect();
    let is_chunked = headers.iter().any(|header| header.field.equiv("Transfer-Encoding"));
    if lengths.len() > 1 || (is_chunked && !lengths.is_empty()) {
        return Err(Failure::field(Code::BadFraming, "Content-Length"));
    }
    let Some(text) = lengths.first() else { return Ok(None) };
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length: Option<u64> = text.parse().ok().filter(|_| is_number);
    length.map(Some).ok_or(Failure::field(Code::BadFraming, "Content-Length"))
}

fn read_body(
    request: &mut Request,
    declared_bytes: Option<u64>,
    limits: &Limits,
) -> Result<Vec<u8>, Failure> {
    if declared_bytes.is_some_and(|bytes| bytes > limits.body_bytes) {
        return Err(Failure::code(Code::BodyTooLong));
    }
    let mut body = Vec::new();
    let mut reader = request.as_reader().take(limits.body_bytes + 1);
    reader.read_to_end(&mut body).map_err(|_| Failure::code(Code::BadFraming))?;
    let read_bytes = body.len() as u64;
    if read_bytes > limits.body_bytes {
        return Err(Failure::code(Code::BodyTooLong));
    }
    if declared_bytes.is_some_and(|declared| declared != read_bytes) {
        return Err(Failure::code(Code::BadFraming));
    }
    Ok(body)
}

fn bearer_key(headers: &[Header]) -> Result<Option<String>, Failure> {
    let value = header(headers, "Authorization")?;
    let Some(value) = value else { return Ok(None) };
    let key = value.strip_prefix("Bearer ").map(str::trim);
    Ok(key.filter(|key| !key.is_empty()).map(str::to_string))
}

fn deadline(headers: &[Header]) -> Result<Option<UnixMs>, Failure> {
    let Some(text) = header(headers, "Godwit-Deadline-Ms")? else { return Ok(None) };
    let number = text.trim().parse::<u64>();
    number
        .map(|ms| Some(UnixMs(ms)))
        .map_err(|_| Failure::field(Code::BadHeader, "Godwit-Deadline-Ms"))
}

/// Headers that are not forwarded to a service: hop-by-hop headers, the key of the workspace, and headers that the host
/// writes itself.
const NOT_FORWARDED: [&str; 13] = [
    "Authorization",
    "Connection",
    "Content-Length",
    "Expect",
    "Host",
    "Idempotency-Key",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
];

fn is_forwarded(header: &Header) -> bool {
    let name = header.field.as_str().as_str();
    let is_internal = name.len() >= 7 && name.as_bytes()[..7].eq_ignore_ascii_case(b"Godwit-");
    !is_internal && !NOT_FORWARDED.iter().any(|fixed| fixed.eq_ignore_ascii_case(name))
}

fn call_header(header: &Header) -> CallHeader {
    CallHeader {
        name: header.field.as_str().as_str().to_string(),
        value: header.value.as_str().to_string(),
    }
}

fn service_operation(
    request: &Request,
    headers: &[Header],
    rest: &str,
) -> Result<Operation, Failure> {
    // tiny_http takes the end of the connection for the end of a chunked body. A truncated JSON body fails to parse, but
    // the body of a service call can have any format.
    if headers.iter().any(|header| header.field.equiv("Transfer-Encoding")) {
        return Err(Failure::field(Code::LengthRequired, "Content-Length"));
    }
    let (service, path) = match rest.find(['/', '?']) {
        Some(index) => rest.split_at(index),
        None => (rest, ""),
    };
    if service.is_empty() {
        return Err(Failure::field(Code::UnknownService, "path"));
    }
    let path = if path.starts_with('/') { path.to_string() } else { format!("/{path}") };
    Ok(Operation::Service(ServiceParams {
        service: service.to_string(),
        method: request.method().to_string(),
        path,
        headers: headers.iter().filter(|header| is_forwarded(header)).map(call_header).collect(),
    }))
}

fn require_method(request: &Request, expected: &str) -> Result<(), Failure> {
    if request.method().as_str() == expected {
        return Ok(());
    }
    Err(Failure::code(Code::MethodNotAllowed))
}

fn generate_params(
    body: &[u8],
    format: ResponseFormat,
    limits: &Limits,
) -> Result<GenerateParams, Failure> {
    let params = match format {
        ResponseFormat::Chat => openai::parse_chat(body)?,
        ResponseFormat::Completion => openai::parse_completion(body)?,
    };
    if params.prompt.len() as u64 > limits.prompt_bytes {
        return Err(Failure::field(Code::PromptTooLong, "prompt"));
    }
    Ok(params)
}

fn operation(
    request: &Request,
    headers: &[Header],
    body: &[u8],
    limits: &Limits,
) -> Result<Operation, Failure> {
    let url = request.url();
    if let Some(rest) = url.strip_prefix(SERVICES_PATH) {
        return service_operation(request, headers, rest);
    }
    let path = url.split('?').next().unwrap_or_default();
    match path {
        "/v1/models" => require_method(request, "GET").map(|()| Operation::Models),
        "/v1/chat/completions" => {
            require_method(request, "POST")?;
            generate_params(body, ResponseFormat::Chat, limits).map(Operation::Generate)
        }
        "/v1/completions" => {
            require_method(request, "POST")?;
            generate_params(body, ResponseFormat::Completion, limits).map(Operation::Generate)
        }
        _ => Err(Failure::code(Code::UnknownPath)),
    }
}

/// Reads and checks a complete call.
pub(crate) fn read_call(
    request: &mut Request,
    request_id: &str,
    limits: &Limits,
) -> Result<Call, Failure> {
    let headers = request.headers().to_vec();
    check_header_size(&headers, limits)?;
    let declared_bytes = check_framing(&headers)?;
    let body = read_body(request, declared_bytes, limits)?;
    Ok(Call {
        request_id: request_id.to_string(),
        path: request.url().to_string(),
        key: bearer_key(&headers)?,
        kind: header(&headers, "Godwit-Kind")?.map(str::to_string),
        event: header(&headers, "Godwit-Event")?.map(str::to_string),
        idempotency_key: header(&headers, "Idempotency-Key")?.map(str::to_string),
        deadline: deadline(&headers)?,
        operation: operation(request, &headers, &body, limits)?,
        body,
    })
}
