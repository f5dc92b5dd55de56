//! Sharing of the room of servers among hosts that learn of each other's requests with a delay.
//!
//! The room of a server is the number of requests, or of their tokens, that it can hold. Were each host to fill what
//! it believes to be free, all hosts would send to a server at once when it has room again, and what is beyond its room
//! would wait there past its latency target. So a host may always use its own share, and more while much is free; once
//! most is used, only in its turn and as much as stays clear of the shares of others.

use crate::SteadyMs;
use crate::rendezvous::uniform_number;
use crate::site::load::Load;

/// Share of the room of a server that is left to hosts that have not used their own shares.
const UNSHARED_MARGIN: f64 = 0.15;

/// Part of the room of a server that all hosts may use at any time. While more is free than what they send before they
/// learn of each other, they need not keep to their shares.
const OPEN_SHARE: f64 = 0.55;

/// Length of a turn, in milliseconds; hosts learn within about that time of what others have sent.
const TURN_MS: u64 = 400;

/// Number of hosts that may all go beyond their shares at the same time: turns would leave more room unused than so few
/// use twice before they learn of each other.
const FEW_HOSTS: usize = 12;

/// Returns how many of `hosts` hosts have a turn at a time, on average.
fn hosts_at_a_time(hosts: usize) -> usize {
    (2 * FEW_HOSTS).saturating_sub(hosts).max(1)
}

/// Whether a host may go beyond its shares now. A few hosts always may. Of many it is one at a time on average, so that
/// they do not all use the same room before they learn of each other. Their clocks need not agree.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::site::has_turn;
/// assert!(has_turn("front-1", 1, SteadyMs(0)));
/// ```
pub fn has_turn(host: &str, hosts: usize, now: SteadyMs) -> bool {
    uniform_number(now.0 / TURN_MS, host) * (hosts as f64) < hosts_at_a_time(hosts) as f64
}

/// Terms on which a host may use the room of servers for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomTerms {
    /// Share of the room of a server in this host's failure domain that is this host's own, from 0 to 1.
    pub host_share: f64,
    /// Share of the room that is kept for more urgent requests, from 0 to 1.
    pub reserved_share: f64,
    /// Whether this host knows what others use, without which it keeps to its share.
    pub knows_load: bool,
    /// Whether the host may go beyond its share where little is free; see [`has_turn`].
    pub has_turn: bool,
}

impl RoomTerms {
    /// Terms of a host that shares the servers with no other host.
    pub const WHOLE: RoomTerms =
        RoomTerms { host_share: 1.0, reserved_share: 0.0, knows_load: true, has_turn: true };

    /// Returns the terms of one of `hosts` hosts of a failure domain that share its servers alike.
    ///
    /// ```
    /// use godwit_core::site::RoomTerms;
    /// assert_eq!(RoomTerms::equal(4, true).host_share, 0.25);
    /// ```
    pub fn equal(hosts: usize, knows_others: bool) -> RoomTerms {
        let host_share = 1.0 / hosts.max(1) as f64;
        let knows_load = knows_others || hosts <= 1;
        RoomTerms { host_share, reserved_share: 0.0, knows_load, has_turn: true }
    }

    /// Whether `added` more fits into a room of which this host uses `own`, and all hosts together `total`. All four are
    /// in the same unit. A host has a share of its own only at servers of its failure domain, where `is_home` holds.
    ///
    /// ```
    /// use godwit_core::site::RoomTerms;
    /// let terms = RoomTerms::equal(4, true);
    /// assert!(terms.fits(1.0, 30.0, 50.0, 100.0, true));
    /// assert!(!terms.fits(1.0, 30.0, 90.0, 100.0, true));
    /// assert!(terms.fits(1.0, 20.0, 90.0, 100.0, true));
    /// ```
    pub fn fits(&self, added: f64, own: f64, total: f64, room: f64, is_home: bool) -> bool {
        let usable = room * (1.0 - self.reserved_share);
        let shared = usable - UNSHARED_MARGIN * room;
        let own_part = self.host_share * usable;
        // The first request of a host fits into its share even if that is less than a request.
        let is_own = is_home && (own + added <= own_part || own <= 0.0);
        let is_open = self.knows_load && total + added <= OPEN_SHARE * usable;
        let is_turn = self.knows_load && self.has_turn && total + added <= shared;
        total + added <= usable && (is_own || is_open || is_turn)
    }
}

/// Room of a server: the tokens that its KV cache holds, and the requests that it runs at once as the first stage; none
/// for a server that is a later stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServerRoom {
    pub(crate) kv_tokens: f64,
    pub(crate) slots: Option<u32>,
}

impl ServerRoom {
    /// Whether a request with `tokens` fits besides the load that is known.
    pub(crate) fn fits(
        &self,
        tokens: u64,
        own: Load,
        total: Load,
        terms: &RoomTerms,
        is_home: bool,
    ) -> bool {
        let fits_kv = terms.fits(
            tokens as f64,
            own.kv_tokens as f64,
            total.kv_tokens as f64,
            self.kv_tokens,
            is_home,
        );
        let fits_slots = self.slots.is_none_or(|slots| {
            let (own, total) = (f64::from(own.requests), f64::from(total.requests));
            terms.fits(1.0, own, total, f64::from(slots), is_home)
        });
        fits_kv && fits_slots
    }
}
