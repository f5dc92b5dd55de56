//! Detection of replayed datagrams.

use std::collections::BTreeMap;

use godwit_core::UnixMs;

/// How far the clocks of two hosts may differ, and how long a datagram may be on its way.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 30_000;
/// A sender that was silent for so long is forgotten: any datagram of before is stale by now.
const FORGET_AFTER_MS: u64 = 2 * MAX_CLOCK_DIFFERENCE_MS;
/// Senders remembered; the one that was silent longest is forgotten first.
const MAX_SENDERS: usize = 4_096;
/// Counters below the highest one that are told apart.
const WINDOW: u64 = 64;

/// Why a datagram was taken for a replay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// Sent too long ago, or in the future.
    Stale,
    /// Seen before, or of an older incarnation of its sender.
    Replayed,
}

/// What was received from each sender: the highest counter and a window of those below it.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_peer::ReplayGuard;
/// let mut guard = ReplayGuard::default();
/// assert!(guard.is_new("entry-1", 7, 1, UnixMs(1_000), UnixMs(1_001)));
/// assert!(!guard.is_new("entry-1", 7, 1, UnixMs(1_000), UnixMs(1_002)));
/// ```
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<String, Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u64,
    received_at: UnixMs,
}

impl ReplayGuard {
    /// Whether a datagram with this header is new; remembers it when it is.
    pub fn is_new(
        &mut self,
        sender: &str,
        incarnation: u64,
        counter: u64,
        sent_at: UnixMs,
        now: UnixMs,
    ) -> bool {
        self.check(sender, incarnation, counter, sent_at, now).is_ok()
    }

    pub(crate) fn check(
        &mut self,
        sender: &str,
        incarnation: u64,
        counter: u64,
        sent_at: UnixMs,
        now: UnixMs,
    ) -> Result<(), Refusal> {
        if now.since_ms(sent_at).max(sent_at.since_ms(now)) > MAX_CLOCK_DIFFERENCE_MS {
            return Err(Refusal::Stale);
        }
        let first = Window { incarnation, highest: counter, seen: 1, received_at: now };
        let known = self.senders.get_mut(sender);
        let known = known.filter(|window| now.since_ms(window.received_at) < FORGET_AFTER_MS);
        let Some(window) = known else {
            self.make_room();
            self.senders.insert(sender.to_string(), first);
            return Ok(());
        };
        if incarnation > window.incarnation {
            *window = first;
            return Ok(());
        }
        if incarnation < window.incarnation || !window.insert(counter) {
            return Err(Refusal::Replayed);
        }
        window.received_at = now;
        Ok(())
    }

    fn make_room(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let silent = self.senders.iter().min_by_key(|(_, window)| window.received_at);
        if let Some(name) = silent.map(|(name, _)| name.clone()) {
            self.senders.remove(&name);
        }
    }
}

impl Window {
    /// Remembers a counter; false when it was seen before or is too far back to tell.
    fn insert(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let shift = counter - self.highest;
            self.seen = if shift < WINDOW { self.seen << shift | 1 } else { 1 };
            self.highest = counter;
            return true;
        }
        let back = self.highest - counter;
        if back >= WINDOW || self.seen >> back & 1 == 1 {
            return false;
        }
        self.seen |= 1 << back;
        true
    }
}
