//! A fake of the users' store: objects by kind, with revisions, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use crate::http::{Message, serve_connections, write_response};

/// Maximum wait of a watch, as on the users' platform.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// How long a watch hangs if a test asks for it; longer than any step of a test.
const HANG_DURATION: Duration = Duration::from_secs(60);

/// Longest wait of a watch that asks only for what has changed.
const QUICK_WATCH_WAIT: Duration = Duration::from_millis(1);

const STATUS_OK: u16 = 200;

/// Size from which a page of a list is complete, in bytes, as on the users' platform.
const PAGE_BYTES: usize = 1 << 20;

/// Length above which the target of a request is rejected, in bytes.
const MAX_TARGET_BYTES: usize = 8 << 10;

/// Header that names the era of the store in its answers.
const ERA_HEADER: &str = "Store-Era";

/// How the answers of the store name its era.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum EraHeader {
    #[default]
    Sent,
    Absent,
    Unreadable,
}

/// How the store reads names in paths and queries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum NameDecoding {
    /// As URLs and forms have it.
    #[default]
    Form,
    /// Byte for byte.
    Literal,
}

impl NameDecoding {
    fn decode(self, text: &str) -> String {
        match self {
            NameDecoding::Form => decode_form(text),
            NameDecoding::Literal => text.to_string(),
        }
    }
}

/// What the store holds, and returns to if it comes back from an older copy.
#[derive(Clone, Default)]
pub(crate) struct StoreCopy {
    revision: u64,
    by_key: BTreeMap<(String, String), Value>,
    changes: Vec<(u64, String, Value)>,
    /// Watches from revisions before this one are refused.
    history_from: u64,
}

/// What happens for a time to answers that the store gives at an address.
#[derive(Clone, Debug)]
pub(crate) enum AnswerFault {
    /// Watches of a kind that wait or begin in this time are never answered.
    HangWatches(&'static str),
    /// Answers due in this time are lost, and so is all that follows on their connections.
    Lose,
    /// Changes and listings of a kind that are due in this time are given later by a duration.
    Delay(&'static str, Duration),
    /// Lists of servers that are due in this time come empty behind this text, in which `LENGTH` stands for the length of the
    /// body.
    MalformServerLists(&'static str),
}

/// What becomes of an answer.
enum Fate {
    Given,
    Delayed(Duration),
    Lost,
    Malformed(&'static str),
}

impl StoreCopy {
    /// Returns the copy as if no object of a kind had ever been written, nor anything after the last object of another kind.
    pub(crate) fn without(mut self, kind: &str) -> StoreCopy {
        self.by_key.retain(|(of_kind, _), _| of_kind != kind);
        self.changes.retain(|(_, of_kind, _)| of_kind != kind);
        self.revision = self.changes.last().map_or(0, |(revision, _, _)| *revision);
        self
    }
}

#[derive(Default)]
struct Objects {
    held: StoreCopy,
    era: u64,
    era_header: EraHeader,
    name_decoding: NameDecoding,
    /// Whether connections end without an answer.
    is_away: bool,
    /// Number of watches that will hang, by kind.
    hanging_watches: BTreeMap<String, usize>,
    /// Number of calls so far.
    calls: usize,
    /// Writes that happen once the first page of a list of the kind was read: the kind, the name and the content.
    after_first_page: Vec<(String, String, Value)>,
    /// Contents that are sent byte for byte, each in place of its [`raw_mark`].
    raw: Vec<Vec<u8>>,
    /// The addresses of faults, and when the faults end.
    faults: Vec<(SocketAddr, AnswerFault, Instant)>,
    /// Number of answers that faults have lost or delayed.
    faulty_answers: usize,
}

/// Stands in an object for the content of this number.
fn raw_mark(number: usize) -> String {
    format!("content {number} of another writer")
}

/// Addresses at which one host reaches the servers, by their ids.
pub(crate) type ServerAddresses = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Answer of the store, with the text of its era header.
struct Answer {
    status: u16,
    body: Value,
    era: Option<String>,
}

impl Answer {
    /// Sends the answer to a call that began at a time, unless it is lost. Returns whether the connection is kept.
    fn send(
        &self,
        objects: &(Mutex<Objects>, Condvar),
        request: &Message,
        began_at: Instant,
        stream: &mut TcpStream,
    ) -> bool {
        let address = stream.local_addr().expect("a connected socket has an address");
        let fate = {
            let mut objects = objects.0.lock().expect("no panic");
            let fate = objects.fate(address, request, began_at, self.status);
            objects.faulty_answers += usize::from(!matches!(fate, Fate::Given));
            fate
        };
        match fate {
            Fate::Given => {}
            Fate::Delayed(delay) => std::thread::sleep(delay),
            Fate::Lost => {
                while stream.read(&mut [0; 1024]).is_ok_and(|count| count > 0) {}
                return false;
            }
            Fate::Malformed(head) => {
                let body =
                    json!({"Items": [], "HasMore": false, "At": self.body["At"]}).to_string();
                let head = head.replace("LENGTH", &body.len().to_string());
                return stream.write_all((head + &body).as_bytes()).is_ok();
            }
        }
        let headers: Vec<(&str, &str)> =
            self.era.iter().map(|era| (ERA_HEADER, era.as_str())).collect();
        write_response(stream, self.status, &headers, &encode(objects, &self.body))
    }
}

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
            let began_at = Instant::now();
            handle_request(&shared, request)
                .is_some_and(|answer| answer.send(&shared, request, began_at, stream))
        });
        FakeStore { address, objects }
    }

