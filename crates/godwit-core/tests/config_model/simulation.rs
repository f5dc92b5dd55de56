//! Simulation of a store, its operators, the hosts, and the messages between them.

use std::collections::BTreeMap;

use godwit_core::replica::{ObjectReplica, StoredObject};
use godwit_schema::platform::ObjectHead;
use serde_json::{Value, json};

use crate::{HOSTS, InjectedFault, OBJECTS, Step};

/// Value of each object at each of its versions in the store; none for a deletion.
type History = BTreeMap<(usize, u64), Option<Value>>;

#[derive(Clone, Debug)]
enum Message {
    Listing {
        host: usize,
        revision: u64,
        heads: Vec<ObjectHead>,
    },
    Object {
        host: usize,
        object: usize,
        version: u64,
        value: Value,
    },
    NeighbourReply {
        host: usize,
        seen: Vec<ObjectHead>,
        objects: Vec<StoredObject>,
        complete_at: u64,
    },
}

impl Message {
    fn host(&self) -> usize {
        match self {
            Message::Listing { host, .. }
            | Message::Object { host, .. }
            | Message::NeighbourReply { host, .. } => *host,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Simulation {
    fault: InjectedFault,
    revision: u64,
    objects: BTreeMap<usize, (u64, Value)>,
    history: History,
    operators: [Option<(usize, u64)>; 2],
    hosts: Vec<ObjectReplica>,
    /// Highest version of each object that each host has held since its start.
    highest_versions: Vec<BTreeMap<String, u64>>,
    messages: Vec<Message>,
}

fn name(object: usize) -> String {
    format!("config/workspaces/w{object}")
}

fn object_of(name: &str) -> usize {
    name.trim_start_matches("config/workspaces/w").parse().unwrap()
}

impl Simulation {
    pub(crate) fn new(fault: InjectedFault) -> Simulation {
        Simulation {
            fault,
            revision: 0,
            objects: BTreeMap::new(),
            history: History::new(),
            operators: [None; 2],
            hosts: vec![ObjectReplica::default(); HOSTS],
            highest_versions: vec![BTreeMap::new(); HOSTS],
            messages: Vec::new(),
        }
    }

    pub(crate) fn apply(&mut self, step: &Step) {
        match step {
            Step::OperatorRead { operator, object } => {
                let version = self.objects.get(object).map_or(0, |(version, _)| *version);
                self.operators[*operator] = Some((*object, version));
            }
            Step::OperatorWrite { operator, deletes } => self.write(*operator, *deletes),
            Step::List { host } => {
                let message = self.listing(*host);
                self.messages.push(message);
            }
            Step::Read { host, object } => self.read(*host, *object),
            Step::Poll { host } => self.poll(*host),
            Step::FetchFromNeighbour { host, neighbour } => {
                let neighbour_reply = self.neighbour_reply(*host, *neighbour);
                self.messages.push(neighbour_reply);
            }
            Step::Deliver { pick } => {
                if let Some(message) = self.take_message(*pick) {
                    self.deliver(message);
                }
            }
            Step::LoseMessage { pick } => drop(self.take_message(*pick)),
            Step::Restart { host } => {
                self.hosts[*host] = ObjectReplica::default();
                self.highest_versions[*host].clear();
                self.messages.retain(|message| message.host() != *host);
            }
        }
        self.update_highest_versions();
    }

    /// Delivers a listing and the reads of all its objects in one step.
    fn poll(&mut self, host: usize) {
        let message = self.listing(host);
        self.deliver(message);
        let objects = self.objects.clone();
        let mut seen = Vec::new();
        for (object, (version, value)) in objects {
            seen.push(ObjectHead { name: name(object), version });
            self.deliver(Message::Object { host, object, version, value });
        }
        self.hosts[host].mark_complete(self.revision, &seen);
    }

    fn take_message(&mut self, pick: usize) -> Option<Message> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.remove(pick % count))
    }

    fn write(&mut self, operator: usize, deletes: bool) {
        let Some((object, read_version)) = self.operators[operator].take() else { return };
        let current = self.objects.get(&object).map_or(0, |(version, _)| *version);
        if current != read_version || (deletes && current == 0) {
            return;
        }
        self.revision += 1;
        if deletes {
            self.objects.remove(&object);
            self.history.insert((object, self.revision), None);
        } else {
            let value = json!({"written_at": self.revision});
            self.objects.insert(object, (self.revision, value.clone()));
            self.history.insert((object, self.revision), Some(value));
        }
    }

    fn listing(&self, host: usize) -> Message {
        let head = |(object, (version, _)): (&usize, &(u64, Value))| ObjectHead {
            name: name(*object),
            version: *version,
        };
        let heads = self.objects.iter().map(head).collect();
        Message::Listing { host, revision: self.revision, heads }
    }

    fn neighbour_reply(&self, host: usize, neighbour: usize) -> Message {
        let neighbour = &self.hosts[neighbour];
        let seen = self.hosts[host].heads();
        let objects = neighbour.objects_newer_than(&seen);
        Message::NeighbourReply { host, seen, objects, complete_at: neighbour.complete_revision() }
    }

    fn read(&mut self, host: usize, object: usize) {
        if let Some((version, value)) = self.objects.get(&object) {
            let (version, value) = (*version, value.clone());
            self.messages.push(Message::Object { host, object, version, value });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Listing { host, revision, heads } => {
                if self.fault == InjectedFault::NoTombstones {
                    self.remove_unlisted(host, revision, &heads);
                    return;
                }
                self.hosts[host].accept_listing(revision, &heads);
            }
            Message::Object { host, object, version, value } => {
                if self.fault == InjectedFault::NoVersionCheck {
                    self.remove_object(host, &name(object));
                }
                self.hosts[host].accept(&name(object), version, Some(&value));
            }
            Message::NeighbourReply { host, mut seen, objects, complete_at } => {
                seen.extend(objects.iter().map(StoredObject::head));
                for stored in objects {
                    self.hosts[host].accept_stored(stored);
                }
                self.hosts[host].mark_complete(complete_at, &seen);
            }
        }
    }

    fn remove_object(&mut self, host: usize, removed_name: &str) {
        let mut remaining = ObjectReplica::default();
        for stored in self.hosts[host].iter().filter(|stored| stored.name != removed_name) {
            remaining.accept_stored(stored.clone());
        }
        self.hosts[host] = remaining;
    }

    fn remove_unlisted(&mut self, host: usize, revision: u64, heads: &[ObjectHead]) {
        let is_removed = |stored: &&StoredObject| {
            stored.version <= revision && !heads.iter().any(|head| head.name == stored.name)
        };
        let removed: Vec<String> =
            self.hosts[host].iter().filter(is_removed).map(|stored| stored.name.clone()).collect();
        for name in removed {
            self.remove_object(host, &name);
        }
    }

    fn update_highest_versions(&mut self) {
        for (host, highest_versions) in self.hosts.iter().zip(&mut self.highest_versions) {
            for stored in host.iter() {
                let highest = highest_versions.entry(stored.name.clone()).or_default();
                *highest = (*highest).max(stored.version);
            }
        }
    }

    /// Checks that no host went back to an older version, and that each value is the one the store had at that version.
    pub(crate) fn check(&self) {
        for (host, highest_versions) in self.hosts.iter().zip(&self.highest_versions) {
            for (name, highest) in highest_versions {
                assert!(host.version(name) >= Some(*highest), "{name} went back from {highest}");
            }
            for stored in host.iter() {
                self.check_value(stored);
            }
        }
    }

    fn check_value(&self, stored: &StoredObject) {
        let object = object_of(&stored.name);
        let earlier = self.history.range((object, 0)..=(object, stored.version));
        let (key, expected) = earlier.last().expect("the store had the object");
        let expected_text = expected.as_ref().map(Value::to_string);
        assert_eq!(stored.text, expected_text, "{stored:?}");
        if stored.text.is_some() {
            assert_eq!(key.1, stored.version, "{stored:?}");
        }
    }

    /// Delivers all messages, polls on one host, and checks that after two rounds of replies between neighbours all hosts
    /// hold the newest objects.
    pub(crate) fn heal_and_check(&mut self) {
        while let Some(message) = self.take_message(0) {
            self.deliver(message);
        }
        self.poll(0);
        for _ in 0..2 {
            for host in 0..HOSTS {
                let neighbour_reply = self.neighbour_reply(host, (host + HOSTS - 1) % HOSTS);
                self.deliver(neighbour_reply);
            }
        }
        self.update_highest_versions();
        self.check();
        for host in &self.hosts {
            for object in 0..OBJECTS {
                let actual = host.get(&name(object)).and_then(|stored| stored.text.clone());
                let expected = self.objects.get(&object).map(|(_, value)| value.to_string());
                assert_eq!(actual, expected, "object {object} after healing");
            }
        }
    }
}
