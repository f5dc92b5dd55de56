//! A store, its operators, hosts, and the messages between them.

use std::collections::BTreeMap;

use godwit_core::config::{ConfigStore, StoredObject};
use godwit_schema::platform::ObjectHead;
use serde_json::{Value, json};

use crate::{HOSTS, OBJECTS, PlantedFault, Step};

/// What the store held at each version: the value, or none for a deletion.
type History = BTreeMap<(usize, u64), Option<Value>>;

#[derive(Clone, Debug)]
enum Message {
    Listing { host: usize, revision: u64, heads: Vec<ObjectHead> },
    Object { host: usize, object: usize, version: u64, value: Value },
    News { host: usize, seen: Vec<ObjectHead>, objects: Vec<StoredObject>, complete_at: u64 },
}

impl Message {
    fn host(&self) -> usize {
        match self {
            Message::Listing { host, .. }
            | Message::Object { host, .. }
            | Message::News { host, .. } => *host,
        }
    }
}

#[derive(Debug)]
pub(crate) struct World {
    fault: PlantedFault,
    revision: u64,
    objects: BTreeMap<usize, (u64, Value)>,
    history: History,
    operators: [Option<(usize, u64)>; 2],
    hosts: Vec<ConfigStore>,
    /// Highest version that each host has had in force since its start.
    floors: Vec<BTreeMap<String, u64>>,
    messages: Vec<Message>,
}

fn name(object: usize) -> String {
    format!("config/workspaces/w{object}")
}

fn object_of(name: &str) -> usize {
    name.trim_start_matches("config/workspaces/w").parse().unwrap()
}

impl World {
    pub(crate) fn new(fault: PlantedFault) -> World {
        World {
            fault,
            revision: 0,
            objects: BTreeMap::new(),
            history: History::new(),
            operators: [None; 2],
            hosts: vec![ConfigStore::default(); HOSTS],
            floors: vec![BTreeMap::new(); HOSTS],
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
            Step::Fetch { host, neighbour } => {
                let news = self.news(*host, *neighbour);
                self.messages.push(news);
            }
            Step::Arrive { pick } => {
                if let Some(message) = self.take(*pick) {
                    self.arrive(message);
                }
            }
            Step::Lose { pick } => drop(self.take(*pick)),
            Step::Restart { host } => {
                self.hosts[*host] = ConfigStore::default();
                self.floors[*host].clear();
                self.messages.retain(|message| message.host() != *host);
            }
        }
        self.raise_floors();
    }

    /// A listing and all reads after it, as one.
    fn poll(&mut self, host: usize) {
        let message = self.listing(host);
        self.arrive(message);
        let objects = self.objects.clone();
        let mut seen = Vec::new();
        for (object, (version, value)) in objects {
            seen.push(ObjectHead { name: name(object), version });
            self.arrive(Message::Object { host, object, version, value });
        }
        self.hosts[host].mark_complete(self.revision, &seen);
    }

    fn take(&mut self, pick: usize) -> Option<Message> {
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

    fn news(&self, host: usize, neighbour: usize) -> Message {
        let neighbour = &self.hosts[neighbour];
        let seen = self.hosts[host].heads();
        let objects = neighbour.objects_newer_than(&seen);
        Message::News { host, seen, objects, complete_at: neighbour.complete_revision() }
    }

    fn read(&mut self, host: usize, object: usize) {
        if let Some((version, value)) = self.objects.get(&object) {
            let (version, value) = (*version, value.clone());
            self.messages.push(Message::Object { host, object, version, value });
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Listing { host, revision, heads } => {
                if self.fault == PlantedFault::NoTombstones {
                    self.forget_unlisted(host, revision, &heads);
                    return;
                }
                self.hosts[host].accept_listing(revision, &heads);
            }
            Message::Object { host, object, version, value } => {
                if self.fault == PlantedFault::NoVersionCheck {
                    self.forget(host, &name(object));
                }
                self.hosts[host].accept(&name(object), version, Some(&value));
            }
            Message::News { host, mut seen, objects, complete_at } => {
                seen.extend(objects.iter().map(StoredObject::head));
                for stored in objects {
                    self.hosts[host].accept_stored(stored);
                }
                self.hosts[host].mark_complete(complete_at, &seen);
            }
        }
    }

    fn forget(&mut self, host: usize, forgotten: &str) {
        let mut rest = ConfigStore::default();
        for stored in self.hosts[host].iter().filter(|stored| stored.name != forgotten) {
            rest.accept_stored(stored.clone());
        }
        self.hosts[host] = rest;
    }

    fn forget_unlisted(&mut self, host: usize, revision: u64, heads: &[ObjectHead]) {
        let is_gone = |stored: &&StoredObject| {
            stored.version <= revision && !heads.iter().any(|head| head.name == stored.name)
        };
        let gone: Vec<String> =
            self.hosts[host].iter().filter(is_gone).map(|stored| stored.name.clone()).collect();
        for name in gone {
            self.forget(host, &name);
        }
    }

    fn raise_floors(&mut self) {
        for (host, floors) in self.hosts.iter().zip(&mut self.floors) {
            for stored in host.iter() {
                let floor = floors.entry(stored.name.clone()).or_default();
                *floor = (*floor).max(stored.version);
            }
        }
    }

    /// No host holds less than it once held, nor a value that the store did not have at that version.
    pub(crate) fn check(&self) {
        for (host, floors) in self.hosts.iter().zip(&self.floors) {
            for (name, floor) in floors {
                assert!(host.version(name) >= Some(*floor), "{name} went back from {floor}");
            }
            for stored in host.iter() {
                self.check_value(stored);
            }
        }
    }

    fn check_value(&self, stored: &StoredObject) {
        let object = object_of(&stored.name);
        let upto = self.history.range((object, 0)..=(object, stored.version));
        let (at, truth) = upto.last().expect("the store had the object");
        let truth_text = truth.as_ref().map(Value::to_string);
        assert_eq!(stored.text, truth_text, "{stored:?}");
        if stored.text.is_some() {
            assert_eq!(at.1, stored.version, "{stored:?}");
        }
    }

    /// After one whole listing on one host and two rounds among neighbours all hold the newest.
    pub(crate) fn heal_and_check(&mut self) {
        while let Some(message) = self.take(0) {
            self.arrive(message);
        }
        self.poll(0);
        for _ in 0..2 {
            for host in 0..HOSTS {
                let news = self.news(host, (host + HOSTS - 1) % HOSTS);
                self.arrive(news);
            }
        }
        self.raise_floors();
        self.check();
        for host in &self.hosts {
            for object in 0..OBJECTS {
                let held = host.get(&name(object)).and_then(|stored| stored.text.clone());
                let truth = self.objects.get(&object).map(|(_, value)| value.to_string());
                assert_eq!(held, truth, "object {object} after healing");
            }
        }
    }
}