    /// Returns another address of the store, such as that of one host.
    pub(crate) fn another_address(&self) -> SocketAddr {
        self.with_server_addresses(&ServerAddresses::default())
    }

    /// Returns another address of the store, at which the entries of the servers have the given addresses.
    pub(crate) fn with_server_addresses(&self, addresses: &ServerAddresses) -> SocketAddr {
        let addresses = addresses.clone();
        let objects = self.objects.clone();
        serve_connections(move |request, stream| {
            let began_at = Instant::now();
            let Some(mut answer) = handle_request(&objects, request) else { return false };
            replace_addresses(&mut answer.body, &addresses.lock().expect("no panic"));
            answer.send(&objects, request, began_at, stream)
        })
    }

    /// Lets answers at some addresses fail for a time.
    pub(crate) fn disturb(
        &self,
        addresses: &[SocketAddr],
        fault: &AnswerFault,
        for_time: Duration,
    ) {
        let until = Instant::now() + for_time;
        let faults = addresses.iter().map(|address| (*address, fault.clone(), until));
        self.objects.0.lock().expect("no panic").faults.extend(faults);
    }

    /// Returns the number of answers that were lost or late so far.
    pub(crate) fn faulty_answers(&self) -> usize {
        self.objects.0.lock().expect("no panic").faulty_answers
    }

    /// Forgets all changes so far, also for watches that wait.
    pub(crate) fn forget_history(&self) {
        let (objects, changed) = &*self.objects;
        let held = &mut objects.lock().expect("no panic").held;
        held.revision += 1;
        held.history_from = held.revision;
        changed.notify_all();
    }

    /// Sets how the answers name the era.
    pub(crate) fn set_era_header(&self, era_header: EraHeader) {
        self.objects.0.lock().expect("no panic").era_header = era_header;
    }

    /// Sets the era that answers name from now on.
    pub(crate) fn set_era(&self, era: u64) {
        self.objects.0.lock().expect("no panic").era = era;
    }

    /// Returns a copy of what the store holds.
    pub(crate) fn copy(&self) -> StoreCopy {
        self.objects.0.lock().expect("no panic").held.clone()
    }

