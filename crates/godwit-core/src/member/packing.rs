//! Filling messages up to their length.

use std::net::SocketAddr;

use rand::seq::{IteratorRandom, SliceRandom};

use crate::knowledge::{MAX_PER_MESSAGE, ServerNotice, encoded_bytes, longest_fit};
use crate::member::ring::Ring;
use crate::member::settings::{
    MAX_GOSSIP_BYTES, NOTICE_LIFE_MS, RANDOM_TARGETS, READING_LIFE_MS, WATCHERS,
};
use crate::member::wire::{readings_bytes, records_bytes};
use crate::member::{Gossip, Member, MemberAction, MemberRecord, Purpose};
use crate::{Reading, UnixMs};

/// Room in each message that only records of members may use.
const MEMBERS_RESERVE_BYTES: usize = 150;
/// Share of the room that notices, hints and facts of other domains may each use.
const PART_DIVISOR: usize = 4;

impl Member {
    /// A round of heartbeats: to the hosts that watch this one and to a random one.
    pub(super) fn gossip(&mut self, now: UnixMs, actions: &mut Vec<MemberAction>) {
        self.schedule_gossip(now);
        self.has_news = false;
        self.forget_old(now);
        // One heartbeat for the whole round: if it is the last one, no host knows a later one than the watchers.
        self.own.heartbeat += 1;
        for to in self.targets() {
            actions.push(self.message(Purpose::Heartbeat, to, now));
        }
        self.has_news = self.has_untold_news(now);
    }

    /// A message of the usual length, longer for a host that has yet to learn everything.
    pub(super) fn message(
        &mut self,
        purpose: Purpose,
        to: SocketAddr,
        now: UnixMs,
    ) -> MemberAction {
        let is_first_contact = matches!(purpose, Purpose::Join | Purpose::Answer);
        let length = if is_first_contact { MAX_GOSSIP_BYTES } else { self.settings.gossip_bytes };
        let mut gossip = self.envelope(purpose);
        let mut left = length.min(MAX_GOSSIP_BYTES).saturating_sub(encoded_bytes(&gossip));
        self.add_news(&mut gossip, &mut left, now);
        self.add_readings(&mut gossip, &mut left, now);
        self.add_old_news(&mut gossip, &mut left, now);
        self.add_members(&mut gossip, &mut left, now);
        MemberAction::Send { to, gossip: Box::new(gossip) }
    }

    /// A message without content beside the state of this host.
    pub(super) fn envelope(&self, purpose: Purpose) -> Gossip {
        Gossip {
            purpose,
            failure_domain: self.settings.failure_domain.clone(),
            sender: self.own.clone(),
            members: Vec::new(),
            readings: Vec::new(),
            notices: Vec::new(),
            hints: Vec::new(),
            domains: Vec::new(),
        }
    }

    fn add_news(&mut self, gossip: &mut Gossip, left: &mut usize, now: UnixMs) {
        let max_sends = self.max_sends();
        let urgent = self.table.iter().filter(|entry| entry.sends < max_sends);
        let urgent: Vec<_> = urgent
            .filter(|entry| entry.is_told(now))
            .map(|entry| (entry.sends, entry.last_told, entry.record.host.clone()))
            .collect();
        let mut part = *left / 2;
        let before = part;
        self.add_records(gossip, urgent, &mut part);
        *left -= before - part;
        let share = *left / PART_DIVISOR;
        gossip.notices = take_part(left, share, |room| {
            let is_fresh = |notice: &ServerNotice| is_fresh_notice(notice, now);
            self.notices.take(max_sends, room, is_fresh, encoded_bytes)
        });
        gossip.hints = take_part(left, share, |room| {
            self.hints.take(max_sends, room, |_| true, encoded_bytes)
        });
        gossip.domains = take_part(left, share, |room| {
            self.facts.take(max_sends, room, |_| true, encoded_bytes)
        });
    }

    /// One notice, hint and fact that were told often enough, for hosts that missed them.
    fn add_old_news(&mut self, gossip: &mut Gossip, left: &mut usize, now: UnixMs) {
        if gossip.notices.is_empty() {
            gossip
                .notices
                .extend(self.notices.take_oldest(left, |notice| is_fresh_notice(notice, now)));
        }
        if gossip.hints.is_empty() {
            gossip.hints.extend(self.hints.take_oldest(left, |_| true));
        }
        if gossip.domains.is_empty() {
            gossip.domains.extend(self.facts.take_oldest(left, |_| true));
        }
    }

