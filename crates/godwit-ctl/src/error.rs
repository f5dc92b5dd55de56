//! The one error of the command; each variant has its exit code.

use godwit_core::config::Finding;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// Something went wrong that no other variant names.
    #[error("{0}")]
    Failed(String),
    /// The object was changed since it was read.
    #[error(
        "`{object}` was changed: read at version {read_version}, now at {current_version}; nothing was written\n{difference}"
    )]
    VersionConflict {
        /// Name of the object.
        object: String,
        /// Version at which it was read.
        read_version: u64,
        /// Version that is current.
        current_version: u64,
        /// What the current value has otherwise than the one to be written.
        difference: String,
    },
    /// The configuration is wrong.
    #[error("`{object}` is wrong; nothing was written\n{}", lines(findings))]
    InvalidConfiguration {
        /// Name of the object.
        object: String,
        /// All findings.
        findings: Vec<Finding>,
    },
    /// The platform does not answer.
    #[error("the platform does not answer: {0}; nothing was written")]
    PlatformUnavailable(String),
    /// The platform's answer to a write was lost.
    #[error(
        "the answer to the write of `{object}` was lost: {message}; read it back with `godwitctl get {object}`"
    )]
    WriteOutcomeUnknown {
        /// Name of the object.
        object: String,
        /// What went wrong.
        message: String,
    },
    /// There is nothing with this name.
    #[error("there is no {what} `{name}`")]
    NotFound {
        /// What was looked for.
        what: &'static str,
        /// Its name.
        name: String,
    },
}

fn lines(findings: &[Finding]) -> String {
    let line = |finding: &Finding| format!("  {}: {}", finding.path, finding.message);
    findings.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl CtlError {
    /// Exit code of the command.
    ///
    /// ```
    /// assert_eq!(godwit_ctl::CtlError::Failed("x".to_string()).exit_code(), 1);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Failed(_) => 1,
            CtlError::VersionConflict { .. } => 3,
            CtlError::InvalidConfiguration { .. } => 4,
            CtlError::PlatformUnavailable(_) => 5,
            CtlError::WriteOutcomeUnknown { .. } => 6,
            CtlError::NotFound { .. } => 7,
        }
    }
}

impl From<std::io::Error> for CtlError {
    fn from(error: std::io::Error) -> CtlError {
        CtlError::Failed(error.to_string())
    }
}

impl From<serde_json::Error> for CtlError {
    fn from(error: serde_json::Error) -> CtlError {
        CtlError::Failed(error.to_string())
    }
}

impl From<godwit_operator::OperatorError> for CtlError {
    fn from(error: godwit_operator::OperatorError) -> CtlError {
        CtlError::Failed(error.to_string())
    }
}

impl From<godwit_standin::StandinError> for CtlError {
    fn from(error: godwit_standin::StandinError) -> CtlError {
        CtlError::Failed(error.to_string())
    }
}
