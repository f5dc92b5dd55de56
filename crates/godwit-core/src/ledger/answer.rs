//! Answers of requests that ran, as kept for later retries.

use godwit_schema::ledger::StoredAnswer;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::name::to_hex;

/// Longest body that is kept, as it is stored; of longer ones only length and digest are.
const MAX_STORED_BODY_BYTES: usize = 600;

/// Longest media type that is kept.
const MAX_CONTENT_TYPE_CHARS: usize = 100;

/// Answer of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Numbered result code.
    pub code: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body, when it is small enough to be kept.
    pub body: Option<Vec<u8>>,
    /// Length of the body.
    pub body_bytes: u64,
    /// SHA-256 of the body, hexadecimal.
    pub body_sha256: String,
}

impl Answer {
    /// The answer with this body, which is kept when it is small.
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

    /// The same answer, with nothing of its body but length and digest.
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

/// Length of a body as it is stored: text with its escapes, anything else in hexadecimal.
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
