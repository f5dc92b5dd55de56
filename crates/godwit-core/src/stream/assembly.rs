//! The tokens of one answer, each taken once and in order.

use thiserror::Error;

/// Why a piece of a stream was dropped.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DropReason {
    /// The piece is not of the current attempt.
    #[error("attempt {attempt} is not the current attempt {current}")]
    OtherAttempt {
        /// Attempt of the piece.
        attempt: u32,
        /// The current attempt.
        current: u32,
    },
    /// The position was taken before.
    #[error("position {position} was taken before")]
    Duplicate {
        /// Position of the piece.
        position: u32,
    },
    /// Positions before this one are missing.
    #[error("position {position} came while {expected} is missing")]
    Gap {
        /// Position of the piece.
        position: u32,
        /// The first missing position.
        expected: u32,
    },
    /// The position is over the token limit.
    #[error("position {position} is over the limit of {max_tokens} tokens")]
    OverLimit {
        /// Position of the piece.
        position: u32,
        /// Most tokens of the answer.
        max_tokens: u32,
    },
}

/// Why the end of a stream does not make the answer whole.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum IncompleteReason {
    /// The end is not of the current attempt.
    #[error("attempt {attempt} is not the current attempt {current}")]
    OtherAttempt {
        /// Attempt of the end.
        attempt: u32,
        /// The current attempt.
        current: u32,
    },
    /// The server counted another number of tokens.
    #[error("the server counted {counted} tokens, {accepted} were accepted")]
    CountDiffers {
        /// Tokens as counted by the server.
        counted: u32,
        /// Tokens accepted.
        accepted: u32,
    },
}

/// Pieces dropped, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedPieces {
    /// Pieces of another attempt.
    pub other_attempt: u64,
    /// Pieces of a position taken before.
    pub duplicate: u64,
    /// Pieces that came while an earlier one was missing.
    pub gap: u64,
    /// Pieces over the token limit.
    pub over_limit: u64,
}

impl DroppedPieces {
    /// All dropped pieces.
    pub fn total(&self) -> u64 {
        self.other_attempt + self.duplicate + self.gap + self.over_limit
    }

    fn count(&mut self, reason: DropReason) {
        match reason {
            DropReason::OtherAttempt { .. } => self.other_attempt += 1,
            DropReason::Duplicate { .. } => self.duplicate += 1,
            DropReason::Gap { .. } => self.gap += 1,
            DropReason::OverLimit { .. } => self.over_limit += 1,
        }
    }
}

/// The tokens of one answer, from any number of attempts.
///
/// ```
/// use godwit_core::stream::AnswerAssembly;
/// let mut assembly = AnswerAssembly::new(2);
/// let attempt = assembly.begin_attempt();
/// assembly.accept_token(attempt, 0, "Dear").unwrap();
/// let retry = assembly.begin_attempt();
/// assert!(assembly.accept_token(attempt, 1, "late").is_err());
/// assembly.accept_token(retry, 1, " shop").unwrap();
/// assembly.check_complete(retry, 2).unwrap();
/// assert_eq!(assembly.tokens(), ["Dear", " shop"]);
/// ```
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    attempt: u32,
    max_tokens: u32,
    tokens: Vec<String>,
    dropped: DroppedPieces,
}

impl AnswerAssembly {
    /// An empty answer of at most `max_tokens` tokens.
    pub fn new(max_tokens: u32) -> AnswerAssembly {
        AnswerAssembly {
            attempt: 0,
            max_tokens,
            tokens: Vec::new(),
            dropped: DroppedPieces::default(),
        }
    }

    /// Starts the next attempt and gives its number; pieces of earlier attempts are dropped from now on.
    pub fn begin_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.attempt
    }

    /// The first position that the answer lacks.
    pub fn next_position(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// The tokens accepted so far, in order.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// The tokens, owned.
    pub fn into_tokens(self) -> Vec<String> {
        self.tokens
    }

    /// Pieces dropped so far.
    pub fn dropped(&self) -> DroppedPieces {
        self.dropped
    }

    /// Whether the token limit is reached, so that the answer is whole without a word of the server.
    pub fn is_at_limit(&self) -> bool {
        self.next_position() >= self.max_tokens
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The token is not of the current attempt or not the next one; it is dropped and counted.
    pub fn accept_token(
        &mut self,
        attempt: u32,
        position: u32,
        token: &str,
    ) -> Result<(), DropReason> {
        let checked = self.check_position(attempt, position);
        match checked {
            Ok(()) => self.tokens.push(token.to_string()),
            Err(reason) => self.dropped.count(reason),
        }
        checked
    }

    /// Takes the end of a stream, with the count of all tokens of the answer.
    ///
    /// # Errors
    /// The end is not of the current attempt, or tokens are missing; the answer is not whole.
    pub fn check_complete(&self, attempt: u32, counted: u32) -> Result<(), IncompleteReason> {
        if attempt != self.attempt {
            return Err(IncompleteReason::OtherAttempt { attempt, current: self.attempt });
        }
        let accepted = self.next_position();
        if counted != accepted {
            return Err(IncompleteReason::CountDiffers { counted, accepted });
        }
        Ok(())
    }

    fn check_position(&self, attempt: u32, position: u32) -> Result<(), DropReason> {
        let expected = self.next_position();
        if attempt != self.attempt {
            return Err(DropReason::OtherAttempt { attempt, current: self.attempt });
        }
        if position < expected {
            return Err(DropReason::Duplicate { position });
        }
        if position >= self.max_tokens {
            return Err(DropReason::OverLimit { position, max_tokens: self.max_tokens });
        }
        if position > expected {
            return Err(DropReason::Gap { position, expected });
        }
        Ok(())
    }
}
