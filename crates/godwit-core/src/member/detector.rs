//! Detection of silent members, with hysteresis.

use std::collections::BTreeSet;

use crate::UnixMs;
use crate::member::ring::Ring;
use crate::member::settings::{
    DEAD_AFTER_MS, FORGIVE_AFTER_MS, MAX_SUSPICION_STEPS, OWN_PAUSE_MS, PROBE_AFTER_MS,
    STALE_AFTER_MS, SUSPECT_AFTER_MS, WATCHERS,
};
use crate::member::table::Entry;
use crate::member::{Doubt, Member, MemberAction, Purpose};

/// What has to be done about a member.
enum Verdict {
    Fine,
    Probe,
    Suspect,
    Dead,
}

impl Member {
    /// After a pause of this host, the silence of the others during the pause does not count.
    pub(super) fn forgive_own_pause(&mut self, now: UnixMs) {
        let gap_ms = now.since_ms(self.last_tick_at);
        self.last_tick_at = now;
        if gap_ms <= OWN_PAUSE_MS {
            return;
        }
        for entry in self.table.iter_mut() {
            let shift = |at: UnixMs| UnixMs(at.plus_ms(gap_ms).0.min(now.0));
            entry.heard_at = shift(entry.heard_at);
            entry.direct_at = shift(entry.direct_at);
            entry.doubted_at = shift(entry.doubted_at);
            entry.watched_since = entry.watched_since.map(shift);
        }
    }

    /// Probes, suspects or gives up members.
    pub(super) fn detect(&mut self, now: UnixMs, actions: &mut Vec<MemberAction>) {
        let watched = self.watched();
        let mut verdicts = Vec::new();
        for entry in self.table.iter_mut() {
            let is_watched = watched.contains(&entry.record.host);
            entry.watched_since = is_watched.then(|| entry.watched_since.unwrap_or(now));
            verdicts.push((entry.record.host.clone(), entry.judge(now)));
        }
        for (host, verdict) in verdicts {
            match verdict {
                Verdict::Fine => {}
                Verdict::Probe => self.probe(&host, now, actions),
                Verdict::Suspect => self.doubt(&host, Doubt::Suspect, now, actions),
                Verdict::Dead => self.doubt(&host, Doubt::Dead, now, actions),
            }
        }
        self.table.forget_dead(now);
    }

    fn watched(&self) -> BTreeSet<String> {
        let others = self.table.active().map(|record| record.host.as_str());
        let ring = Ring::new(&self.own.host, others);
        ring.watched(WATCHERS).map(str::to_string).collect()
    }

    fn probe(&mut self, host: &str, now: UnixMs, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.watched_entry(host) else { return };
        entry.probed_at = now;
        let to = entry.record.address;
        actions.push(self.message(Purpose::Probe, to, now));
    }

    fn doubt(&mut self, host: &str, doubt: Doubt, now: UnixMs, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.watched_entry(host) else { return };
        entry.record.doubt = doubt;
        entry.doubted_at = now;
        entry.sends = 0;
        if doubt == Doubt::Suspect {
            self.has_news = true;
        } else {
            self.tell_hosts_changed(actions);
        }
    }
}

impl Entry {
    fn judge(&mut self, now: UnixMs) -> Verdict {
        if self.cleared_at.plus_ms(FORGIVE_AFTER_MS).is_past(now) {
            self.false_suspicions = 0;
        }
        match self.record.doubt {
            Doubt::Dead => Verdict::Fine,
            Doubt::Suspect if self.doubted_at.plus_ms(DEAD_AFTER_MS).is_past(now) => Verdict::Dead,
            Doubt::Suspect => Verdict::Fine,
            Doubt::None => self.judge_silence(now),
        }
    }

    fn judge_silence(&self, now: UnixMs) -> Verdict {
        if now.since_ms(self.heard_at) >= STALE_AFTER_MS {
            return Verdict::Suspect;
        }
        let Some(watched_since) = self.watched_since else { return Verdict::Fine };
        let silent_since = self.last_sign().max(watched_since);
        let silent_ms = now.since_ms(silent_since);
        if silent_ms >= SUSPECT_AFTER_MS * u64::from(self.false_suspicions.max(1)) {
            return Verdict::Suspect;
        }
        if silent_ms >= PROBE_AFTER_MS && self.probed_at <= silent_since {
            return Verdict::Probe;
        }
        Verdict::Fine
    }

    /// When the member last gave a sign of life. What others tell against a suspicion may be older than the silence,
    /// and grants less time than a message of the member. After repeated false suspicions, the link to the member is
    /// taken for bad, and what others hear of it counts in full.
    fn last_sign(&self) -> UnixMs {
        let direct = self.direct_at.max(self.cleared_at.minus_ms(PROBE_AFTER_MS));
        if self.false_suspicions < MAX_SUSPICION_STEPS { direct } else { direct.max(self.heard_at) }
    }
}
