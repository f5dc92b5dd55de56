//! An entry host: settings, wiring, life cycle and the path of a request.

mod clock;
pub mod placement;

pub use clock::{Clock, ManualClock, SystemClock};
