//! Tokens of an answer: a pure function of model, prompt and position, equal on every server.

use std::hash::Hasher;

use godwit_schema::engine::FinishReason;
use siphasher::sip::SipHasher13;

const CONSONANTS: &[u8; 16] = b"bdfghjklmnprstvz";
const VOWELS: &[u8; 4] = b"aeio";
/// Minimum length of an answer that `max_tokens` does not cut.
const MIN_ANSWER_TOKENS: u32 = 16;
/// Maximum length of an answer.
const MAX_ANSWER_TOKENS: u32 = 256;
const BYTES_PER_TOKEN: usize = 4;

/// Returns the token count of a prompt: one token for each four bytes, rounded up.
///
/// ```
/// assert_eq!(godwit_standin::prompt_tokens("twelve bytes"), 3);
/// ```
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns all tokens of the answer of `model` to `prompt`, at most `max_tokens`.
///
/// ```
/// use godwit_standin::expected_tokens;
/// let tokens = expected_tokens("barley", "When is my slot?", 5);
/// assert_eq!(tokens.len(), 5);
/// assert_eq!(tokens, expected_tokens("barley", "When is my slot?", 9)[..5]);
/// ```
pub fn expected_tokens(model: &str, prompt: &str, max_tokens: u32) -> Vec<String> {
    let answer = Answer::new(model, prompt, max_tokens);
    (0..answer.length).map(|position| answer.token(position)).collect()
}

/// Answer whose tokens are computed one at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    seed: u64,
    /// Length in tokens.
    pub(super) length: u32,
    /// Whether the answer ends by itself or at `max_tokens`.
    pub(super) finish_reason: FinishReason,
}

impl Answer {
    /// Creates the answer of a model to a prompt, at most `max_tokens` long.
    pub(super) fn new(model: &str, prompt: &str, max_tokens: u32) -> Answer {
        let mut hasher = SipHasher13::new();
        hasher.write(model.as_bytes());
        hasher.write_u8(0);
        hasher.write(prompt.as_bytes());
        let seed = hasher.finish();
        let length_span = u64::from(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1);
        let natural_length = MIN_ANSWER_TOKENS + (seed % length_span) as u32;
        let ends_naturally = natural_length <= max_tokens;
        let finish_reason = if ends_naturally { FinishReason::Stop } else { FinishReason::Length };
        Answer { seed, length: natural_length.min(max_tokens), finish_reason }
    }

    /// Returns the token at a position: a space and a word of two syllables.
    pub(super) fn token(&self, position: u32) -> String {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.seed);
        hasher.write_u32(position);
        let bits = hasher.finish();
        let letter = |letters: &[u8], shift: u32| {
            let index = (bits >> shift) as usize % letters.len();
            char::from(letters[index])
        };
        let mut token = String::from(" ");
        for shift in [0, 16] {
            token.push(letter(CONSONANTS, shift));
            token.push(letter(VOWELS, shift + 8));
        }
        token
    }
}
