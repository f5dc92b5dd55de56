//! Failure detector for the members of this host's failure domain, with hysteresis after false suspicions.

use std::collections::BTreeSet;

use crate::UnixMs;
use crate::member::ring::Ring;
use crate::member::settings::{
    DEAD_AFTER_MS, FALSE_SUSPICION_RESET_MS, LOCAL_PAUSE_MS, MAX_FALSE_SUSPICIONS, PROBE_AFTER_MS,
    STALE_AFTER_MS, SUSPECT_AFTER_MS, WATCHERS_PER_HOST,
};
use crate::member::table::MemberEntry;
use crate::member::{Liveness, Member, MemberAction, Purpose};

/// Decision of the failure detector about a member.
enum Decision {
    Keep,
    Probe,
    Suspect,
    DeclareDead,
}

impl Member {
    /// Shifts the recorded times of all members past a pause of this process, so that silence during the pause does not
    /// count against them.
    pub(super) fn discount_local_pause(&mut self, now: UnixMs) {
        let gap_ms = now.since_ms(self.last_tick_at);
        self.last_tick_at = now;
        if gap_ms <= LOCAL_PAUSE_MS {
            return;
        }
        for entry in self.table.iter_mut() {
            let postpone = |at: UnixMs| UnixMs(at.plus_ms(gap_ms).0.min(now.0));
            entry.last_heartbeat_at = postpone(entry.last_heartbeat_at);
            entry.last_direct_at = postpone(entry.last_direct_at);
            entry.liveness_changed_at = postpone(entry.liveness_changed_at);
            entry.watched_since = entry.watched_since.map(postpone);
        }
    }

    /// Probes silent members, suspects them, or declares them dead.
    pub(super) fn detect(&mut self, now: UnixMs, actions: &mut Vec<MemberAction>) {
        let watched = self.watched();
        let mut decisions = Vec::new();
        for entry in self.table.iter_mut() {
            let is_watched = watched.contains(&entry.record.host);
            entry.watched_since = is_watched.then(|| entry.watched_since.unwrap_or(now));
            decisions.push((entry.record.host.clone(), entry.decide(now)));
        }
        for (host, decision) in decisions {
            match decision {
                Decision::Keep => {}
                Decision::Probe => self.probe(&host, now, actions),
                Decision::Suspect => self.set_liveness(&host, Liveness::Suspect, now, actions),
                Decision::DeclareDead => self.set_liveness(&host, Liveness::Dead, now, actions),
            }
        }
        self.table.remove_expired_dead(now);
    }

    fn watched(&self) -> BTreeSet<String> {
        let others = self.table.active().map(|record| record.host.as_str());
        let ring = Ring::new(&self.own.host, others);
        ring.watched(WATCHERS_PER_HOST).map(str::to_string).collect()
    }

    fn probe(&mut self, host: &str, now: UnixMs, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.entry_mut(host) else { return };
        entry.probed_at = now;
        let to = entry.record.address;
        actions.push(self.build_message(Purpose::Probe, to, now));
    }

    fn set_liveness(
        &mut self,
        host: &str,
        liveness: Liveness,
        now: UnixMs,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(entry) = self.entry_mut(host) else { return };
        entry.record.liveness = liveness;
        entry.liveness_changed_at = now;
        entry.send_count = 0;
        if liveness == Liveness::Suspect {
            self.has_urgent_update = true;
        } else {
            self.emit_hosts_changed(actions);
        }
    }
}

impl MemberEntry {
    fn decide(&mut self, now: UnixMs) -> Decision {
        if self.cleared_at.plus_ms(FALSE_SUSPICION_RESET_MS).is_past(now) {
            self.false_suspicions = 0;
        }
        match self.record.liveness {
            Liveness::Dead => Decision::Keep,
            Liveness::Suspect if self.liveness_changed_at.plus_ms(DEAD_AFTER_MS).is_past(now) => {
                Decision::DeclareDead
            }
            Liveness::Suspect => Decision::Keep,
            Liveness::Alive => self.decide_by_silence(now),
        }
    }

    fn decide_by_silence(&self, now: UnixMs) -> Decision {
        if now.since_ms(self.last_heartbeat_at) >= STALE_AFTER_MS {
            return Decision::Suspect;
        }
        let Some(watched_since) = self.watched_since else { return Decision::Keep };
        let silent_since = self.last_alive_at().max(watched_since);
        let silent_ms = now.since_ms(silent_since);
        if silent_ms >= SUSPECT_AFTER_MS * u64::from(self.false_suspicions.max(1)) {
            return Decision::Suspect;
        }
        if silent_ms >= PROBE_AFTER_MS && self.probed_at <= silent_since {
            return Decision::Probe;
        }
        Decision::Keep
    }

    /// Time of the last evidence that the member is alive. A refutation that arrives through other hosts may be older
    /// than the silence, so that it extends the time less than a message from the member itself. After repeated false
    /// suspicions the direct link to the member is assumed to be bad, and heartbeats relayed by other hosts count in
    /// full.
    fn last_alive_at(&self) -> UnixMs {
        let direct = self.last_direct_at.max(self.cleared_at.minus_ms(PROBE_AFTER_MS));
        if self.false_suspicions < MAX_FALSE_SUSPICIONS {
            direct
        } else {
            direct.max(self.last_heartbeat_at)
        }
    }
}