    /// Ends all connections with a call, and from now on each call, without an answer.
    pub(crate) fn go_away(&self) {
        let (objects, changed) = &*self.objects;
        objects.lock().expect("no panic").is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy, in the next era.
    pub(crate) fn return_from(&self, copy: StoreCopy) {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().expect("no panic");
        objects.held = copy;
        objects.era += 1;
        objects.is_away = false;
        changed.notify_all();
    }

    /// Sets how names in paths and queries are read from now on.
    pub(crate) fn set_name_decoding(&self, name_decoding: NameDecoding) {
        self.objects.0.lock().expect("no panic").name_decoding = name_decoding;
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

    /// Stores an object whose name is sent as this JSON text in place of the name under which it is listed.
    pub(crate) fn put_with_name_text(
        &self,
        kind: &str,
        name: &str,
        name_text: &[u8],
        specification: Value,
    ) {
        let mut objects = self.objects.0.lock().expect("no panic");
        objects.raw.push(name_text.to_vec());
        let mark = raw_mark(objects.raw.len() - 1);
        objects.write(kind, name, specification);
        let held = &mut objects.held;
        let object = held.by_key.get_mut(&(kind.to_string(), name.to_string()));
        object.expect("it was written")["Metadata"]["Name"] = json!(mark);
        let (_, _, event) = held.changes.last_mut().expect("it was written");
        event["Object"]["Metadata"]["Name"] = json!(mark);
        self.objects.1.notify_all();
    }

    /// Stores an object as soon as the first page of a list of its kind, which must have several, was read.
    pub(crate) fn put_after_first_page(&self, kind: &str, name: &str, specification: Value) {
        let mut objects = self.objects.0.lock().expect("no panic");
        objects.after_first_page.push((kind.to_string(), name.to_string(), specification));
    }

    /// Makes the next `count` watches of a kind that wait for a change hang without a response.
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
        let object = objects.held.by_key.get(&(kind.to_string(), name.to_string()))?;
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
        let object = objects.held.by_key.get(&(kind.to_string(), name.to_string()))?;
        object.pointer("/Metadata/Revision")?.as_u64()
    }

    pub(crate) fn remove(&self, kind: &str, name: &str) {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().expect("no panic");
        let objects = &mut objects.held;
        objects.revision += 1;
        let removed = objects.by_key.remove(&(kind.to_string(), name.to_string()));
        let event = json!({"Removed": true, "Object": removed.expect("the object exists")});
        let revision = objects.revision;
        objects.changes.push((revision, kind.to_string(), event));
        changed.notify_all();
    }
}

impl Objects {
    /// Returns what becomes of the answer to a call that began at a time and is due now.
    fn fate(&self, address: SocketAddr, request: &Message, began_at: Instant, status: u16) -> Fate {
        let now = Instant::now();
        let target = request.start_line_part(1);
        let path = target.split('?').next().unwrap_or_default();
        let is_of = |kind: &str| path.strip_prefix("/api/objects/") == Some(kind);
        let is_watch = query_number(target, "Watch").is_some();
        let is_given = status == STATUS_OK;
        let mut fate = Fate::Given;
        for (_, fault, until) in self.faults.iter().filter(|(at, _, _)| *at == address) {
            let (had_begun, is_on) = (began_at < *until, now < *until);
            match fault {
                AnswerFault::HangWatches(kind) if had_begun && is_watch && is_of(kind) => {
                    return Fate::Lost;
                }
                AnswerFault::Lose if is_on => return Fate::Lost,
                AnswerFault::MalformServerLists(head) if is_on && !is_watch && is_of("servers") => {
                    return Fate::Malformed(head);
                }
                AnswerFault::Delay(kind, delay) if is_on && is_given && is_of(kind) => {
                    fate = Fate::Delayed(*delay);
                }
                _ => {}
            }
        }
        fate
    }

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
        let held = &mut self.held;
        held.revision += 1;
        let metadata = json!({"Name": name, "Revision": held.revision, "Finalizers": []});
        let object = json!({"Metadata": metadata, "Specification": specification, "Status": null});
        held.by_key.insert((kind.to_string(), name.to_string()), object.clone());
        let event = json!({"Removed": false, "Object": object});
        held.changes.push((held.revision, kind.to_string(), event));
        object
    }

