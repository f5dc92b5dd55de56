//! Client of the platform's configuration objects and host list.

use std::io::Read;

use godwit_adapter::{CONFIGURATION_KIND, CONFIGURATION_NAME, decode_object, object_path};
use godwit_platform::{Platform, PlatformSettings, WriteError};
use godwit_schema::platform::{ListedHost, ObjectHead, ObjectReply};
use serde_json::Value;

use crate::error::CtlError;

/// Timeout of one call to the platform, in seconds.
const CALL_TIMEOUT_S: u64 = 5;

/// The same in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000 * CALL_TIMEOUT_S;

const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;

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
    address: String,
}

fn platform_unavailable(error: impl std::fmt::Display) -> CtlError {
    CtlError::PlatformUnavailable(error.to_string())
}

impl Store {
    pub(crate) fn new(address: &str) -> Store {
        let settings =
            PlatformSettings { call_timeout_ms: CALL_TIMEOUT_MS, ..PlatformSettings::default() };
        Store { platform: Platform::new(address, settings), address: address.to_string() }
    }

    /// Reads the specification of the configuration in force from the store of the users' platform, `max_bytes` at most;
    /// none if there is no configuration.
    pub(crate) fn read_site_configuration(
        &self,
        max_bytes: usize,
    ) -> Result<Option<Value>, CtlError> {
        let path = object_path(CONFIGURATION_KIND, CONFIGURATION_NAME);
        let request = minreq::get(format!("http://{}{path}", self.address));
        let response = request.with_timeout(CALL_TIMEOUT_S).with_follow_redirects(false);
        let mut response = response.send_lazy().map_err(platform_unavailable)?;
        match response.status_code {
            STATUS_OK => {}
            STATUS_NOT_FOUND => return Ok(None),
            status => return Err(platform_unavailable(format!("status {status}"))),
        }
        let mut body = Vec::new();
        let mut bounded = response.by_ref().take(max_bytes as u64 + 1);
        bounded.read_to_end(&mut body).map_err(platform_unavailable)?;
        if body.len() > max_bytes {
            return Err(CtlError::Failed(format!("`{path}` is longer than {max_bytes} bytes")));
        }
        let unreadable = |reason| CtlError::Failed(format!("`{path}` cannot be read: {reason}"));
        let object = decode_object(&body).map_err(|error| unreadable(error.to_string()))?;
        object.specification.map(Some).ok_or_else(|| unreadable("it is no JSON".to_string()))
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
