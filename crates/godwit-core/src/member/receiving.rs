//! Merging of received messages, and of this host's own poll results and hints.

use crate::cluster_state::{DomainSummary, PollResult, ServerNotice};
use crate::member::table::Change;
use crate::member::{
    Gossip, Liveness, Member, MemberAction, MemberEvent, MemberRecord, Phase, Purpose,
};
use crate::{Hint, Reading, UnixMs};

impl Member {
    /// Merges a message from another host; the driver has authenticated it.
    pub fn receive(&mut self, gossip: &Gossip, now: UnixMs) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        let is_same_domain = gossip.failure_domain == self.settings.failure_domain;
        if is_same_domain {
            self.receive_from_own_domain(gossip, now, &mut actions);
        }
        for hint in &gossip.hints {
            self.merge_hint(hint, is_same_domain, now, &mut actions);
        }
        for summary in &gossip.summaries {
            self.merge_summary(summary, now, &mut actions);
        }
        if matches!(gossip.purpose, Purpose::Probe | Purpose::Join) {
            let answer = self.answer(gossip.sender.address, is_same_domain, now);
            actions.push(answer);
        }
        actions
    }

    /// Records the result of a poll by this host and schedules it to be sent to the other hosts.
    pub fn record_poll_result(&mut self, result: &PollResult, now: UnixMs) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        match result {
            PollResult::Reading(reading) => self.merge_reading(reading, &mut actions),
            PollResult::Notice(notice) => self.merge_notice(notice, now, &mut actions),
        }
        actions
    }

    /// Records a hint of this host and schedules it to be sent to the other hosts.
    pub fn publish_hint(&mut self, hint: &Hint, now: UnixMs) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.merge_hint(hint, true, now, &mut actions);
        actions
    }

    fn answer(
        &mut self,
        to: std::net::SocketAddr,
        is_same_domain: bool,
        now: UnixMs,
    ) -> MemberAction {
        if is_same_domain {
            return self.build_message(Purpose::Answer, to, now);
        }
        self.build_summary(Purpose::Answer, to, now)
    }

    fn receive_from_own_domain(
        &mut self,
        gossip: &Gossip,
        now: UnixMs,
        actions: &mut Vec<MemberAction>,
    ) {
        self.merge_record(&gossip.sender, now, actions);
        if let Some(entry) = self.entry_mut(&gossip.sender.host)
            && entry.record.incarnation == gossip.sender.incarnation
        {
            entry.last_direct_at = now;
        }
        for record in &gossip.members {
            self.merge_record(record, now, actions);
        }
        for reading in &gossip.readings {
            self.merge_reading(reading, actions);
        }
        for notice in &gossip.notices {
            self.merge_notice(notice, now, actions);
        }
    }

    fn merge_record(
        &mut self,
        record: &MemberRecord,
        now: UnixMs,
        actions: &mut Vec<MemberAction>,
    ) {
        if record.host == self.own.host {
            self.handle_own_record(record, actions);
            return;
        }
        let before = self.table.get(&record.host).map(|entry| entry.record.clone());
        let change = self.table.merge(record, now);
        if change == Change::Nothing || change == Change::Heartbeat {
            return;
        }
        let before = before.as_ref();
        if change == Change::State {
            self.has_urgent_update = true;
            if before.is_none_or(|before| is_serving(before) != is_serving(record)) {
                self.emit_hosts_changed(actions);
            }
        }
        if before.is_none_or(|before| before.configuration != record.configuration) {
            actions.push(MemberAction::Emit(MemberEvent::ConfigurationHeard {
                host: record.host.clone(),
                address: record.address,
                configuration: record.configuration,
            }));
        }
    }

    /// Handles a record about this host that another host sent. A suspicion is refuted by the next heartbeat, which is
    /// sent early.
    fn handle_own_record(&mut self, record: &MemberRecord, actions: &mut Vec<MemberAction>) {
        if record.incarnation > self.own.incarnation {
            let incarnation = record.incarnation;
            actions.push(MemberAction::Emit(MemberEvent::Superseded { incarnation }));
            return;
        }
        if record.incarnation == self.own.incarnation && record.liveness != Liveness::Alive {
            self.has_urgent_update = true;
        }
    }

    fn merge_reading(&mut self, reading: &Reading, actions: &mut Vec<MemberAction>) {
        let version = |reading: &Reading| (reading.started_at, reading.measured_at);
        if self
            .readings
            .get(&reading.server)
            .is_some_and(|known| version(known) >= version(reading))
        {
            return;
        }
        self.readings.insert(reading.server.clone(), reading.clone());
        actions.push(MemberAction::Emit(MemberEvent::Reading(reading.clone())));
    }

    fn merge_notice(
        &mut self,
        notice: &ServerNotice,
        now: UnixMs,
        actions: &mut Vec<MemberAction>,
    ) {
        let key = (notice.server.clone(), notice.notice.is_listing());
        let known = self.notices.get(&key);
        if known.is_some_and(|known| known.noticed_at >= notice.noticed_at) {
            return;
        }
        let is_change = known.is_none_or(|known| known.notice != notice.notice);
        self.has_urgent_update |= is_change && notice.noticed_at <= now;
        self.notices.insert(key, notice.clone());
        actions.push(MemberAction::Emit(MemberEvent::Notice(notice.clone())));
    }

    fn merge_hint(
        &mut self,
        hint: &Hint,
        is_same_domain: bool,
        now: UnixMs,
        actions: &mut Vec<MemberAction>,
    ) {
        let key = hint_key(hint);
        let known = self.hints.get(&key);
        let is_known = known.is_some_and(|known| expires_at(known) >= expires_at(hint));
        if is_known || expires_at(hint).is_past(now) {
            return;
        }
        self.has_urgent_update |= known.is_none();
        self.hints.insert(key.clone(), hint.clone());
        if is_same_domain && matches!(hint, Hint::CrashMark { .. } | Hint::CrashCleared { .. }) {
            self.cross_domain_hints.insert(key, hint.clone());
        }
        actions.push(MemberAction::Emit(MemberEvent::Hint(hint.clone())));
    }

    fn merge_summary(
        &mut self,
        summary: &DomainSummary,
        now: UnixMs,
        actions: &mut Vec<MemberAction>,
    ) {
        let failure_domain = summary.failure_domain();
        if failure_domain == self.settings.failure_domain {
            return;
        }
        if self
            .summaries
            .get(&summary.key())
            .is_some_and(|known| known.made_at() >= summary.made_at())
        {
            return;
        }
        let known = self.domains.capacity(failure_domain).map(|known| known.configuration);
        if !self.domains.merge(summary, now) {
            return;
        }
        self.summaries.insert(summary.key(), summary.clone());
        let failure_domain = failure_domain.to_string();
        actions.push(MemberAction::Emit(MemberEvent::DomainChanged { failure_domain }));
        if let DomainSummary::Capacity(capacity) = summary
            && known != Some(capacity.configuration)
        {
            actions.push(MemberAction::Emit(MemberEvent::ConfigurationHeard {
                host: capacity.delegate.host.clone(),
                address: capacity.delegate.address,
                configuration: capacity.configuration,
            }));
        }
    }
}

fn is_serving(record: &MemberRecord) -> bool {
    record.liveness != Liveness::Dead && record.phase == Phase::Serving
}

fn hint_key(hint: &Hint) -> super::state::HintKey {
    match hint {
        Hint::CrashMark { fingerprint, server, .. } => (0, *fingerprint, server.clone()),
        Hint::ServerSuspect { server, .. } => (1, 0, server.clone()),
        Hint::CrashCleared { fingerprint, .. } => (2, *fingerprint, String::new()),
    }
}

pub(super) fn expires_at(hint: &Hint) -> UnixMs {
    match hint {
        Hint::CrashMark { expires_at, .. }
        | Hint::CrashCleared { expires_at, .. }
        | Hint::ServerSuspect { expires_at, .. } => *expires_at,
    }
}
