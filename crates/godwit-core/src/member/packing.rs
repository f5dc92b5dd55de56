//! Assembly of gossip messages within their size limit.

use std::net::SocketAddr;

use rand::seq::{IteratorRandom, SliceRandom};

use crate::cluster_state::{
    MAX_ITEMS_PER_MESSAGE, ServerNotice, encoded_bytes, longest_fitting_prefix,
};
use crate::member::ring::Ring;
use crate::member::settings::{
    MAX_GOSSIP_BYTES, NOTICE_MAX_AGE_MS, RANDOM_TARGETS, READING_MAX_AGE_MS, WATCHERS_PER_HOST,
};
use crate::member::wire::{readings_bytes, records_bytes};
use crate::member::{Gossip, Member, MemberAction, MemberRecord, Purpose};
use crate::{Reading, UnixMs};

/// Space in each message that load readings leave to the records of members.
const MEMBERS_RESERVE_BYTES: usize = 150;
/// Divisor of the remaining space, giving the share that notices, hints and domain summaries may each use.
const SECTION_SHARE_DIVISOR: usize = 4;

impl Member {
    /// Sends a round of heartbeats to the hosts that watch this one and to a random one.
    pub(super) fn send_gossip(&mut self, now: UnixMs, actions: &mut Vec<MemberAction>) {
        self.schedule_gossip(now);
        self.has_urgent_update = false;
        self.remove_expired(now);
        // All messages of a round carry the same heartbeat number. If this round is the last one, no host has a newer
        // heartbeat than the watchers.
        self.own.heartbeat += 1;
        for to in self.gossip_targets() {
            actions.push(self.build_message(Purpose::Heartbeat, to, now));
        }
        self.has_urgent_update = self.has_unsent_state(now);
    }

    /// Builds a message of the configured size, or of the maximum size on first contact, when the receiver knows
    /// little.
    pub(super) fn build_message(
        &mut self,
        purpose: Purpose,
        to: SocketAddr,
        now: UnixMs,
    ) -> MemberAction {
        let is_first_contact = matches!(purpose, Purpose::Join | Purpose::Answer);
        let message_bytes =
            if is_first_contact { MAX_GOSSIP_BYTES } else { self.settings.gossip_bytes };
        let mut gossip = self.empty_message(purpose);
        let mut remaining_bytes =
            message_bytes.min(MAX_GOSSIP_BYTES).saturating_sub(encoded_bytes(&gossip));
        self.add_new_updates(&mut gossip, &mut remaining_bytes, now);
        self.add_readings(&mut gossip, &mut remaining_bytes, now);
        self.add_repeated_updates(&mut gossip, &mut remaining_bytes, now);
        self.add_other_members(&mut gossip, &mut remaining_bytes, now);
        MemberAction::Send { to, gossip: Box::new(gossip) }
    }

    /// Builds a message that carries only the state of this host.
    pub(super) fn empty_message(&self, purpose: Purpose) -> Gossip {
        Gossip {
            purpose,
            failure_domain: self.settings.failure_domain.clone(),
            sender: self.own.clone(),
            members: Vec::new(),
            readings: Vec::new(),
            notices: Vec::new(),
            hints: Vec::new(),
            summaries: Vec::new(),
        }
    }

    fn add_new_updates(&mut self, gossip: &mut Gossip, remaining_bytes: &mut usize, now: UnixMs) {
        let max_sends = self.max_sends();
        let urgent = self.table.iter().filter(|entry| entry.send_count < max_sends);
        let urgent: Vec<_> = urgent
            .filter(|entry| entry.is_sendable(now))
            .map(|entry| (entry.send_count, entry.last_sent, entry.record.host.clone()))
            .collect();
        let mut budget_bytes = *remaining_bytes / 2;
        let bytes_before = budget_bytes;
        self.add_records(gossip, urgent, &mut budget_bytes);
        *remaining_bytes -= bytes_before - budget_bytes;
        let max_bytes = *remaining_bytes / SECTION_SHARE_DIVISOR;
        gossip.notices = take_within(remaining_bytes, max_bytes, |budget_bytes| {
            let is_fresh = |notice: &ServerNotice| is_fresh_notice(notice, now);
            self.notices.take(max_sends, budget_bytes, is_fresh, encoded_bytes)
        });
        gossip.hints = take_within(remaining_bytes, max_bytes, |budget_bytes| {
            self.hints.take(max_sends, budget_bytes, |_| true, encoded_bytes)
        });
        gossip.summaries = take_within(remaining_bytes, max_bytes, |budget_bytes| {
            self.summaries.take(max_sends, budget_bytes, |_| true, encoded_bytes)
        });
    }

