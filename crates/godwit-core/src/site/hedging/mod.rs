//! Hedging: a second copy of a request that may be repeated, sent when the first is slower than nearly all of its kind.

mod budget;
mod decision;
mod delay;
mod latency_spread;

pub use budget::{HedgeBudget, HedgeLimit};
pub use decision::{HedgeCandidate, HedgeRefusal, has_spare_room, may_hedge};
pub use delay::{HedgeDelays, HedgeKind, MAX_HEDGE_DELAY_MS, MIN_HEDGE_DELAY_MS};
