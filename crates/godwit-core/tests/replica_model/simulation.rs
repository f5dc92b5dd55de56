//! Simulation of a store, the hosts that hold its objects, and the messages to them.

use std::collections::BTreeMap;

use godwit_core::replica::{
    ObjectReplica, ReplicaChanges, StoredObject, WatchEvent, changes_of_watch,
};

use crate::{HOSTS, Step};

/// Versions of the objects at a revision.
type Versions = BTreeMap<String, u64>;

/// Fault injected into the hosts, which the model must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    /// Changes are applied by a host that has none of the objects before them.
    GapsApplied,
    /// A removal counts as the last change of its watch.
    DeletionsCountAsLast,
    /// A listing is applied although the host knows a later revision.
    OlderListingsApplied,
}

struct Message {
    to: usize,
    changes: ReplicaChanges,
}

pub(crate) struct Simulation {
    fault: InjectedFault,
    /// Objects after each revision; the revision is the index.
    states: Vec<Versions>,
    /// Event of each revision from 1 on.
    events: Vec<WatchEvent>,
    /// Revision before which the store has no history.
    history_start: u64,
    hosts: Vec<ObjectReplica>,
    in_flight: Vec<Message>,
}

fn written(name: &str, version: u64) -> StoredObject {
    StoredObject { name: name.to_string(), version, text: Some(version.to_string()) }
}

impl Simulation {
    pub(crate) fn new(fault: InjectedFault) -> Simulation {
        // The revision counter of the store starts above 0.
        Simulation {
            fault,
            states: vec![Versions::new(), Versions::new()],
            events: vec![WatchEvent::Removed { name: "none".to_string() }],
            history_start: 1,
            hosts: vec![ObjectReplica::default(); HOSTS],
            in_flight: Vec::new(),
        }
    }

    fn revision(&self) -> u64 {
        self.states.len() as u64 - 1
    }

    pub(crate) fn take(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Write { object, deletes } => self.write(&format!("object-{object}"), deletes),
            Step::List { host } => self.list(host),
            Step::Watch { host } => self.watch(host),
            Step::ForgetHistory => self.history_start = self.revision(),
            Step::Send { from, to } => self.send(from, to),
            Step::Deliver { pick } => return self.deliver(pick),
            Step::Lose { pick } => drop(self.pick(pick)),
            Step::ForgetDeletions { host, keep } => self.hosts[host].forget_deletions(keep),
            Step::Restart { host } => self.hosts[host] = ObjectReplica::default(),
        }
        Ok(())
    }

    fn write(&mut self, name: &str, deletes: bool) {
        let revision = self.revision() + 1;
        let mut state = self.states[self.states.len() - 1].clone();
        if deletes {
            if state.remove(name).is_none() {
                return;
            }
            self.events.push(WatchEvent::Removed { name: name.to_string() });
        } else {
            state.insert(name.to_string(), revision);
            self.events.push(WatchEvent::Written(written(name, revision)));
        }
        self.states.push(state);
    }

    fn list(&mut self, host: usize) {
        let state = &self.states[self.states.len() - 1];
        let objects = state.iter().map(|(name, version)| written(name, *version)).collect();
        let changes = ReplicaChanges::listing(self.revision(), objects);
        self.in_flight.push(Message { to: host, changes });
    }

    fn watch(&mut self, host: usize) {
        let from = self.hosts[host].next_from_revision();
        if from == 0 || from < self.history_start {
            self.hosts[host].require_listing();
            return;
        }
        let events = self.events[from as usize..].to_vec();
        let mut changes = changes_of_watch(from, self.revision(), events);
        if self.fault == InjectedFault::DeletionsCountAsLast {
            let deletions = changes.objects.iter_mut().filter(|object| object.text.is_none());
            deletions.for_each(|deletion| deletion.version = changes.to_revision);
        }
        self.in_flight.push(Message { to: host, changes });
    }

    fn send(&mut self, from: usize, to: usize) {
        let known = self.hosts[to].next_from_revision();
        if let Some(changes) = self.hosts[from].changes_since(known) {
            self.in_flight.push(Message { to, changes });
        }
    }

    fn pick(&mut self, pick: usize) -> Option<Message> {
        let count = self.in_flight.len();
        (count > 0).then(|| self.in_flight.remove(pick % count))
    }

    fn deliver(&mut self, pick: usize) -> Result<(), String> {
        let Some(Message { to, mut changes }) = self.pick(pick) else { return Ok(()) };
        let host = &mut self.hosts[to];
        let before = host.complete_revision();
        if self.fault == InjectedFault::GapsApplied && host.next_from_revision() == 0 {
            changes.from_revision = 0;
            changes.digest = None;
        }
        if self.fault == InjectedFault::OlderListingsApplied && changes.from_revision == 0 {
            *host = ObjectReplica::default();
        }
        if let Ok(applied) = host.apply(&changes)
            && applied.is_diverged
        {
            return Err(format!("host {to} differs from the sender of {changes:?}"));
        }
        self.check(to, before)
    }

    /// Checks that a host holds what the store held at the host's revision, which does not go back.
    fn check(&self, index: usize, before: u64) -> Result<(), String> {
        let host = &self.hosts[index];
        let revision = host.complete_revision();
        if revision < before {
            return Err(format!("host {index} went back from {before} to {revision}"));
        }
        let active = host.iter().filter(|object| object.text.is_some());
        let held: Versions = active.map(|object| (object.name.clone(), object.version)).collect();
        let expected = &self.states[revision as usize];
        if held == *expected {
            Ok(())
        } else {
            Err(format!("host {index} differs at {revision}: {held:?}, not {expected:?}"))
        }
    }

    /// Lets one host read the store and all others follow it, and checks that all hold the same in the end.
    pub(crate) fn settle(&mut self) -> Result<(), String> {
        self.in_flight.clear();
        self.list(0);
        self.deliver(0)?;
        for host in 1..HOSTS {
            self.send(0, host);
            while !self.in_flight.is_empty() {
                self.deliver(0)?;
            }
            if self.hosts[host].complete_revision() != self.revision() {
                return Err(format!("host {host} does not catch up"));
            }
        }
        Ok(())
    }
}
