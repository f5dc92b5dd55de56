//! Blocking client of the platform.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use godwit_core::UnixMs;
use godwit_core::store_budget::{CallClass, CallRate, StoreBudget, StoreBudgetLimits};
use godwit_schema::platform::{
    ConflictReply, HostListReply, ListReply, ListedHost, ObjectReply, WatchReply, WriteReply,
};
use metrics::{counter, gauge};
use minreq::{Request, Response};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::entries::{self, Decoded, HostEntries};
use crate::error::{ReadError, WriteError};
use crate::http::{CallError, percent_encode, send};

const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_REQUEST_TIMEOUT: u16 = 408;
const STATUS_CONFLICT: u16 = 409;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const FIRST_SERVER_ERROR: u16 = 500;

const MS_PER_S: u64 = 1_000;

/// Delay after status 429 without a `Retry-After`.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Settings of the platform client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Timeout of a call; the wait time of a watch is added to it.
    pub call_timeout_ms: u64,
    /// Rate limits on the calls of this host.
    pub budget: StoreBudgetLimits,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        PlatformSettings { call_timeout_ms: 1_000, budget: StoreBudgetLimits::default() }
    }
}

/// Client of the platform. Clones share one call budget; each has its own call class.
///
/// ```
/// use godwit_core::store_budget::CallClass;
/// use godwit_platform::{Platform, PlatformSettings, WriteError};
/// let platform = Platform::new("127.0.0.1:1", PlatformSettings::default());
/// let claims = platform.with_class(CallClass::Confirmation);
/// let error = claims.write("status/h1", 0, &serde_json::json!({})).unwrap_err();
/// assert!(matches!(error, WriteError::NotSent { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Platform {
    base_url: Arc<str>,
    call_timeout_ms: u64,
    class: CallClass,
    budget: Arc<Mutex<StoreBudget>>,
    /// Number of unreadable entries in the last reply of each kind.
    unreadable: Arc<Mutex<BTreeMap<&'static str, usize>>>,
    /// Hosts of the last host list, by name.
    known_hosts: Arc<Mutex<BTreeMap<String, ListedHost>>>,
}

impl Platform {
    /// Creates a client of the platform at `address` (`IP:PORT`).
    pub fn new(address: &str, settings: PlatformSettings) -> Platform {
        Platform {
            base_url: format!("http://{address}").into(),
            call_timeout_ms: settings.call_timeout_ms,
            class: CallClass::Other,
            budget: Arc::new(Mutex::new(StoreBudget::new(settings.budget, now()))),
            unreadable: Arc::default(),
            known_hosts: Arc::default(),
        }
    }

    /// Returns a clone whose calls belong to another class.
    pub fn with_class(&self, class: CallClass) -> Platform {
        Platform { class, ..self.clone() }
    }

