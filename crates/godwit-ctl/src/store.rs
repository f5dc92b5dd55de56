//! Client of the platform's configuration objects and host list.

use godwit_platform::{Platform, PlatformSettings, WriteError};
use godwit_schema::platform::{ListedHost, ObjectHead, ObjectReply};
use serde_json::Value;

use crate::error::CtlError;

/// Timeout of one call to the platform.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Why a write is not known to have taken effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WriteFailure {
    /// The object has a different version than expected.
    Conflict,
    /// The platform could not be reached or refused the write, so that nothing was written.
    NotWritten(String),
    /// The write may have taken effect or may still do so.
    Unknown(String),
}

/// Access to the platform's configuration objects and host list.
pub(crate) struct Store {
    platform: Platform,
}

fn platform_unavailable(error: impl std::fmt::Display) -> CtlError {
    CtlError::PlatformUnavailable(error.to_string())
}

impl Store {
    pub(crate) fn new(address: &str) -> Store {
        let settings =
            PlatformSettings { call_timeout_ms: CALL_TIMEOUT_MS, ..PlatformSettings::default() };
        Store { platform: Platform::new(address, settings) }
    }

    pub(crate) fn read(&self, name: &str) -> Result<Option<ObjectReply>, CtlError> {
        self.platform.read(name).map_err(platform_unavailable)
    }

    pub(crate) fn list(&self, prefix: &str) -> Result<Vec<ObjectHead>, CtlError> {
        self.platform.list(prefix).map(|reply| reply.objects).map_err(platform_unavailable)
    }

    pub(crate) fn hosts(&self) -> Result<Vec<ListedHost>, CtlError> {
        self.platform.hosts().map(|reply| reply.hosts).map_err(platform_unavailable)
    }

    pub(crate) fn write(
        &self,
        name: &str,
        if_version: u64,
        value: &Value,
    ) -> Result<u64, WriteFailure> {
        self.platform.write(name, if_version, value).map_err(|error| match error {
            WriteError::Conflict { .. } => WriteFailure::Conflict,
            WriteError::Unknown { reason } => WriteFailure::Unknown(reason),
            other => WriteFailure::NotWritten(other.to_string()),
        })
    }
}
