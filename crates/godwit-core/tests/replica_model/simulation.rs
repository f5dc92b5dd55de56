//! Simulation of a store, the hosts that hold its objects, and the messages to them.

use std::collections::BTreeMap;

use godwit_core::replica::{
    ObjectReplica, ReplicaChanges, StorePosition, StoredObject, WatchEvent, changes_of_watch,
};

use crate::{HOSTS, Step};

/// Revisions of the objects at a revision of the store.
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
    /// Revisions of different eras are compared.
    ErasIgnored,
}

struct Message {
    to: usize,
    /// Era in which the store answered; none if a host sent the message.
    era: Option<u64>,
    changes: ReplicaChanges,
}

/// A change of the store.
#[derive(Clone)]
enum Event {
    Written { name: String, revision: u64 },
    Removed { name: String },
}

pub(crate) struct Simulation {
    fault: InjectedFault,
    era: u64,
    /// Objects after each revision; the revision is the index.
    states: Vec<Versions>,
    /// The same of each era that has ended; the era is the index.
    ended_eras: Vec<Vec<Versions>>,
    /// Event of each revision from 1 on.
    events: Vec<Event>,
    /// Revision before which the store has no history.
    history_start: u64,
    hosts: Vec<ObjectReplica>,
    /// Newest era that each host knows.
    known_eras: Vec<u64>,
    in_flight: Vec<Message>,
}

impl Simulation {
    pub(crate) fn new(fault: InjectedFault) -> Simulation {
        // The revision counter of the store starts above 0.
        Simulation {
            fault,
            era: 0,
            ended_eras: Vec::new(),
            states: vec![Versions::new(), Versions::new()],
            events: vec![Event::Removed { name: "none".to_string() }],
            history_start: 1,
            hosts: vec![ObjectReplica::default(); HOSTS],
            known_eras: vec![0; HOSTS],
            in_flight: Vec::new(),
        }
    }

    fn revision(&self) -> u64 {
        self.states.len() as u64 - 1
    }

    /// Returns what hosts compare of a revision of an era.
    fn ordinal(&self, era: u64, revision: u64) -> u64 {
        let era = if self.fault == InjectedFault::ErasIgnored { 0 } else { era };
        StorePosition::new(era, revision).expect("both are small").ordinal()
    }

    fn written(&self, name: &str, revision: u64) -> StoredObject {
        let version = self.ordinal(self.era, revision);
        StoredObject { name: name.to_string(), version, text: Some(version.to_string()) }
    }

    pub(crate) fn take(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Write { object, deletes } => self.write(&format!("object-{object}"), deletes),
            Step::List { host } => self.list(host),
            Step::Watch { host } => self.watch(host),
            Step::ForgetHistory => self.history_start = self.revision(),
            Step::Drill { lost } => self.drill(lost),
            Step::Send { from, to } => self.send(from, to),
            Step::Deliver { pick } => return self.deliver(pick),
            Step::Lose { pick } => drop(self.pick(pick)),
            Step::ForgetDeletions { host, keep } => self.hosts[host].forget_deletions(keep),
            Step::Restart { host } => {
                self.hosts[host] = ObjectReplica::default();
                self.known_eras[host] = 0;
            }
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
            self.events.push(Event::Removed { name: name.to_string() });
        } else {
            state.insert(name.to_string(), revision);
            self.events.push(Event::Written { name: name.to_string(), revision });
        }
        self.states.push(state);
    }

    fn drill(&mut self, lost: usize) {
        let kept = self.states.len().saturating_sub(lost).max(2);
        self.ended_eras.push(self.states.clone());
        self.states.truncate(kept);
        self.events.truncate(kept - 1);
        self.history_start = self.history_start.min(self.revision());
        self.era += 1;
    }

    fn list(&mut self, host: usize) {
        let state = &self.states[self.states.len() - 1];
        let objects = state.iter().map(|(name, version)| self.written(name, *version)).collect();
        let changes = ReplicaChanges::listing(self.ordinal(self.era, self.revision()), objects);
        self.in_flight.push(Message { to: host, era: Some(self.era), changes });
    }

    fn watch(&mut self, host: usize) {
        let from = self.hosts[host].next_from_revision();
        let known_era =
            if self.fault == InjectedFault::ErasIgnored { 0 } else { self.known_eras[host] };
        let revision = StorePosition::from_ordinal(from).revision_in(known_era).unwrap_or(0);
        if revision < self.history_start || revision > self.revision() {
            self.hosts[host].require_listing();
            return;
        }
        let events = self.events[revision as usize..].iter().map(|event| match event {
            Event::Written { name, revision } => WatchEvent::Written(self.written(name, *revision)),
            Event::Removed { name } => WatchEvent::Removed { name: name.clone() },
        });
        let to = self.ordinal(self.era, self.revision());
        let mut changes = changes_of_watch(from, to, events.collect());
        if self.fault == InjectedFault::DeletionsCountAsLast {
            let deletions = changes.objects.iter_mut().filter(|object| object.text.is_none());
            deletions.for_each(|deletion| deletion.version = changes.to_revision);
        }
        self.in_flight.push(Message { to: host, era: Some(self.era), changes });
    }

    fn send(&mut self, from: usize, to: usize) {
        let known = self.hosts[to].next_from_revision();
        if let Some(changes) = self.hosts[from].changes_since(known) {
            self.in_flight.push(Message { to, era: None, changes });
        }
    }

    fn pick(&mut self, pick: usize) -> Option<Message> {
        let count = self.in_flight.len();
        (count > 0).then(|| self.in_flight.remove(pick % count))
    }

    fn deliver(&mut self, pick: usize) -> Result<(), String> {
        let Some(Message { to, era, mut changes }) = self.pick(pick) else { return Ok(()) };
        let from = StorePosition::from_ordinal(changes.from_revision);
        let known_era = &mut self.known_eras[to];
        let answer_era =
            era.unwrap_or(0).max(StorePosition::from_ordinal(changes.to_revision).era());
        let is_late = era.is_some_and(|era| era < *known_era);
        *known_era = answer_era.max(*known_era);
        let is_of_other_era = changes.from_revision > 0 && era.is_some_and(|era| from.era() != era);
        if self.fault != InjectedFault::ErasIgnored && (is_late || is_of_other_era) {
            return Ok(());
        }
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
        let position = StorePosition::from_ordinal(revision);
        let states = self.ended_eras.get(position.era() as usize).unwrap_or(&self.states);
        let index_in_era = position.revision_in(position.era()).unwrap_or(0) as usize;
        let Some(state) = states.get(index_in_era) else {
            return Err(format!("host {index} differs: the store has no revision {position}"));
        };
        let ordinal = |version: &u64| self.ordinal(position.era(), *version);
        let expected: Versions =
            state.iter().map(|(name, version)| (name.clone(), ordinal(version))).collect();
        if held == expected {
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
        for host in 0..HOSTS {
            self.send(0, host);
            while !self.in_flight.is_empty() {
                self.deliver(0)?;
            }
            if self.hosts[host].complete_revision() != self.ordinal(self.era, self.revision()) {
                return Err(format!("host {host} does not catch up"));
            }
        }
        Ok(())
    }
}
