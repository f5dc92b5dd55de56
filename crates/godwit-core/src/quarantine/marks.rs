//! Crash marks of one request.

use crate::UnixMs;

/// Time for which a mark counts, in milliseconds.
pub const MARK_LIFETIME_MS: u64 = 15 * 60 * 1_000;
/// Maximum time between two reports of the loss of a server that count as one loss seen by several hosts, in
/// milliseconds.
pub(crate) const SAME_LOSS_WINDOW_MS: u64 = 250;

#[derive(Clone, Debug, Eq, PartialEq)]
struct Mark {
    server: String,
    expires_at: UnixMs,
}

impl Mark {
    fn lost_at(&self) -> UnixMs {
        self.expires_at.minus_ms(MARK_LIFETIME_MS)
    }

    fn is_same_loss(&self, server: &str, expires_at: UnixMs) -> bool {
        let interval_ms =
            self.expires_at.since_ms(expires_at).max(expires_at.since_ms(self.expires_at));
        self.server == server && interval_ms <= SAME_LOSS_WINDOW_MS
    }
}

/// Server losses of which one request is suspected.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Marks {
    marks: Vec<Mark>,
    cleared_at: Option<UnixMs>,
}

impl Marks {
    /// Adds a mark, unless the loss is already marked, expired, or not later than the last clearing of the marks.
    pub(crate) fn add(&mut self, server: &str, expires_at: UnixMs, now: UnixMs) {
        let latest = now.plus_ms(MARK_LIFETIME_MS);
        let expires_at = expires_at.min(latest);
        let lost_at = expires_at.minus_ms(MARK_LIFETIME_MS);
        let cleared = self.cleared_at.is_some_and(|cleared_at| lost_at <= cleared_at);
        let known = self.marks.iter().any(|mark| mark.is_same_loss(server, expires_at));
        if cleared || known || expires_at.is_past(now) {
            return;
        }
        self.marks.push(Mark { server: server.to_string(), expires_at });
    }

    /// Removes the marks of all losses up to `cleared_at`.
    pub(crate) fn clear(&mut self, cleared_at: UnixMs) {
        self.marks.retain(|mark| mark.lost_at() > cleared_at);
        self.cleared_at = self.cleared_at.max(Some(cleared_at));
    }

    /// Number of marks that have not expired.
    pub(crate) fn count(&self, now: UnixMs) -> usize {
        self.marks.iter().filter(|mark| !mark.expires_at.is_past(now)).count()
    }

    /// Removes the marks and the time of the last clearing once they have expired.
    pub(crate) fn expire(&mut self, now: UnixMs) {
        self.marks.retain(|mark| !mark.expires_at.is_past(now));
        self.cleared_at = self.cleared_at.filter(|at| !at.plus_ms(MARK_LIFETIME_MS).is_past(now));
    }

    /// Whether there is neither a mark nor a time of clearing.
    pub(crate) fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.cleared_at.is_none()
    }

    /// Time at which the last mark or the time of clearing expires.
    pub(crate) fn last_expiry(&self) -> UnixMs {
        let cleared = self.cleared_at.map(|at| at.plus_ms(MARK_LIFETIME_MS));
        self.marks.iter().map(|mark| mark.expires_at).chain(cleared).max().unwrap_or_default()
    }
}
