//! Assembly of the tokens of an answer, each accepted once and in order.

use thiserror::Error;

/// Reason why a piece of a stream, a token with its position, was dropped.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DropReason {
    /// The piece does not belong to the current attempt.
    #[error("attempt {attempt} is not the current attempt {current}")]
    OtherAttempt {
        /// Attempt of the piece.
        attempt: u32,
        /// The current attempt.
        current: u32,
    },
    /// The position was already accepted.
    #[error("position {position} was already accepted")]
    Duplicate {
        /// Position of the piece.
        position: u32,
    },
    /// The position was already accepted with another text, so that the piece belongs to another answer.
    #[error("position {position} was already accepted with another text")]
    Conflict {
        /// Position of the piece.
        position: u32,
    },
    /// Earlier positions are missing.
    #[error("received position {position} while position {expected} is missing")]
    Gap {
        /// Position of the piece.
        position: u32,
        /// The first missing position.
        expected: u32,
    },
    /// The position exceeds the token limit.
    #[error("position {position} exceeds the limit of {max_tokens} tokens")]
    OverLimit {
        /// Position of the piece.
        position: u32,
        /// Maximum number of tokens in the answer.
        max_tokens: u32,
    },
}

/// Reason why the end of a stream does not complete the answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum IncompleteReason {
    /// The end does not belong to the current attempt.
    #[error("attempt {attempt} is not the current attempt {current}")]
    OtherAttempt {
        /// Attempt that ended.
        attempt: u32,
        /// The current attempt.
        current: u32,
    },
    /// The server counted a different number of tokens than were accepted.
    #[error("the server counted {counted} tokens, but {accepted} were accepted")]
    CountDiffers {
        /// Number of tokens counted by the server.
        counted: u32,
        /// Number of tokens accepted.
        accepted: u32,
    },
}

/// Number of dropped pieces, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedPieces {
    /// Pieces that do not belong to the current attempt.
    pub other_attempt: u64,
    /// Pieces whose position was already accepted.
    pub duplicate: u64,
    /// Pieces whose position was already accepted with another text.
    pub conflict: u64,
    /// Pieces that arrived while an earlier position was missing.
    pub gap: u64,
    /// Pieces whose position exceeds the token limit.
    pub over_limit: u64,
}

impl DroppedPieces {
    /// Total number of dropped pieces.
    pub fn total(&self) -> u64 {
        self.other_attempt + self.duplicate + self.conflict + self.gap + self.over_limit
    }

    fn count(&mut self, reason: DropReason) {
        match reason {
            DropReason::OtherAttempt { .. } => self.other_attempt += 1,
            DropReason::Duplicate { .. } => self.duplicate += 1,
            DropReason::Conflict { .. } => self.conflict += 1,
            DropReason::Gap { .. } => self.gap += 1,
            DropReason::OverLimit { .. } => self.over_limit += 1,
        }
    }
}

/// Tokens of an answer, collected from any number of attempts.
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
    /// Creates an empty answer of at most `max_tokens` tokens.
    pub fn new(max_tokens: u32) -> AnswerAssembly {
        AnswerAssembly {
            attempt: 0,
            max_tokens,
            tokens: Vec::new(),
            dropped: DroppedPieces::default(),
        }
    }

    /// Starts the next attempt and returns its number. Pieces of earlier attempts are dropped from then on.
    pub fn begin_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.attempt
    }

    /// Position of the next token to accept, which is the number of accepted tokens.
    pub fn next_position(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// The tokens accepted so far, in order.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Converts the answer into its accepted tokens.
    pub fn into_tokens(self) -> Vec<String> {
        self.tokens
    }

    /// Numbers of pieces dropped so far.
    pub fn dropped(&self) -> DroppedPieces {
        self.dropped
    }

    /// Whether the token limit is reached, so that the answer is complete even without an end marker from the server.
    pub fn is_at_limit(&self) -> bool {
        self.next_position() >= self.max_tokens
    }

    /// Accepts one token.
    ///
    /// # Errors
    /// The token does not belong to the current attempt, or is not at the next position. It is dropped and counted.
    pub fn accept_token(
        &mut self,
        attempt: u32,
        position: u32,
        token: &str,
    ) -> Result<(), DropReason> {
        let checked = self.check_piece(attempt, position, token);
        match checked {
            Ok(()) => self.tokens.push(token.to_string()),
            Err(reason) => self.dropped.count(reason),
        }
        checked
    }

    /// Checks at the end of a stream that the answer is complete; `counted` is the server's count of its tokens.
    ///
    /// # Errors
    /// The end does not belong to the current attempt, or the counts differ. The answer is then incomplete.
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

    fn check_piece(&self, attempt: u32, position: u32, token: &str) -> Result<(), DropReason> {
        let expected = self.next_position();
        if attempt != self.attempt {
            return Err(DropReason::OtherAttempt { attempt, current: self.attempt });
        }
        if let Some(accepted) = self.tokens.get(position as usize) {
            if accepted != token {
                return Err(DropReason::Conflict { position });
            }
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
