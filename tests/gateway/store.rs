//! A fake of the users' store: objects by kind, with revisions, watches and conditional writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{Message, serve_connections, write_response};

/// Maximum wait of a watch, as on the users' platform.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// How long a watch hangs if a test asks for it; longer than any step of a test.
const HANG_DURATION: Duration = Duration::from_secs(60);

/// Size from which a page of a list is complete, in bytes, as on the users' platform.
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Objects {
    revision: u64,
    by_key: BTreeMap<(String, String), Value>,
    changes: Vec<(u64, String, Value)>,
    /// Number of watches that will hang, by kind.
    hanging_watches: BTreeMap<String, usize>,
    /// Number of calls so far.
    calls: usize,
    /// Writes that happen once the first page of a list of the kind was read: the kind, the name and the content.
    after_first_page: Vec<(String, String, Value)>,
    /// Contents that are sent byte for byte, each in place of its [`raw_mark`].
    raw: Vec<Vec<u8>>,
}

/// Stands in an object for the content of this number.
fn raw_mark(number: usize) -> String {
    format!("content {number} of another writer")
}

/// Addresses at which one host reaches the servers, by their ids.
pub(crate) type ServerAddresses = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// The fake store; clones share its objects.
#[derive(Clone)]
pub(crate) struct FakeStore {
    pub(crate) address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl FakeStore {
    pub(crate) fn start() -> FakeStore {
        let objects: Arc<(Mutex<Objects>, Condvar)> = Arc::default();
        let shared = objects.clone();
        let address = serve_connections(move |request, stream| {
            let (status, body) = handle_request(&shared, request);
            write_response(stream, status, &[], &encode(&shared, &body))
        });
        FakeStore { address, objects }
    }

    /// Returns another address of the store, at which the entries of the servers have the given addresses.
    pub(crate) fn with_server_addresses(&self, addresses: &ServerAddresses) -> SocketAddr {
        let addresses = addresses.clone();
        let objects = self.objects.clone();
        serve_connections(move |request, stream| {
            let (status, mut body) = handle_request(&objects, request);
            replace_addresses(&mut body, &addresses.lock().expect("no panic"));
            write_response(stream, status, &[], &encode(&objects, &body))
        })
    }

    pub(crate) fn put(&self, kind: &str, name: &str, specification: Value) {
        let (objects, changed) = &*self.objects;
        objects.lock().expect("no panic").write(kind, name, specification);
        changed.notify_all();
    }

    /// Stores an object whose content is sent byte for byte, whatever it is.
    pub(crate) fn put_raw(&self, kind: &str, name: &str, content: Vec<u8>) {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().expect("no panic");
        objects.raw.push(content);
        let mark = raw_mark(objects.raw.len() - 1);
        objects.write(kind, name, json!(mark));
        changed.notify_all();
    }

    /// Stores an object as soon as the first page of a list of its kind, which must have several, was read.
    pub(crate) fn put_after_first_page(&self, kind: &str, name: &str, specification: Value) {
        let mut objects = self.objects.0.lock().expect("no panic");
        objects.after_first_page.push((kind.to_string(), name.to_string(), specification));
    }

    /// Makes the next `count` watches of a kind hang without a response.
    pub(crate) fn hang_next_watches(&self, kind: &str, count: usize) {
        self.objects.0.lock().expect("no panic").hanging_watches.insert(kind.to_string(), count);
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> usize {
        self.objects.0.lock().expect("no panic").calls
    }

    /// Returns the content of an object.
    pub(crate) fn specification(&self, kind: &str, name: &str) -> Option<Value> {
        let objects = self.objects.0.lock().expect("no panic");
        let object = objects.by_key.get(&(kind.to_string(), name.to_string()))?;
        object.get("Specification").cloned()
    }

    /// Returns how many watches of a kind are still to hang.
    pub(crate) fn remaining_hanging_watches(&self, kind: &str) -> usize {
        let objects = self.objects.0.lock().expect("no panic");
        objects.hanging_watches.get(kind).copied().unwrap_or(0)
    }

    /// Returns the revision of the last change of an object.
    pub(crate) fn revision(&self, kind: &str, name: &str) -> Option<u64> {
        let objects = self.objects.0.lock().expect("no panic");
        let object = objects.by_key.get(&(kind.to_string(), name.to_string()))?;
        object.pointer("/Metadata/Revision")?.as_u64()
    }

    pub(crate) fn remove(&self, kind: &str, name: &str) {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().expect("no panic");
        objects.revision += 1;
        let removed = objects.by_key.remove(&(kind.to_string(), name.to_string()));
        let event = json!({"Removed": true, "Object": removed.expect("the object exists")});
        let revision = objects.revision;
        objects.changes.push((revision, kind.to_string(), event));
        changed.notify_all();
    }
}

impl Objects {
    fn write_after_first_page(&mut self, kind: &str) {
        let (due, later) = std::mem::take(&mut self.after_first_page)
            .into_iter()
            .partition(|(of_kind, _, _)| of_kind == kind);
        self.after_first_page = later;
        for (kind, name, specification) in due {
            self.write(&kind, &name, specification);
        }
    }

    /// Returns the content of an object that is sent byte for byte.
    fn raw_content(&self, object: &Value) -> Option<&Vec<u8>> {
        let mark = object["Specification"].as_str()?;
        let mut contents = self.raw.iter().enumerate();
        contents.find(|(number, _)| raw_mark(*number) == mark).map(|(_, content)| content)
    }

    /// Stores an object under a new revision and records the change for watches.
    fn write(&mut self, kind: &str, name: &str, specification: Value) -> Value {
        self.revision += 1;
        let metadata = json!({"Name": name, "Revision": self.revision, "Finalizers": []});
        let object = json!({"Metadata": metadata, "Specification": specification, "Status": null});
        self.by_key.insert((kind.to_string(), name.to_string()), object.clone());
        let event = json!({"Removed": false, "Object": object});
        self.changes.push((self.revision, kind.to_string(), event));
        object
    }
}

/// Returns the numeric query parameter `name` of a request target.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let (_, parameters) = target.split_once('?')?;
    let value = parameters.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
    value.parse().ok()
}

/// Replaces the addresses of servers in the body of a response.
fn replace_addresses(body: &mut Value, addresses: &BTreeMap<String, SocketAddr>) {
    match body {
        Value::Array(items) => items.iter_mut().for_each(|item| replace_addresses(item, addresses)),
        Value::Object(_) => {
            let name = body.pointer("/Metadata/Name").and_then(Value::as_str);
            let address = name.and_then(|name| addresses.get(name)).copied();
            if let Some(address) = address {
                body["Specification"]["Address"] = json!(address.to_string());
            } else if let Value::Object(fields) = body {
                fields.values_mut().for_each(|field| replace_addresses(field, addresses));
            }
        }
        _ => {}
    }
}

/// Encodes the body of a response.
fn encode(objects: &(Mutex<Objects>, Condvar), body: &Value) -> Vec<u8> {
    let text = body.to_string();
    let objects = objects.0.lock().expect("no panic");
    let mut rest = text.as_str();
    let mut encoded = Vec::new();
    while let Some((number, at, length)) = first_mark(rest, objects.raw.len()) {
        encoded.extend_from_slice(&rest.as_bytes()[..at]);
        encoded.extend_from_slice(&objects.raw[number]);
        rest = &rest[at + length..];
    }
    encoded.extend_from_slice(rest.as_bytes());
    encoded
}

/// Returns the first mark in a text: its number, position and length.
fn first_mark(text: &str, count: usize) -> Option<(usize, usize, usize)> {
    let marks = (0..count).map(|number| (number, json!(raw_mark(number)).to_string()));
    let found = marks.filter_map(|(number, mark)| Some((number, text.find(&mark)?, mark.len())));
    found.min_by_key(|(_, at, _)| *at)
}

/// Handles a call and returns the status and body of its response.
fn handle_request(objects: &(Mutex<Objects>, Condvar), request: &Message) -> (u16, Value) {
    objects.0.lock().expect("no panic").calls += 1;
    let target = request.start_line_part(1);
    let path = target.split('?').next().unwrap_or_default();
    let mut parts = path.trim_start_matches("/api/objects/").split('/');
    let kind = parts.next().unwrap_or_default();
    match (request.start_line_part(0), parts.next()) {
        ("GET", None) => match query_number(target, "Watch") {
            Some(revision) => (200, watch(objects, kind, revision, query_number(target, "WaitMs"))),
            None => {
                let mut objects = objects.0.lock().expect("no panic");
                let page = list(&objects, kind, after_name(target));
                if page["HasMore"] == true {
                    objects.write_after_first_page(kind);
                }
                (200, page)
            }
        },
        (method, Some(name)) => write(objects, method, kind, name, &request.body),
        _ => (400, Value::Null),
    }
}

/// Lists the objects of a kind after a name, up to the size of a page.
fn list(objects: &Objects, kind: &str, after: &str) -> Value {
    let of_kind = objects.by_key.iter();
    let of_kind = of_kind
        .filter(|((object_kind, name), _)| object_kind == kind && name.as_str() > after)
        .map(|(_, object)| object);
    let mut bytes = 0;
    let mut items = Vec::new();
    let mut rest = of_kind.peekable();
    while let Some(object) = rest.next_if(|_| bytes < PAGE_BYTES) {
        bytes += objects.raw_content(object).map_or(0, Vec::len) + object.to_string().len();
        items.push(object);
    }
    json!({"Items": items, "HasMore": rest.peek().is_some(), "At": objects.revision})
}

/// Returns the name after which a list is to start; empty if it starts with the first object.
fn after_name(target: &str) -> &str {
    let parameters = target.split_once('?').map_or("", |(_, parameters)| parameters);
    parameters.split('&').find_map(|pair| pair.strip_prefix("After=")).unwrap_or_default()
}

/// Waits until objects of a kind have changed since `revision`, and returns the changes.
fn watch(
    (objects, changed): &(Mutex<Objects>, Condvar),
    kind: &str,
    revision: u64,
    wait_ms: Option<u64>,
) -> Value {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WATCH_WAIT);
    let has_no_changes = |objects: &mut Objects| {
        !objects.changes.iter().any(|(at, changed_kind, _)| *at > revision && changed_kind == kind)
    };
    let mut guard = objects.lock().expect("no panic");
    if let Some(remaining) = guard.hanging_watches.get_mut(kind).filter(|remaining| **remaining > 0)
    {
        *remaining -= 1;
        drop(guard);
        std::thread::sleep(HANG_DURATION);
        return json!({"events": [], "At": revision});
    }
    let (objects, _) = changed.wait_timeout_while(guard, wait, has_no_changes).expect("no panic");
    let events = objects
        .changes
        .iter()
        .filter(|(at, changed_kind, _)| *at > revision && changed_kind == kind);
    let events: Vec<&Value> = events.map(|(_, _, event)| event).collect();
    json!({"events": events, "At": objects.revision})
}

/// Handles a request for one object. A `POST` conflicts with an existing object; another write conflicts if its body
/// names a revision other than the current one.
fn write(
    (objects, changed): &(Mutex<Objects>, Condvar),
    method: &str,
    kind: &str,
    name: &str,
    body: &[u8],
) -> (u16, Value) {
    let mut objects = objects.lock().expect("no panic");
    let key = (kind.to_string(), name.to_string());
    let existing = objects.by_key.get(&key).cloned();
    if method == "GET" {
        return existing.map_or((404, Value::Null), |object| (200, object));
    }
    let body: Value = serde_json::from_slice(body).expect("a written object is JSON");
    let expected = body.pointer("/Metadata/Revision").and_then(Value::as_u64);
    let revision =
        existing.as_ref().and_then(|object| object.pointer("/Metadata/Revision")?.as_u64());
    if let Some(object) = existing {
        let is_conflict = method == "POST" || expected.is_some_and(|at| Some(at) != revision);
        if is_conflict {
            return (409, object);
        }
    }
    let object = objects.write(kind, name, body["Specification"].clone());
    changed.notify_all();
    (200, object)
}