    fn answer(&self, status: u16, body: Value) -> Option<Answer> {
        let era = match self.era_header {
            EraHeader::Sent => Some(self.era.to_string()),
            EraHeader::Absent => None,
            EraHeader::Unreadable => Some("next".to_string()),
        };
        Some(Answer { status, body, era })
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

/// Decodes a name in a query, in which a plus sign is a blank.
fn decode_form(text: &str) -> String {
    percent_decode_str(&text.replace('+', " ")).decode_utf8_lossy().into_owned()
}

/// Returns the target of a request without its fragment; none if the request line is not made of three words.
fn request_target(request: &Message) -> Option<&str> {
    let words: Vec<&str> = request.start_line.split(' ').collect();
    let [_, target, "HTTP/1.1"] = words[..] else { return None };
    target.split('#').next()
}

/// Handles a call and returns the answer; none if the connection ends without one.
fn handle_request(shared: &(Mutex<Objects>, Condvar), request: &Message) -> Option<Answer> {
    let mut objects = shared.0.lock().expect("no panic");
    if objects.is_away {
        return None;
    }
    objects.calls += 1;
    let Some(target) = request_target(request) else { return objects.answer(400, Value::Null) };
    if target.len() > MAX_TARGET_BYTES {
        return objects.answer(414, Value::Null);
    }
    let path = target.split('?').next().unwrap_or_default();
    let mut parts = path.trim_start_matches("/api/objects/").split('/');
    let kind = parts.next().unwrap_or_default();
    match (request.start_line_part(0), parts.next()) {
        ("GET", None) => match query_number(target, "Watch") {
            Some(revision) => {
                watch(objects, &shared.1, kind, revision, query_number(target, "WaitMs"))
            }
            None => {
                let after = objects.name_decoding.decode(after_name(target));
                let page = list(&objects, kind, &after);
                if page["HasMore"] == true {
                    objects.write_after_first_page(kind);
                }
                objects.answer(200, page)
            }
        },
        (method, Some(name)) => {
            let name = objects.name_decoding.decode(name);
            let (status, body) = write(&mut objects, method, kind, &name, &request.body);
            shared.1.notify_all();
            objects.answer(status, body)
        }
        _ => objects.answer(400, Value::Null),
    }
}

/// Lists the objects of a kind after a name, up to the size of a page.
fn list(objects: &Objects, kind: &str, after: &str) -> Value {
    let of_kind = objects.held.by_key.iter();
    let of_kind = of_kind
        .filter(|((object_kind, _), _)| object_kind == kind)
        .filter(|((_, name), _)| after.is_empty() || name.as_str() > after)
        .map(|(_, object)| object);
    let mut bytes = 0;
    let mut items = Vec::new();
    let mut rest = of_kind.peekable();
    while let Some(object) = rest.next_if(|_| bytes < PAGE_BYTES) {
        bytes += objects.raw_content(object).map_or(0, Vec::len) + object.to_string().len();
        items.push(object);
    }
    json!({"Items": items, "HasMore": rest.peek().is_some(), "At": objects.held.revision})
}

/// Returns the name after which a list is to start; empty if it starts with the first object.
fn after_name(target: &str) -> &str {
    let parameters = target.split_once('?').map_or("", |(_, parameters)| parameters);
    parameters.split('&').find_map(|pair| pair.strip_prefix("After=")).unwrap_or_default()
}

/// Waits until objects of a kind have changed since `revision`, and returns the changes. A watch from a revision that the
/// store does not have is answered 410, also if it waits when the store comes back from a copy; others that wait are cut then,
/// or when the store goes away.
fn watch(
    mut objects: MutexGuard<'_, Objects>,
    changed: &Condvar,
    kind: &str,
    revision: u64,
    wait_ms: Option<u64>,
) -> Option<Answer> {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WATCH_WAIT);
    let hanging = objects.hanging_watches.get_mut(kind).filter(|remaining| **remaining > 0);
    if let Some(remaining) = hanging.filter(|_| wait > QUICK_WATCH_WAIT) {
        *remaining -= 1;
        let answer = objects.answer(200, json!({"events": [], "At": revision}));
        drop(objects);
        std::thread::sleep(HANG_DURATION);
        return answer;
    }
    if revision > objects.held.revision {
        return objects.answer(410, Value::Null);
    }
    let era = objects.era;
    let is_cut = |objects: &Objects| objects.is_away || objects.era != era;
    let is_gone = |objects: &Objects| revision < objects.held.history_from;
    let has_no_changes = |objects: &mut Objects| {
        let is_newer = |(at, of_kind, _): &(u64, String, Value)| *at > revision && of_kind == kind;
        !is_cut(objects) && !is_gone(objects) && !objects.held.changes.iter().any(is_newer)
    };
    let (objects, _) = changed.wait_timeout_while(objects, wait, has_no_changes).expect("no panic");
    if is_cut(&objects) {
        let has_passed = objects.is_away || revision <= objects.held.revision;
        return if has_passed { None } else { objects.answer(410, Value::Null) };
    }
    if is_gone(&objects) {
        return objects.answer(410, Value::Null);
    }
    let events = objects.held.changes.iter();
    let events = events.filter(|(at, of_kind, _)| *at > revision && of_kind == kind);
    let events: Vec<&Value> = events.map(|(_, _, event)| event).collect();
    objects.answer(200, json!({"events": events, "At": objects.held.revision}))
}

/// Handles a request for one object. A `POST` conflicts with an existing object; another write conflicts if its body
/// names a revision other than the current one.
fn write(objects: &mut Objects, method: &str, kind: &str, name: &str, body: &[u8]) -> (u16, Value) {
    let key = (kind.to_string(), name.to_string());
    let existing = objects.held.by_key.get(&key).cloned();
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
    (200, objects.write(kind, name, body["Specification"].clone()))
}
