//! The members of a failure domain as seen by one of them.

use std::collections::BTreeMap;

use crate::UnixMs;
use crate::member::settings::{
    FORGET_DEAD_AFTER_MS, MAX_MEMBERS, MAX_SUSPICION_STEPS, TELL_DEAD_FOR_MS,
};
use crate::member::{Doubt, MemberRecord, Phase};

/// A member, with what is known of its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: MemberRecord,
    /// When a newer heartbeat was last heard of, also through others.
    pub(crate) heard_at: UnixMs,
    /// When a message of the member itself last arrived.
    pub(crate) direct_at: UnixMs,
    /// Since when this host is to watch the member.
    pub(crate) watched_since: Option<UnixMs>,
    /// When the member was last asked for an answer.
    pub(crate) probed_at: UnixMs,
    /// When the present doubt began.
    pub(crate) doubted_at: UnixMs,
    /// When a suspicion last proved false.
    pub(crate) cleared_at: UnixMs,
    /// Recent false suspicions of this host.
    pub(crate) false_suspicions: u32,
    /// How often the present state was told to others.
    pub(crate) sends: u32,
    /// Order in which the entries were last told.
    pub(crate) last_told: u64,
}

/// What a record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// Nothing newer.
    Nothing,
    /// A later heartbeat of the same state.
    Heartbeat,
    /// Another configuration.
    Configuration,
    /// A new member, incarnation, phase or doubt.
    State,
}

/// The other members, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<String, Entry>,
    serial: u64,
}

impl Table {
    pub(crate) fn get(&self, host: &str) -> Option<&Entry> {
        self.entries.get(host)
    }

    pub(crate) fn get_mut(&mut self, host: &str) -> Option<&mut Entry> {
        self.entries.get_mut(host)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    /// Members that are not believed dead, by name.
    pub(crate) fn active(&self) -> impl Iterator<Item = &MemberRecord> {
        self.iter().map(|entry| &entry.record).filter(|record| record.doubt != Doubt::Dead)
    }

    /// Members that take part, by name: active and not leaving.
    pub(crate) fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.active().filter(|record| record.phase == Phase::Serving)
    }

    /// Takes in a record if it is newer than the known one.
    pub(crate) fn merge(&mut self, record: &MemberRecord, now: UnixMs) -> Change {
        let Some(entry) = self.entries.get_mut(&record.host) else {
            return self.add(record, now);
        };
        if !record.is_newer_than(&entry.record) {
            entry.correct_sender(record);
            return Change::Nothing;
        }
        let change = difference(&entry.record, record);
        entry.replace(record, now);
        if change != Change::Heartbeat {
            entry.sends = 0;
        }
        change
    }

    /// Marks an entry as told.
    pub(crate) fn tell(&mut self, host: &str) {
        self.serial += 1;
        if let Some(entry) = self.entries.get_mut(host) {
            entry.sends = entry.sends.saturating_add(1);
            entry.last_told = self.serial;
        }
    }

    /// Forgets members that have been dead for long.
    pub(crate) fn forget_dead(&mut self, now: UnixMs) {
        self.entries.retain(|_, entry| {
            entry.record.doubt != Doubt::Dead
                || !entry.doubted_at.plus_ms(FORGET_DEAD_AFTER_MS).is_past(now)
        });
    }

    fn add(&mut self, record: &MemberRecord, now: UnixMs) -> Change {
        if self.entries.len() >= MAX_MEMBERS {
            return Change::Nothing;
        }
        self.entries.insert(record.host.clone(), Entry::new(record, now));
        Change::State
    }
}

impl Entry {
    fn new(record: &MemberRecord, now: UnixMs) -> Entry {
        Entry {
            record: record.clone(),
            heard_at: now,
            direct_at: UnixMs(0),
            watched_since: None,
            probed_at: UnixMs(0),
            doubted_at: now,
            cleared_at: UnixMs(0),
            false_suspicions: 0,
            sends: 0,
            last_told: 0,
        }
    }

    /// Whether the member is told of to others: a death only for a while.
    pub(crate) fn is_told(&self, now: UnixMs) -> bool {
        self.record.doubt != Doubt::Dead || !self.doubted_at.plus_ms(TELL_DEAD_FOR_MS).is_past(now)
    }

    fn replace(&mut self, record: &MemberRecord, now: UnixMs) {
        let known = &self.record;
        let is_same_incarnation = record.incarnation == known.incarnation;
        let is_progress = record.heartbeat > known.heartbeat || !is_same_incarnation;
        if is_progress {
            self.heard_at = now;
        }
        if record.doubt != known.doubt {
            self.doubted_at = now;
        }
        if known.doubt != Doubt::None && record.doubt == Doubt::None {
            self.cleared_at = now;
            self.false_suspicions = (self.false_suspicions + 1).min(MAX_SUSPICION_STEPS);
        }
        if !is_same_incarnation {
            self.false_suspicions = 0;
        }
        self.record = record.clone();
    }

    /// A sender that believes in an older state of a doubted member is told the newer one.
    fn correct_sender(&mut self, record: &MemberRecord) {
        let is_older = self.record.is_newer_than(record);
        let differs = self.record.doubt != record.doubt
            || self.record.incarnation != record.incarnation
            || self.record.phase != record.phase;
        if is_older && differs {
            self.sends = self.sends.min(1);
        }
    }
}

fn difference(known: &MemberRecord, record: &MemberRecord) -> Change {
    let is_same_state = known.incarnation == record.incarnation
        && known.phase == record.phase
        && known.doubt == record.doubt
        && known.address == record.address;
    if !is_same_state {
        return Change::State;
    }
    if known.configuration != record.configuration {
        return Change::Configuration;
    }
    Change::Heartbeat
}