    fn add_readings(&mut self, gossip: &mut Gossip, left: &mut usize, now: UnixMs) {
        let max_sends = self.max_sends();
        let share = left.saturating_sub(MEMBERS_RESERVE_BYTES);
        gossip.readings = take_part(left, share, |room| {
            let is_fresh = |reading: &Reading| is_fresh_reading(reading, now);
            self.readings.take(max_sends, room, is_fresh, readings_bytes)
        });
    }

    fn add_members(&mut self, gossip: &mut Gossip, left: &mut usize, now: UnixMs) {
        let told = self.table.iter().filter(|entry| entry.is_told(now));
        let rest = told.map(|entry| (0, entry.last_told, entry.record.host.clone())).collect();
        self.add_records(gossip, rest, left);
    }

    fn add_records(
        &mut self,
        gossip: &mut Gossip,
        mut order: Vec<(u32, u64, String)>,
        left: &mut usize,
    ) {
        let is_in = |host: &str| gossip.members.iter().any(|record| record.host == host);
        order.retain(|(_, _, host)| !is_in(host));
        order.sort_unstable();
        order.truncate(MAX_PER_MESSAGE);
        let before_bytes = records_bytes(&gossip.members);
        let before_count = gossip.members.len();
        let records = order.iter().filter_map(|(_, _, host)| self.table.get(host));
        gossip.members.extend(records.map(|entry| entry.record.clone()));
        let count = longest_fit(&gossip.members, before_bytes + *left, records_bytes);
        gossip.members.truncate(count);
        for record in &gossip.members[before_count.min(count)..] {
            self.table.tell(&record.host);
        }
        *left = (before_bytes + *left).saturating_sub(records_bytes(&gossip.members));
    }

    fn targets(&mut self) -> Vec<SocketAddr> {
        let active: Vec<&MemberRecord> = self.table.active().collect();
        let names = active.iter().map(|record| record.host.as_str());
        let ring = Ring::new(&self.own.host, names);
        let watchers: Vec<&str> = ring.watchers(WATCHERS).collect();
        let is_watcher = |record: &MemberRecord| watchers.contains(&record.host.as_str());
        let others = active.iter().filter(|record| !is_watcher(record));
        let random = others.choose_multiple(&mut self.random, RANDOM_TARGETS);
        let chosen = active.iter().filter(|record| is_watcher(record)).chain(random);
        let mut addresses: Vec<SocketAddr> = chosen.map(|record| record.address).collect();
        // In a fixed order, a host could get the same part of the news in every round.
        addresses.shuffle(&mut self.random);
        addresses
    }

    fn forget_old(&mut self, now: UnixMs) {
        self.hints.retain(|hint| !super::receiving::expires_at(hint).is_past(now));
        self.facts.retain(|fact| !self.domains.is_outdated(fact));
        self.outgoing_hints.retain(|hint| !super::receiving::expires_at(hint).is_past(now));
    }

    /// Whether the present state of a member was not told to anybody yet.
    fn has_untold_news(&self, now: UnixMs) -> bool {
        self.table.active().next().is_some()
            && self.table.iter().any(|entry| entry.sends == 0 && entry.is_told(now))
    }
}

/// Old readings are kept, so that no older one takes their place, but not passed on.
fn is_fresh_reading(reading: &Reading, now: UnixMs) -> bool {
    !reading.measured_at.plus_ms(READING_LIFE_MS).is_past(now)
}

/// Old notices are kept, so that no older one takes their place, but not passed on.
fn is_fresh_notice(notice: &ServerNotice, now: UnixMs) -> bool {
    !notice.noticed_at.plus_ms(NOTICE_LIFE_MS).is_past(now)
}

/// Lets `take` use up to `share` of the room that is left.
fn take_part<T>(left: &mut usize, share: usize, take: impl FnOnce(&mut usize) -> Vec<T>) -> Vec<T> {
    let mut room = share.min(*left);
    let before = room;
    let taken = take(&mut room);
    *left -= before - room;
    taken
}
