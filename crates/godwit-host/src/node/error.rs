//! Why an entry host could not be started.

use thiserror::Error;

/// Why an entry host could not be started.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] crate::settings::SettingsError),
    /// The address for callers cannot be listened on.
    #[error(transparent)]
    Caller(#[from] godwit_caller::CallerError),
    /// The address for operators cannot be listened on.
    #[error(transparent)]
    Operator(#[from] godwit_operator::OperatorError),
    /// The address for other hosts cannot be listened on, or no thread can be started.
    #[error("cannot start {part}: {source}")]
    Part {
        /// What was to be started.
        part: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Names the part in an error of the system.
pub(super) fn part(part: &'static str) -> impl Fn(std::io::Error) -> NodeError {
    move |source| NodeError::Part { part, source }
}
