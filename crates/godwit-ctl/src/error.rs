//! Error type of the commands, with an exit code for each variant.

use godwit_core::config::Finding;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A failure that no other variant describes.
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
        /// Current version of the object.
        current_version: u64,
        /// Difference from the current value to the value to be written, as a unified diff.
        difference: String,
    },
    /// The configuration check found errors.
    #[error("`{object}` is invalid; nothing was written\n{}", lines(findings))]
    InvalidConfiguration {
        /// Name of the object.
        object: String,
        /// Errors that the check found.
        findings: Vec<Finding>,
    },
    /// The check of a file found no errors, but warnings.
    #[error("`{file}` has {warnings} warnings; hosts read it as a whole")]
    QuestionableFile {
        /// The file.
        file: String,
        /// Number of warnings.
        warnings: usize,
    },
    /// The check of a file found errors.
    #[error(
        "`{file}` has {errors} errors and {warnings} warnings; mend the errors before it is sent"
    )]
    UnsoundFile {
        /// The file.
        file: String,
        /// Number of errors.
        errors: usize,
        /// Number of warnings.
        warnings: usize,
    },
    /// The platform did not respond or refused a call.
    #[error("the platform is unavailable: {0}; nothing was written")]
    PlatformUnavailable(String),
    /// The platform's response to a write was lost, so that the write may or may not have taken effect.
    #[error(
        "the response to the write of `{object}` was lost: {message}; read it back with `godwitctl get {object}`"
    )]
    WriteOutcomeUnknown {
        /// Name of the object.
        object: String,
        /// Cause of the failure.
        message: String,
    },
    /// No item of this type has the given name.
    #[error("there is no {what} `{name}`")]
    NotFound {
        /// Type of the item, such as `workspace` or `rule`.
        what: &'static str,
        /// Name of the item.
        name: String,
    },
}

fn lines(findings: &[Finding]) -> String {
    let line = |finding: &Finding| format!("  {}: {}", finding.path, finding.message);
    findings.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl CtlError {
    /// Returns the exit code for the error.
    ///
    /// ```
    /// assert_eq!(godwit_ctl::CtlError::Failed("x".to_string()).exit_code(), 1);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Failed(_) | CtlError::QuestionableFile { .. } => 1,
            CtlError::UnsoundFile { .. } => 2,
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
