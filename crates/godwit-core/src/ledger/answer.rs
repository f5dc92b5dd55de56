//! Answers to requests that ran, stored for later retries.

use godwit_schema::ledger::StoredAnswer;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::name::to_hex;

/// Largest body that is stored, measured in its stored form. Of a larger body only length and digest are stored.
const MAX_STORED_BODY_BYTES: usize = 600;

/// Longest media type that is stored; a longer one is truncated.
const MAX_CONTENT_TYPE_CHARS: usize = 100;

/// Answer to a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Numbered result code.
    pub code: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body, if it is small enough to be stored.
    pub body: Option<Vec<u8>>,
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// SHA-256 digest of the body, in hexadecimal.
    pub body_sha256: String,
}

impl Answer {
    /// Creates an answer. The body is kept only if it is small enough to be stored.
    ///
    /// ```
    /// use godwit_core::ledger::Answer;
    /// let answer = Answer::new(200, 1000, "application/json", b"{}");
    /// assert_eq!(answer.body.as_deref(), Some(&b"{}"[..]));
    /// assert_eq!(Answer::new(200, 1000, "text/plain", &[b'x'; 4_000]).body, None);
    /// ```
    pub fn new(status: u16, code: u16, content_type: &str, body: &[u8]) -> Answer {
        Answer {
            status,
            code,
            content_type: content_type.chars().take(MAX_CONTENT_TYPE_CHARS).collect(),
            body: (stored_bytes(body) <= MAX_STORED_BODY_BYTES).then(|| body.to_vec()),
            body_bytes: body.len() as u64,
            body_sha256: to_hex(&Sha256::digest(body)),
        }
    }

    /// Copies the answer without its body; length and digest of the body stay.
    pub(super) fn without_body(&self) -> Answer {
        Answer { body: None, ..self.clone() }
    }

    pub(super) fn to_stored(&self) -> StoredAnswer {
        let text = self.body.as_deref().and_then(|body| std::str::from_utf8(body).ok());
        let hex = if text.is_none() { self.body.as_deref().map(to_hex) } else { None };
        StoredAnswer {
            status: self.status,
            code: self.code,
            content_type: self.content_type.clone(),
            body_text: text.map(str::to_string),
            body_hex: hex,
            body_bytes: self.body_bytes,
            body_sha256: self.body.is_none().then(|| self.body_sha256.clone()),
        }
    }

    pub(super) fn from_stored(stored: &StoredAnswer) -> Answer {
        let text = stored.body_text.as_ref().map(|text| text.clone().into_bytes());
        let body = text.or_else(|| stored.body_hex.as_deref().and_then(from_hex));
        let digest = body.as_deref().map(|body| to_hex(&Sha256::digest(body)));
        Answer {
            status: stored.status,
            code: stored.code,
            content_type: stored.content_type.clone(),
            body,
            body_bytes: stored.body_bytes,
            body_sha256: stored.body_sha256.clone().or(digest).unwrap_or_default(),
        }
    }
}

/// Length in bytes of a body in its stored form: UTF-8 text as an escaped JSON string, anything else in hexadecimal.
fn stored_bytes(body: &[u8]) -> usize {
    let text = std::str::from_utf8(body).ok();
    let quoted = text.and_then(|text| serde_json::to_string(text).ok());
    quoted.map_or(body.len().saturating_mul(2), |quoted| quoted.len())
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|digit| digit.to_digit(16).and_then(|value| u8::try_from(value).ok()))
        .collect();
    let digits = digits?;
    let pairs = digits.chunks_exact(2);
    pairs.remainder().is_empty().then(|| pairs.map(|pair| pair[0] << 4 | pair[1]).collect())
}
