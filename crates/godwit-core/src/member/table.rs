//! Table of the other members of a failure domain, as one host sees them.

use std::collections::BTreeMap;

use crate::UnixMs;
use crate::member::settings::{
    DEAD_RETENTION_MS, MAX_FALSE_SUSPICIONS, MAX_MEMBERS, SEND_DEAD_FOR_MS,
};
use crate::member::{Liveness, MemberRecord, Phase};

/// Member and the bookkeeping of its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) record: MemberRecord,
    /// When a newer heartbeat was last received, directly or through another host.
    pub(crate) last_heartbeat_at: UnixMs,
    /// When a message from the member itself last arrived.
    pub(crate) last_direct_at: UnixMs,
    /// Time since which this host has watched the member; `None` if it does not.
    pub(crate) watched_since: Option<UnixMs>,
    /// When this host last probed the member.
    pub(crate) probed_at: UnixMs,
    /// When the current liveness began.
    pub(crate) liveness_changed_at: UnixMs,
    /// When a suspicion of the member was last refuted.
    pub(crate) cleared_at: UnixMs,
    /// Number of recent suspicions of the member that were refuted.
    pub(crate) false_suspicions: u32,
    /// Number of times that the current state was sent to other hosts.
    pub(crate) send_count: u32,
    /// Sequence number of the last time that the entry was sent.
    pub(crate) last_sent: u64,
}

/// What a merged record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// The record was not newer, or the table is full.
    Nothing,
    /// Only the heartbeat is later.
    Heartbeat,
    /// The configuration changed.
    Configuration,
    /// The member is new, or its incarnation, phase, liveness or address changed.
    State,
}

/// The other members, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<String, MemberEntry>,
    sequence: u64,
}

impl MemberTable {
    pub(crate) fn get(&self, host: &str) -> Option<&MemberEntry> {
        self.entries.get(host)
    }

    pub(crate) fn get_mut(&mut self, host: &str) -> Option<&mut MemberEntry> {
        self.entries.get_mut(host)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut MemberEntry> {
        self.entries.values_mut()
    }

    /// Members that are not declared dead, sorted by name.
    pub(crate) fn active(&self) -> impl Iterator<Item = &MemberRecord> {
        self.iter().map(|entry| &entry.record).filter(|record| record.liveness != Liveness::Dead)
    }

    /// Members that are serving, sorted by name: active and not leaving.
    pub(crate) fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.active().filter(|record| record.phase == Phase::Serving)
    }

    /// Merges a record if it is newer than the known one.
    pub(crate) fn merge(&mut self, record: &MemberRecord, now: UnixMs) -> Change {
        let Some(entry) = self.entries.get_mut(&record.host) else {
            return self.insert(record, now);
        };
        if !record.is_newer_than(&entry.record) {
            entry.resend_newer_state(record);
            return Change::Nothing;
        }
        let change = classify_change(&entry.record, record);
        entry.replace(record, now);
        if change != Change::Heartbeat {
            entry.send_count = 0;
        }
        change
    }

    /// Records that an entry was sent.
    pub(crate) fn mark_sent(&mut self, host: &str) {
        self.sequence += 1;
        if let Some(entry) = self.entries.get_mut(host) {
            entry.send_count = entry.send_count.saturating_add(1);
            entry.last_sent = self.sequence;
        }
    }

    /// Removes members that have been dead for longer than the retention time.
    pub(crate) fn remove_expired_dead(&mut self, now: UnixMs) {
        self.entries.retain(|_, entry| {
            entry.record.liveness != Liveness::Dead
                || !entry.liveness_changed_at.plus_ms(DEAD_RETENTION_MS).is_past(now)
        });
    }

    fn insert(&mut self, record: &MemberRecord, now: UnixMs) -> Change {
        if self.entries.len() >= MAX_MEMBERS {
            return Change::Nothing;
        }
        self.entries.insert(record.host.clone(), MemberEntry::new(record, now));
        Change::State
    }
}

impl MemberEntry {
    fn new(record: &MemberRecord, now: UnixMs) -> MemberEntry {
        MemberEntry {
            record: record.clone(),
            last_heartbeat_at: now,
            last_direct_at: UnixMs(0),
            watched_since: None,
            probed_at: UnixMs(0),
            liveness_changed_at: now,
            cleared_at: UnixMs(0),
            false_suspicions: 0,
            send_count: 0,
            last_sent: 0,
        }
    }

    /// Whether the member is to be included in messages; a dead member only for a limited time.
    pub(crate) fn is_sendable(&self, now: UnixMs) -> bool {
        self.record.liveness != Liveness::Dead
            || !self.liveness_changed_at.plus_ms(SEND_DEAD_FOR_MS).is_past(now)
    }

    fn replace(&mut self, record: &MemberRecord, now: UnixMs) {
        let known = &self.record;
        let is_same_incarnation = record.incarnation == known.incarnation;
        let is_progress = record.heartbeat > known.heartbeat || !is_same_incarnation;
        if is_progress {
            self.last_heartbeat_at = now;
        }
        if record.liveness != known.liveness {
            self.liveness_changed_at = now;
        }
        if known.liveness != Liveness::Alive && record.liveness == Liveness::Alive {
            self.cleared_at = now;
            self.false_suspicions = (self.false_suspicions + 1).min(MAX_FALSE_SUSPICIONS);
        }
        if !is_same_incarnation {
            self.false_suspicions = 0;
        }
        self.record = record.clone();
    }

    /// Sends the newer state again soon if the record shows that its sender has an outdated one.
    fn resend_newer_state(&mut self, record: &MemberRecord) {
        let is_older = self.record.is_newer_than(record);
        let differs = self.record.liveness != record.liveness
            || self.record.incarnation != record.incarnation
            || self.record.phase != record.phase;
        if is_older && differs {
            self.send_count = self.send_count.min(1);
        }
    }
}

fn classify_change(known: &MemberRecord, record: &MemberRecord) -> Change {
    let is_same_state = known.incarnation == record.incarnation
        && known.phase == record.phase
        && known.liveness == record.liveness
        && known.address == record.address;
    if !is_same_state {
        return Change::State;
    }
    if known.configuration != record.configuration {
        return Change::Configuration;
    }
    Change::Heartbeat
}
