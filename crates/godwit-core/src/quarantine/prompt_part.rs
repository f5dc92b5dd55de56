//! Losses under requests that share a part of their prompts.
//!
//! A part may end each server that begins to write a response, whatever else the request holds. Requests with it have
//! nothing in common but the part, and sound requests on the same servers share their other parts. What tells them apart is
//! that no request with the part ever gets past the beginning of its response.

use crate::SteadyMs;
use crate::quarantine::crash_register::CrashRegister;
use crate::quarantine::suspect::{ESTABLISHED_MS, LostRun, MAX_EARLY_PIECES};

/// Maximum number of parts of which the last response is remembered.
pub const MAX_PART_RESPONSES: usize = 8_192;

impl CrashRegister {
    /// Records that a server ended while a request with a part ran on it, unless its response was past the beginning.
    /// Returns false if the loss does not count or was known.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::quarantine::{CrashRegister, LostRun};
    /// let mut register = CrashRegister::new(60_000);
    /// let part = 9;
    /// for request in 1..=3 {
    ///     let (server, now) = (format!("s-{request}"), SteadyMs(100 * request));
    ///     let lost = LostRun {
    ///         fingerprint: request, started_at: now, pieces: 0, request_id: "r", is_trial: false,
    ///     };
    ///     assert!(register.record_part_loss(part, lost, &server, now));
    /// }
    /// assert!(register.is_in_doubt(part));
    /// register.record_part_response(part, SteadyMs(400));
    /// assert!(!register.is_in_doubt(part));
    /// ```
    pub fn record_part_loss(
        &mut self,
        part: u64,
        lost: LostRun<'_>,
        server: &str,
        now: SteadyMs,
    ) -> bool {
        if lost.pieces > MAX_EARLY_PIECES {
            return false;
        }
        let loss = self.record_lost_run(&lost, server, now);
        self.add_loss(part, true, server, loss, now)
    }

    /// Records that the response to a request with a part has come past its beginning, which clears the part of all losses
    /// before. Returns false if it had none.
    pub fn record_part_response(&mut self, part: u64, now: SteadyMs) -> bool {
        self.note_part_response(part, now);
        self.record_completion(part, now)
    }

    /// Remembers the time of a response to a request with a part.
    pub(super) fn note_part_response(&mut self, part: u64, at: SteadyMs) {
        if let Some(known_at) = self.part_responses.get_mut(&part) {
            *known_at = at.max(*known_at);
        } else if self.part_responses.len() < MAX_PART_RESPONSES {
            self.part_responses.insert(part, at);
        }
    }

    /// Removes responses that are too old to matter.
    pub(super) fn expire_part_responses(&mut self, now: SteadyMs) {
        self.part_responses.retain(|_, at| !at.plus_ms(ESTABLISHED_MS).is_past(now));
    }
}

/// Whether a response that has come so far is past its beginning, so that no part of the prompt keeps servers from
/// writing it.
///
/// ```
/// use godwit_core::quarantine::is_past_beginning;
/// assert!(!is_past_beginning(1));
/// assert!(is_past_beginning(20));
/// ```
pub fn is_past_beginning(pieces: u64) -> bool {
    pieces > MAX_EARLY_PIECES
}
