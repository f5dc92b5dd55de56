//! Detection of replayed datagrams.

use std::collections::BTreeMap;

use godwit_core::UnixMs;

/// Largest accepted difference between the send time and the local clock: clock skew plus time in transit.
const MAX_CLOCK_SKEW_MS: u64 = 30_000;
/// A sender is forgotten after this time without a datagram; its older datagrams are all stale by then.
const SENDER_EXPIRY_MS: u64 = 2 * MAX_CLOCK_SKEW_MS;
/// Maximum number of tracked senders; the one whose last datagram is the oldest is evicted first.
const MAX_SENDERS: usize = 4_096;
/// Number of counters, up to and including the highest one, whose receipt is tracked; one bit each.
const WINDOW_BITS: u64 = 64;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rejection {
    /// The send time is more than [`MAX_CLOCK_SKEW_MS`] from the local clock.
    Stale,
    /// Seen before, below the window, or from an older incarnation of its sender.
    Replayed,
}

/// Detects replayed datagrams: tracks the highest counter of each sender and a window of the counters below it.
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
    seen_bits: u64,
    received_at: UnixMs,
}

impl ReplayGuard {
    /// Returns whether a datagram with this header is new, and if so records it as received.
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
    ) -> Result<(), Rejection> {
        if now.since_ms(sent_at).max(sent_at.since_ms(now)) > MAX_CLOCK_SKEW_MS {
            return Err(Rejection::Stale);
        }
        let first = Window { incarnation, highest: counter, seen_bits: 1, received_at: now };
        let known = self.senders.get_mut(sender);
        let known = known.filter(|window| now.since_ms(window.received_at) < SENDER_EXPIRY_MS);
        let Some(window) = known else {
            self.evict_if_full();
            self.senders.insert(sender.to_string(), first);
            return Ok(());
        };
        if incarnation > window.incarnation {
            *window = first;
            return Ok(());
        }
        if incarnation < window.incarnation || !window.insert(counter) {
            return Err(Rejection::Replayed);
        }
        window.received_at = now;
        Ok(())
    }

    fn evict_if_full(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, window)| window.received_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.senders.remove(&name);
        }
    }
}

impl Window {
    /// Records a counter; returns false when it was seen before or lies below the window.
    fn insert(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let shift = counter - self.highest;
            self.seen_bits = if shift < WINDOW_BITS { self.seen_bits << shift | 1 } else { 1 };
            self.highest = counter;
            return true;
        }
        let distance = self.highest - counter;
        if distance >= WINDOW_BITS || self.seen_bits >> distance & 1 == 1 {
            return false;
        }
        self.seen_bits |= 1 << distance;
        true
    }
}
