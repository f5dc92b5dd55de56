//! Decodes lists entry by entry, so that an entry that cannot be read does not hide the others.
//!
//! Other writers share the store. Their entries may be nested beyond the limit of the parser, hold numbers that no
//! field can, or text that is no Unicode.

use std::borrow::Cow;

use godwit_schema::platform::{
    HostListReply, ListReply, ListedHost, ObjectHead, ObjectReply, WatchReply,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::error::ReadError;

/// Version of a listed object whose version cannot be read.
const UNKNOWN_VERSION: u64 = 0;

#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(default, borrow)]
    objects: Vec<&'a RawValue>,
    revision: u64,
}

#[derive(Deserialize)]
struct RawWatch<'a> {
    #[serde(default, borrow)]
    changes: Vec<&'a RawValue>,
    revision: u64,
}

#[derive(Deserialize)]
struct RawHosts<'a> {
    as_of_unix_ms: u64,
    #[serde(default, borrow)]
    hosts: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

/// A decoded reply and the number of its entries that cannot be read.
pub(crate) struct Decoded<T> {
    pub(crate) reply: T,
    pub(crate) unreadable: usize,
}

/// Decodes a listing. An object whose version cannot be read is kept with version 0, so that it does not count as
/// deleted.
pub(crate) fn list(body: &[u8]) -> Result<Decoded<ListReply>, ReadError> {
    let body = text(body);
    let raw: RawList<'_> = parse(&body)?;
    let named = |entry: &RawValue| {
        let named = read_entry::<Named>(entry);
        named.map(|named| ObjectHead { name: named.name, version: UNKNOWN_VERSION })
    };
    let heads: Vec<Result<ObjectHead, Option<ObjectHead>>> =
        raw.objects.iter().map(|entry| read_entry(entry).ok_or_else(|| named(entry))).collect();
    let unreadable = heads.iter().filter(|head| head.is_err()).count();
    let objects = heads.into_iter().filter_map(|head| head.map_or_else(|named| named, Some));
    let reply = ListReply { objects: objects.collect(), revision: raw.revision };
    Ok(Decoded { reply, unreadable })
}

/// Decodes the answer to a watch.
pub(crate) fn watch(body: &[u8]) -> Result<Decoded<WatchReply>, ReadError> {
    let body = text(body);
    let raw: RawWatch<'_> = parse(&body)?;
    let changes: Vec<ObjectHead> =
        raw.changes.iter().filter_map(|entry| read_entry(entry)).collect();
    let unreadable = raw.changes.len() - changes.len();
    Ok(Decoded { reply: WatchReply { changes, revision: raw.revision }, unreadable })
}

/// A host list with the names of the hosts whose entries cannot be read.
pub(crate) struct HostEntries {
    pub(crate) list: HostListReply,
    pub(crate) unreadable_names: Vec<String>,
}

/// Decodes the host list.
pub(crate) fn hosts(body: &[u8]) -> Result<Decoded<HostEntries>, ReadError> {
    let body = text(body);
    let raw: RawHosts<'_> = parse(&body)?;
    let entries: Vec<Result<ListedHost, Option<Named>>> =
        raw.hosts.iter().map(|entry| read_entry(entry).ok_or_else(|| read_entry(entry))).collect();
    let unreadable = entries.iter().filter(|entry| entry.is_err()).count();
    let mut hosts = Vec::new();
    let mut unreadable_names = Vec::new();
    for entry in entries {
        match entry {
            Ok(host) => hosts.push(host),
            Err(named) => unreadable_names.extend(named.map(|named| named.name)),
        }
    }
    let list = HostListReply { as_of_unix_ms: raw.as_of_unix_ms, hosts };
    Ok(Decoded { reply: HostEntries { list, unreadable_names }, unreadable })
}

/// Decodes an object. One whose value cannot be read is told apart from a reply that cannot.
pub(crate) fn object(body: &[u8]) -> Result<Decoded<ObjectReply>, ReadError> {
    let error = match serde_json::from_slice::<ObjectReply>(body) {
        Ok(reply) => return Ok(Decoded { reply, unreadable: 0 }),
        Err(error) => error,
    };
    // The value is skipped, for which the limits of the parser do not count.
    match serde_json::from_slice::<ObjectHead>(body) {
        Ok(head) => Err(ReadError::Unreadable { version: head.version, reason: error.to_string() }),
        Err(_) => Err(bad_answer(&error)),
    }
}

/// Decodes a reply without entries of other writers.
pub(crate) fn whole<T: DeserializeOwned>(body: &[u8]) -> Result<Decoded<T>, ReadError> {
    let reply = serde_json::from_slice(body).map_err(|error| bad_answer(&error))?;
    Ok(Decoded { reply, unreadable: 0 })
}

/// Replaces what is no Unicode; no object of ours has such a name.
fn text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}

fn parse<'a, T: Deserialize<'a>>(body: &'a str) -> Result<T, ReadError> {
    serde_json::from_str(body).map_err(|error| bad_answer(&error))
}

fn read_entry<T: DeserializeOwned>(entry: &RawValue) -> Option<T> {
    serde_json::from_str(entry.get()).ok()
}

fn bad_answer(error: &serde_json::Error) -> ReadError {
    ReadError::BadAnswer { reason: error.to_string() }
}