    /// Returns a clone with another call timeout.
    pub fn with_call_timeout_ms(&self, call_timeout_ms: u64) -> Platform {
        Platform { call_timeout_ms, ..self.clone() }
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// [`ReadError::Unreadable`] when the object exists but its value cannot be read.
    pub fn read(&self, name: &str) -> Result<Option<ObjectReply>, ReadError> {
        let path = format!("/objects/{}", percent_encode(name));
        match self.get("read", &path, self.call_timeout_ms, entries::object) {
            Ok(reply) => Ok(Some(reply)),
            Err(ReadError::Refused { status: STATUS_NOT_FOUND }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Lists the objects whose names start with `prefix`, without their values. An object whose name cannot be read is left
    /// out; one whose version cannot be read has version 0.
    pub fn list(&self, prefix: &str) -> Result<ListReply, ReadError> {
        let path = format!("/objects?prefix={}", percent_encode(prefix));
        self.get("list", &path, self.call_timeout_ms, entries::list)
    }

    /// Waits up to `wait_ms` for changes after revision `after` to objects whose names start with `prefix`. Changes that
    /// cannot be read are left out.
    pub fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<WatchReply, ReadError> {
        let prefix = percent_encode(prefix);
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.get("watch", &path, self.call_timeout_ms.saturating_add(wait_ms), entries::watch)
    }

    /// Returns the host list, which can be out of date. A host whose entry cannot be read is listed with the last entry that
    /// could, and left out if there is none.
    pub fn hosts(&self) -> Result<HostListReply, ReadError> {
        let entries = self.get("hosts", "/hosts", self.call_timeout_ms, entries::hosts)?;
        let HostEntries { mut list, unreadable_names } = entries;
        let mut known = self.known_hosts.lock().unwrap_or_else(PoisonError::into_inner);
        list.hosts.extend(unreadable_names.iter().filter_map(|name| known.get(name)).cloned());
        *known = list.hosts.iter().map(|host| (host.name.clone(), host.clone())).collect();
        Ok(list)
    }

    /// Looks up the weights of a model or adapter in the weight store.
    pub fn weights(&self, name: &str) -> Result<Value, ReadError> {
        let path = format!("/weights/{}", percent_encode(name));
        self.get("weights", &path, self.call_timeout_ms, entries::whole)
    }

    /// Writes an object if its current version is `if_version` (0: if it does not exist); returns its new version.
    pub fn write(&self, name: &str, if_version: u64, value: &Value) -> Result<u64, WriteError> {
        let url = self.object_url(name, if_version);
        let request = minreq::put(url)
            .with_header("Content-Type", "application/json")
            .with_body(value.to_string());
        self.update("write", request)
    }

    /// Deletes an object if its current version is `if_version`; returns the version of the deletion.
    pub fn delete(&self, name: &str, if_version: u64) -> Result<u64, WriteError> {
        self.update("delete", minreq::delete(self.object_url(name, if_version)))
    }

    fn object_url(&self, name: &str, if_version: u64) -> String {
        format!("{}/objects/{}?if_version={if_version}", self.base_url, percent_encode(name))
    }

    fn get<T>(
        &self,
        kind: &'static str,
        path: &str,
        timeout_ms: u64,
        decode: fn(&[u8]) -> Result<Decoded<T>, ReadError>,
    ) -> Result<T, ReadError> {
        let result = self.get_without_metrics(path, timeout_ms, decode);
        count(kind, result.as_ref().err().map_or("ok", read_error_label));
        let Decoded { reply, unreadable } = result?;
        self.record_unreadable(kind, unreadable);
        Ok(reply)
    }

    fn get_without_metrics<T>(
        &self,
        path: &str,
        timeout_ms: u64,
        decode: fn(&[u8]) -> Result<Decoded<T>, ReadError>,
    ) -> Result<Decoded<T>, ReadError> {
        self.spend(CallRate::Read).map_err(|retry_at| ReadError::Limited { retry_at })?;
        let response = send(minreq::get(format!("{}{path}", self.base_url)), timeout_ms)
            .map_err(|error| ReadError::NoAnswer { reason: error.into_reason() })?;
        match response.status_code {
            STATUS_OK => decode(response.as_bytes()),
            STATUS_TOO_MANY_REQUESTS => Err(ReadError::Limited { retry_at: retry_at(&response) }),
            status if status >= FIRST_SERVER_ERROR => {
                Err(ReadError::NoAnswer { reason: format!("status {status}") })
            }
            status => Err(ReadError::Refused { status }),
        }
    }

    /// Logs the number of unreadable entries in replies of a kind when it changes.
    fn record_unreadable(&self, kind: &'static str, unreadable: usize) {
        let mut last = self.unreadable.lock().unwrap_or_else(PoisonError::into_inner);
        if last.insert(kind, unreadable).unwrap_or_default() == unreadable {
            return;
        }
        gauge!("godwit_platform_unreadable_entries", "kind" => kind).set(unreadable as f64);
        tracing::warn!(event = "platform_entries_unreadable", kind, entries = unreadable);
    }

    fn update(&self, kind: &'static str, request: Request) -> Result<u64, WriteError> {
        let result = self.update_without_metrics(request);
        count(kind, result.as_ref().err().map_or("ok", write_error_label));
        result
    }

    fn update_without_metrics(&self, request: Request) -> Result<u64, WriteError> {
        self.spend(CallRate::Write).map_err(|retry_at| WriteError::Limited { retry_at })?;
        let response = send(request, self.call_timeout_ms).map_err(|error| match error {
            CallError::NotSent(reason) => WriteError::NotSent { reason },
            CallError::NoAnswer(reason) => WriteError::Unknown { reason },
        })?;
        match response.status_code {
            STATUS_OK => written_version(&response),
            STATUS_CONFLICT => Err(WriteError::Conflict { current: conflict_version(&response) }),
            STATUS_NOT_FOUND => Err(WriteError::Conflict { current: 0 }),
            STATUS_TOO_MANY_REQUESTS => Err(WriteError::Limited { retry_at: retry_at(&response) }),
            status if is_refusal(status) => Err(WriteError::Refused { status }),
            status => Err(WriteError::Unknown { reason: format!("status {status}") }),
        }
    }

    fn spend(&self, rate: CallRate) -> Result<(), UnixMs> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(rate, self.class, now()).map_err(|over| over.retry_at)
    }
}

/// Returns whether the platform itself refused the call. Status 408 can come from an intermediary and proves nothing.
fn is_refusal(status: u16) -> bool {
    status != STATUS_REQUEST_TIMEOUT && (400..FIRST_SERVER_ERROR).contains(&status)
}

fn written_version(response: &Response) -> Result<u64, WriteError> {
    let reply: WriteReply = parse(response).map_err(|reason| WriteError::Unknown { reason })?;
    Ok(reply.version)
}

/// Returns the current version reported by a conflict, 0 if it cannot be parsed. The version is only a hint: the object
/// is read again before the next attempt.
fn conflict_version(response: &Response) -> u64 {
    parse::<ConflictReply>(response).map_or(0, |reply| reply.version)
}

fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, String> {
    serde_json::from_slice(response.as_bytes()).map_err(|error| error.to_string())
}

fn retry_at(response: &Response) -> UnixMs {
    let header = response.header("retry-after").and_then(|value| value.trim().parse::<u64>().ok());
    let delay_ms =
        header.map_or(DEFAULT_RETRY_AFTER_MS, |seconds| seconds.saturating_mul(MS_PER_S));
    now().plus_ms(delay_ms)
}

fn now() -> UnixMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn count(kind: &'static str, result: &'static str) {
    counter!("godwit_platform_calls_total", "kind" => kind, "result" => result).increment(1);
}

fn read_error_label(error: &ReadError) -> &'static str {
    match error {
        ReadError::NoAnswer { .. } => "no_answer",
        ReadError::Limited { .. } => "limited",
        ReadError::Refused { status: STATUS_NOT_FOUND } => "absent",
        ReadError::Refused { .. } => "refused",
        ReadError::Unreadable { .. } => "unreadable",
        ReadError::BadAnswer { .. } => "bad_answer",
    }
}

fn write_error_label(error: &WriteError) -> &'static str {
    match error {
        WriteError::Conflict { .. } => "conflict",
        WriteError::NotSent { .. } => "not_sent",
        WriteError::Unknown { .. } => "unknown",
        WriteError::Limited { .. } => "limited",
        WriteError::Refused { .. } => "refused",
    }
}
