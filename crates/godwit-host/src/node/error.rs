//! Error of the start of an entry host.

use thiserror::Error;

/// Reason why an entry host could not be started.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] crate::settings::SettingsError),
    /// The server for callers cannot listen on its address.
    #[error(transparent)]
    Caller(#[from] godwit_caller::CallerError),
    /// The server for operators cannot listen on its address.
    #[error(transparent)]
    Operator(#[from] godwit_operator::OperatorError),
    /// The peer protocol cannot listen on its address, or another component or a thread cannot be started.
    #[error("cannot start {component}: {source}")]
    Component {
        /// Component or thread that could not be started.
        component: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Returns a function that adds the name of a component to an I/O error.
pub(super) fn start_error(component: &'static str) -> impl Fn(std::io::Error) -> NodeError {
    move |source| NodeError::Component { component, source }
}