    /// Adds one notice, hint and summary that reached their send limit, for hosts that missed them.
    fn add_repeated_updates(
        &mut self,
        gossip: &mut Gossip,
        remaining_bytes: &mut usize,
        now: UnixMs,
    ) {
        if gossip.notices.is_empty() {
            gossip.notices.extend(
                self.notices.take_oldest(remaining_bytes, |notice| is_fresh_notice(notice, now)),
            );
        }
        if gossip.hints.is_empty() {
            gossip.hints.extend(self.hints.take_oldest(remaining_bytes, |_| true));
        }
        if gossip.summaries.is_empty() {
            gossip.summaries.extend(self.summaries.take_oldest(remaining_bytes, |_| true));
        }
    }

    fn add_readings(&mut self, gossip: &mut Gossip, remaining_bytes: &mut usize, now: UnixMs) {
        let max_sends = self.max_sends();
        let max_bytes = remaining_bytes.saturating_sub(MEMBERS_RESERVE_BYTES);
        gossip.readings = take_within(remaining_bytes, max_bytes, |budget_bytes| {
            let is_fresh = |reading: &Reading| is_fresh_reading(reading, now);
            self.readings.take(max_sends, budget_bytes, is_fresh, readings_bytes)
        });
    }

    fn add_other_members(&mut self, gossip: &mut Gossip, remaining_bytes: &mut usize, now: UnixMs) {
        let sendable = self.table.iter().filter(|entry| entry.is_sendable(now));
        let rest = sendable.map(|entry| (0, entry.last_sent, entry.record.host.clone())).collect();
        self.add_records(gossip, rest, remaining_bytes);
    }

    fn add_records(
        &mut self,
        gossip: &mut Gossip,
        mut candidates: Vec<(u32, u64, String)>,
        remaining_bytes: &mut usize,
    ) {
        let is_included = |host: &str| gossip.members.iter().any(|record| record.host == host);
        candidates.retain(|(_, _, host)| !is_included(host));
        candidates.sort_unstable();
        candidates.truncate(MAX_ITEMS_PER_MESSAGE);
        let bytes_before = records_bytes(&gossip.members);
        let count_before = gossip.members.len();
        let records = candidates.iter().filter_map(|(_, _, host)| self.table.get(host));
        gossip.members.extend(records.map(|entry| entry.record.clone()));
        let count =
            longest_fitting_prefix(&gossip.members, bytes_before + *remaining_bytes, records_bytes);
        gossip.members.truncate(count);
        for record in &gossip.members[count_before.min(count)..] {
            self.table.mark_sent(&record.host);
        }
        *remaining_bytes =
            (bytes_before + *remaining_bytes).saturating_sub(records_bytes(&gossip.members));
    }

    fn gossip_targets(&mut self) -> Vec<SocketAddr> {
        let active: Vec<&MemberRecord> = self.table.active().collect();
        let names = active.iter().map(|record| record.host.as_str());
        let ring = Ring::new(&self.own.host, names);
        let watchers: Vec<&str> = ring.watchers(WATCHERS_PER_HOST).collect();
        let is_watcher = |record: &MemberRecord| watchers.contains(&record.host.as_str());
        let others = active.iter().filter(|record| !is_watcher(record));
        let random = others.choose_multiple(&mut self.rng, RANDOM_TARGETS);
        let chosen = active.iter().filter(|record| is_watcher(record)).chain(random);
        let mut addresses: Vec<SocketAddr> = chosen.map(|record| record.address).collect();
        // In a fixed order, a host could receive the same part of the updates in every round.
        addresses.shuffle(&mut self.rng);
        addresses
    }

    fn remove_expired(&mut self, now: UnixMs) {
        self.hints.retain(|hint| !super::receiving::expires_at(hint).is_past(now));
        self.summaries.retain(|summary| !self.domains.is_outdated(summary));
        self.cross_domain_hints.retain(|hint| !super::receiving::expires_at(hint).is_past(now));
    }

    /// Whether the current state of a member has not been sent to any host yet.
    fn has_unsent_state(&self, now: UnixMs) -> bool {
        self.table.active().next().is_some()
            && self.table.iter().any(|entry| entry.send_count == 0 && entry.is_sendable(now))
    }
}

/// Whether a reading is recent enough to be sent. Old readings are kept, so that no older one replaces them, but not
/// sent.
fn is_fresh_reading(reading: &Reading, now: UnixMs) -> bool {
    !reading.measured_at.plus_ms(READING_MAX_AGE_MS).is_past(now)
}

/// Whether a notice is recent enough to be sent. Old notices are kept, so that no older one replaces them, but not
/// sent.
fn is_fresh_notice(notice: &ServerNotice, now: UnixMs) -> bool {
    !notice.noticed_at.plus_ms(NOTICE_MAX_AGE_MS).is_past(now)
}

/// Runs `take` with a budget of up to `max_bytes` of the remaining space, and subtracts what it used.
fn take_within<T>(
    remaining_bytes: &mut usize,
    max_bytes: usize,
    take: impl FnOnce(&mut usize) -> Vec<T>,
) -> Vec<T> {
    let mut budget_bytes = max_bytes.min(*remaining_bytes);
    let bytes_before = budget_bytes;
    let taken = take(&mut budget_bytes);
    *remaining_bytes -= bytes_before - budget_bytes;
    taken
}
